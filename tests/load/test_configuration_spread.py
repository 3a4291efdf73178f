"""How soon each version is in force at every instance, in virtual time.

With three failure domains, two have the watchers of the store; the third hears
of versions from the other domains alone.
"""

import zlib
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from cartdale.clock import Millis
from tests.load.fleet import (
    AT_ONCE,
    WIDE_LINKS,
    LinkCapacity,
    SimulatedFleet,
    make_entry,
)
from tests.load.fleet import DOMAINS as ALL_DOMAINS
from tests.load.test_large_configuration import NARROW, ROUTES
from tests.load.test_news_age import measure

DOMAINS = ('kilimani', 'westlands', 'upperhill')
#: In which a version must be in force everywhere while nothing fails.
IN_FORCE_WITHIN: Millis = 1000
#: The platform's bound for 24 to 62 instances.
APPLIED_WITHIN: Millis = 3000
#: Seconds after the last start, and between two versions.
SETTLED = 3
VERSION_EVERY = 2


@asynccontextmanager
async def run_domains(
    count: int,
    delays_by_name: Mapping[str, float] = AT_ONCE,
    domains: tuple[str, ...] = DOMAINS,
    links: LinkCapacity = WIDE_LINKS,
) -> AsyncIterator[SimulatedFleet]:
    """Run a fleet in its failure domains, once all have started."""
    async with trio.open_nursery() as nursery:
        fleet = SimulatedFleet(count, nursery, domains, links)
        fleet.start_all(delays_by_name)
        nursery.start_soon(forbid_older_versions, fleet)
        await trio.sleep(max(delays_by_name.values(), default=0) + SETTLED)
        yield fleet
        nursery.cancel_scope.cancel()


async def forbid_older_versions(fleet: SimulatedFleet) -> None:
    """Fail once an instance serves an older version than it did."""
    served_by_name: Counter[str] = Counter()
    while True:
        for each in fleet.instances:
            version = each.fleet.table.version
            assert not 0 < version < served_by_name[each.name], each.name
            served_by_name[each.name] = max(version, served_by_name[each.name])
        await trio.sleep(0.02)


def delay_all_but_last_two(
    count: int, delay: float, domains: tuple[str, ...] = DOMAINS
) -> dict[str, float]:
    """Return delays with which two of each domain start first.

    They are the last in the order of names, and so speak for their domain.
    """
    names = list_names(count, domains)
    first: set[str] = set()
    for domain in domains:
        own = [name for name in names if domain in name]
        first.update(sorted(own, key=hash_name)[-2:])
    return {name: 0 if name in first else delay for name in names}


def list_names(count: int, domains: tuple[str, ...] = DOMAINS) -> list[str]:
    return [
        make_entry(number, domains[number % len(domains)]).name
        for number in range(count)
    ]


def hash_name(name: str) -> int:
    return zlib.crc32(name.encode())


async def measure_version(
    fleet: SimulatedFleet, version: int, more_routes: int = 0
) -> Millis:
    """Return how long a new version takes to be in force everywhere."""
    fleet.configure(version, more_routes)
    took = await measure(
        fleet.list_running(), lambda each: each.fleet.table.version >= version
    )
    await trio.sleep(max(0, VERSION_EVERY - took / 1000))
    return took


# What publishers said of themselves while few were listed outlived its time:
# a failure domain without a watcher heard of versions and fetched none.
async def test_domain_without_watcher_follows_after_a_spread_start(
    autojump_clock: trio.testing.MockClock,
) -> None:
    delays_by_name = delay_all_but_last_two(24, 4)
    async with run_domains(24, delays_by_name) as fleet:
        for version in (2, 3, 4):
            assert await measure_version(fleet, version) <= IN_FORCE_WITHIN


# The news go to all up to 16 others and to the own domain beyond, and who
# starts in between has heard some of them in both ways.
@pytest.mark.parametrize('count,seconds', [(16, 10), (17, 30)])
async def test_version_is_in_force_after_starts_of_half_a_minute(
    autojump_clock: trio.testing.MockClock, count: int, seconds: int
) -> None:
    generator = Random(count)
    delays_by_name = {
        name: generator.uniform(0, seconds) for name in list_names(count)
    }
    async with run_domains(count, delays_by_name) as fleet:
        for version in (2, 3):
            assert await measure_version(fleet, version) <= IN_FORCE_WITHIN


# A failure domain without a watcher heard of versions and fetched none.
@pytest.mark.parametrize(
    'count,domains', [(62, DOMAINS), (195, ALL_DOMAINS)], ids=['62', '195']
)
async def test_version_is_in_force_in_a_large_fleet(
    autojump_clock: trio.testing.MockClock,
    count: int,
    domains: tuple[str, ...],
) -> None:
    delays_by_name = delay_all_but_last_two(count, 1, domains)
    async with run_domains(count, delays_by_name, domains) as fleet:
        assert await measure_version(fleet, 2) <= IN_FORCE_WITHIN


# Instances that stay tell all others again, and later their domain alone.
async def test_version_is_in_force_in_a_fleet_that_shrinks_and_grows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with run_domains(24) as fleet:
        assert await measure_version(fleet, 2) <= IN_FORCE_WITHIN
        leaving = list_names(24)[14:]
        for name in leaving:
            await fleet.leave(name)
        for version in (3, 4):
            assert await measure_version(fleet, version) <= IN_FORCE_WITHIN
        for name in leaving:
            fleet.restart(name)
        await trio.sleep(SETTLED)
        for version in (5, 6):
            assert await measure_version(fleet, version) <= IN_FORCE_WITHIN


# All hear of the next version while they fetch one, on links that a document
# fills for a while.
async def test_second_version_is_in_force_while_the_first_is_fetched(
    autojump_clock: trio.testing.MockClock,
) -> None:
    delays_by_name = delay_all_but_last_two(24, 4)
    async with run_domains(24, delays_by_name, links=NARROW) as fleet:
        fleet.configure(2, ROUTES)
        await trio.sleep(0.1)
        assert await measure_version(fleet, 3, ROUTES) <= APPLIED_WITHIN


# All instances of a domain must not fetch a document from other domains, while
# the one that was addressed there does.
async def test_document_crosses_to_each_domain_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with run_domains(62) as fleet:
        fleet.network.messages.clear()
        await measure_version(fleet, 2)
    assert 1 <= fleet.network.messages['documents across'] <= len(DOMAINS)
