"""Silent links are abandoned without losing or miscounting events."""

from collections.abc import AsyncIterator
from dataclasses import replace

import trio
from returns.result import Success

from cartdale.clock import SystemClock
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import EngineReport, EntryWritten, UpstreamEntry
from cartdale.relay.admission import Admission
from cartdale.relay.copy_release import CopyReleaser
from cartdale.relay.crash_probes import CrashProber
from cartdale.relay.decide import Broken
from cartdale.relay.ports import RelayPorts
from cartdale.relay.silent_link import SilentLink
from cartdale.relay.stream import StreamEnd, StreamForwarder
from cartdale.relay.types import (
    CallerRequest,
    ExecutionStatus,
    OpenedResponse,
    RoutedRequest,
)
from cartdale.retries.window import RepeatBudget
from cartdale.routes.types import Route, RouteKind

ELSEWHERE = UpstreamEntry('b', 's', 'b:80', 'west', 4)


class SlowSink:
    """Delay each write, like a slow caller."""

    def __init__(self, takes: float = 0.8) -> None:
        self.takes = takes
        self.written: list[bytes] = []

    async def start(self, status: int, headers: object) -> None:
        """Accept the head."""

    async def write(self, chunk: bytes) -> None:
        """Accept a part of the body."""
        await trio.sleep(self.takes)
        self.written.append(chunk)

    async def finish(self) -> None:
        """Accept the end."""


class Meter:
    """Count the delays by the caller that a generation is told of."""

    def __init__(self) -> None:
        self.skipped = 0

    def skip(self) -> None:
        """Count a delay."""
        self.skipped += 1


class BackedUp:
    """A generation with a backup, which is slow to leave its engine."""

    backup = 'b'
    is_stopped = False
    request_id = 'r'
    upstream = 'a'

    def __init__(self) -> None:
        self.events = 0
        self.left = 0
        self.meter = Meter()

    def advance(self) -> None:
        """Count an event."""
        self.events += 1

    async def lose_link(self, *, silent: SilentLink) -> UpstreamEntry:
        """Leave the engine."""
        self.left += 1
        await trio.sleep(0.3)
        return ELSEWHERE


def make_forwarder(sink: SlowSink, generation: BackedUp) -> StreamForwarder:
    clock = SystemClock()
    fleet = Fleet(clock, 'west', 1)
    ports = RelayPorts(
        clock=clock,
        fleet=fleet,
        admission=Admission(fleet, clock, 1),
        upstreams=None,
        budget=RepeatBudget(0.2, 50, 10000),
        copy_releaser=CopyReleaser(None),
        crash_prober=CrashProber(None, fleet),
    )
    request = CallerRequest('r', 'POST', 'h', b'/', '', 0, ())
    route = Route('d', 'h', '/', RouteKind.STREAM, 9000, 2000, ())
    routed = RoutedRequest(request, route, 's', '', 0, 0, 9000)
    return StreamForwarder(ports, routed, sink, generation)


def make_answer(chunks: AsyncIterator[bytes]) -> OpenedResponse:
    return OpenedResponse(200, (), ExecutionStatus.RAN, chunks)


async def test_event_written_while_the_link_is_abandoned_arrives(
    autojump_clock,
) -> None:
    async def come_late() -> AsyncIterator[bytes]:
        yield b'id: 1\n\n'
        # The silence is noticed 1.7 s after the end of the write, and the
        # engine left 0.3 s later: in the middle of the next write.
        await trio.sleep(1.8)
        yield b'id: 2\n\n'
        await trio.sleep_forever()

    # The clock of tests begins at 0, which stands for never.
    await trio.sleep(1)
    sink, generation = SlowSink(), BackedUp()
    forwarder = make_forwarder(sink, generation)
    ended = await forwarder._pass_events(make_answer(come_late()))
    assert ended == ELSEWHERE
    assert sink.written == [b'id: 1\n\n', b'id: 2\n\n']
    assert generation.events == 2


async def test_new_link_has_its_own_time(autojump_clock) -> None:
    async def come(delay: float) -> AsyncIterator[bytes]:
        yield b'id: 1\n\n'
        await trio.sleep(delay)

    async def follow() -> AsyncIterator[bytes]:
        await trio.sleep(0.8)
        yield b'id: 2\n\n'

    # The clock of tests begins at 0, which stands for never.
    await trio.sleep(1)
    sink, generation = SlowSink(), BackedUp()
    forwarder = make_forwarder(sink, generation)
    await forwarder._pass_events(make_answer(come(5)))
    assert generation.left == 1
    await forwarder._pass_events(make_answer(follow()))
    assert generation.left == 1
    assert len(sink.written) == 2


async def test_instance_reads_pending_events_after_a_pause(
    autojump_clock,
) -> None:
    async def come() -> AsyncIterator[bytes]:
        yield b'id: 1\n\n'
        await trio.sleep(0.3)
        yield b'id: 2\n\n'

    await trio.sleep(1)
    sink, generation = SlowSink(), BackedUp()
    forwarder = make_forwarder(sink, generation)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(forwarder._pass_events, make_answer(come()))
        await trio.sleep(0.2)
        autojump_clock.jump(3)
    assert not generation.left
    assert len(sink.written) == 2


class Forgetful:
    """An engine that ended its requests and still serves reports."""

    async def report(self, address: str):
        return Success(EngineReport(0, 0, 0, 0))


class Ended(BackedUp):
    """A generation without a backup whose engine has ended it."""

    backup = ''

    async def lose_link(self, *, silent: SilentLink | None = None) -> None:
        """Return no engine to resume at."""
        self.left += 1


def make_forgotten(sink: SlowSink, generation: Ended) -> StreamForwarder:
    forwarder = make_forwarder(sink, generation)
    forwarder._ports.fleet.dispatch(
        EntryWritten(replace(ELSEWHERE, upstream='a'))
    )
    ports = replace(forwarder._ports, upstreams=Forgetful())
    forwarder._ports = ports
    forwarder._passer._ports = ports
    return forwarder


async def test_slow_caller_gets_the_complete_stream(
    autojump_clock,
) -> None:
    async def come() -> AsyncIterator[bytes]:
        for number in range(1, 9):
            yield b'id: %d\n\n' % number

    await trio.sleep(1)
    # Longer than two reports without the generation.
    sink, generation = SlowSink(takes=2.5), Ended()
    forwarder = make_forgotten(sink, generation)
    ended = await forwarder._pass_events(make_answer(come()))
    assert ended == StreamEnd.WHOLE
    assert len(sink.written) == 8
    assert not generation.left


async def test_link_of_an_ended_generation_is_abandoned(
    autojump_clock,
) -> None:
    async def come() -> AsyncIterator[bytes]:
        yield b'id: 1\n\n'
        await trio.sleep_forever()

    await trio.sleep(1)
    sink, generation = SlowSink(), Ended()
    forwarder = make_forgotten(sink, generation)
    with trio.fail_after(5):
        ended = await forwarder._pass_events(make_answer(come()))
    assert isinstance(ended, Broken)
    assert generation.left
