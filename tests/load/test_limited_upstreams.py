"""A rate limit that gives each instance less than one request per second.

A limit of 1.6 requests per second among 62 instances is one request in 39
seconds for each. Accumulated equal fractions are sent in one burst; integral
requests per second add up to less than the limit; either way, the share of an
instance without callers is unused. The bound is the platform's: in four
seconds 1.5 times the limit, and five requests more.
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

#: Minimum share of the limit that is used while callers are refused.
MIN_USED_SHARE = 0.8
LENT = 'permits, idle ones lent'


@pytest.mark.parametrize('limit', [0.3, 1.6, 6, 40])
@pytest.mark.parametrize('size', [1, 8, 62])
def test_limit_is_kept_and_used(size: int, limit: float) -> None:
    for demands in (
        spread_evenly(size, max(0.56, 4 * limit / size)),
        gather(size, max(4 * limit, size / 8)),
    ):
        # Long enough for several intervals of the lowest limit.
        outcome = Play(LENT, limit, demands, seconds=44).run()
        assert outcome.most <= outcome.allowed
        assert outcome.used >= MIN_USED_SHARE


def test_permits_add_up_to_the_limit() -> None:
    for limit in (0.1, 0.26, 0.49, 1.6, 3.1, 20, 70, 900):
        allotment = allot(limit)
        assert allotment.rate * 1000 == pytest.approx(limit, rel=0.02)
        assert allotment.permits <= 6 * limit + 1


def test_limit_of_zero_is_polled_at_a_low_rate() -> None:
    """Only a response shows that the limit has ended."""
    assert allot(0) == allot(0.1)
    assert allot(0).permits == 1


@pytest.mark.parametrize('way', ['each alone', 'equal part'])
def test_fractional_shares_break_the_bound(way: str) -> None:
    outcome = Play(way, 1.6, spread_evenly(62, 0.56)).run()
    assert outcome.most > outcome.allowed


def test_integral_requests_per_second_leave_the_limit_unused() -> None:
    demands = spread_evenly(62, 0.56)
    outcome = Play('whole requests a second', 1.6, demands).run()
    assert outcome.used < MIN_USED_SHARE


def test_idle_permits_are_lent_to_instances_with_callers() -> None:
    demands = gather(62, 24)
    assert Play('permits, not lent', 6, demands).run().used < MIN_USED_SHARE / 2
    assert Play(LENT, 6, demands).run().used >= MIN_USED_SHARE


def test_instance_with_unknown_demand_keeps_its_share() -> None:
    shares = redistribute_idle({'a': 8, 'b': 0, 'c': None, 'd': 8}, UPSTREAM, 8)
    assert shares['c'] == 2
    assert shares['b'] == 0
    assert sum(shares.values()) == 8
    unused = redistribute_idle({'a': 0, 'b': 0}, UPSTREAM, 7)
    assert sorted(unused.values()) == [3, 4]


def disturb(instances: list[Instance], now: int, random: Random) -> None:
    """Restart, pause or partition instances, or exchange their demand."""
    if now % LOOK_EVERY:
        return
    each = random.choice(instances)
    match random.randrange(5):
        case 0 if isinstance(each.gate, Permitted):
            # The instance restarts and receives the limit from its peers.
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
            for instance in instances:
                instance.side = 0


@pytest.mark.parametrize('limit', [1.6, 6])
@pytest.mark.parametrize('size', [8, 62])
def test_bound_holds_during_restarts_and_partitions(
    size: int, limit: float
) -> None:
    for seed in range(30 if size < 60 else 6):
        demands = gather(size, 6 * limit)
        outcome = Play(LENT, limit, demands, seed, event=disturb).run()
        assert outcome.most <= outcome.allowed, seed


def test_both_sides_of_a_partition_keep_to_their_shares() -> None:
    def cut(instances: list[Instance], now: int, _: Random) -> None:
        for number, each in enumerate(instances):
            each.side = int(now >= 8000) * (number % 2)

    for demands in (spread_evenly(8, 2), gather(8, 12)):
        outcome = Play(LENT, 3.1, demands, seconds=40, event=cut).run()
        assert outcome.most <= outcome.allowed
        later = [at for at in outcome.sent if at >= 16_000]
        assert len(later) <= 3.1 * 24 + 2


def test_compared_ways_exist() -> None:
    assert {LENT, 'each alone', 'equal part'} < WAYS.keys()
