"""Exchange news with peers, in datagrams signed with the cluster key."""

from collections.abc import Callable

import trio
from loguru import logger

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.codec import decode_binary
from cartdale.exceptions import UndecodableError
from cartdale.fleet.driver import Fleet
from cartdale.fleet.limit_gate import LimitParticipants
from cartdale.fleet.types import (
    EntryRemoved,
    EntryWritten,
    EvacuationsReceived,
    LeavingAnnounced,
    LimitAdvertised,
    ReportedUnreachable,
)
from cartdale.formatting import format_error
from cartdale.news.decide import count_alive, decide, is_silent
from cartdale.news.domain_publisher import DomainPublisher
from cartdale.news.drop_log import DropLog
from cartdale.news.limits import find_limit_participants, read_limit
from cartdale.news.ports import Datagrams
from cartdale.news.roles import (
    StoreView,
    counts_wide,
    find_silence_timeout,
    is_domain_publisher,
    is_prober,
    is_watcher,
    is_wide,
    list_recipients,
    stretch,
)
from cartdale.news.types import (
    Action,
    ApplyEntry,
    ApplyEvacuations,
    ApplyLeaving,
    ApplyLimit,
    ApplyLoads,
    AvoidUpstream,
    DomainNews,
    DomainNewsArrived,
    ForwardNews,
    LoadNews,
    Message,
    NewerVersion,
    NewsArrived,
    NewsDropped,
    NewsState,
    PeerEntry,
)
from cartdale.news.writing import DOMAIN_KIND, NEWS_KIND, NewsWriter
from cartdale.peers.authentication import Authenticator, Envelope
from cartdale.quarantine.types import CrashesTold
from cartdale.speeds.types import SpeedsTold
from cartdale.supervision import contain, keep_running
from cartdale.switches import Mechanism

#: Minimum time between two messages after a change, in a small system; changes
#: that occur together are sent together.
_CHANGED_INTERVAL: Millis = 20
#: Time between two messages when only token counts changed, in a small system;
#: a large one sends less often.
_UNCHANGED_INTERVAL: Millis = 400

#: Pause after an error of the network, which may stay.
_RECEIVE_PAUSE: Millis = 20

ReportVersion = Callable[[NewerVersion], None]


