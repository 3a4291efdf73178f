"""Work for a caller that disconnects ends, whatever its state."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
import trio

from cartdale_standins.platform_engine import PlatformEngine
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    draft,
    find_runner,
    make_draft,
    open_platform,
    until,
)

#: Maximum time in seconds that an upstream works on after the caller left.
BOUND = 0.5
LONG = 1200
LEAVES_MS = 9000


@asynccontextmanager
async def draft_and_leave(
    stage: PlatformStage, path: str = '/draft/a'
) -> AsyncIterator[None]:
    """Request a long draft; the caller disconnects at the context's end."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(draft, stage, 'r1', LONG, path)
        yield
        nursery.cancel_scope.cancel()


async def within_bound(holds: Callable[[], object]) -> None:
    with trio.fail_after(BOUND):
        await until(holds)


def is_running(engine: PlatformEngine) -> bool:
    return 'r1' in engine.driver.records_by_generation


def is_forgotten(stage: PlatformStage) -> bool:
    """Tell whether the instance no longer holds the request."""
    runtime = stage.runtimes[0]
    return (
        not runtime.mover.list_generations() and not runtime.fleet.loads.own()
    )


async def test_caller_of_a_request_that_waits_for_room() -> None:
    async with open_platform(engines=0) as stage:
        async with draft_and_leave(stage):
            await until(lambda: stage.runtimes[0].mover.list_generations())
        await within_bound(lambda: is_forgotten(stage))
        stage.add_engine()
        await stage.settle()
        await trio.sleep(0.1)
        assert not count_runs(stage, 'r1')


async def test_caller_of_a_running_generation() -> None:
    async with open_platform() as stage:
        async with draft_and_leave(stage):
            engine = await find_runner(stage, 'r1')
        await within_bound(lambda: not is_running(engine))
        await within_bound(lambda: is_forgotten(stage))


@pytest.mark.parametrize('stops', [False, True])
async def test_caller_of_a_generation_that_is_copied(stops: bool) -> None:
    async with open_platform() as stage:
        async with draft_and_leave(stage):
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            if not stops:
                # The copy outlasts the bound.
                source.copy_gate = trio.Event()
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
            await until(lambda: source.stops_by_request)
            if stops:
                await until(lambda: True in source.stops_by_request['r1'])
        await within_bound(lambda: not is_running(source))
        await within_bound(lambda: not is_running(target))
        await within_bound(lambda: is_forgotten(stage))


async def test_caller_of_a_generation_that_went_on_elsewhere() -> None:
    async with open_platform() as stage:
        async with draft_and_leave(stage):
            source = await find_runner(stage, 'r1')
            target = stage.add_engine()
            await stage.settle()
            source.leaves_ms = LEAVES_MS
            stage.drain(source)
            await until(lambda: is_running(target))
        await within_bound(lambda: not is_running(target))
        await within_bound(lambda: is_forgotten(stage))


async def test_caller_of_a_stream_that_runs_again() -> None:
    async with open_platform() as stage:
        async with draft_and_leave(stage, '/tag/a'):
            first = await find_runner(stage, 'r1')
            second = stage.add_engine()
            await stage.settle()
            first.die()
            await until(lambda: is_running(second))
        await within_bound(lambda: not is_running(second))
        await within_bound(lambda: is_forgotten(stage))


async def test_stand_in_drops_a_request_whose_connection_closes() -> None:
    """Before its head too, as engines do; else it seems to run twice."""
    async with open_platform(engines=1, plains=0, instances=0) as stage:
        engine = stage.engines[0]
        engine.stream_faults.withhold_headers = True
        with trio.move_on_after(0.3):
            await stage.client.post(
                f'http://{engine.address}/draft/a',
                headers=make_draft('r1'),
                content=b'brief',
            )
        await until(lambda: not engine.driver.records_by_generation)
