"""Generations that change their engine, or lose it, over real sockets."""

import httpx
import trio

from cartdale.moves.estimates import Departure
from cartdale_standins.platform_engine import STRIDE
from tests.platform_stage import (
    count_runs,
    draft,
    draft_meanwhile,
    find_runner,
    open_platform,
    until,
    whole,
)

#: Tokens of drafts that move: about three seconds, so that a busy machine
#: does not end them before they do.
LONG = 800
#: Tokens of a draft that is too short for a backup.
SHORT = 80
#: Longest until a caller hears of a request that its engine has forgotten: far
#: less than the 15 s that it would wait, also on a busy machine.
NOTICED_SECONDS = 10
#: An engine that tells so much is not gone before anything can move.
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


async def test_engine_whose_entry_does_not_tell_is_asked() -> None:
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


async def test_generation_that_is_told_twice_to_move_moves_once() -> None:
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
        # One copy or a few while the link is busy, and one that stops it;
        # no two at a time.
        assert not source.conflicts
        stops = source.stops_by_request['r1']
        assert len(stops) >= 2
        assert stops.index(True) == len(stops) - 1


async def test_generation_goes_on_from_its_backup() -> None:
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


async def test_generation_without_room_elsewhere_is_not_waited_for() -> None:
    async with open_platform(engines=1) as stage:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1', 4000)
            source = await find_runner(stage, 'r1')
            fleet = stage.runtimes[0].fleet
            assert fleet.load_at(source.name).awaiting_copy == 1
            stage.drain(source)
            await until(lambda: not fleet.load_at(source.name).awaiting_copy)
            nursery.cancel_scope.cancel()


async def test_generation_that_ends_as_it_is_stopped_is_whole() -> None:
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


async def test_generation_goes_on_by_another_link_when_one_is_silent() -> None:
    async with open_platform(engines=1) as stage:
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.stream_faults.withhold_events = True
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1
        assert target.resumed_by_request['r1'] == 1


async def test_engine_that_is_silent_itself_is_waited_for() -> None:
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


async def test_generation_whose_engine_dies_before_its_head_goes_on() -> None:
    async with open_platform(engines=2) as stage:
        for each in stage.engines:
            each.stream_faults.withhold_headers = True
        async with draft_meanwhile(stage, 'r1', LONG) as answers:
            source = await find_runner(stage, 'r1')
            for each in stage.engines:
                each.stream_faults.withhold_headers = False
            source.die()
        assert answers[0].content == whole('r1', LONG // STRIDE)
        assert count_runs(stage, 'r1') == 1


async def test_request_that_its_engine_forgot_is_not_waited_for() -> None:
    async with open_platform(engines=1) as stage:
        stage.engines[0].stream_faults.lose_requests = True
        with trio.fail_after(NOTICED_SECONDS):
            answer = await draft(stage, 'r1')
        # It may have run: nothing is promised, and nobody runs it again.
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
            # The caller leaves while the copy is under way.
            nursery.cancel_scope.cancel()
        mover = stage.runtimes[0].mover
        await until(lambda: not mover.list_generations())
        source.copy_gate.set()
        await until(lambda: target.copies_freed)
        assert target.copies_received == 1
        assert not target.memory.events_by_handle


async def test_engine_that_drains_is_not_asked_over_and_over() -> None:
    async with open_platform(engines=2) as stage:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1', 2000)
            source = await find_runner(stage, 'r1')
            stage.drain(source)
            # The generation has a backup and stays for ten sweeps.
            await trio.sleep(3)
            nursery.cancel_scope.cancel()
        assert source.reports_asked <= 3


async def test_stream_without_a_backup_is_cut_not_completed() -> None:
    async with open_platform(engines=1) as stage:
        failures: list[type] = []

        async def ask() -> None:
            try:
                await draft(stage, 'r1')
            except httpx.RemoteProtocolError as error:
                failures.append(type(error))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            source = await find_runner(stage, 'r1')
            source.die()
        assert failures == [httpx.RemoteProtocolError]
        assert count_runs(stage, 'r1') == 1
