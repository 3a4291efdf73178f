"""The account of the bytes that an instance holds."""

import os
import resource
from collections.abc import AsyncIterable, Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import trio
from loguru import logger

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.pressure.decide import (
    choose_to_end,
    decide_body,
    decide_readiness,
    decide_response,
    derive_limits,
    find_excess,
    fits_response,
)
from cartdale.pressure.events import IncompleteEvents
from cartdale.pressure.types import (
    Bear,
    GiveWay,
    HeldBytes,
    HeldTotals,
    Holding,
    Limits,
    Readiness,
    RefuseBody,
    ResponseDecision,
    Wait,
)
from cartdale.supervision import run_guarded

#: Between looks of a response that waits for room: a caller may count as
#: unread meanwhile, which no event tells.
_WAIT_POLL: Millis = 250
_KILOBYTE = 1024


@dataclass(slots=True)
class PressureCounts:
    """Count decisions since the start.

    :param ended: responses that gave way.
    :param unfinished: responses whose caller had not read them in their time.
    :param refused: bodies refused unread.
    :param held_up: responses that were not read ahead for want of room.
    """

    ended: int = 0
    unfinished: int = 0
    refused: int = 0
    held_up: int = 0


@dataclass(frozen=True, slots=True)
class _OpenResponse:
    """One response and how to end it for want of room."""

    held: HeldBytes
    end: Callable[[], None]


