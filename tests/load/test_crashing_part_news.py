"""Time until a whole fleet knows of a prompt part that crashes engines.

Pattern: each of some instances observes the crash of one engine, each on
another request, and all of these prompts share a part. Requests with the part
come at any instance. Platforms allow three seconds from the fifth crash on.
"""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import pytest
import trio

from cartdale.clock import SECOND_MS, Millis, as_seconds
from tests.load.fleet import FleetInstance, SimulatedFleet
from tests.load.test_store_calls import run_fleet
from tests.part_evidence import (
    make_prompt,
    observe_crash,
    observe_survival,
    refuses,
)

SIZES = (8, 73, 195)
SMALL_SIZES = (8, 73)
DEADLY = 'dead0001'
FIRST = '5c1e07a2'
OTHER_FIRST = '7700aa11'
COMMON = 'c0110001'
#: Parts of sound prompts, of one or several at a time.
SOUND = ((FIRST,), (COMMON,), (FIRST, COMMON), (OTHER_FIRST, COMMON))
CRASHES_TO_REFUSE = 5
#: Aim, well within what platforms allow.
KNOWN_ON_ALL_INSTANCES: Millis = SECOND_MS
#: Time in which an instance that restarts must know.
KNOWN_AFTER_RESTART: Millis = 3 * SECOND_MS
#: Between two crashes, and between two survivals at an instance, in seconds.
CRASH_PAUSE = 0.5
SURVIVAL_PAUSE = 0.5
#: How long sound requests are watched afterwards, in seconds.
WATCHED = 3
_POLL_SECONDS = 0.02


def refuses_part(each: FleetInstance) -> bool:
    """Return whether it refuses new requests with the part in any place."""
    quarantine = each.fleet.quarantine
    return all(
        refuses(quarantine, make_prompt(*shared))
        for shared in ((FIRST, DEADLY, COMMON), (DEADLY,))
    )


def list_sound_refusals(fleet: SimulatedFleet) -> list[tuple[str, ...]]:
    return [
        shared
        for each in fleet.instances
        for shared in SOUND
        if refuses(each.fleet.quarantine, make_prompt(*shared))
    ]


async def serve_sound(instances: Iterable[FleetInstance]) -> None:
    """Let instances see sound requests survive, for ever."""
    while True:
        for each in instances:
            for shared in ((FIRST, COMMON), (OTHER_FIRST, COMMON)):
                observe_survival(each.fleet.quarantine, make_prompt(*shared))
        await trio.sleep(SURVIVAL_PAUSE)


@asynccontextmanager
async def run_busy_fleet(
    count: int, serving: int
) -> AsyncIterator[SimulatedFleet]:
    """Run a fleet of which so many instances get sound requests."""
    async with run_fleet(count) as fleet, trio.open_nursery() as nursery:
        nursery.start_soon(serve_sound, fleet.instances[:serving])
        await trio.sleep(1)
        yield fleet
        nursery.cancel_scope.cancel()


async def crash_engines(
    fleet: SimulatedFleet, crashes: int = CRASHES_TO_REFUSE
) -> None:
    """Let one instance after another see a crash on a request of its own."""
    step = len(fleet.instances) // CRASHES_TO_REFUSE
    for number in range(crashes):
        await trio.sleep(CRASH_PAUSE)
        quarantine = fleet.instances[number * step].fleet.quarantine
        if refuses_part(fleet.instances[number * step]):
            return
        prompt = make_prompt(FIRST, DEADLY, COMMON)
        observe_crash(quarantine, f'engine-{number}', prompt)


async def wait_until_refused(fleet: SimulatedFleet, bound: Millis) -> None:
    """Wait until all instances refuse the part, as long as they may take."""
    waiting = fleet.instances
    deadline = trio.current_time() + as_seconds(bound)
    while waiting and trio.current_time() < deadline:
        await trio.sleep(_POLL_SECONDS)
        waiting = [each for each in waiting if not refuses_part(each)]
    names = [each.name for each in waiting]
    assert not names


async def check_part_only(fleet: SimulatedFleet) -> None:
    """Check that all refuse the part in time, and nothing else."""
    await wait_until_refused(fleet, KNOWN_ON_ALL_INSTANCES)
    for _ in range(WATCHED):
        assert not list_sound_refusals(fleet)
        await trio.sleep(1)


@pytest.mark.parametrize('count', SIZES)
async def test_crashes_on_a_part_add_up_on_all_instances(
    autojump_clock, count: int
) -> None:
    async with run_busy_fleet(count, serving=count) as fleet:
        await crash_engines(fleet)
        await check_part_only(fleet)


@pytest.mark.parametrize('count', SMALL_SIZES)
async def test_instances_without_sound_requests_refuse_the_part_only(
    autojump_clock, count: int
) -> None:
    """Only some instances know that the other parts are harmless."""
    async with run_busy_fleet(count, serving=3) as fleet:
        await crash_engines(fleet)
        await check_part_only(fleet)


@pytest.mark.parametrize('count', SMALL_SIZES)
async def test_crashes_after_several_at_one_moment_add_up(
    autojump_clock, count: int
) -> None:
    """Engines of a failure domain that is lost crash at one moment, too."""
    async with run_busy_fleet(count, serving=count) as fleet:
        for number, each in enumerate(fleet.instances[:CRASHES_TO_REFUSE]):
            prompt = make_prompt(FIRST, DEADLY, COMMON)
            observe_crash(each.fleet.quarantine, f'early-{number}', prompt)
        assert not list_sound_refusals(fleet)
        await crash_engines(fleet, CRASHES_TO_REFUSE - 1)
        await check_part_only(fleet)


@pytest.mark.parametrize('count', SMALL_SIZES)
async def test_instance_that_restarts_refuses_the_part(
    autojump_clock, count: int
) -> None:
    async with run_busy_fleet(count, serving=count) as fleet:
        await crash_engines(fleet)
        await wait_until_refused(fleet, KNOWN_ON_ALL_INSTANCES)
        fleet.restart(fleet.instances[-1].name)
        await wait_until_refused(fleet, KNOWN_AFTER_RESTART)
        assert not list_sound_refusals(fleet)
