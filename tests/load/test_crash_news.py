"""How soon a whole fleet knows of a request that ends upstreams.

Pattern: three instances in three failure domains each see one upstream end
under the same request, and its caller sends it on to any other. Platforms
allow three seconds; news take a placement's time.
"""

import pytest
import trio

from cartdale.quarantine.decide import CRASHES_TO_QUARANTINE
from cartdale.quarantine.types import Crash, RanOn, UpstreamEnded
from tests.load.fleet import FleetInstance
from tests.load.test_news_age import KNOWN_ELSEWHERE, measure
from tests.load.test_store_calls import run_fleet

IDENTITY = b'i' * 16
#: A crash goes from one domain to another, whose count then goes on from there.
KNOWN_EVERYWHERE = 2 * KNOWN_ELSEWHERE


def holds(each: FleetInstance) -> bool:
    return each.fleet.quarantine.is_quarantined(IDENTITY)


def is_free(each: FleetInstance) -> bool:
    return not holds(each)


@pytest.mark.parametrize('count', [8, 62, 195])
async def test_crashes_that_three_saw_add_up_everywhere(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        fleet.take_calls()
        for number, each in enumerate(fleet.instances[:CRASHES_TO_QUARANTINE]):
            crash = Crash(IDENTITY, f'engine-{number}', 1)
            each.fleet.quarantine.dispatch(UpstreamEnded(crash))
        assert await measure(fleet.instances, holds) <= KNOWN_EVERYWHERE
        last = fleet.instances[-1].fleet.quarantine
        last.dispatch(RanOn(IDENTITY, fleet.clock.now()))
        assert await measure(fleet.instances, is_free) <= KNOWN_EVERYWHERE


@pytest.mark.parametrize('count', [8, 62])
async def test_one_instance_writes_what_lasts(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        seen = fleet.instances[0].fleet.quarantine
        before = fleet.state.revision
        for number in range(CRASHES_TO_QUARANTINE):
            crash = Crash(IDENTITY, f'engine-{number}', 1)
            seen.dispatch(UpstreamEnded(crash))
        await measure(fleet.instances, holds)
        await trio.sleep(1)
        keys = [
            change.key
            for change in fleet.state.history
            if change.mod_revision > before
        ]
        assert [key for key in keys if 'quarantine' in key] == [
            f'cartdale/quarantine/{IDENTITY.hex()}'
        ]
