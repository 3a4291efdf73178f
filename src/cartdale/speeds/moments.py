"""Learn how slow the moments of a service are, and how long they last.

Upstreams report their present slowness in their responses. A figure says less
the older it is: how much less is learnt from how two samples of one upstream
differ with the time between them.
"""

from bisect import bisect
from dataclasses import dataclass
from math import exp, log

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis

#: Time in which the weight of what was learnt halves.
_HALF_LIFE: Millis = MINUTE_MS
#: Weights grow with time in place of older ones being reduced; beyond this
#: growth they are rescaled.
_MAX_GROWTH = 1024
#: Nothing is left after so many; a service may be silent for days.
_MOST_HALVINGS = 100
#: Weight, in samples, of the belief that the mean slowness is 1.
_PRIOR_SAMPLES = 3
#: Ratio between the bounds of two classes of slowness.
_CLASS_RATIO = 1.15
_CLASSES = 32
#: Share of the samples that may exceed the peak.
_ABOVE_PEAK = 0.02
#: Upper bounds of the times between two samples, by class.
_LAGS: tuple[Millis, ...] = (50, 100, 200, 400, 800, 1600, 3200, 6400)
#: Samples closer than this may be one sample that came on two ways.
MIN_LAG: Millis = 20
#: Before anything is learnt, a sample loses most of its meaning in this time.
_FIRST_HOLD: Millis = SECOND_MS // 2
#: Weight of that belief, in pairs for each class of lags.
_PRIOR_PAIRS = 4
#: Below this variance the present slowness matters little.
_MIN_VARIANCE = 0.0025


@dataclass(frozen=True, slots=True)
class Fading:
    """Hold how much of a sample's deviation from the mean is left with age.

    :param ages: in milliseconds, rising from 0; nothing is left after the last.
    :param shares: what is left at each age, falling from 1.
    """

    ages: tuple[float, ...]
    shares: tuple[float, ...]

    def at(self, age: Millis) -> float:
        """Return the share that is left at an age, 0 to 1."""
        index = bisect(self.ages, max(age, 0))
        if index == len(self.ages):
            return 0
        begin, end = self.ages[index - 1], self.ages[index]
        passed = (age - begin) / (end - begin)
        before, after = self.shares[index - 1], self.shares[index]
        return before + (after - before) * max(passed, 0)


def _make_fading(shares_by_age: list[tuple[float, float]]) -> Fading:
    """Return a fading that never rises, through points with rising ages."""
    ages = [float()]
    shares = [1.0]
    for age, share in shares_by_age:
        if age > ages[-1]:
            ages.append(age)
            shares.append(max(min(share, shares[-1]), 0))
    return Fading(tuple(ages), tuple(shares))


def _find_first_share(age: float) -> float:
    return exp(-age / _FIRST_HOLD)


_FIRST_FADING = _make_fading([(lag, _find_first_share(lag)) for lag in _LAGS])


@dataclass(frozen=True, slots=True)
class MomentTraits:
    """Describe the moments of a service.

    :param mean: long-term mean of the slowness.
    :param peak: slowness that moments reach; at least 1.
    :param fading: how the meaning of a sample fades with its age.
    """

    mean: float = 1
    peak: float = 1
    fading: Fading = _FIRST_FADING

    @property
    def slow_share(self) -> float:
        """Return the share of the time at the peak, 0 to 1.

        As if an upstream were either as usual or as slow as at the peak.
        """
        if self.peak <= 1:
            return 0
        return min(max((self.mean - 1) / (self.peak - 1), 0), 1)

    def fade(self, slowness: float, age: Millis) -> float:
        """Return the expected slowness some time after a sample."""
        return self.mean + (slowness - self.mean) * self.fading.at(age)