class NewsExchange:
    """Exchange state between this instance and its peers.

    :param own: entry by which peers reach this instance.
    :param report_version: applies a peer's report of a newer configuration.
    :param store_lost: returns whether the store is unreachable from here.
    :param datagrams: transport for the messages.
    """

    def __init__(
        self,
        own: PeerEntry,
        fleet: Fleet,
        clock: Clock,
        report_version: ReportVersion,
        store_lost: Callable[[], bool],
        datagrams: Datagrams,
    ) -> None:
        self._datagrams = datagrams
        self._own = own
        self._fleet = fleet
        self._clock = clock
        self._report_version = report_version
        self._store_lost = store_lost
        #: Time at which this exchange started; ``None`` before.
        self._started_at: Millis | None = None
        self._handing_over = False
        self._writer = NewsWriter(
            own, fleet, clock, self.is_watcher, self._declines_watching
        )
        self._domain_publisher = DomainPublisher(
            self, self._writer, fleet, clock, store_lost
        )
        self._stopped = False
        self.state = NewsState()
        #: Set, and replaced, when an instance or its news become known.
        self.joined = trio.Event()
        #: Messages that were not applied or sent.
        self.drops = DropLog()
        self.authenticator: Authenticator | None = None

    @property
    def own(self) -> PeerEntry:
        """Return the entry by which peers reach this instance."""
        return self._own

    def dispatch(self, message: Message, raw: bytes = b'') -> None:
        """Apply one message and perform the resulting actions.

        :param raw: the message as received, for forwarding.
        """
        now = self._clock.now()
        version = self._fleet.table.version
        before = self.state
        after, actions = decide(before, message, now, version)
        self.state = after
        if _count_known(after) > _count_known(before):
            self.joined.set()
            self.joined = trio.Event()
        for action in actions:
            with contain('news', action=type(action).__name__):
                self._perform(action, raw)

    def is_watcher(self, *, answered: bool = False) -> bool:
        """Return whether this instance watches the store for the others.

        :param answered: whether the store has just answered this instance,
            even if other calls have failed.
        """
        now = self._clock.now()
        timeout = find_silence_timeout(self.state, self._own, now)
        started_at = self._started_at
        young = started_at is None or now - started_at <= timeout
        lost = not answered and self._store_lost()
        view = StoreView(lost=lost, young=young)
        return is_watcher(self.state, self._own, now, view)

    def is_prober(self, upstream: str, failure_domain: str) -> bool:
        """Return whether this instance polls an upstream for all instances."""
        return is_prober(
            self.state,
            self._own,
            upstream,
            failure_domain,
            self._clock.now(),
            reaches=self._writer.reaches(upstream),
        )

    def is_silent(self) -> bool:
        """Return whether no peer has sent news recently."""
        return is_silent(self.state, self._clock.now())

    def uses_domain_summaries(self) -> bool:
        """Return whether loads of other domains arrive as delayed sums."""
        return is_wide(self.state, self._clock.now())

    def is_domain_publisher(self) -> bool:
        """Return whether this instance publishes for its failure domain."""
        return is_domain_publisher(self.state, self._own, self._clock.now())

    def count_alive(self) -> int:
        """Return how many instances are alive, this one included."""
        return 1 + count_alive(self.state, self._clock.now())

    def find_limit_participants(self) -> LimitParticipants:
        """Return the participants that share the rate limits of upstreams."""
        demand = self._fleet.limits.measure_demand()
        now = self._clock.now()
        return find_limit_participants(self.state, self._own, demand, now)

    def list_recipients(self) -> list[PeerEntry]:
        """Return the peers to which this instance sends its news."""
        return list_recipients(self.state, self._own, self._clock.now())

    def hand_over(self) -> None:
        """Let another instance watch the store, since this one is leaving.

        This one keeps watching too, until it stops.
        """
        self._handing_over = True

    def stop_sending(self) -> None:
        """Send no more messages, since this instance is leaving."""
        self._stopped = True

    def send_to(self, signed: bytes, peer: PeerEntry) -> None:
        """Send a message to a peer; it may be lost."""
        if self._stopped:
            return
        with contain('news to peers', peer=peer.name):
            try:
                self._datagrams.send(signed, peer)
            except OSError as error:
                # Includes a full send buffer; the next message follows soon.
                self.drops.log_not_sent(peer.name, error, self._clock.now())

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self._started_at = self._clock.now()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, 'news receiver', self._receive)
            nursery.start_soon(keep_running, 'news sender', self._send)
            nursery.start_soon(
                keep_running, 'domain news', self._domain_publisher.run
            )

    def _declines_watching(self) -> bool:
        return self._handing_over or self._store_lost()

    def _perform(self, action: Action, raw: bytes) -> None:
        match action:
            case ApplyLoads():
                self._apply_loads(action)
            case SpeedsTold(peer=peer, speeds=speeds):
                self._fleet.speeds.receive(
                    peer, speeds, self._clock.now(), action.instances
                )
            case ApplyEntry(entry=entry):
                self._fleet.dispatch(EntryWritten(entry, from_peer=True))
            case ApplyLeaving() | ApplyLimit():
                self._apply_announcement(action)
            case ApplyEvacuations(evacuations=evacuations):
                self._fleet.dispatch(EvacuationsReceived(evacuations))
            case CrashesTold():
                self._fleet.quarantine.dispatch(action)
            case AvoidUpstream(upstream=upstream):
                self._fleet.dispatch(ReportedUnreachable(upstream))
            case NewerVersion():
                self._report_version(action)
            case ForwardNews():
                self._forward(raw)
            case NewsDropped():
                self.drops.log_dropped(action)

    def _apply_announcement(
        self, announcement: ApplyLeaving | ApplyLimit
    ) -> None:
        match announcement:
            case ApplyLeaving(upstream=name, announced=True):
                self._fleet.dispatch(
                    LeavingAnnounced(
                        name,
                        from_peer=True,
                        born=announcement.born,
                        revision=announcement.revision,
                    )
                )
            case ApplyLeaving(upstream=name):
                self._fleet.dispatch(
                    EntryRemoved(
                        name,
                        from_peer=True,
                        born=announcement.born,
                        revision=announcement.revision,
                    )
                )
            case ApplyLimit(upstream=name, news=news):
                limit = read_limit(news, self._clock.now())
                self._fleet.dispatch(LimitAdvertised(name, limit, news.born))

    def _apply_loads(self, loads: ApplyLoads) -> None:
        if self._fleet.switches.is_enabled(Mechanism.LOAD_NEWS):
            now = self._clock.now()
            peer = loads.peer
            self._fleet.loads.receive(peer, loads.loads_by_upstream, now)
            self._fleet.order.receive(peer, loads.admission, now)

    async def _receive(self) -> None:
        while True:
            try:
                raw = await self._datagrams.receive()
            except OSError as error:
                logger.warning('news not received', detail=format_error(error))
                await trio.sleep(as_seconds(_RECEIVE_PAUSE))
                continue
            with contain('news', size=len(raw)):
                self._handle_datagram(raw)

    def _handle_datagram(self, raw: bytes) -> None:
        authenticator = self.authenticator
        envelope = None
        if authenticator is not None:
            envelope = authenticator.verify(raw, self._clock.wall_time())
        if envelope is None:
            now = self._clock.now()
            self.drops.log_unverified(authenticator, raw, now)
            return
        try:
            message = _decode_message(envelope, self._own.name)
        except UndecodableError as error:
            now = self._clock.now()
            self.drops.log_unreadable(envelope.sender, error, now)
            return
        if message is not None:
            self.dispatch(message, raw)

    def _forward(self, raw: bytes) -> None:
        """Forward a message unchanged to the peers of this failure domain."""
        for peer in self.list_recipients():
            if peer.failure_domain == self._own.failure_domain:
                self.send_to(raw, peer)

    async def _send(self) -> None:
        while True:
            factor = stretch(len(self.list_recipients()))
            await trio.sleep(as_seconds(_CHANGED_INTERVAL * factor))
            await self._wait_for_change(_UNCHANGED_INTERVAL * factor)
            if self.authenticator is None:
                continue
            signed = self._writer.write(
                self.authenticator, wide=counts_wide(self.state)
            )
            for peer in self.list_recipients():
                self.send_to(signed, peer)

    async def _wait_for_change(self, max_wait: Millis) -> None:
        with trio.move_on_after(as_seconds(max_wait)):
            while not self._writer.has_new():
                await self._fleet.announced()


def _decode_message(envelope: Envelope, own: str) -> Message | None:
    """Decode a message; return ``None`` for an unknown kind.

    :raises UndecodableError: if it can't be decoded.
    """
    body = bytes(envelope.body)
    match envelope.kind:
        case kind if kind == NEWS_KIND:
            return NewsArrived(envelope.sender, decode_binary(body, LoadNews))
        case kind if kind == DOMAIN_KIND:
            direct = envelope.recipient == own
            return DomainNewsArrived(decode_binary(body, DomainNews), direct)
        case _:
            return None


def _count_known(state: NewsState) -> int:
    """Return a number that rises as instances or their news become known."""
    return (
        len(state.peers_by_name)
        + len(state.received_by_name)
        + len(state.domains_by_name)
    )
