"""What an instance on the platform exchanges with the other instances.

News travel in datagrams; a configuration that is newer is fetched by a call.
"""

from functools import partial
from math import inf, log2

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.codec import decode_json
from cartdale.daemon.peer_links import MessageHandler, PeerLinks
from cartdale.exceptions import UndecodableError
from cartdale.fleet.driver import Fleet
from cartdale.fleet.store_changes import (
    OwnKey,
    OwnKeysListed,
    TableWritten,
)
from cartdale.fleet.store_follower import StoreFollower
from cartdale.fleet.types import UpstreamEntry
from cartdale.formatting import format_log_fields
from cartdale.news.driver import NewsExchange
from cartdale.news.registration import KEY_NAME, PEER_PREFIX, PeerRegistration
from cartdale.news.types import (
    NewerVersion,
    PeerEntry,
    PeerListed,
    PeerRemoved,
    PeersListed,
    ReportSource,
)
from cartdale.peers.authentication import Authenticator
from cartdale.peers.documents import (
    Document,
    DocumentEncoder,
    FetchDocument,
    Unserved,
)
from cartdale.platform.documents import CONFIGURATION_KEY
from cartdale.platform.translate import read_table
from cartdale.quarantine.persistence import PersistentQuarantine
from cartdale.store.types import LeasedStore
from cartdale.supervision import contain, keep_running
from cartdale.versions.decide import find_share
from cartdale.versions.driver import VersionFollower
from cartdale.versions.sending import (
    find_sending_wait,
    limit_sending,
    record_sent,
)
from cartdale.versions.types import VersionReported

#: Longest wait for the store when this instance takes itself off the list.
_WITHDRAW_TIMEOUT: Millis = 150
#: How long the first read waits for this instance to be listed, which takes a
#: healthy store two answers of a few milliseconds each. Callers wait for the
#: first configuration, so that a slow one is read beside; then once more.
_REGISTRATION_WAIT: Millis = 40
#: Between proposals of a key that the store did not answer.
_PROPOSE_EVERY: Millis = SECOND_MS
#: In a large system the number of instances around that have asked for a
#: document doubles in this time, as does the number of those that have it.
_FETCH_STEP: Millis = 60
#: How long an instance leaves it to the one that was addressed in its failure
#: domain to fetch a document from another one.
_RELAY_WAIT: Millis = 300