class MomentStatistics:
    """Sum up the samples of one service, and pairs of one upstream's."""

    def __init__(self) -> None:
        self._origin: Millis | None = None
        self._weight: float = 0
        self._total: float = 0
        self._squares: float = 0
        self._weights_by_class = _make_zeros(_CLASSES)
        self._totals_by_class = _make_zeros(_CLASSES)
        self._pairs_by_lag = _make_zeros(len(_LAGS))
        self._lag_totals = _make_zeros(len(_LAGS))
        self._differences_by_lag = _make_zeros(len(_LAGS))

    def add(self, slowness: float, now: Millis) -> None:
        """Count a sample."""
        weight = self._find_weight(now)
        self._weight += weight
        self._total += weight * slowness
        self._squares += weight * slowness * slowness
        above = int(log(max(slowness, 1)) / log(_CLASS_RATIO))
        index = min(above, _CLASSES - 1)
        self._weights_by_class[index] += weight
        self._totals_by_class[index] += weight * slowness

    def add_pair(
        self, earlier: float, later: float, lag: Millis, now: Millis
    ) -> None:
        """Count two successive samples of one upstream."""
        index = bisect(_LAGS, lag)
        if lag < MIN_LAG or index == len(_LAGS):
            return
        weight = self._find_weight(now)
        self._pairs_by_lag[index] += weight
        self._lag_totals[index] += weight * lag
        self._differences_by_lag[index] += weight * (later - earlier) ** 2 / 2

    def describe(self, now: Millis) -> MomentTraits:
        """Return what was learnt."""
        unit = self._find_weight(now)
        samples = self._weight / unit
        mean = (self._total / unit + _PRIOR_SAMPLES) / (
            samples + _PRIOR_SAMPLES
        )
        return MomentTraits(mean, self._find_peak(), self._find_fading(unit))

    def _find_weight(self, now: Millis) -> float:
        """Return the weight of what is observed now."""
        if self._origin is None:
            self._origin = now
        halvings = max(now - self._origin, 0) / _HALF_LIFE
        growth: float = 2 ** min(halvings, _MOST_HALVINGS)
        if growth > _MAX_GROWTH:
            self._rescale(growth)
            self._origin = now
            return 1
        return growth

    def _rescale(self, growth: float) -> None:
        self._weight /= growth
        self._total /= growth
        self._squares /= growth
        self._weights_by_class = _divide(self._weights_by_class, growth)
        self._totals_by_class = _divide(self._totals_by_class, growth)
        self._pairs_by_lag = _divide(self._pairs_by_lag, growth)
        self._lag_totals = _divide(self._lag_totals, growth)
        self._differences_by_lag = _divide(self._differences_by_lag, growth)

    def _find_peak(self) -> float:
        """Return the slowness that few samples exceed."""
        above: float = 0
        for index in reversed(range(_CLASSES)):
            weight = self._weights_by_class[index]
            above += weight
            if weight and above > _ABOVE_PEAK * self._weight:
                return max(self._totals_by_class[index] / weight, 1)
        return 1

    def _find_variance(self) -> float:
        if not self._weight:
            return 0
        mean = self._total / self._weight
        return self._squares / self._weight - mean * mean

    def _find_fading(self, unit: float) -> Fading:
        """Return the correlation of two samples by the time between them."""
        variance = self._find_variance()
        if variance < _MIN_VARIANCE:
            return _FIRST_FADING
        shares_by_age: list[tuple[float, float]] = []
        for index, bound in enumerate(_LAGS):
            weight = self._pairs_by_lag[index]
            pairs = weight / unit
            lag = self._lag_totals[index] / weight if pairs else bound
            half = self._differences_by_lag[index] / unit / variance
            share = pairs - half + _PRIOR_PAIRS * _find_first_share(lag)
            shares_by_age.append((lag, share / (pairs + _PRIOR_PAIRS)))
        return _make_fading(shares_by_age)


def _make_zeros(count: int) -> list[float]:
    return [float() for _ in range(count)]


def _divide(sums: list[float], growth: float) -> list[float]:
    return [each / growth for each in sums]
