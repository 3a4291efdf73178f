"""Send requests to upstreams over the path that works."""

import random
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import httpcore
import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.detours.calls import DetourCalls
from cartdale.detours.decide import (
    decide,
    find_busy_until,
    find_unreached,
    is_blocked,
    list_probes,
    list_proven,
    list_unwanted,
    rank_intermediaries,
)
from cartdale.detours.direct import (
    SHORT_CONNECT_WAIT,
    DirectTransport,
    check_writable,
    split_address,
)
from cartdale.detours.guard import WithheldError
from cartdale.detours.ports import (
    DetourPeers,
    RequestHandler,
    SendObserver,
)
from cartdale.detours.types import (
    Action,
    BlockedPath,
    DetourAnswered,
    DetourBegan,
    DetourEnded,
    DetourOutcome,
    DetourReply,
    DetourUnanswered,
    DirectFailed,
    DirectReached,
    Message,
    PathBlocked,
    PathReopened,
    PathState,
    PathUnneeded,
    PathWanted,
    UnreachedByAll,
    UpstreamRequest,
)
from cartdale.formatting import format_error
from cartdale.news.types import PeerEntry
from cartdale.supervision import contain, keep_running, run_guarded
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    CarriedTimeoutError,
    PathUnclearError,
    is_refusal,
    make_connect_error,
)

#: Between looks at which blocked paths are to be probed.
_TICK: Millis = 50
#: A request that ends after so long without a response tells something of its
#: intermediary.
_UNANSWERED_AFTER: Millis = SECOND_MS // 2
#: Intermediaries that are asked for one request.
_MAX_INTERMEDIARIES = 6
#: Intermediaries that must fail to reach an upstream, besides this instance,
#: before nobody reaches it; fewer if there are fewer.
_MIN_WITNESSES = 3