class Peers:
    """Keep in touch with the other instances.

    :param links: carry news and documents between them.
    :param link_mbps: bandwidth of this instance's link, in megabits per second.
    """

    def __init__(
        self,
        links: PeerLinks,
        store: LeasedStore,
        fleet: Fleet,
        clock: Clock,
        link_mbps: float = inf,
    ) -> None:
        self._links = links
        own = links.own
        self._own = own
        self._fleet = fleet
        self._clock = clock
        self._sending = limit_sending(link_mbps)
        #: The cluster's key; empty until it is known.
        self.key = b''
        self.news = NewsExchange(
            own,
            fleet,
            clock,
            self._report_version,
            self.lost_store,
            links.datagrams,
        )
        #: Gets the newest configuration that any peer reported.
        self.versions = VersionFollower(
            own.name,
            fleet,
            clock,
            links.fetch_document,
            self.adopt,
            self._read_configuration,
        )
        self._registration = PeerRegistration(
            store,
            own,
            self.count_listed,
            self._read_after_listing,
            self._write_again,
        )
        self._lasting = PersistentQuarantine(store, fleet.quarantine, clock)
        self._nursery: trio.Nursery | None = None
        self._follower: StoreFollower | None = None
        #: Encodes the configuration in force for other instances.
        self.encoder = DocumentEncoder()
        self._tried_to_register = trio.Event()
        #: Set while other instances are not served: after a stop, or a
        #: failure.
        self.served = trio.Event()

    async def run(self, follower: StoreFollower, stopping: trio.Event) -> None:
        """Join the others and keep in touch, for ever.

        :param follower: follows the store, which lists the others.
        """
        self._follower = follower
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(keep_running, 'versions', self.versions.run)
            nursery.start_soon(keep_running, 'news', self.news.run)
            serve = partial(_serve, self, self._links, self._serve)
            nursery.start_soon(keep_running, 'peer listener', serve, stopping)
            nursery.start_soon(keep_running, 'store', self._follow, follower)
            nursery.start_soon(
                keep_running, 'quarantine records', self._lasting.run
            )
            nursery.start_soon(
                keep_running, 'listing', self._keep_listed, follower
            )
            nursery.start_soon(
                keep_running, 'cluster key', self._agree_on_key, follower
            )

    def hand_over(self) -> None:
        """Let another instance watch the store before this one leaves."""
        self.news.hand_over()

    async def withdraw(self) -> None:
        """Take this instance off the list, if the store answers soon.

        It sends no more news, which would list it again at others.
        """
        self.news.stop_sending()
        with trio.move_on_after(as_seconds(_WITHDRAW_TIMEOUT)):
            await self._registration.withdraw()

    def apply_own_key(self, change: OwnKey | OwnKeysListed) -> None:
        """Take what instances wrote for each other in the store."""
        if isinstance(change, OwnKeysListed):
            self.news.dispatch(PeersListed(_list_names(change.keys)))
            return
        if change.key == KEY_NAME and change.stored:
            self.take_key(change.stored)
        self._lasting.restore(change.key, change.stored)
        if not change.key.startswith(PEER_PREFIX):
            return
        if not change.stored:
            self.news.dispatch(
                PeerRemoved(change.key.removeprefix(PEER_PREFIX))
            )
            return
        try:
            peer = decode_json(change.stored, PeerEntry)
        except UndecodableError as error:
            logger.error('peer unreadable', key=change.key, detail=str(error))
            return
        self.news.dispatch(PeerListed(peer))

    def take_key(self, key: bytes) -> None:
        """Seal news with the cluster's key, and open those of others."""
        self.key = key
        self.news.authenticator = Authenticator((key,))
        self._links.set_authenticator(self.news.authenticator)

    def list_known(self) -> tuple[PeerEntry, ...]:
        """Return the instances that are listed or were heard of, and this."""
        return (*self.news.state.peers_by_name.values(), self._own)

    def adopt(self, raw: bytes) -> int:
        """Put a peer's document in force unless it is older than ours.

        :returns: the version of the document; 0 if it can't be read.
        """
        change = read_table(raw)
        if isinstance(change, TableWritten) and self._follower is not None:
            self._follower.adopt(change)
            return change.table.version
        logger.error(
            'document of a peer unreadable',
            **format_log_fields('change', change),
        )
        return 0

    def is_cut_off(self) -> bool:
        """Tell whether neither the store nor any peer is heard."""
        return self.lost_store() and self.news.is_silent()

    def asks(self, entry: UpstreamEntry) -> bool:
        """Tell whether this instance asks an engine whether it leaves.

        The store may hide that or tell it late; the others hear of it in
        news.
        """
        return self.news.is_prober(entry.upstream, entry.failure_domain)

    def lost_store(self) -> bool:
        """Tell whether the store does not answer this instance."""
        following = self._follower is not None and self._follower.failing
        return following or self._registration.failing

    def list_names_in(self, failure_domain: str) -> tuple[str, ...]:
        """Return the names of the instances listed in a failure domain."""
        known = (*self.news.state.peers_by_name.values(), self._own)
        names = {
            peer.name for peer in known if peer.failure_domain == failure_domain
        }
        return tuple(sorted(names))

    def count_listed(self) -> int:
        """Return how many instances the store lists."""
        return len(self.news.state.peers_by_name)

    async def _keep_listed(self, follower: StoreFollower) -> None:
        """List this instance in the store before it reads, and keep it so."""
        await self._registration.register()
        self._tried_to_register.set()
        await follower.synced.wait()
        await self._registration.run()

    async def _follow(self, follower: StoreFollower) -> None:
        """Follow the store, once this instance is listed there.

        Of two that start together at least one then reads of the other, and
        tells it news; nobody needs to watch the list.
        """
        with trio.move_on_after(as_seconds(_REGISTRATION_WAIT)):
            await self._tried_to_register.wait()
        try:
            await follower.run()
        except Exception:
            # Another instance watches the store meanwhile.
            follower.failing = True
            raise

    async def _agree_on_key(self, follower: StoreFollower) -> None:
        """Propose a key for the cluster until one is known."""
        await follower.synced.wait()
        while self.news.authenticator is None:
            key = await self._registration.propose_key()
            if key:
                self.take_key(key)
                return
            await trio.sleep(as_seconds(_PROPOSE_EVERY))

    def _read_after_listing(self) -> None:
        """Read who is there, if the first read came before the listing."""
        if self._follower is not None:
            self._follower.read_again()

    def _write_again(self) -> None:
        """Write what the store may have lost with this instance's listing.

        Each writes only its own, and the few that watch the store the key. The
        store has just answered: an instance whose reads still fail must not
        leave the key to others, which may leave it to this one.
        """
        with contain('quarantine records'):
            self._lasting.write_again()
        watches = self.news.is_watcher(answered=True)
        if self.key and watches and self._nursery is not None:
            self._nursery.start_soon(
                keep_running, 'cluster key', self._keep_key
            )

    async def _keep_key(self) -> None:
        """Keep the cluster's key in the store, or take what it has instead."""
        stored = b''
        while not stored:
            stored = await self._registration.propose_key(self.key)
            if not stored:
                await trio.sleep(as_seconds(_PROPOSE_EVERY))
        if stored != self.key:
            self.take_key(stored)

    def _report_version(self, newer: NewerVersion) -> None:
        """Tell who keeps this instance current of a newer configuration."""
        nearby = (
            not self.news.uses_domain_summaries()
            or newer.peer.failure_domain == self._own.failure_domain
        )
        wait = self._choose_wait(newer, nearby=nearby)
        self.versions.report(
            VersionReported(
                newer.peer, newer.version, newer.source, wait, nearby
            )
        )

    def _choose_wait(self, newer: NewerVersion, *, nearby: bool) -> Millis:
        """Return how long to leave the fetch to other instances.

        A document crosses to another failure domain once: by the instance that
        was addressed there. The others get it from each other, one after
        another, and cross themselves if that takes too long.
        """
        if not self.news.uses_domain_summaries():
            return 0
        if nearby and self.news.is_domain_publisher():
            return 0
        addressed = newer.source is not ReportSource.FORWARDED
        if addressed and not nearby:
            return 0
        around = len(self.news.list_recipients())
        share = find_share(self._own.name, newer.version)
        spread = int(_FETCH_STEP * log2(1 + around * share))
        return spread if nearby else _RELAY_WAIT + spread

    async def _read_configuration(self) -> bool:
        if self._follower is None:
            return False
        return await self._follower.read_table(CONFIGURATION_KEY)

    async def _serve(self, message: object) -> object:
        if isinstance(message, FetchDocument) and self._follower is not None:
            return self._send_document(self._follower.raw_table, message)
        return Unserved()

    def _send_document(self, raw: bytes, message: FetchDocument) -> Document:
        """Return the document, unless others take this link's share for it."""
        now = self._clock.now()
        wait = find_sending_wait(self._sending, now)
        if wait and message.may_wait:
            return Document(b'', retry_after=wait)
        document = self.encoder.encode(raw, message.accepts)
        self._sending = record_sent(self._sending, len(document.raw), now)
        logger.info(
            'configuration sent',
            version=self._fleet.table.version,
            size=len(document.raw),
        )
        return document


async def _serve(
    peers: Peers,
    links: PeerLinks,
    answer: MessageHandler,
    stopping: trio.Event,
) -> None:
    """Serve other instances until told to stop, and tell when they are not."""
    peers.served = trio.Event()
    try:
        await links.serve(answer, stopping)
    finally:
        peers.served.set()


def _list_names(own_keys: frozenset[str]) -> frozenset[str]:
    """Return the names of the instances that are among the listed keys."""
    return frozenset(
        key.removeprefix(PEER_PREFIX)
        for key in own_keys
        if key.startswith(PEER_PREFIX)
    )
