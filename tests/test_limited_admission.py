"""Callers of a service whose upstreams all name rate limits."""

import pytest
import trio

from cartdale.clock import Millis, SystemClock
from cartdale.fleet.choose import RequestNeeds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.limit_gate import LimitParticipants
from cartdale.fleet.rate_limits import RateLimit
from cartdale.fleet.types import EntryWritten, LimitAdvertised, RequestEnded
from cartdale.relay.admission import Admission, NoCapacity, Waiting
from tests.test_fleet import make_entry

NEED = RequestNeeds('s')
#: The only instance, and one of two that hear nothing of each other.
ALONE = LimitParticipants('i', '', {'': None}, {'i': None})
SIZE = 300


def make_limited(
    clock: SystemClock, *limits: float, participants: LimitParticipants = ALONE
) -> Fleet:
    """Return a fleet whose upstreams name these limits, infinite for none."""
    fleet = Fleet(clock, 'west', 1)
    now = clock.now()
    fleet.limits.gate.divide_among(participants, now)
    for number, per_second in enumerate(limits):
        fleet.dispatch(EntryWritten(make_entry(f'u{number}', slots=1000)))
        named = RateLimit(per_second, now, now)
        fleet.dispatch(LimitAdvertised(f'u{number}', named))
    return fleet


def spend(fleet: Fleet, upstream: str) -> bool:
    """Send a request to an upstream, if that may be."""
    now = SystemClock().now()
    return fleet.limits.gate.spend(upstream, now, resumes=False)


async def place_many(
    fleet: Fleet, count: int, patience: Millis
) -> tuple[list[Millis], list[NoCapacity]]:
    """Place requests at one moment; return the waits and the refusals."""
    clock = SystemClock()
    admission = Admission(fleet, clock, 1)
    waits: list[Millis] = []
    refusals: list[NoCapacity] = []

    async def place(number: int) -> None:
        now = clock.now()
        waiting = Waiting(f'r{number}', NEED, 0, now, now + patience)
        placed = await admission.place(waiting)
        if isinstance(placed, NoCapacity):
            refusals.append(placed)
        else:
            spend(fleet, placed.entry.upstream)
            waits.append(clock.now() - now)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(place, number)
    return waits, refusals


async def test_who_will_be_served_in_time_waits_and_others_do_not(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = make_limited(SystemClock(), 2)
    began = trio.current_time()
    waits, refusals = await place_many(fleet, 30, patience=2600)
    assert len(waits) == 5
    assert len(refusals) == 25
    # Spread as the limit says: one in half a second.
    assert [round(wait / 500) for wait in sorted(waits)] == [1, 2, 3, 4, 5]
    assert trio.current_time() - began < 2.7


async def test_refused_callers_return_one_after_another(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = make_limited(SystemClock(), 4)
    _, refusals = await place_many(fleet, 20, patience=100)
    returns = sorted(each.retry_after for each in refusals)
    steps = [after - before for before, after in zip(returns, returns[1:])]
    assert len(refusals) == 20
    assert min(returns) >= 250
    assert min(steps) >= 250


async def test_nobody_waits_where_this_instance_has_no_part(
    autojump_clock: trio.testing.MockClock,
) -> None:
    names = [f'i{number}' for number in range(SIZE)]
    around = dict.fromkeys(names)
    participants = [
        LimitParticipants(name, '', {'': None}, around) for name in names
    ]
    clock = SystemClock()
    fleets = [
        make_limited(clock, 1.6, participants=each) for each in participants
    ]
    without = [each for each in fleets if not each.limits.gate.count_rate()]
    assert len(without) > SIZE - 10
    began = trio.current_time()
    waits, refusals = await place_many(without[0], 3, patience=5000)
    assert not waits
    assert trio.current_time() == began
    assert min(each.retry_after for each in refusals) >= 500
    assert without[0].find_unavailable_reason(NEED) == 'limited'


async def test_others_take_what_a_limited_upstream_does_not(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = make_limited(SystemClock(), 0.5, float('inf'))
    waits, refusals = await place_many(fleet, 50, patience=100)
    assert not refusals
    assert max(waits) == 0


async def test_a_free_permit_is_used_although_another_upstream_is_better(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Only an answer tells that a limit has ended.

    What counted against the upstream kept all requests away: a failed one is
    forgotten only as others succeed, so that instances whose callers found
    room elsewhere kept the limit for a minute after its end.
    """
    fleet = make_limited(SystemClock(), 0.5, float('inf'))
    fleet.dispatch(RequestEnded('u0', good=False, reached=True))
    sent = 0
    for _ in range(200):
        chosen = fleet.choose(NEED)
        assert chosen is not None
        sent += chosen.entry.upstream == 'u0'
        assert fleet.spend(chosen, resumes=False)
        await trio.sleep(0.1)
    assert 0.8 * 10 <= sent <= 10


async def test_what_fails_often_is_not_asked_for_the_end_of_its_limit(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = make_limited(SystemClock(), 0.5, float('inf'))
    for _ in range(8):
        fleet.dispatch(RequestEnded('u0', good=False, reached=True))
    await trio.sleep(5)
    chosen = fleet.choose(NEED)
    assert chosen is not None
    assert chosen.entry.upstream == 'u1'


@pytest.mark.parametrize('lowered', [1.6, 0])
async def test_a_limit_that_falls_holds_from_then_on(
    lowered: float, autojump_clock: trio.testing.MockClock
) -> None:
    clock = SystemClock()
    fleet = make_limited(clock, 6)
    await trio.sleep(6)
    placed, _ = await place_many(fleet, 50, patience=0)
    assert placed
    now = clock.now()
    fleet.dispatch(LimitAdvertised('u0', RateLimit(lowered, now, now)))
    sent = 0
    for _ in range(400):
        waits, _ = await place_many(fleet, 1, patience=0)
        sent += len(waits)
        await trio.sleep(0.01)
    assert sent <= lowered * 4 + 1