class PathRouter:
    """Send requests to upstreams directly, or through other instances.

    :param pool: makes the connections, to upstreams and to instances.
    :param failure_domain: of this instance.
    :param seed: makes the choice of intermediaries reproducible.
    :param backend: opens the connections of probes.
    """

    def __init__(
        self,
        pool: RequestHandler,
        clock: Clock,
        failure_domain: str,
        seed: int,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._pool = pool
        self._direct = DirectTransport(pool)
        self._clock = clock
        self._failure_domain = failure_domain
        self._generator = random.Random(seed)
        self._peers: DetourPeers | None = None
        self._calls: DetourCalls | None = None
        self._backend = backend or httpcore.TrioBackend()
        self._probed: set[str] = set()
        self.state = PathState()
        #: Set while a path is blocked; only then there is something to probe.
        self._has_blocked = trio.Event()
        #: Called with the address of a path that is open again.
        self.on_reopened: Callable[[str], None] | None = None
        #: Requests sent through other instances, since the start.
        self.detours = 0

    def join(self, peers: DetourPeers) -> None:
        """Use other instances as intermediaries from now on."""
        self._peers = peers
        self._calls = DetourCalls(self._pool, peers)

    @property
    def blocked(self) -> int:
        """Return the number of direct paths that are blocked."""
        return len(self.state.blocked_by_address)

    def list_proven(self) -> tuple[str, ...]:
        """Return the names of instances that recently carried requests."""
        return list_proven(self.state, self._clock.now())

    async def run(self) -> None:
        """Probe blocked paths; never returns."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'blocked paths', self._follow_blocked, nursery
            )

    async def send(
        self,
        request: UpstreamRequest,
        observer: SendObserver | None = None,
        *,
        through: str = '',
    ) -> httpcore.Response:
        """Send a request and return its response, with the body unread.

        :param through: instance to try first; empty for the direct path.
        :raises httpcore.ConnectError: or another error of
            ``HTTPCORE_NOT_SENT_ERRORS`` if nothing was sent, among them
            ``PathUnclearError``.
        :raises UnwritableError: if the request can be sent to nobody.
        """
        peers = self._list_peers()
        if not peers:
            return await self._direct.send(request, observer)
        if not through and self.find_blocked(request.address) is None:
            with suppress(*HTTPCORE_NOT_SENT_ERRORS):
                return await self.send_directly(request, observer)
        return await _Detour(self, request, observer, through).send(peers)

    async def send_directly(
        self,
        request: UpstreamRequest,
        observer: SendObserver | None = None,
    ) -> httpcore.Response:
        """Send a request over the direct path.

        :raises httpcore.ConnectError: or another error of
            ``HTTPCORE_NOT_SENT_ERRORS`` if nothing was sent.
        """
        began_at = self._clock.now()
        try:
            response = await self._direct.send(
                request, observer, SHORT_CONNECT_WAIT
            )
        except HTTPCORE_NOT_SENT_ERRORS as error:
            self._dispatch(DirectFailed(request.address, is_refusal(error)))
            raise
        path = self.state.blocked_by_address.get(request.address)
        # A connection may outlive its path, on which no new one can be opened.
        if path is not None and path.since <= began_at:
            self._dispatch(DirectReached(request.address))
        return response

    async def probe(self, address: str) -> DirectReached | DirectFailed:
        """Open and close a direct connection to an upstream."""
        host, port = split_address(address)
        try:
            stream = await self._backend.connect_tcp(
                host, port, as_seconds(SHORT_CONNECT_WAIT)
            )
        except HTTPCORE_NOT_SENT_ERRORS as error:
            return DirectFailed(address, is_refusal(error), probed=True)
        await stream.aclose()
        return DirectReached(address)

    async def send_through(
        self,
        peer: PeerEntry,
        request: UpstreamRequest,
        observer: SendObserver | None,
    ) -> httpcore.Response | DetourReply | None:
        """Send a request through a peer and note what it answered."""
        if self._calls is None:
            return None
        began_at = self._clock.now()
        self._dispatch(DetourBegan(peer.name))
        released = partial(self._dispatch, DetourEnded(peer.name))
        try:
            answer = await self._calls.send(peer, request, observer, released)
        except (httpcore.ReadTimeout, trio.Cancelled):
            # The time limit of a request and a caller that leaves cancel it.
            if self._clock.now() - began_at >= _UNANSWERED_AFTER:
                self._dispatch(DetourUnanswered(peer.name))
            raise
        except httpcore.RemoteProtocolError:
            self._dispatch(DetourUnanswered(peer.name))
            raise
        outcome = _find_outcome(answer)
        reply = answer if isinstance(answer, DetourReply) else None
        self._dispatch(
            DetourAnswered(
                peer.name,
                request.address,
                outcome,
                backoff=reply.backoff if reply else 0,
                is_witness=reply is not None and reply.reaches_others,
            )
        )
        self.detours += outcome is DetourOutcome.OPENED
        if request.is_work:
            logger.info(
                'detour',
                request=request.request_id,
                upstream=request.upstream,
                peer=peer.name,
                outcome='not reached' if outcome is None else outcome,
                detail=getattr(answer, 'detail', ''),
                took=self._clock.now() - began_at,
            )
        return answer

    def rank(
        self, peers: list[PeerEntry], request: UpstreamRequest
    ) -> list[PeerEntry]:
        """Return the peers that may carry a request, the best one first."""
        return rank_intermediaries(
            self.state,
            peers,
            request.address,
            frozenset((self._failure_domain,)),
            self._clock.now(),
            self._generator,
        )

    def now(self) -> Millis:
        """Return the time, in monotonic milliseconds."""
        return self._clock.now()

    def find_busy_until(
        self, peers: list[PeerEntry], request: UpstreamRequest
    ) -> Millis:
        """Return when a busy peer may carry a request again; 0 if none is.

        Only work waits for that.
        """
        if not request.is_work:
            return 0
        now = self._clock.now()
        return find_busy_until(self.state, peers, request.address, now)

    def find_unreached(self, address: str) -> BlockedPath | None:
        """Return the path to an upstream that nobody reached just before."""
        return find_unreached(self.state, address, self._clock.now())

    def find_blocked(self, address: str) -> BlockedPath | None:
        """Return the direct path to an upstream if it is blocked.

        It is probed as long as this is asked for.
        """
        self._dispatch(PathWanted(address))
        return self.state.blocked_by_address.get(address)

    def note_unreached(self, address: str, *, refused: bool) -> None:
        """Note that nobody reaches an upstream.

        :param refused: whether it refuses connections.
        """
        self._dispatch(UnreachedByAll(address, refused))

    def _list_peers(self) -> list[PeerEntry]:
        return [] if self._peers is None else list(self._peers.list_alive())

    def _start_probes(self, nursery: trio.Nursery) -> None:
        """Start the probes that are due, and forget unneeded paths."""
        now = self._clock.now()
        for unwanted in list_unwanted(self.state, now):
            self._dispatch(PathUnneeded(unwanted))
        for address in list_probes(self.state, now):
            if address not in self._probed:
                self._probed.add(address)
                nursery.start_soon(
                    run_guarded, 'probes of paths', self._probe, address
                )

    async def _follow_blocked(self, nursery: trio.Nursery) -> None:
        """Probe paths while some are blocked, for ever."""
        while True:
            await self._has_blocked.wait()
            await trio.sleep(as_seconds(_TICK))
            self._start_probes(nursery)

    async def _probe(self, address: str) -> None:
        result: DirectReached | DirectFailed = DirectFailed(
            address, refused=False, probed=True
        )
        with contain('probes of paths', address=address):
            result = await self.probe(address)
        self._probed.discard(address)
        if is_blocked(self.state, address):
            self._dispatch(result)

    def _dispatch(self, message: Message) -> None:
        now = self._clock.now()
        after, actions = decide(self.state, message, now)
        self.state = after
        self._note_blocked()
        for action in actions:
            self._act(action)

    def _note_blocked(self) -> None:
        if self.state.blocked_by_address:
            self._has_blocked.set()
        elif self._has_blocked.is_set():
            self._has_blocked = trio.Event()

    def _act(self, action: Action) -> None:
        match action:
            case PathBlocked(address=address):
                logger.info('path blocked', address=address)
            case PathReopened(address=address, took=took):
                logger.info('path reopened', address=address, took=took)
                if self.on_reopened is not None:
                    self.on_reopened(address)


class _Detour:
    """Send one request through an intermediary that reaches its upstream.

    Intermediaries use their direct paths only, so that it takes one hop.

    :param preferred: the first one to ask; empty for none.
    """

    def __init__(
        self,
        router: PathRouter,
        request: UpstreamRequest,
        observer: SendObserver | None,
        preferred: str,
    ) -> None:
        self._router = router
        self._request = request
        self._observer = observer
        self._asked: set[str] = set()
        self._hinted: list[str] = [preferred]
        #: Intermediaries that don't reach the upstream, and those of them that
        #: reach others.
        self._blind = 0
        self._witnesses = 0
        self._refused = False
        #: Shortest back-off of the upstream towards an intermediary; 0 for
        #: none.
        self._backoff: Millis = 0

    async def send(self, peers: list[PeerEntry]) -> httpcore.Response:
        """Return the response, with the body unread.

        :raises httpcore.ConnectError: if nobody reaches the upstream, which
            refuses connections.
        :raises httpcore.ConnectTimeout: if it does not answer any.
        :raises WithheldError: if the upstream backs off towards the only ones
            who may reach it, or if these have no capacity.
        :raises PathUnclearError: if that is not known.
        :raises UnwritableError: if the request can be sent to nobody.
        """
        check_writable(self._request)
        address = self._request.address
        unreached = self._router.find_unreached(address)
        if unreached is not None:
            raise make_connect_error(
                'no instance reaches it', refused=unreached.refuses_all
            )
        response = await self._ask_peers(peers)
        if response is not None:
            return response
        if self._backoff and not self._has_enough_witnesses(peers):
            raise WithheldError('its upstream backs off', self._backoff)
        if self._witnesses:
            self._router.note_unreached(address, refused=self._refused)
            raise make_connect_error(
                'no instance reaches it', refused=self._refused
            )
        busy_until = self._router.find_busy_until(peers, self._request)
        return await self._try_directly(busy_until)

    async def _ask_peers(
        self, peers: list[PeerEntry]
    ) -> httpcore.Response | None:
        """Ask one peer after another; ``None`` if none of them helps."""
        for _ in range(_MAX_INTERMEDIARIES):
            peer = self._choose(peers)
            if peer is None:
                return None
            self._asked.add(peer.name)
            response = await self._ask(peer)
            if response is not None or self._has_enough_witnesses(peers):
                return response
        return None

    def _has_enough_witnesses(self, peers: list[PeerEntry]) -> bool:
        """Tell whether enough peers say that they don't reach the upstream."""
        enough = min(_MIN_WITNESSES, len(peers))
        return self._witnesses > 0 and self._blind >= enough

    async def _ask(self, peer: PeerEntry) -> httpcore.Response | None:
        answer = await self._router.send_through(
            peer, self._request, self._observer
        )
        match answer:
            case DetourReply(outcome=DetourOutcome.BROKEN, timed_out=True):
                raise CarriedTimeoutError(answer.detail, peer.name)
            case DetourReply(outcome=DetourOutcome.BROKEN, detail=detail):
                raise httpcore.ReadError(detail)
            case DetourReply(outcome=DetourOutcome.UNREACHED):
                self._blind += 1
                self._witnesses += answer.reaches_others
                self._refused |= answer.reaches_others and answer.refused
                self._hinted.extend(answer.alternatives)
                return None
            case DetourReply(outcome=DetourOutcome.WITHHELD, backoff=backoff):
                backoffs = filter(None, (self._backoff, backoff))
                self._backoff = min(backoffs, default=0)
                return None
            case DetourReply() | None:
                return None
        return answer

    def _choose(self, peers: list[PeerEntry]) -> PeerEntry | None:
        ranked = [
            peer
            for peer in self._router.rank(peers, self._request)
            if peer.name not in self._asked
        ]
        for peer in ranked:
            if peer.name in self._hinted:
                return peer
        return ranked[0] if ranked else None

    async def _try_directly(self, busy_until: Millis) -> httpcore.Response:
        """Try the direct path, since nobody else can be asked.

        If that fails, the request waits for a busy intermediary, as callers of
        instances that reach the upstream wait for room.

        :param busy_until: when one may carry it again; 0 if none is busy.
        """
        try:
            return await self._router.send_directly(
                self._request, self._observer
            )
        except HTTPCORE_NOT_SENT_ERRORS as error:
            if busy_until:
                wait = max(busy_until - self._router.now(), 0)
                raise WithheldError('no capacity to reach it', wait) from error
            raise PathUnclearError(format_error(error)) from error


def _find_outcome(
    answer: httpcore.Response | DetourReply | None,
) -> DetourOutcome | None:
    match answer:
        case None:
            return None
        case DetourReply(outcome=outcome):
            return outcome
        case _:
            return DetourOutcome.OPENED