@dataclass(eq=False, slots=True)
class Account:
    """Account for the bytes held for all requests.

    :param memory: of the process at most, in bytes; 0 if it is not told.
    :param resident: memory that the process takes while it holds nothing.
    """

    clock: Clock
    memory: int
    resident: int
    limits: Limits = field(init=False)
    counts: PressureCounts = field(default_factory=PressureCounts)
    events: IncompleteEvents = field(default_factory=IncompleteEvents)
    _responses: int = 0
    _bodies: int = 0
    _collected: int = 0
    _readiness: Readiness = field(default_factory=Readiness)
    #: By the identity of what is held: a caller's id may be in use twice.
    _open_by_held: dict[int, _OpenResponse] = field(default_factory=dict)
    _collecting_by_held: dict[int, _OpenResponse] = field(default_factory=dict)
    #: Set when bytes were freed; ``None`` while nobody waits for that.
    _freed: trio.Event | None = None
    _nursery: trio.Nursery | None = None

    def __post_init__(self) -> None:
        """Derive the limits."""
        self.limits = derive_limits(self.memory, self.resident)

    @property
    def totals(self) -> HeldTotals:
        """Return the bytes held by reason."""
        return HeldTotals(
            self._responses, self._bodies, self._collected, self.events.count
        )

    @property
    def waiting_responses(self) -> int:
        """Return the number of responses of which bytes wait."""
        return sum(
            bool(each.held.count) for each in self._open_by_held.values()
        )

    async def run(self) -> None:
        """Run the writers of responses, for ever."""
        logger.info(
            'bytes held at most',
            total=self.limits.total,
            responses=self.limits.responses,
            memory=self.memory,
            resident=self.resident,
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def start_writer(self, write: Callable[[], Awaitable[None]]) -> None:
        """Run a writer beside its request.

        The server shields its sends from cancellation: a writer may outlive
        its request until the server has closed the connection.
        """
        if self._nursery is None:
            raise trio.ClosedResourceError('the account does not run')
        self._nursery.start_soon(run_guarded, 'writers of responses', write)

    def is_ready(self) -> bool:
        """Tell whether new connections are taken."""
        before = self._readiness
        after = decide_readiness(
            before, self.limits, self.totals, self.clock.now()
        )
        self._readiness = after
        if before.ready != after.ready:
            logger.info(
                'readiness by bytes held',
                ready=after.ready,
                held=self.totals.total,
                limit=self.limits.total,
            )
        return after.ready

    @contextmanager
    def open_response(
        self, request_id: str, end: Callable[[], None]
    ) -> Iterator[HeldBytes]:
        """Account for a response while the context is open.

        :param end: ends the response for want of room.
        """
        held = HeldBytes(request_id, Holding.RESPONSE)
        self._open_by_held[id(held)] = _OpenResponse(held, end)
        try:
            yield held
        finally:
            self._open_by_held.pop(id(held))
            self.release_response(held, held.count)

    async def hold_response(self, held: HeldBytes, size: int) -> None:
        """Count bytes as held; return once there is room for them."""
        if not fits_response(self.limits, self.totals, held, size):
            await self._make_room(held, size)
        self.count_response(held, size)

    def hold_whole(self, held: HeldBytes, size: int) -> None:
        """Count a complete response as held, which is there already.

        Those that nobody reads give way to it.
        """
        self.count_response(held, size)
        excess = find_excess(self.limits, self.totals, 0)
        if excess > 0:
            now = self.clock.now()
            self._end(
                choose_to_end(_list_held(self._open_by_held), excess, now)
            )

    def count_response(self, held: HeldBytes, size: int) -> None:
        """Count bytes as held."""
        if not held.count:
            held.since = self.clock.now()
        held.count += size
        self._responses += size

    def release_response(self, held: HeldBytes, size: int) -> None:
        """Count bytes as read by their caller."""
        # What gave way has been released before its writer knows.
        freed = min(size, held.count)
        held.since = self.clock.now()
        held.count -= freed
        self._responses -= freed
        self._note_freed()

    @contextmanager
    def open_body(
        self, request_id: str, announced: int
    ) -> Iterator['BodyIntake']:
        """Account for a body while the context is open.

        :param announced: its size as its head tells; 0 if it tells none.
        """
        held = HeldBytes(request_id, Holding.BODY)
        try:
            yield BodyIntake(self, held, announced)
        finally:
            self._bodies -= held.count
            self._note_freed()

    async def collect(
        self, request_id: str, chunks: AsyncIterable[bytes]
    ) -> bytes | None:
        """Return a response read whole; ``None`` if it gave way to others."""
        scope = trio.CancelScope()
        parts: list[bytes] = []
        with self._open_collected(request_id, scope.cancel) as held, scope:
            async for chunk in chunks:
                parts.append(chunk)
                self._count_collected(held, len(chunk))
            return b''.join(parts)
        return None

    @contextmanager
    def hold_written(self, size: int) -> Iterator[None]:
        """Count a whole response as held while the context is open."""
        self._collected += size
        try:
            yield
        finally:
            self._collected -= size

    def accept_body(self, held: HeldBytes, size: int) -> RefuseBody | None:
        """Count bytes of a body as held, or return why it is refused."""
        match decide_body(self.limits, self.totals, held, size):
            case RefuseBody() as refused:
                self.counts.refused += 1
                logger.info(
                    'body refused unread',
                    request=held.request_id,
                    size=size,
                    read=held.count,
                    **self._describe(),
                )
                return refused
        held.count += size
        self._bodies += size
        return None

    def note_unfinished(self, held: HeldBytes) -> None:
        """Note that a caller did not read a response in its time."""
        self.counts.unfinished += 1
        logger.info(
            'response not read in its time',
            request=held.request_id,
            held=held.count,
            unread=self.clock.now() - held.since,
        )

    @contextmanager
    def _open_collected(
        self, request_id: str, end: Callable[[], None]
    ) -> Iterator[HeldBytes]:
        held = HeldBytes(request_id, Holding.COLLECTED)
        self._collecting_by_held[id(held)] = _OpenResponse(held, end)
        try:
            yield held
        finally:
            self._collecting_by_held.pop(id(held), None)
            self._collected -= held.count

    def _count_collected(self, held: HeldBytes, size: int) -> None:
        """Count bytes as held; the largest response gives way to the others.

        Small ones are taken in any case: who reads nothing must not keep others
        from being served.
        """
        held.count += size
        self._collected += size
        if self.totals.total <= self.limits.total:
            return
        if held.count <= self.limits.small_body:
            return
        largest = max(
            self._collecting_by_held.values(), key=lambda each: each.held.count
        )
        self.counts.ended += 1
        logger.warning(
            'response too large to be held',
            request=largest.held.request_id,
            held=largest.held.count,
            **self._describe(),
        )
        self._collecting_by_held.pop(id(largest.held))
        self._collected -= largest.held.count
        largest.held.count = 0
        largest.end()

    async def _make_room(self, own: HeldBytes, size: int) -> None:
        """Return once there is room; end responses that nobody reads."""
        decision = self._decide(own, size)
        if isinstance(decision, Wait) and not own.held_up:
            own.held_up = True
            self.counts.held_up += 1
            logger.info(
                'response held up',
                request=own.request_id,
                held=own.count,
                unread=self.clock.now() - own.since,
                **self._describe(),
            )
        while not isinstance(decision, Bear):
            match decision:
                case GiveWay(held=ending):
                    self._end(ending)
                    await trio.lowlevel.checkpoint()
                case Wait():
                    await self._wait_until_freed()
            decision = self._decide(own, size)

    def _decide(self, own: HeldBytes, size: int) -> ResponseDecision:
        return decide_response(
            self.limits,
            self.totals,
            _list_held(self._open_by_held),
            own,
            size,
            self.clock.now(),
        )

    def _end(self, ending: tuple[HeldBytes, ...]) -> None:
        now = self.clock.now()
        for held in ending:
            opened = self._open_by_held[id(held)]
            self.counts.ended += 1
            logger.info(
                'response gave way',
                request=held.request_id,
                held=held.count,
                unread=now - held.since,
                **self._describe(),
            )
            # It counts for nothing from now on; its request ends soon.
            self.release_response(held, held.count)
            opened.end()

    def _describe(self) -> dict[str, int]:
        return {
            'responses': self._responses,
            'bodies': self._bodies,
            'collected': self._collected,
            'limit': self.limits.total,
        }

    async def _wait_until_freed(self) -> None:
        if self._freed is None:
            self._freed = trio.Event()
        with trio.move_on_after(as_seconds(_WAIT_POLL)):
            await self._freed.wait()

    def _note_freed(self) -> None:
        if self._freed is not None:
            self._freed.set()
            self._freed = None


def _list_held(open_by_held: dict[int, _OpenResponse]) -> Iterator[HeldBytes]:
    return (opened.held for opened in open_by_held.values())


class BodyIntake:
    """Account for one body that is being read.

    :param announced: its size as its head tells; 0 if it tells none.
    """

    def __init__(
        self, account: Account, held: HeldBytes, announced: int
    ) -> None:
        self._account = account
        self._held = held
        self._announced = announced

    def note_read(self, size: int) -> RefuseBody | None:
        """Count what was read, or return why the body is refused.

        What is announced counts before anything is read.

        :param size: bytes read so far.
        """
        more = max(size, self._announced) - self._held.count
        return self._account.accept_body(self._held, more) if more else None


def read_resident() -> int:
    """Return the resident memory of this process, in bytes."""
    try:
        statm = Path('/proc/self/statm').read_text(encoding='ascii')
    except OSError as error:
        most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        logger.warning('resident memory not told', detail=str(error), most=most)
        return most * _KILOBYTE
    return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')
