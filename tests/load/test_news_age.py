"""Age of news when it is used, over a whole fleet in virtual time.

Covers two patterns. Several instances place prompts in the same tenth of a
second: an instance without news of the others' choices picks the same engine,
which processes one prompt after another. And an operator evacuates a failure
domain, which must be in force on all instances within seconds, also while the
store rejects the instances that watch it for the others.
"""

from collections.abc import Callable, Iterator

import pytest
import trio

from cartdale.clock import Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.relay.occupancy import Occupancy
from cartdale.store.types import Put, Removed
from tests.load.fleet import DOMAINS, FleetInstance
from tests.load.test_store_calls import run_fleet
from tests.test_targets import make_routed

ENGINE = UpstreamEntry('engine-0', 'writers', 'engine-0:1', DOMAINS[0], 24)
#: Time in which domain peers must know of a placement: the transit of a message
#: and the interval between two messages of one sender in a failure domain of up
#: to 40 instances.
KNOWN_IN_DOMAIN: Millis = 80
#: The same for other failure domains, which get sums through two instances.
KNOWN_IN_OTHER_DOMAINS: Millis = 300
#: Time in which an evacuation is in force on all instances: 3 of 5 seconds are
#: left for connections being established and for slow machines.
EVACUATED_WITHIN: Millis = 2000
EVACUATION = 'op/evacuate/kilimani'


async def measure(
    instances: list[FleetInstance],
    is_known: Callable[[FleetInstance], object],
) -> Millis:
    """Return the time until the condition holds on all instances."""
    began = trio.current_time()
    with trio.fail_after(20):
        while not all(is_known(each) for each in instances):
            await trio.sleep(0.005)
    return int((trio.current_time() - began) * 1000)


def split(
    instances: list[FleetInstance], own: FleetInstance
) -> Iterator[list[FleetInstance]]:
    """Return the domain peers of an instance, and the instances elsewhere."""
    domain = own.peers.news.own.failure_domain
    for is_domain_peer in (True, False):
        yield [
            each
            for each in instances
            if each is not own
            and (each.peers.news.own.failure_domain == domain) == is_domain_peer
        ]


def knows_run(each: FleetInstance) -> bool:
    return each.fleet.load_at(ENGINE.upstream).runs > 0


@pytest.mark.parametrize('count', [8, 62, 195])
async def test_placement_is_published_at_once(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        own = fleet.instances[-1]
        domain_peers, elsewhere = split(fleet.instances, own)
        occupancy = Occupancy(own.fleet, make_routed(900), 4)
        occupancy.assign(ENGINE)
        assert await measure(domain_peers, knows_run) <= KNOWN_IN_DOMAIN
        assert await measure(elsewhere, knows_run) <= KNOWN_IN_OTHER_DOMAINS


def knows_evacuation(each: FleetInstance) -> bool:
    return bool(each.fleet.list_evacuated())


def knows_end(each: FleetInstance) -> bool:
    return not each.fleet.list_evacuated()


@pytest.mark.parametrize('count', [8, 62])
async def test_evacuation_is_in_force_on_all_instances(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        fleet.state.transact((), (Put(EVACUATION, b'{}'),))
        took = await measure(fleet.instances, knows_evacuation)
        assert took <= EVACUATED_WITHIN
        fleet.state.transact((), (Removed(EVACUATION, 0),))
        assert await measure(fleet.instances, knows_end) <= EVACUATED_WITHIN


@pytest.mark.parametrize('count', [8, 62])
async def test_evacuation_reaches_instances_that_the_store_rejects(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        for each in fleet.instances:
            each.store.refuses = each.peers.news.is_watcher()
        await trio.sleep(0.3)
        fleet.state.transact((), (Put(EVACUATION, b'{}'),))
        took = await measure(fleet.instances, knows_evacuation)
        assert took <= 2 * EVACUATED_WITHIN


async def test_store_outage_does_not_end_the_evacuation(
    autojump_clock,
) -> None:
    async with run_fleet(30) as fleet:
        fleet.state.transact((), (Put(EVACUATION, b'{}'),))
        await measure(fleet.instances, knows_evacuation)
        for each in fleet.instances:
            each.store.refuses = True
        await trio.sleep(5)
        assert all(knows_evacuation(each) for each in fleet.instances)
