"""Generations that move to another engine, or lose theirs, on real sockets.

Guards against responses that are incomplete or generated twice when an engine
drains, dies, goes silent or forgets a request.
"""

import httpx
import pytest
import trio

from cartdale.moves.estimates import Departure
from cartdale_standins.platform_engine import STRIDE
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    draft,
    draft_meanwhile,
    find_runner,
    open_platform,
    until,
    whole,
)

#: Tokens of drafts that move: about three seconds, so that on a busy machine
#: they don't end before they have moved.
LONG = 800
#: Tokens of a draft that is too short for a backup.
SHORT = 80
#: Maximum time until a caller gets a response to a request that its engine has
#: forgotten: far less than the 15 s of its timeout, also on a busy machine.
NOTICED_SECONDS = 10
#: Announced remaining time that is long enough for any move.
LEAVES_MS = 9000


async def test_generation_moves_off_an_engine_that_drains() -> None:
    async with open_platform(engines=1) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert target.resumed_by_request['r1'] == 1
        assert not target.memory.events_by_handle


async def test_engine_whose_entry_shows_no_notice_is_queried() -> None:
    async with open_platform(engines=1) as stage:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1', 4000)
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.leaves_ms = LEAVES_MS
            await until(lambda: target.resumed_by_request['r1'])
            nursery.cancel_scope.cancel()
    assert source.reports_asked


async def test_generation_that_is_ordered_to_move_repeatedly_moves_once() -> (
    None
):
    async with open_platform(engines=1) as stage:
        async with (
            draft_meanwhile(stage, 'r1', LONG) as answers,
            trio.open_nursery() as nursery,
        ):
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            generation = stage.runtimes[0].mover.list_generations()[0]
            source.copy_seconds = 0.02
            soon = Departure(until=10**9)
            for _ in range(3):
                nursery.start_soon(generation.leave, soon)
            stage.drain(source)
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert target.resumed_by_request['r1'] == 1
        # One or more copies while the link is busy, then one that stops the
        # generation; no two at a time.
        assert not source.conflicts
        stops = source.stops_by_request['r1']
        assert len(stops) >= 2
        assert stops.index(True) == len(stops) - 1


async def test_generation_resumes_from_its_backup() -> None:
    async with open_platform(engines=2) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            source.die()
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1


async def test_generation_moves_once_the_engine_of_its_backup_has_left() -> (
    None
):
    async with open_platform(engines=2) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            kept = next(each for each in stage.engines if each is not source)
            assert 'r1' in kept.memory.backed_up
            target = stage.add_engine()
            await stage.settle()
            stage.drain(kept)
            kept.memory.backed_up.clear()
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
            await until(lambda: target.resumed_by_request['r1'])
            source.die()
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1


async def test_generation_without_a_target_does_not_delay_others() -> None:
    async with open_platform(engines=1) as stage:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1', 4000)
            source = await find_runner(stage, 'r1')
            fleet = stage.runtimes[0].fleet
            assert fleet.load_at(source.name).awaiting_copy == 1
            stage.drain(source)
            await until(lambda: not fleet.load_at(source.name).awaiting_copy)
            nursery.cancel_scope.cancel()


async def test_generation_that_ends_as_it_is_stopped_is_complete() -> None:
    async with open_platform(engines=1) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.stream_faults.end_before_stop = True
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert True in source.stops_by_request['r1']
        assert not target.resumed_by_request['r1']


async def test_generation_behind_a_silent_link_resumes_elsewhere() -> None:
    async with open_platform(engines=1) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.stream_faults.withhold_events = True
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert target.resumed_by_request['r1'] == 1


