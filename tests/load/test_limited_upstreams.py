"""A rate limit before so many instances that each has less than one request.

A limit of 1.6 a second before 62 instances is one request in 39 seconds for
each. Equal parts that are saved up come all at once; whole requests a second
are fewer than the limit; either is unused while callers are elsewhere. The
bound is the platform's: in four seconds half as much again, and five more.
"""

from random import Random

import pytest

from cartdale.fleet.division import redistribute_idle
from cartdale.fleet.limit_gate import LimitGate
from cartdale.fleet.permits import allot
from tests.load.limited import (
    LOOK_EVERY,
    UPSTREAM,
    WAYS,
    Instance,
    Permitted,
    Play,
    gather,
    spread_evenly,
)

#: Of the limit that is used at the least while callers are refused.
USED = 0.8
LENT = 'permits, idle ones lent'


@pytest.mark.parametrize('limit', [0.3, 1.6, 6, 40])
@pytest.mark.parametrize('size', [1, 8, 62])
def test_limit_is_kept_and_used(size: int, limit: float) -> None:
    for demands in (
        spread_evenly(size, max(0.56, 4 * limit / size)),
        gather(size, max(4 * limit, size / 8)),
    ):
        # Long enough for a few spans of the lowest limit.
        outcome = Play(LENT, limit, demands, seconds=44).run()
        assert outcome.most <= outcome.allowed
        assert outcome.used >= USED


def test_permits_add_up_to_the_limit() -> None:
    for limit in (0.1, 0.26, 0.49, 1.6, 3.1, 20, 70, 900):
        allotment = allot(limit)
        assert allotment.rate * 1000 == pytest.approx(limit, rel=0.02)
        assert allotment.permits <= 6 * limit + 1


def test_a_limit_of_nothing_is_asked_again_once_in_a_while() -> None:
    """Only an answer can tell that it has ended."""
    assert allot(0) == allot(0.1)
    assert allot(0).permits == 1


@pytest.mark.parametrize('way', ['each alone', 'equal part'])
def test_parts_that_are_not_whole_requests_break_the_bound(way: str) -> None:
    outcome = Play(way, 1.6, spread_evenly(62, 0.56)).run()
    assert outcome.most > outcome.allowed


def test_whole_requests_a_second_leave_most_unused() -> None:
    demands = spread_evenly(62, 0.56)
    outcome = Play('whole requests a second', 1.6, demands).run()
    assert outcome.used < USED


def test_idle_permits_are_lent_to_who_has_callers() -> None:
    demands = gather(62, 24)
    assert Play('permits, not lent', 6, demands).run().used < USED / 2
    assert Play(LENT, 6, demands).run().used >= USED


def test_who_is_not_heard_of_keeps_its_part() -> None:
    parts = redistribute_idle({'a': 8, 'b': 0, 'c': None, 'd': 8}, UPSTREAM, 8)
    assert parts['c'] == 2
    assert parts['b'] == 0
    assert sum(parts.values()) == 8
    unused = redistribute_idle({'a': 0, 'b': 0}, UPSTREAM, 7)
    assert sorted(unused.values()) == [3, 4]


def disturb(instances: list[Instance], now: int, random: Random) -> None:
    """Restart, freeze and move the callers of some, and cut them apart."""
    if now % LOOK_EVERY:
        return
    each = random.choice(instances)
    match random.randrange(5):
        case 0 if isinstance(each.gate, Permitted):
            # It starts again, and is told the limit by its peers.
            each.gate.gate = LimitGate()
            each.gate.begin(now)
        case 1:
            each.frozen = not each.frozen
        case 2:
            other = random.choice(instances)
            each.demand, other.demand = other.demand, each.demand
        case 3:
            each.side = random.randrange(2)
        case 4:
            for everyone in instances:
                everyone.side = 0


@pytest.mark.parametrize('limit', [1.6, 6])
@pytest.mark.parametrize('size', [8, 62])
def test_bound_holds_while_instances_come_go_and_are_cut(
    size: int, limit: float
) -> None:
    for seed in range(30 if size < 60 else 6):
        demands = gather(size, 6 * limit)
        outcome = Play(LENT, limit, demands, seed, event=disturb).run()
        assert outcome.most <= outcome.allowed, seed


def test_both_sides_of_a_partition_keep_to_their_parts() -> None:
    def cut(instances: list[Instance], now: int, _: Random) -> None:
        for number, each in enumerate(instances):
            each.side = int(now >= 8000) * (number % 2)

    for demands in (spread_evenly(8, 2), gather(8, 12)):
        outcome = Play(LENT, 3.1, demands, seconds=40, event=cut).run()
        assert outcome.most <= outcome.allowed
        later = [at for at in outcome.sent if at >= 16_000]
        assert len(later) <= 3.1 * 24 + 2


def test_ways_are_all_played() -> None:
    assert {LENT, 'each alone', 'equal part'} < WAYS.keys()
