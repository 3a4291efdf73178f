"""Burn rates over several windows.

Two pairs of windows, each alerting only when the short and the long one
agree: fast burn (5 minutes and 1 hour) and slow burn (30 minutes and 6
hours), the published multi-window, multi-burn-rate scheme.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from cartdale.reports.types import BurnRate, Counts

MINUTES_KEPT = 360


@dataclass(frozen=True, slots=True)
class WindowPair:
    """Name two windows, in minutes, and the rate that alerts."""

    name: str
    short: int
    long: int
    threshold: float


_FAST_THRESHOLD = 14.4
_SLOW_THRESHOLD = 6
_HALF_HOUR = 30
WINDOW_PAIRS = (
    WindowPair('5m/1h', 5, 60, _FAST_THRESHOLD),
    WindowPair('30m/6h', _HALF_HOUR, MINUTES_KEPT, _SLOW_THRESHOLD),
)
MEASURES = ('unfinished', 'stalled', 'preempted', 'slow', 'late')


def sum_window(
    counts_by_minute: Mapping[int, Counts], at_minute: int, minutes: int
) -> Counts:
    """Add up the last ``minutes`` minutes up to ``at_minute``."""
    total = Counts()
    for minute, counts in counts_by_minute.items():
        if at_minute - minutes < minute <= at_minute:
            total = total.add(counts)
    return total


def rate_burn(
    counts_by_minute: Mapping[int, Counts], at_minute: int, good_share: float
) -> tuple[BurnRate, ...]:
    """Return the burn rate of every measure and window pair.

    :param good_share: objective, 0 to 1; the rest is the error budget.
    """
    rates: list[BurnRate] = []
    for pair in WINDOW_PAIRS:
        short = sum_window(counts_by_minute, at_minute, pair.short)
        long = sum_window(counts_by_minute, at_minute, pair.long)
        for measure in MEASURES:
            rates.append(_rate(pair, measure, short, long, 1 - good_share))
    return tuple(rates)


def _rate(
    pair: WindowPair, measure: str, short: Counts, long: Counts, budget: float
) -> BurnRate:
    short_rate = _share(short, measure) / budget
    long_rate = _share(long, measure) / budget
    alerting = min(short_rate, long_rate) > pair.threshold
    return BurnRate(measure, pair.name, short_rate, long_rate, alerting)


def _share(counts: Counts, measure: str) -> float:
    if not counts.total:
        return 0
    bad: int = getattr(counts, measure)
    return bad / counts.total
