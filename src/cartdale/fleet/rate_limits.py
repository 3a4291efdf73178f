"""Decide which rate limit of an upstream is in force.

An upstream names its limit, for all instances together, in each of its answers
for as long as it holds. Answers overtake each other: one that names no limit
may be older than one that does. Each tells of some moment between its request
and its head, so that only an answer whose request was sent after another's
head is surely the newer one. In doubt the lower limit holds; the next answers
settle it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf, isfinite

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis

#: A limit that is named again counts as known for longer only after so long:
#: each answer names it.
_NAMED_AGAIN: Millis = SECOND_MS // 2
#: A limit that nobody was named for so long is not kept. While it holds and
#: anybody sends there it is named and told all the time; whoever was cut off
#: as it ended, and has no permit to ask by itself, would keep it for ever.
LIMIT_KEPT_MS: Millis = MINUTE_MS
#: A limit may have ended once it was not named for so long.
_NAMED_OF_LATE: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Bound the requests that an upstream gets from all instances together.

    :param per_second: requests a second; infinite for no limit.
    :param asked_at: when the request was sent whose answer named it last, in
        monotonic milliseconds.
    :param answered_at: when the head of that answer came.
    """

    per_second: float = inf
    asked_at: Millis = -1
    answered_at: Millis = -1

    @property
    def limited(self) -> bool:
        """Tell whether there is a limit."""
        return isfinite(self.per_second)

    def may_have_ended(self, now: Millis) -> bool:
        """Tell whether the upstream has not named the limit of late."""
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
    """Read how many requests a second an upstream takes.

    :param lines: the header's values, which may be lists.
    :returns: the lowest of several; infinite when none is named; ``None`` when
        what is named is no number of requests, which says nothing at all.
    """
    numbers = [text for line in lines for text in line.split(b',')]
    try:
        limits = [float(number) for number in numbers]
    except ValueError:
        return None
    # Also false for what is not a number.
    if not all(limit >= 0 for limit in limits):
        return None
    return min(limits, default=inf)
