"""The rush to a cold upstream: all instances would send at once.

A failure domain comes back cold, or an engine that just started looks idle to
everybody: tens of instances send there in the same moment. A cold upstream
bears some 25 requests a second (`coldPerS`), the bound allows half as much
again and five more, whatever the instances know of each other. Each instance
here sends whenever it may, which is the worst that a load can do.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from cartdale.clock import VirtualClock
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.choose import RequestNeeds
from cartdale.fleet.cold import ColdBound, ColdGate, find_quota
from cartdale.fleet.division import Participants
from cartdale.fleet.driver import Fleet
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import (
    EntriesListed,
    EntryWritten,
    EvacuationsReceived,
    UpstreamEntry,
)
from cartdale.routes.types import RoutingTable, ServiceSpec
from tests.test_fleet import ENGINE, make_entry

RATE, BOUND = 25.0, ColdBound(1.5, 5)
MOST = BOUND.count(RATE)
DOMAINS = ('east', 'north', 'west')
SPAN = 3000
UPSTREAM = 'i-cold'
#: Until an instance that starts knows who shares with it.
START = 1000


@dataclass
class Instance:
    """Send as often as a gate allows, as one instance would."""

    name: str
    domain: str
    gate: ColdGate = field(default_factory=ColdGate)
    ready_at: int = 0

    def list_others(self, names: tuple[str, ...]) -> None:
        around = tuple(sorted({*names, self.name}))
        self.gate.bound = BOUND
        self.gate.divide_among(
            Participants(self.name, self.domain, DOMAINS, around)
        )

    def try_send(self, now: int) -> bool:
        if now < self.ready_at or not self.gate.allows(UPSTREAM, RATE, now):
            return False
        self.gate.note(UPSTREAM, now)
        return True


def make_instances(size: int) -> list[Instance]:
    instances = [
        Instance(f'front-{number}', DOMAINS[number % len(DOMAINS)])
        for number in range(size)
    ]
    for each in instances:
        each.list_others(_around(instances, each))
    return instances


def _around(instances: list[Instance], own: Instance) -> tuple[str, ...]:
    return tuple(each.name for each in instances if each.domain == own.domain)


def restart(instances: list[Instance], now: int, random: Random) -> None:
    """Start one again: what it sent is forgotten."""
    number = random.randrange(len(instances))
    old = instances[number]
    new = Instance(old.name, old.domain, ready_at=now + START)
    new.list_others(_around(instances, old))
    instances[number] = new


def join(instances: list[Instance], now: int, random: Random) -> None:
    """Add one that the others hear of some time later, or never."""
    domain = random.choice(DOMAINS)
    new = Instance(f'new-{now}', domain, ready_at=now + START)
    new.list_others(_around(instances, new))
    instances.append(new)


def learn(instances: list[Instance], now: int, random: Random) -> None:
    """Let one hear of all around it."""
    each = random.choice(instances)
    each.list_others(_around(instances, each))


def count_most(sent: list[int]) -> int:
    """Return the most that came within any second."""
    most, first = 0, 0
    for last, at in enumerate(sent):
        while at - sent[first] >= 1000:
            first += 1
        most = max(most, last - first + 1)
    return most


def play(size: int, seed: int) -> int:
    """Return the most requests in a second under restarts and joins."""
    random = Random(seed)
    instances = make_instances(size)
    events = [restart, restart, learn, join]
    joined = 0
    sent: list[int] = []
    for now in range(0, SPAN, 20):
        if random.random() < 0.1:
            event: Callable = random.choice(events)
            joined += event is join
            # More than these can't come within the seconds that a list lags.
            if event is not join or joined <= max(1, size // 40):
                event(instances, now, random)
        random.shuffle(instances)
        sent.extend(now for each in instances if each.try_send(now))
    return count_most(sent)


@pytest.mark.parametrize('size', [1, 8, 62, 195])
def test_bound_holds_over_all_instances(size: int) -> None:
    plays = 600 if size < 60 else 60
    assert max(play(size, seed) for seed in range(plays)) <= MOST


@pytest.mark.parametrize('size', [8, 62, 195])
def test_parts_add_up_to_what_is_divided(size: int) -> None:
    instances = make_instances(size)
    sent = sum(each.try_send(0) for each in instances for _ in range(MOST))
    assert MOST / 2 <= sent <= MOST


def test_shares_by_who_is_believed_alive_break_the_bound() -> None:
    """Compare with a part for each that is heard of: cut off, all double."""
    size = 62
    whole = max(MOST // size, 1) * size
    assert whole > MOST
    # With 8 instances the parts are whole numbers, until half are cut off.
    assert 8 * (MOST // 4) > MOST


def test_both_sides_of_a_partition_divide_alike() -> None:
    """Lists are the store's: nobody leaves them by falling silent."""
    instances = make_instances(62)
    quotas = {
        each.name: find_quota(
            Participants(
                each.name, each.domain, DOMAINS, _around(instances, each)
            ),
            UPSTREAM,
            MOST,
        )
        for each in instances
    }
    assert sum(quotas.values()) <= MOST