# Guards against two engines that work on one generation: its first engine runs
# on behind a link that fell silent while the generation was copied.
async def test_source_behind_a_silent_link_stops_before_its_copy_resumes() -> (
    None
):
    async with open_platform(engines=1) as stage:
        async with draft_meanwhile(stage, 'r1', 2 * LONG) as answers:
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            # Each renewal is so slow that another one follows.
            source.copy_seconds = 0.2
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
            await until(lambda: target.copies_received)
            source.stream_faults.withhold_events = True
            await until(lambda: target.resumed_by_request['r1'])
            stops = list(source.stops_by_request['r1'])
        assert True in stops
        assert answers[0].content == whole('r1', 2 * LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert target.resumed_by_request['r1'] == 1


# Guards against a copy that resumes though its source answers that it runs on.
async def test_copy_of_a_run_that_its_source_does_not_stop_is_not_resumed() -> (
    None
):
    async with open_platform(engines=1) as stage:
        with pytest.raises(ExceptionGroup) as caught:
            await submit_to_stuck_source(stage)
        assert caught.group_contains(httpx.RemoteProtocolError)
        assert count_runs(stage, 'r1') == 1
        assert not any(each.resumed_by_request for each in stage.engines)
        assert stage.engines[0].conflicts > 1


async def submit_to_stuck_source(stage: PlatformStage) -> None:
    """Submit a draft whose engine is busy with a copy as its link ends."""
    with trio.fail_after(NOTICED_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1', 4000)
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.copy_seconds = 0.2
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
            await until(lambda: target.copies_received)
            source.copy_gate = trio.Event()
            source.stream_faults.withhold_events = True


async def test_frozen_engine_is_waited_for() -> None:
    async with open_platform(engines=1) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            stage.add_engine()
            await stage.settle()
            source.driver.frozen = True
            await trio.sleep(1.5)
            source.driver.frozen = False
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert not any(each.resumed_by_request for each in stage.engines)


# Guards against a request that its second engine runs from the start: nothing
# shows that the engine which died had begun to fill the backup.
async def test_run_whose_engine_dies_before_its_head_is_not_resumed() -> None:
    async with open_platform(engines=2) as stage:
        for each in stage.engines:
            each.stream_faults.withhold_headers = True
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            for each in stage.engines:
                each.stream_faults.withhold_headers = False
            source.die()
        assert answers[0].status_code == 502
        assert count_runs(stage, 'r1') == 1
        assert (
            sum('r1' in each.resumed_by_request for each in stage.engines) == 0
        )
        assert sum(len(each.arrivals) for each in stage.engines) == 1


async def test_request_that_its_engine_forgot_fails_early() -> None:
    async with open_platform(engines=1) as stage:
        stage.engines[0].stream_faults.lose_requests = True
        with trio.fail_after(NOTICED_SECONDS):
            answer = await draft(stage, 'r1')
        # It may have run: its outcome is unknown, and it is not retried.
        assert answer.status_code == httpx.codes.BAD_GATEWAY
        assert count_runs(stage, 'r1') == 1


async def test_request_that_may_repeat_runs_where_it_is_not_forgotten() -> None:
    async with open_platform(engines=2) as stage:
        for each in stage.engines:
            each.stream_faults.lose_requests = True
        async with draft_meanwhile(stage, 'r1', SHORT, '/tag/a') as answers:
            await until(lambda: count_runs(stage, 'r1'))
            for each in stage.engines:
                each.stream_faults.lose_requests = False
        assert answers[0].content == whole('r1', SHORT // STRIDE)
        assert count_runs(stage, 'r1') == 2


async def test_request_that_runs_without_a_head_is_waited_for() -> None:
    async with open_platform(engines=1) as stage:
        engine = stage.engines[0]
        engine.stream_faults.withhold_headers = True
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            await until(lambda: engine.reports_asked > 3)
            engine.stream_faults.withhold_headers = False
        assert answers[0].content == whole('r1', LONG // STRIDE)


async def test_copy_of_a_generation_that_ended_is_freed() -> None:
    async with open_platform(engines=1) as stage:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1', 4000)
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.copy_gate = trio.Event()
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
            await until(lambda: source.stops_by_request)
            # The caller leaves while the copy is in progress.
            nursery.cancel_scope.cancel()
        mover = stage.runtimes[0].mover
        await until(lambda: not mover.list_generations())
        source.copy_gate.set()
        await until(lambda: target.copies_freed)
        assert target.copies_received == 1
        assert not target.memory.events_by_handle


async def test_draining_engine_is_not_queried_repeatedly() -> None:
    async with open_platform(engines=2) as stage:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1', 2000)
            # Engines are queried before they drain, too.
            source = await find_runner(stage, 'r1', tokens=4 * STRIDE)
            stage.drain(source)
            # The generation has a backup and stays for ten checks.
            await trio.sleep(3)
            nursery.cancel_scope.cancel()
        assert source.reports_asked <= 3


async def test_stream_without_a_backup_is_cut_not_completed() -> None:
    async with open_platform(engines=1) as stage:
        failures: list[type] = []

        async def request_draft() -> None:
            try:
                await draft(stage, 'r1')
            except httpx.RemoteProtocolError as error:
                failures.append(type(error))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request_draft)
            source = await find_runner(stage, 'r1')
            source.die()
        assert failures == [httpx.RemoteProtocolError]
        assert count_runs(stage, 'r1') == 1
