"""Generations whose engine ran out of memory and reads them anew later.

Guards against one generation that two engines work on: an engine denies a run
that waits in its queue, just as one that has ended.
"""

from contextlib import suppress

import pytest
import trio

from cartdale.fleet.types import UpstreamEntry
from cartdale.relay import generation
from cartdale.relay.targets import choose_target
from cartdale_standins.platform_engine import (
    STRIDE,
    PlatformEngine,
    preempt,
    read_anew,
)
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    draft_meanwhile,
    find_runner,
    open_platform,
    until,
    whole,
)

#: About three seconds of tokens.
LONG = 800
#: Longer than an engine may be silent while its caller still waits.
PREEMPTED_SECONDS = 3.5
#: Longest time without an event after which callers of the stage give up.
CALLER_SECONDS = 8


def reset_connections(engine: PlatformEngine) -> None:
    """Reset an engine's connections, as a path that breaks for a moment."""
    engine.crashes.on_crash()
    engine.crashes.on_restart()


def list_workers(stage: PlatformStage, request_id: str) -> list[str]:
    return [each.name for each in stage.engines if each.has(request_id)]


def count_resumed(stage: PlatformStage, request_id: str) -> int:
    return sum(each.resumed_by_request[request_id] for each in stage.engines)


async def watch_workers(stage: PlatformStage, most: list[int]) -> None:
    """Note the maximum number of engines that have a request at once."""
    while True:
        most[0] = max(most[0], len(list_workers(stage, 'r1')))
        await trio.sleep(0.005)


# Guards against a move of a generation that waits behind a sound connection.
async def test_preempted_generation_goes_on_at_its_engine() -> None:
    async with open_platform(engines=2) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            source.stream_faults.works_on = True
            preempt(source, 'r1')
            await trio.sleep(PREEMPTED_SECONDS)
            assert list_workers(stage, 'r1') == [source.name]
            read_anew(source, 'r1')
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert not count_resumed(stage, 'r1')


# Guards against an order to stop that is given once, while the run waits: the
# engine works on it for nobody, and its caller loses a stream that could go on.
@pytest.mark.parametrize('waits', [0, 1, PREEMPTED_SECONDS])
async def test_preempted_generation_behind_a_reset_moves_once_it_runs(
    waits: float,
) -> None:
    most = [0]
    async with open_platform(engines=2, proxied=True) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            stage.nursery.start_soon(watch_workers, stage, most)
            source.stream_faults.works_on = True
            preempt(source, 'r1')
            reset_connections(source)
            await trio.sleep(waits)
            assert list_workers(stage, 'r1') == [source.name]
            read_anew(source, 'r1')
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert source.stops_by_request['r1'][-1]
        assert not source.has('r1')
        assert most == [1]


# Guards against a silent connection that hides that a run was read anew.
async def test_preempted_generation_behind_a_silent_link_moves() -> None:
    most = [0]
    async with open_platform(engines=2) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            stage.nursery.start_soon(watch_workers, stage, most)
            source.stream_faults.works_on = True
            source.stream_faults.withhold_events = True
            preempt(source, 'r1')
            await trio.sleep(PREEMPTED_SECONDS)
            assert list_workers(stage, 'r1') == [source.name]
            read_anew(source, 'r1')
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert most == [1]


# Guards against a stream that is cut, while its engine works on it for nobody,
# since no other engine has room for it: its own may go on with it.
@pytest.mark.parametrize('preempted', [True, False])
async def test_generation_without_room_elsewhere_goes_on_at_its_engine(
    monkeypatch: pytest.MonkeyPatch, *, preempted: bool
) -> None:
    def choose_any(*asked: object, full: bool = False) -> UpstreamEntry | None:
        return choose_target(*asked, full=full) if full else None

    monkeypatch.setattr(generation, 'choose_target', choose_any)
    monkeypatch.setattr(generation, '_choose_backup', lambda *_: None)
    async with open_platform(engines=2, proxied=True) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            source.stream_faults.works_on = True
            source.stream_faults.full = True
            if preempted:
                preempt(source, 'r1')
            reset_connections(source)
            await trio.sleep(1)
            if preempted:
                read_anew(source, 'r1')
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert source.resumed_by_request['r1'] == 1


# Guards against a generation that ended at an engine where others wait: whether
# it waits there too can't be told, so that it must not go on elsewhere; nor may
# its caller be held to its time limit.
async def test_generation_that_may_wait_is_cut_while_its_caller_waits() -> None:
    async with open_platform(engines=2, proxied=True) as stage:
        async with trio.open_nursery() as nursery:
            failed = trio.Event()
            nursery.start_soon(_draft_until_cut, stage, failed)
            source = await find_runner(stage, 'r1')
            source.memory.preempted.add('r2')
            reset_connections(source)
            with trio.fail_after(CALLER_SECONDS + 4):
                await failed.wait()
        assert not count_resumed(stage, 'r1')


async def _draft_until_cut(stage: PlatformStage, failed: trio.Event) -> None:
    with pytest.raises(ExceptionGroup):
        async with draft_meanwhile(stage, 'r1', LONG):
            await trio.sleep(0)
    failed.set()


# Guards against a run that is taken for one that waits since its engine started
# anew at its address, and others wait there already.
async def test_generation_of_an_engine_that_restarted_goes_on_at_once() -> None:
    async with open_platform(engines=2, proxied=True) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            source.forget()
            source.crashes.born += 1
            source.memory.preempted.add('r2')
            reset_connections(source)
            with trio.fail_after(3):
                await until(lambda: len(list_workers(stage, 'r1')))
        assert answers[0].content == whole('r1', LONG // STRIDE)


# Guards against a run that goes on at its backup while its engine, which
# answers otherwise, works on: the orders to stop it are not let in.
@pytest.mark.parametrize('closed_for', [1.5, CALLER_SECONDS])
async def test_generation_whose_engine_lets_no_order_in_stays_there(
    closed_for: float,
) -> None:
    most = [0]
    async with open_platform(engines=2, proxied=True) as stage:
        async with trio.open_nursery() as nursery:
            ended = trio.Event()
            nursery.start_soon(_draft_to_its_end, stage, ended)
            source = await find_runner(stage, 'r1')
            stage.nursery.start_soon(watch_workers, stage, most)
            source.stream_faults.works_on = True
            source.stream_faults.breaks_off_moves = True
            reset_connections(source)
            with trio.move_on_after(closed_for):
                await ended.wait()
            source.stream_faults.breaks_off_moves = False
            with trio.fail_after(CALLER_SECONDS):
                await ended.wait()
        assert most == [1]
        assert count_runs(stage, 'r1') == 1


async def _draft_to_its_end(stage: PlatformStage, ended: trio.Event) -> None:
    with suppress(ExceptionGroup):
        async with draft_meanwhile(stage, 'r1', LONG):
            await trio.sleep(0)
    ended.set()
