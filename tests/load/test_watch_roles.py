"""Somebody watches the store, whatever instances say of themselves.

A seed picks instances, what their calls to the store meet, and when. Then those
that watch are turned away, and the store serves all others: a new version is in
force there in the platform's time.
"""

from collections.abc import Callable
from random import Random

import pytest
import trio

from cartdale.news.roles import MAX_FLAT_PEERS, WATCHING_DOMAINS
from tests.load.fleet import FleetInstance, SimulatedFleet
from tests.load.test_configuration_spread import run_domains

#: The platform's bound, in seconds.
APPLIED_SECONDS = 2
#: Share of the instances that the store may turn away.
AWAY_SHARE = 0.35
#: Seconds after which what an instance says of the store is true again.
WITHDRAWN_SECONDS = 6
#: Seconds for which a fault lasts, at most.
FAULT_SECONDS = 3

Fault = Callable[[FleetInstance, float], object]


async def cut(instance: FleetInstance, _: float) -> None:
    """Cut its watch, as the store may at any time."""
    instance.store.cut_watch()


async def refuse(instance: FleetInstance, seconds: float) -> None:
    """Turn its calls away for a time."""
    instance.store.refuses = True
    await trio.sleep(seconds)
    instance.store.refuses = False


async def hang(instance: FleetInstance, seconds: float) -> None:
    """Leave its calls without an answer for a time."""
    instance.store.trouble.store_hangs = True
    await trio.sleep(seconds)
    instance.store.trouble.store_hangs = False


async def cut_often(instance: FleetInstance, seconds: float) -> None:
    """Cut each watch as soon as it waits, for a time."""
    with trio.move_on_after(seconds):
        while True:
            instance.store.cut_watch()
            await trio.sleep(0.05)


FAULTS: tuple[Fault, ...] = (cut, refuse, hang, cut_often)


def list_watching(fleet: SimulatedFleet) -> list[FleetInstance]:
    return [each for each in fleet.instances if each.store.watches]


async def see_watching(fleet: SimulatedFleet) -> set[str]:
    """Return who watches; between two calls a watcher has none that waits."""
    seen: set[str] = set()
    for _ in range(20):
        seen |= {each.name for each in list_watching(fleet)}
        await trio.sleep(0.02)
    return seen


async def trouble_some(fleet: SimulatedFleet, generator: Random) -> None:
    """Let some calls fail, first those of who watches at the moment."""
    async with trio.open_nursery() as nursery:
        for _ in range(generator.randint(1, 6)):
            watching = list_watching(fleet)
            chosen = watching if generator.random() < 0.7 else fleet.instances
            for each in chosen:
                fault = generator.choice(FAULTS)
                seconds = generator.uniform(0.2, FAULT_SECONDS)
                nursery.start_soon(fault, each, seconds)
            await trio.sleep(generator.uniform(0.1, FAULT_SECONDS))


async def cut_all_watches(fleet: SimulatedFleet) -> None:
    """Cut the watches of all that watch, until each has had it or stays."""
    cut_names: set[str] = set()
    for _ in range(6):
        watching = list_watching(fleet)
        cut_names |= {each.name for each in watching}
        for each in watching:
            each.store.cut_watch()
        await trio.sleep(3)
        if len(cut_names) == len(fleet.instances):
            return


async def check_change_arrives(
    fleet: SimulatedFleet, watching: set[str]
) -> None:
    """Turn watchers away, and change the configuration."""
    most = int(AWAY_SHARE * len(fleet.instances))
    away = sorted(watching)[:most]
    for name in away:
        fleet.find(name).store.refuses = True
    await trio.sleep(1)
    fleet.configure(2)
    await trio.sleep(APPLIED_SECONDS)
    late = [
        each.name
        for each in fleet.instances
        if each.name not in away and each.fleet.table.version < 2
    ]
    assert not late


# Guards against watchers that nobody replaces, since the others say for a
# minute that the store fails them: one call of theirs had failed.
@pytest.mark.parametrize('seed', range(24))
async def test_change_arrives_whatever_instances_said(
    autojump_clock, seed: int
) -> None:
    generator = Random(seed)
    count = generator.choice((8, 12, MAX_FLAT_PEERS, MAX_FLAT_PEERS + 2, 30))
    async with run_domains(count) as fleet:
        await trouble_some(fleet, generator)
        await trio.sleep(WITHDRAWN_SECONDS)
        watching = await see_watching(fleet)
        assert watching
        await check_change_arrives(fleet, watching)


# Guards against the same where the store has only cut the watches of all, one
# after another.
@pytest.mark.parametrize('count', (8, 12, MAX_FLAT_PEERS + 2))
async def test_change_arrives_after_all_watches_were_cut(
    autojump_clock, count: int
) -> None:
    async with run_domains(count) as fleet:
        await cut_all_watches(fleet)
        await trio.sleep(2)
        await check_change_arrives(fleet, await see_watching(fleet))


# Guards against one failure domain that watches for all of a large system: its
# loss would delay every change.
async def test_domains_watch_again_after_their_watches_were_cut(
    autojump_clock,
) -> None:
    async with run_domains(MAX_FLAT_PEERS + 2) as fleet:
        await cut_all_watches(fleet)
        await trio.sleep(2)
        watching = await see_watching(fleet)
        domains = {
            fleet.find(name).peers.news.own.failure_domain for name in watching
        }
        assert len(domains) == WATCHING_DOMAINS


# Guards against an instance that tells the others for a minute that the store
# fails it, though the store answers it again.
async def test_store_that_answers_again_is_soon_not_called_lost(
    autojump_clock,
) -> None:
    async with run_domains(8) as fleet:
        turned_away = list_watching(fleet)
        for each in turned_away:
            each.store.refuses = True
        await trio.sleep(4)
        for each in turned_away:
            assert each.peers.lost_store()
            each.store.refuses = False
        await trio.sleep(WITHDRAWN_SECONDS)
        assert not any(each.peers.lost_store() for each in fleet.instances)
