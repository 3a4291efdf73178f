"""Departures that come beside stops, configurations and an outage of the store.

Guards against requests to an upstream that leaves, and against requests that
are lost, where an instance has something else to do at that moment: kept
connections, of which requests wait, run or are placed.
"""

from collections.abc import Callable
from types import MappingProxyType
from typing import Final

import httpx
import pytest
import trio

from cartdale.store.types import Put
from cartdale_standins.platform_entries import describe_upstream
from cartdale_standins.platform_store import PlatformStoreFaults
from tests.odd_values import replace_field
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    make_configuration,
    make_headers,
    open_platform,
    until,
)

#: Half of the time after which nothing may reach an upstream that leaves.
BOUND_SECONDS = 1
CALLERS = 8
#: From the departure until after the end of an instance that stops.
AFTER_SECONDS = 4
#: Between what is done as an instance stops.
STEP_SECONDS = 0.5
WORK_SECONDS = 0.05
#: So few that requests wait for room.
SLOTS = 2
CONFIGURATIONS = 20
LEAVING_NAME = 'plain-0'
DRAINING = describe_upstream('portal', '127.0.0.1:9', state='draining')


def write(stage: PlatformStage, raw: bytes) -> None:
    stage.store.state.transact((), (Put(f'servers/{LEAVING_NAME}', raw),))


def drain(stage: PlatformStage) -> None:
    stage.store.put(f'servers/{LEAVING_NAME}', DRAINING)


def drain_oddly(stage: PlatformStage) -> None:
    write(stage, replace_field(DRAINING, 'zone', 'null'))


def pause(stage: PlatformStage) -> None:
    write(stage, replace_field(DRAINING, 'state', '"leaving"'))


def remove(stage: PlatformStage) -> None:
    stage.store.remove(f'servers/{LEAVING_NAME}')


def announce(stage: PlatformStage) -> None:
    stage.plains[0].leaving = True


async def stop_one(stage: PlatformStage) -> None:
    stage.runtimes[0].leave()
    await stage.stopped[0].wait()


async def configure(stage: PlatformStage) -> None:
    for version in range(2, CONFIGURATIONS + 2):
        stage.store.put('op/config', make_configuration(version))
        stage.runtimes[0].reload()
        await trio.sleep(0.1)


async def lose_store(stage: PlatformStage) -> None:
    await trio.sleep(0.2)
    stage.store.faults = PlatformStoreFaults(busy=True)
    await trio.sleep(AFTER_SECONDS / 2)
    stage.store.faults = PlatformStoreFaults()


async def stop_without_store(stage: PlatformStage) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose_store, stage)
        nursery.start_soon(stop_one, stage)


DEPARTURES: Final = MappingProxyType(
    {
        'draining': drain,
        'draining-oddly': drain_oddly,
        'undefined-state': pause,
        'removed': remove,
        'announced': announce,
    }
)


async def narrow(stage: PlatformStage, name: str) -> None:
    """Have an upstream take a few requests at once."""
    known = [runtime.fleet.find(name) for runtime in stage.runtimes]
    entry = known[0].entry
    narrowed = describe_upstream(
        'portal', entry.address, slots=SLOTS, born=entry.born
    )
    stage.store.put(f'servers/{name}', narrowed)
    await until(
        lambda: all(
            runtime.fleet.find(name).entry.slots == SLOTS
            for runtime in stage.runtimes
        )
    )


async def press(
    stage: PlatformStage,
    index: int,
    name: str,
    lost: list[str],
    path: str = '/cut/a',
) -> None:
    """Send requests over one kept connection until its instance ends."""
    number = 0
    async with httpx.AsyncClient(timeout=10) as client:
        while not stage.stopped[index].is_set():
            number += 1
            request_id = f'{name}-{number}'
            try:
                answer = await client.post(
                    stage.url(path, index),
                    headers=make_headers(request_id),
                    content=b'x',
                )
            except httpx.ConnectError:
                await trio.sleep(0.05)
            except httpx.TransportError:
                # Closed as the request crossed it, if nothing ran.
                if count_runs(stage, request_id):
                    lost.append(request_id)
            else:
                if answer.status_code != httpx.codes.OK:
                    lost.append(f'{request_id} {answer.status_code}')


@pytest.mark.parametrize(
    'change',
    [configure, stop_without_store],
    ids=lambda change: change.__name__,
)
@pytest.mark.parametrize('leave', DEPARTURES.values(), ids=DEPARTURES)
async def test_nothing_late_and_nothing_lost(
    leave: Callable[[PlatformStage], None], change: Callable
) -> None:
    lost: list[str] = []
    async with open_platform(engines=0, plains=2, instances=2) as stage:
        news = [runtime.peers.news for runtime in stage.runtimes]
        await until(lambda: all(each.count_alive() == 2 for each in news))
        for plain in stage.plains:
            plain.speed.work_seconds = WORK_SECONDS
            await narrow(stage, plain.name)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(
                    press, stage, number % 2, f'caller-{number}', lost
                )
            await until(lambda: all(each.arrivals for each in stage.plains))
            nursery.start_soon(change, stage)
            leave(stage)
            left_at = trio.current_time()
            await trio.sleep(AFTER_SECONDS)
            # How soon depends on the processor time that the stage gets.
            await until(lambda: len(stage.plains[1].arrivals) > CALLERS * 10)
            nursery.cancel_scope.cancel()
        at = [seen.at for seen in stage.plains[0].arrivals]
        assert min(at) < left_at
        assert max(at) <= left_at + BOUND_SECONDS
    assert not lost


async def test_upstreams_that_end_cost_nothing_else_at_a_stop() -> None:
    # Guards against requests that are lost, or refused, as their upstream ends
    # while their instance leaves and the store is away.
    lost: list[str] = []
    async with open_platform(
        engines=0, plains=3, instances=1, proxied=True
    ) as stage:
        for plain in stage.plains:
            plain.speed.work_seconds = WORK_SECONDS
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                path = '/look/a' if number % 2 else '/cut/a'
                name = f'{path}-{number}'
                nursery.start_soon(press, stage, 0, name, lost, path)
            await trio.sleep(STEP_SECONDS)
            stage.store.faults = PlatformStoreFaults(busy=True)
            stage.runtimes[0].leave()
            for plain in stage.plains[:2]:
                await trio.sleep(STEP_SECONDS)
                plain.crash('a crash')
            await stage.stopped[0].wait()
            nursery.cancel_scope.cancel()
    # What ran there and may not be repeated is told so.
    assert all(
        each.startswith('/cut/') and each.endswith(' 502') for each in lost
    )