def test_nothing_passes_before_it_is_known_who_shares() -> None:
    gate = ColdGate()
    gate.bound = BOUND
    assert not gate.allows(UPSTREAM, RATE, 0)
    assert gate.allows(UPSTREAM, 0, 0)


def make_fleet(clock: VirtualClock, *entries: UpstreamEntry) -> Fleet:
    fleet = Fleet(clock, 'west', 1)
    spec = ServiceSpec('s', '/', 100, ENGINE, cold_start=1000, cold_rate=RATE)
    fleet.table = RoutingTable(version=1, services_by_name={'s': spec})
    fleet.cold_gate.bound = BOUND
    fleet.cold_gate.divide_among(Participants('front-1', 'west', ('west',), ()))
    fleet.dispatch(EntriesListed(entries))
    return fleet


def choose_many(fleet: Fleet, times: int = 100) -> dict[str, int]:
    """Return how many choices fell on each upstream in one moment."""
    counts: dict[str, int] = {}
    for _ in range(times):
        chosen = fleet.choose(RequestNeeds('s', prompt=10, expected=10))
        if chosen is not None:
            name = chosen.entry.upstream
            counts[name] = counts.get(name, 0) + 1
    return counts


def share_alone(fleet: Fleet) -> None:
    participants = Participants('front-1', 'west', ('west',), ('front-1',))
    fleet.cold_gate.divide_among(participants)


def test_choices_spare_a_cold_upstream_and_use_the_warm_one() -> None:
    clock = VirtualClock()
    cold = make_entry('cold', slots=1000, cold_for=5000)
    fleet = make_fleet(clock, cold, make_entry('warm', slots=1000))
    assert choose_many(fleet) == {'warm': 100}
    share_alone(fleet)
    assert choose_many(fleet, 1000).get('cold', 0) <= MOST
    clock.advance(5000)
    assert choose_many(fleet)['cold'] > 10


def test_upstream_turns_cold_again_and_tells_so() -> None:
    clock = VirtualClock()
    fleet = make_fleet(clock, make_entry('only', slots=1000))
    clock.advance(10_000)
    assert choose_many(fleet) == {'only': 100}
    again = make_entry('only', slots=1000, cold_for=700)
    fleet.dispatch(EntryWritten(again))
    assert not choose_many(fleet)
    clock.advance(600)
    # Peers repeat what they read; it does not begin anew.
    fleet.dispatch(EntryWritten(again, from_peer=True))
    clock.advance(100)
    assert choose_many(fleet) == {'only': 100}


def test_whole_domain_may_be_cold_when_its_evacuation_ends() -> None:
    clock = VirtualClock()
    fleet = make_fleet(clock, make_entry('only', slots=1000))
    fleet.dispatch(EvacuationsReceived((Evacuation('west', 5),)))
    assert not choose_many(fleet)
    fleet.dispatch(EvacuationsReceived((Evacuation('west', 6, active=False),)))
    assert not choose_many(fleet)
    clock.advance(1000)
    assert choose_many(fleet) == {'only': 100}


def test_what_waits_for_its_connection_is_counted_as_it_is_sent() -> None:
    """Placed over two seconds, all arrive when the path is free again."""
    clock = VirtualClock()
    fleet = make_fleet(clock, make_entry('cold', slots=1000, cold_for=60_000))
    share_alone(fleet)
    placed = choose_many(fleet)['cold']
    clock.advance(1000)
    placed += choose_many(fleet)['cold']
    advisories = AdvisoryRecorder(fleet, clock)
    sent = sum(
        not advisories.must_withhold('cold', resumes=False)
        for _ in range(placed)
    )
    assert placed > MOST
    assert MOST / 2 <= sent <= MOST
