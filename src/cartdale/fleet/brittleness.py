"""Derive the rate limit of a brittle upstream from the room that it has.

A brittle upstream fails once it rejects too many requests in a second. Only
rejections show how many requests fit, so that the limit starts below what all
its slots can run and is lowered by each second with rejections. Where so
many instances share it that each has few permits, their requests can't be
spread over time; the limit then applies from the first rejection on, since it
would only gather requests at the upstreams with free permits.
"""

from math import isfinite

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.rate_limits import RateLimit
from cartdale.ranges import clamp

#: Share of what the slots of an upstream can run that it is sent: requests
#: don't arrive as evenly as they are sent, and not all take the same time.
_USED_SHARE = 0.6
#: Requests per second that each instance must be able to send on the mean, so
#: that a limit is in force before any rejection.
_MIN_SHARE = 1.5
#: Time for which a generation takes a slot, at least: its length is not known,
#: and engines are protected by what they hold in memory besides.
GENERATION_TIME: Millis = SECOND_MS
#: Share of a limit that is left after a second with rejections.
_KEPT_SHARE = 0.7


def can_spread(limit: float, participants: int) -> bool:
    """Tell whether instances that share a limit can spread their requests.

    :param limit: in requests per second.
    """
    return limit >= _MIN_SHARE * participants


def find_brittle_limit(
    known: RateLimit, slots: int, run_time: float, tolerance: int
) -> float:
    """Return the limit of a brittle upstream, in requests per second.

    A limit that is known is kept, since instances that each derive their own
    would change it with each response.

    :param slots: requests that it runs at once.
    :param run_time: time that one takes, in milliseconds.
    :param tolerance: requests that it can reject in a second.
    """
    if known.paced:
        return known.per_second
    rate = _USED_SHARE * slots * SECOND_MS / max(run_time, 1)
    return max(rate, find_lowest_limit(tolerance))


def lower_limit(limit: float, tolerance: int) -> float:
    """Return the limit after rejections, in requests per second."""
    return max(limit * _KEPT_SHARE, find_lowest_limit(tolerance))


def find_lowest_limit(tolerance: int) -> float:
    """Return a limit at which all requests may be rejected."""
    return max(tolerance, 1) / 2


def parse_tolerance(raw: bytes) -> int | None:
    """Parse how many requests an upstream can reject in a second.

    :returns: ``None`` if it does not say so, or not by a number.
    """
    try:
        tolerance = float(raw)
    except ValueError:
        return None
    return clamp(tolerance) if isfinite(tolerance) else None
