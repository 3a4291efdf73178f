"""Forecast when a full service has room for one more request.

Room comes when generations end. Nobody knows when one does, but what all of
them are still expected to make, and how long a token takes, give the rate at
which they end; how many must end follows from the memory, or the places, that
are missing at the engine which lacks the least. Ends that are independent of
each other make a Poisson process, so that the chance of room within some time
is the chance of that many ends.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from math import ceil, exp
from operator import attrgetter

from cartdale.clock import Millis
from cartdale.fleet.choose import (
    ChoiceContext,
    RequestNeeds,
    count_missing,
    find_reading_delay,
)
from cartdale.fleet.loads import Load
from cartdale.fleet.types import Upstream

#: More ends than these are not hoped for; the sum stays short.
_MOST_ENDS = 60


@dataclass(frozen=True, slots=True)
class WaitForecast:
    """Say what must happen before there is room.

    :param ends: requests that must end.
    :param rate: requests that end in a millisecond, over all upstreams.
    :param reading: longest time until prompts that wait at the best engine
        are read, beyond what a request may wait for that; and until something
        may be sent, where that is not now.
    :param backoff: time until something may be sent, where all upstreams
        rest or have had this instance's part of their limit.
    """

    ends: int
    rate: float
    reading: Millis = 0
    backoff: Millis = 0

    def chance(self, within: Millis) -> float:
        """Return the chance of room within a time, 0 to 1."""
        if within < self.reading:
            return 0
        if not self.ends:
            return 1
        if not self.rate or self.ends > _MOST_ENDS:
            return 0
        expected = self.rate * (within - self.reading)
        term = exp(-expected)
        fewer: float = 0
        for number in range(1, self.ends + 1):
            fewer += term
            term *= expected / number
        return 1 - fewer

    def expected_wait(self) -> Millis | None:
        """Return the mean time until there is room; ``None`` for never."""
        if not self.ends:
            return self.reading
        if not self.rate:
            return None
        return self.reading + ceil(self.ends / self.rate)


def forecast_wait(
    candidates: Iterable[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    ahead: int,
) -> WaitForecast:
    """Return when a request finds room.

    :param ahead: requests like it that are served before it.
    """
    rate: float = 0
    best: tuple[int, Millis] | None = None
    for upstream in candidates:
        load = context.loads_by_upstream.get(upstream.entry.upstream, Load())
        rate += _rate_of_ends(load, context)
        ends = _count_ends(upstream, load, needs, context)
        found = (ends, find_reading_delay(load, needs, context.pace))
        if best is None or found < best:
            best = found
    if best is None:
        return WaitForecast(ends=ahead + 1, rate=0)
    return WaitForecast(best[0] + ahead, rate, best[1])


def forecast_after_backoff(
    resting: Collection[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    ahead: int,
) -> WaitForecast:
    """Return when a request finds room where the first rest ends.

    :param resting: upstreams that rest, at least one.
    :param ahead: requests like it that are served before it.
    """
    first = min(resting, key=attrgetter('backoff_until'))
    backoff = first.backoff_until - context.now
    load = context.loads_by_upstream.get(first.entry.upstream, Load())
    places = max(first.entry.slots - load.runs - 1, 0)
    found = forecast_wait((first,), needs, context, max(ahead - places, 0))
    return replace(found, reading=found.reading + backoff)


def forecast_with_permit(
    upstream: Upstream,
    needs: RequestNeeds,
    context: ChoiceContext,
    wait: Millis,
) -> WaitForecast:
    """Return when a request finds room where its upstream is rate limited.

    :param wait: time until this instance may send it there.
    """
    found = forecast_wait((upstream,), needs, context, 0)
    return replace(found, reading=found.reading + wait)


def _rate_of_ends(load: Load, context: ChoiceContext) -> float:
    """Return how many requests end at an upstream in a millisecond."""
    if context.spec.engine is None:
        return load.runs / context.pace.answer_time
    if not load.runs:
        return 0
    # Short answers hold their memory while their prompt is read.
    to_read = context.pace.read_time(load.reading)
    to_make = load.growth * context.pace.token_time
    return load.runs**2 / max(to_read + to_make, 1)


def _count_ends(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> int:
    """Return how many requests must end at an upstream before there is room."""
    places = max(load.runs + 1 - upstream.entry.slots, 0)
    if context.spec.engine is None or not load.runs:
        return places
    missing = count_missing(load, needs, context)
    held_by_one = max(load.tokens / load.runs, 1)
    return max(places, ceil(missing / held_by_one))
