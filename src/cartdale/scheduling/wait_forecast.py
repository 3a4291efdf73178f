"""Forecast when a full service has capacity for one more request.

Capacity becomes free when generations end. It is unknown when a single one
ends, but the number of tokens that all are still expected to generate and the
time per token give the rate at which they end. The number that must end follows
from the memory, or the slots, that are missing at the engine which lacks the
least. Independent ends form a Poisson process, so that the chance of capacity
within some time is the chance of that many ends.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from math import ceil, exp
from operator import attrgetter

from cartdale.clock import Millis
from cartdale.fleet.types import Upstream
from cartdale.scheduling.choose import count_missing, find_reading_delay
from cartdale.scheduling.loads import Load
from cartdale.scheduling.types import ChoiceContext, RequestNeeds

#: If more requests must end, the chance counts as 0; bounds the sum.
_MAX_ENDS = 60


@dataclass(frozen=True, slots=True)
class WaitForecast:
    """Describe what must happen before there is capacity.

    :param ends: number of requests that must end.
    :param rate: requests that end per millisecond, over all upstreams.
    :param reading: time until the prompts queued at the best engine are read,
        beyond the time that a request may wait for that, plus the time until a
        request may be sent.
    :param backoff: time until a request may be sent, if all upstreams are
        backing off or this instance has used its share of their limits.
    """

    ends: int
    rate: float
    reading: Millis = 0
    backoff: Millis = 0

    def chance(self, within: Millis) -> float:
        """Return the chance of capacity within a time, 0 to 1."""
        if within < self.reading:
            return 0
        if not self.ends:
            return 1
        if not self.rate or self.ends > _MAX_ENDS:
            return 0
        expected = self.rate * (within - self.reading)
        term = exp(-expected)
        fewer: float = 0
        for number in range(1, self.ends + 1):
            fewer += term
            term *= expected / number
        return 1 - fewer

    def expected_wait(self) -> Millis | None:
        """Return the mean time until there is capacity; ``None`` for never."""
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
    """Forecast when a request finds capacity.

    :param ahead: number of similar requests that are served before it.
    """
    rate: float = 0
    best: tuple[int, Millis] | None = None
    for upstream in candidates:
        load = context.loads_by_upstream.get(upstream.entry.upstream, Load())
        rate += _rate_of_ends(load, context)
        ends = _count_ends(upstream, load, needs, context)
        slowness = context.find_speed(upstream).present
        delay = find_reading_delay(load, needs, context.pace, slowness)
        found = (ends, delay)
        if best is None or found < best:
            best = found
    if best is None:
        return WaitForecast(ends=ahead + 1, rate=0)
    return WaitForecast(best[0] + ahead, rate, best[1])


def forecast_after_backoff(
    backing_off: Collection[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    ahead: int,
) -> WaitForecast:
    """Forecast when a request finds capacity where the first back-off ends.

    :param backing_off: upstreams that are backing off, at least one.
    :param ahead: number of similar requests that are served before it.
    """
    first = min(backing_off, key=attrgetter('backoff_until'))
    backoff = first.backoff_until - context.now
    load = context.loads_by_upstream.get(first.entry.upstream, Load())
    free_slots = max(first.entry.slots - load.runs - 1, 0)
    forecast = forecast_wait(
        (first,), needs, context, max(ahead - free_slots, 0)
    )
    return replace(forecast, reading=forecast.reading + backoff)


def forecast_with_permit(
    upstream: Upstream,
    needs: RequestNeeds,
    context: ChoiceContext,
    wait: Millis,
) -> WaitForecast:
    """Forecast when a request finds capacity at a rate-limited upstream.

    :param wait: time until this instance may send a request there.
    """
    forecast = forecast_wait((upstream,), needs, context, 0)
    return replace(forecast, reading=forecast.reading + wait)


def _rate_of_ends(load: Load, context: ChoiceContext) -> float:
    """Return how many requests per millisecond end at an upstream."""
    if context.spec.engine is None:
        return load.runs / context.pace.answer_time
    if not load.runs:
        return 0
    # Short generations hold their memory while their prompts are read.
    read_time = context.pace.read_time(load.reading)
    generation_time = load.growth * context.pace.token_time
    return load.runs**2 / max(read_time + generation_time, 1)


def _count_ends(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> int:
    """Return how many requests must end before an upstream has capacity."""
    taken = load.runs + needs.spare_slots
    missing_slots = max(taken + 1 - upstream.entry.slots, 0)
    if context.spec.engine is None or not load.runs:
        return missing_slots
    missing = count_missing(load, needs, context)
    held_by_one = max(load.tokens / load.runs, 1)
    return max(missing_slots, ceil(missing / held_by_one))
