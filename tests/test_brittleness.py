"""Limits that are derived for brittle upstreams."""

import httpcore
import pytest

from cartdale.clock import VirtualClock
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.brittleness import (
    find_brittle_limit,
    find_lowest_limit,
    lower_limit,
    parse_tolerance,
)
from cartdale.fleet.division import Share
from cartdale.fleet.driver import Fleet
from cartdale.fleet.limit_gate import LimitParticipants
from cartdale.fleet.permits import Permits, allot
from cartdale.fleet.rate_limits import UNLIMITED, RateLimit
from cartdale.fleet.types import Advisory, EntryWritten, UpstreamEntry
from cartdale.platform.exchanges import read_advisory

NAME = 'i-brittle'
BRITTLE = Advisory(limit=float('inf'), tolerance=4)
REJECTED = Advisory(limit=float('inf'), tolerance=4, rejected=True)


def make_fleet(clock: VirtualClock) -> Fleet:
    fleet = Fleet(clock, 'west', seed=1)
    entry = UpstreamEntry(NAME, 'portal', '10.0.0.1:80', 'west', 6)
    fleet.dispatch(EntryWritten(entry))
    return fleet


def find_limit(fleet: Fleet) -> RateLimit:
    return fleet.find(NAME).rate_limit


@pytest.mark.parametrize(
    ('raw', 'tolerance'),
    [(b'', None), (b'x', None), (b'3', 3), (b'0', 0), (b'-1', 0)],
)
def test_tolerance_is_a_number(raw: bytes, tolerance: int | None) -> None:
    assert parse_tolerance(raw) == tolerance


def test_header_is_read_from_any_response() -> None:
    headers = [(b'Server-Brittle', b'5'), (b'Not-Executed', b'1')]
    advisory = read_advisory(httpcore.Response(503, headers=headers))
    assert advisory.tolerance == 5
    assert advisory.rejected
    assert read_advisory(httpcore.Response(200)).tolerance is None


def test_limit_is_below_what_its_slots_can_run() -> None:
    limit = find_brittle_limit(UNLIMITED, 6, 100, tolerance=3)
    assert 20 < limit < 60
    known = RateLimit(12, paced=True)
    assert find_brittle_limit(known, 6, 100, tolerance=3) == 12


def test_limit_is_not_lowered_below_what_may_all_be_rejected() -> None:
    assert lower_limit(2, tolerance=4) == 2
    assert 2 < lower_limit(20, tolerance=4) < 20
    assert find_lowest_limit(0) > 0


def test_one_answer_limits_an_upstream_until_an_answer_without() -> None:
    clock = VirtualClock(1000)
    fleet = make_fleet(clock)
    recorder = AdvisoryRecorder(fleet, clock)
    recorder.record(NAME, BRITTLE, 'r1', 900)
    first = find_limit(fleet)
    assert first.limited
    assert first.paced
    clock.advance(2000)
    recorder.record(NAME, BRITTLE, 'r2', 2900)
    assert find_limit(fleet).per_second == first.per_second
    clock.advance(2000)
    recorder.record(NAME, Advisory(limit=float('inf')), 'r3', 4900)
    assert not find_limit(fleet).limited


def test_rejections_of_a_second_lower_the_limit_once() -> None:
    clock = VirtualClock(1000)
    fleet = make_fleet(clock)
    recorder = AdvisoryRecorder(fleet, clock)
    recorder.record(NAME, BRITTLE, 'r1', 900)
    first = find_limit(fleet).per_second
    for number in range(5):
        clock.advance(50)
        recorder.record(NAME, REJECTED, f'r{number}', clock.now() - 10)
    lowered = find_limit(fleet).per_second
    assert 0.6 * first < lowered < 0.8 * first
    clock.advance(1000)
    recorder.record(NAME, REJECTED, 'r9', clock.now() - 10)
    assert find_limit(fleet).per_second < lowered


def test_saved_permits_are_not_used_at_once_at_a_brittle_upstream() -> None:
    for paced, most in ((False, 30), (True, 8)):
        permits = Permits(allot(40, paced=paced), Share(30, 0), 0)
        sent = sum(permits.spend(now) for now in range(10_000, 11_000, 5))
        assert sent <= most + 1
        assert sent >= most / 2


def test_limit_of_an_upstream_counts_before_it_is_brittle() -> None:
    clock = VirtualClock(1000)
    fleet = make_fleet(clock)
    fleet.limits.gate.divide_among(
        LimitParticipants('own', '', {'': None}, {'own': None}), 1000
    )
    limited = Advisory(limit=2.0, tolerance=4)
    AdvisoryRecorder(fleet, clock).record(NAME, limited, 'r1', 900)
    assert find_limit(fleet).per_second == 2


# Guards against keeping a limit that a brittle upstream no longer names.
def test_limit_that_has_ended_is_not_kept_for_a_brittle_upstream() -> None:
    clock = VirtualClock(1000)
    fleet = make_fleet(clock)
    recorder = AdvisoryRecorder(fleet, clock)
    recorder.record(NAME, Advisory(limit=2.0, tolerance=4), 'r1', 900)
    assert find_limit(fleet).per_second == 2
    clock.advance(2000)
    recorder.record(NAME, BRITTLE, 'r2', 2900)
    assert 2 < find_limit(fleet).per_second < 100


# Guards against rejections that no longer limit a brittle upstream.
def test_rejection_limits_after_a_named_limit_has_ended() -> None:
    clock = VirtualClock(1000)
    fleet = make_fleet(clock)
    names = {f'front-{number}': None for number in range(200)}
    fleet.limits.gate.divide_among(
        LimitParticipants('front-0', '', {'': None}, names), 1000
    )
    recorder = AdvisoryRecorder(fleet, clock)
    recorder.record(NAME, Advisory(limit=2.0), 'r1', 900)
    clock.advance(2000)
    recorder.record(NAME, BRITTLE, 'r2', 2900)
    assert not find_limit(fleet).limited
    clock.advance(2000)
    recorder.record(NAME, REJECTED, 'r3', 4900)
    assert find_limit(fleet).limited
