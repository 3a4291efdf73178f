"""Decide which rate limit of an upstream is in force.

An upstream advertises its limit, for all instances together, in each response
while the limit is in force. Responses may arrive out of order: one without a
limit may be older than one with a limit. Each describes some moment between the
sending of its request and the arrival of its head, so that a response is
certainly newer than another only if its request was sent after the other's head
arrived. If the order is unknown, the lower limit applies until the next
responses.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf, isfinite

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.ranges import LARGEST

#: Minimum time between updates of the times of an unchanged limit, which each
#: response advertises.
_NAMED_AGAIN: Millis = SECOND_MS // 2
#: A limit expires if it was not advertised for this long. While it is in force
#: and any instance sends requests, it is advertised and published continually.
#: An instance that was cut off when it ended and has no permit to send a
#: request itself would otherwise keep it forever.
LIMIT_KEPT_MS: Millis = MINUTE_MS
#: A limit may have ended if it was not advertised for this long.
_NAMED_OF_LATE: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Bound the requests that an upstream gets from all instances together.

    :param per_second: requests per second; infinite for no limit.
    :param asked_at: when the request was sent whose response last advertised
        it, in monotonic milliseconds.
    :param answered_at: when the head of that response arrived.
    :param paced: whether requests must also be spread over time, since the
        upstream is brittle.
    """

    per_second: float = inf
    asked_at: Millis = -1
    answered_at: Millis = -1
    paced: bool = False

    @property
    def limited(self) -> bool:
        """Tell whether there is a limit."""
        return isfinite(self.per_second)

    def may_have_ended(self, now: Millis) -> bool:
        """Tell whether the limit was not advertised recently."""
        return self.limited and now - self.answered_at > _NAMED_OF_LATE


UNLIMITED = RateLimit()


def merge_limits(known: RateLimit, named: RateLimit) -> RateLimit:
    """Return which of two limits is in force."""
    if named.answered_at < known.asked_at:
        return known
    if named.per_second > known.per_second:
        return known if named.asked_at <= known.answered_at else named
    if named.per_second < known.per_second:
        return named
    if named.answered_at - known.answered_at < _NAMED_AGAIN:
        return known
    return replace(
        known,
        asked_at=max(known.asked_at, named.asked_at),
        answered_at=max(known.answered_at, named.answered_at),
    )


def parse_limit(lines: Iterable[bytes]) -> float | None:
    """Parse an upstream's limit, in requests per second.

    :param lines: the header's values, which may be lists.
    :returns: the lowest of several; infinite if there is none; ``None`` if a
        value is not a valid number of requests, in which case the header is
        ignored.
    """
    numbers = [text for line in lines for text in line.split(b',')]
    try:
        limits = [float(number) for number in numbers]
    except ValueError:
        return None
    # Also false for NaN.
    if not all(limit >= 0 for limit in limits):
        return None
    lowest = min(limits, default=inf)
    return min(lowest, LARGEST) if isfinite(lowest) else lowest
