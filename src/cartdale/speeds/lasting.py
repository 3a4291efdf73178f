"""Merge the observed times of upstreams into their lasting speeds.

Several instances observe each upstream. One whose observations are far from
those of most others may be wrong, so that each value is bounded by the median,
and each weight by that of the others.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp, isfinite, log

from cartdale.clock import MINUTE_MS, Millis
from cartdale.speeds.types import Observations

#: Weight of an ordinary observation. Others have a part of it, and weights are
#: told as whole numbers.
ORDINARY = 10
#: Time in which the weight of an observation halves.
HALF_LIFE: Millis = MINUTE_MS
#: Weight of the belief that an upstream is as fast as its service.
PRIOR_WEIGHT = ORDINARY
#: Maximum weight of the observations of one instance at one upstream.
MAX_WEIGHT = 500
#: Bounds of a factor, and of an observation relative to its service's mean.
MIN_FACTOR = 1 / 8
MAX_FACTOR = 8
#: Weight from which an upstream is known well enough to bound observations by
#: it, and the maximum ratio of an observation to its mean.
_KNOWN_WEIGHT = 200
_MAX_CHANGE = 1.5
#: Plausible times in milliseconds, of a token as well as of a response.
_LEAST_TIME = 0.01
_MOST_TIME = 10 * MINUTE_MS
#: Number of observers from which the median decides.
_MIN_OBSERVERS = 3
#: Ratio of an observer's mean to the median from which it is bounded.
_MAX_DEVIATION = 1.1
#: Maximum weight of an observer, relative to the median weight.
_MAX_WEIGHT_RATIO = 2


def find_left(elapsed: Millis) -> float:
    """Return the share of a weight that is left after some time."""
    left: float = 2 ** (-elapsed / HALF_LIFE)
    return left


def fade_weight(observed: Observations, elapsed: Millis) -> Observations:
    """Return observations as they count after some time."""
    if not observed.weight or elapsed <= 0:
        return observed
    return observed.scale(find_left(elapsed))


def is_plausible(observed: Observations) -> bool:
    """Tell whether observations can be true. No observations can, too."""
    if not (isfinite(observed.total) and isfinite(observed.weight)):
        return False
    if not observed.weight:
        return not observed.total
    positive = observed.weight > 0
    return positive and _LEAST_TIME <= observed.mean <= _MOST_TIME


def bound_weight(observed: Observations, most: float) -> Observations:
    """Return observations with at most some weight."""
    if observed.weight <= most:
        return observed
    return observed.scale(most / observed.weight)


@dataclass(slots=True)
class Reports:
    """Hold what several observers report of one upstream, a column each.

    :param means: mean observation of each.
    :param weights: weight of each one's observations.
    :param counts: number of instances that each one speaks for.
    """

    means: list[float] = field(default_factory=list)
    weights: list[float] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)

    def add(self, observed: Observations, left: float, count: int) -> None:
        """Add a report, unless it is empty.

        :param left: share of its weight that is left.
        """
        if observed.weight:
            self.means.append(observed.total / observed.weight)
            self.weights.append(observed.weight * left)
            self.counts.append(count)


def merge(reports: Reports) -> Observations:
    """Merge what several observers report of one upstream."""
    means, weights = reports.means, reports.weights
    if len(means) < _MIN_OBSERVERS:
        return _sum_up(means, weights)
    middle = _find_median(means)
    least, most = middle / _MAX_DEVIATION, middle * _MAX_DEVIATION
    pairs = tuple(zip(weights, reports.counts, strict=True))
    bound = _MAX_WEIGHT_RATIO * _find_median(
        [weight / count for weight, count in pairs]
    )
    return _sum_up(
        [min(max(mean, least), most) for mean in means],
        [min(weight, bound * count) for weight, count in pairs],
    )


def _sum_up(means: list[float], weights: list[float]) -> Observations:
    pairs = zip(means, weights, strict=True)
    return Observations(
        sum(mean * weight for mean, weight in pairs), sum(weights)
    )


def _find_median(figures: list[float]) -> float:
    """Return a median; the upper one of two."""
    return sorted(figures)[len(figures) // 2]


def find_mean(times_by_upstream: Mapping[str, Observations]) -> float:
    """Return the mean time of a service; 0 if nothing is known.

    An upstream counts by how well it is known, not by how much it is used, so
    that preferring fast ones does not move the mean.
    """
    total: float = 0
    weight: float = 0
    for observed in times_by_upstream.values():
        trust = find_trust(observed)
        total += trust * observed.mean
        weight += trust
    return total / weight if weight else 0


def find_trust(observed: Observations) -> float:
    """Return the weight of observations against the prior, 0 to 1."""
    return observed.weight / (observed.weight + PRIOR_WEIGHT)


def find_factors(
    times_by_upstream: Mapping[str, Observations], mean: float
) -> dict[str, float]:
    """Return the time at each upstream relative to the mean of all."""
    if not mean:
        return {}
    return {
        name: _bound_factor(
            exp(find_trust(observed) * log(observed.mean / mean))
        )
        for name, observed in times_by_upstream.items()
        if observed.mean
    }


def bound_observation(took: float, mean: float) -> float:
    """Bound an observation by the mean of its service, if that is known."""
    if not mean:
        return took
    return min(max(took, mean * MIN_FACTOR), mean * MAX_FACTOR)


def bound_change(took: float, known: Observations) -> float:
    """Bound an observation by what is known of its upstream, if enough is.

    A speed that has changed for good is still learnt, by a bound a time.
    """
    if known.weight < _KNOWN_WEIGHT:
        return took
    mean = known.mean
    return min(max(took, mean / _MAX_CHANGE), mean * _MAX_CHANGE)


def _bound_factor(factor: float) -> float:
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)
