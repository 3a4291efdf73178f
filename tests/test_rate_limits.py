"""The rate limit in force when responses of an upstream arrive out of order."""

from math import inf

import pytest

from cartdale.fleet.rate_limits import UNLIMITED, RateLimit, merge_limits

#: From a response whose request was sent at 100 and headers arrived at 200.
KNOWN = RateLimit(3, 100, 200)


@pytest.mark.parametrize(
    'named',
    [
        pytest.param(RateLimit(inf, 201, 300), id='ended'),
        pytest.param(RateLimit(6, 201, 300), id='raised'),
        pytest.param(RateLimit(1, 201, 300), id='lowered'),
        pytest.param(RateLimit(1, 150, 190), id='lowered, or was lower before'),
    ],
)
def test_newer_limit_is_in_force(named: RateLimit) -> None:
    assert merge_limits(KNOWN, named) == named


@pytest.mark.parametrize(
    'named',
    [
        pytest.param(RateLimit(inf, 150, 300), id='asked before it was named'),
        pytest.param(RateLimit(6, 150, 300), id='raised, or was higher before'),
        pytest.param(RateLimit(inf, 0, 50), id='surely older'),
        pytest.param(RateLimit(1, 0, 50), id='lower, but surely older'),
    ],
)
def test_possibly_older_limit_does_not_raise_the_known_one(
    named: RateLimit,
) -> None:
    assert merge_limits(KNOWN, named) == KNOWN


def test_repeated_limit_extends_the_time_it_is_known() -> None:
    repeated = merge_limits(KNOWN, RateLimit(3, 150, 900))
    assert repeated == RateLimit(3, 150, 900)
    assert merge_limits(repeated, RateLimit(inf, 850, 1000)) == repeated
    assert merge_limits(KNOWN, RateLimit(3, 150, 300)) is KNOWN


def test_responses_from_before_its_end_do_not_restore_a_limit() -> None:
    ended = merge_limits(KNOWN, RateLimit(inf, 250, 260))
    assert merge_limits(ended, RateLimit(3, 120, 240)) == ended
    assert merge_limits(UNLIMITED, KNOWN) == KNOWN
