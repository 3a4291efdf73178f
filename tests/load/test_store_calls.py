"""The calls of a whole fleet to the store: at a start, in calm, in a storm.

Each call is priced by the platform, and its rate is bounded: 16,000 reads and
3,200 writes a second for all 195 instances of the largest fleet that runs.
"""

import math
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from cartdale.fleet.types import Lifecycle
from cartdale.news.roles import WATCHING_DOMAINS
from tests.load.fleet import WIDE_LINKS, LinkCapacity, SimulatedFleet

SIZES = (30, 100)
#: Instances that may read once more, since they heard of nobody for a while.
FEW = 4
#: Seconds that a start takes until everybody has heard everybody around.
SETTLED = 8


@asynccontextmanager
async def run_fleet(
    count: int, links: LinkCapacity = WIDE_LINKS
) -> AsyncIterator[SimulatedFleet]:
    async with trio.open_nursery() as nursery:
        fleet = SimulatedFleet(count, nursery, links=links)
        fleet.list_engine('engine-0')
        fleet.start_all()
        await trio.sleep(SETTLED)
        yield fleet
        nursery.cancel_scope.cancel()


def count_watchers(fleet: SimulatedFleet) -> int:
    return sum(each.peers.news.is_watcher() for each in fleet.instances)


@pytest.mark.parametrize('count', (30, 195))
async def test_start_of_all_costs_each_a_few_calls(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        first = fleet.take_calls()
        assert count_watchers(fleet) == WATCHING_DOMAINS
        assert set(fleet.list_versions()) == {1}
        # A lease, a listing, a read, and at the first start of all a proposal
        # of the cluster's key.
        assert first['grant'] == count
        assert first['read'] <= count + FEW
        assert first['write'] <= 2 * count
        assert first['watch'] <= 60
        fleet.stop_all()
        await trio.sleep(1)
        fleet.start_all()
        await trio.sleep(SETTLED)
        again = fleet.take_calls()
        assert again['grant'] == again['write'] == count
        assert again['read'] <= count + FEW
        assert again['watch'] <= 60
        assert count_watchers(fleet) == WATCHING_DOMAINS


@pytest.mark.parametrize('count', SIZES)
async def test_calm_costs_the_same_for_any_number(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        fleet.take_calls()
        await trio.sleep(10)
        calm = fleet.take_calls()
    # Two instances hold a watch of two seconds each; all renew their leases,
    # the more seldom the more they are.
    assert calm['watch'] <= 2 * WATCHING_DOMAINS * 5
    assert calm['renew'] <= 10 * 16 + count
    assert set(calm) <= {'watch', 'renew'}


@pytest.mark.parametrize('count', SIZES)
async def test_changes_cost_a_call_for_each_watcher_and_reach_all(
    autojump_clock, count: int
) -> None:
    async with run_fleet(count) as fleet:
        fleet.take_calls()
        for version in range(2, 14):
            fleet.configure(version)
            await trio.sleep(0.33)
        fleet.list_engine('engine-0', 'draining')
        began = trio.current_time()
        while not all(leaves(each.fleet) for each in fleet.instances):
            await trio.sleep(0.005)
        told_after = trio.current_time() - began
        await trio.sleep(1)
        storm = fleet.take_calls()
        assert set(fleet.list_versions()) == {13}
    assert storm['watch'] <= WATCHING_DOMAINS * (13 + 4)
    assert not storm['read']
    # An engine that is reclaimed gives 1.5 s of notice.
    assert told_after <= 0.25


async def test_who_is_turned_away_leaves_the_store_to_others(
    autojump_clock,
) -> None:
    async with run_fleet(60) as fleet:
        turned_away = fleet.instances[::3]
        for each in turned_away:
            each.store.refuses = True
        fleet.take_calls()
        await trio.sleep(9)
        fleet.configure(2)
        await trio.sleep(2)
        assert set(fleet.list_versions()) == {2}
        calls = fleet.take_calls()
        for each in turned_away:
            each.store.refuses = False
        await trio.sleep(5)
        assert count_watchers(fleet) == WATCHING_DOMAINS
    # A third asks in vain, each once in three seconds at the most.
    assert calls['read'] <= len(turned_away) * math.ceil(11 / 3)


async def test_store_that_answers_nobody_is_asked_by_a_few(
    autojump_clock,
) -> None:
    async with run_fleet(60) as fleet:
        for each in fleet.instances:
            each.store.refuses = True
        fleet.take_calls()
        await trio.sleep(6)
        calls: Counter[str] = fleet.take_calls()
        for each in fleet.instances:
            each.store.refuses = False
        fleet.configure(2)
        began = trio.current_time()
        while set(fleet.list_versions()) != {2}:
            await trio.sleep(0.01)
        assert trio.current_time() - began <= 2
    assert calls['read'] <= 60 * 3


def leaves(fleet) -> bool:
    known = fleet.find('engine-0')
    return known is not None and known.lifecycle is Lifecycle.LEAVING
