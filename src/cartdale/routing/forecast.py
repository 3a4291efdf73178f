"""Forecast an engine's memory from own placements and delayed reports."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.model.types import LoadReport
from cartdale.routing.lengths import HORIZONS, LengthProfile, LengthStatistics
from cartdale.routing.types import EngineView, Placement, Work

#: Reports older than this are not used to estimate other instances' load.
MAX_REPORT_AGE_MS: Millis = 10_000
_TYPICAL_STEP_MS = 20


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected memory of an engine at each horizon.

    :param expected: tokens, one number for each of ``HORIZONS``.
    :param variance: tokens squared, one number for each of ``HORIZONS``.
    :param count: generations on the engine, placed by this instance and by
        others.
    """

    expected: tuple[float, ...]
    variance: tuple[float, ...]
    count: float

    def peak(self, deviations: float) -> float:
        """Return the highest memory over all horizons, in tokens.

        :param deviations: standard deviations added to the mean.
        """
        return max(
            mean + deviations * math.sqrt(spread)
            for mean, spread in zip(self.expected, self.variance, strict=True)
        )

    def add(self, other: 'Forecast') -> 'Forecast':
        """Return the sum of two independent loads."""
        return Forecast(
            _add(self.expected, other.expected),
            _add(self.variance, other.variance),
            self.count + other.count,
        )


_ZEROS = tuple(float(0) for _ in HORIZONS)
_EMPTY = Forecast(_ZEROS, _ZEROS, 0)


class _LoadSums:
    """Sum the loads of generations.

    Mutable, since this is the inner loop of every routing decision.
    """

    def __init__(self) -> None:
        self._expected = list(_ZEROS)
        self._variance = list(_ZEROS)
        self._count = float(0)

    def add(
        self, profile: LengthProfile, prompt: float, produced: int, count: float
    ) -> None:
        """Add ``count`` generations that produced the same token count."""
        start = prompt + produced
        survivals = profile.survivals(produced)
        for index, horizon in enumerate(HORIZONS):
            alive = survivals[index]
            size = start + horizon
            mass = count * alive * size
            self._expected[index] += mass
            self._variance[index] += mass * size * (1 - alive)
        self._count += count

    def read(self) -> Forecast:
        """Return the sums as a forecast."""
        return Forecast(
            tuple(self._expected), tuple(self._variance), self._count
        )


@dataclass(frozen=True, slots=True)
class _ReportedOwnLoad:
    """Own placements that the last report already includes.

    :param used: tokens in memory.
    :param prompts: prompt tokens.
    """

    count: int = 0
    used: int = 0
    prompts: int = 0

    def add(self, prompt: int, produced: int) -> '_ReportedOwnLoad':
        """Return the sum with one more placement."""
        return _ReportedOwnLoad(
            self.count + 1,
            self.used + prompt + produced,
            self.prompts + prompt,
        )


def forecast_engine(
    view: EngineView,
    placements: Iterable[Placement],
    lengths: LengthStatistics,
    now: Millis,
) -> Forecast:
    """Forecast an engine's memory.

    :param placements: work that this instance placed on the engine.
    """
    sums = _LoadSums()
    own = _ReportedOwnLoad()
    for placement in placements:
        profile = lengths.find(placement.work.shape)
        prompt = placement.work.prompt_tokens
        produced = estimate_produced(view, placement, now)
        sums.add(profile, prompt, produced, 1)
        if placement.placed_at < view.received_at:
            own = own.add(prompt, produced)
    return sums.read().add(_forecast_foreign_load(view, own, lengths, now))


def _forecast_foreign_load(
    view: EngineView,
    own: _ReportedOwnLoad,
    lengths: LengthStatistics,
    now: Millis,
) -> Forecast:
    report = view.report
    if report is None or now - view.received_at > MAX_REPORT_AGE_MS:
        return _EMPTY
    typical_size = own.prompts / own.count if own.count else 0
    foreign = _forecast_reported_load(view, report, own, lengths)
    return foreign.add(
        _forecast_unreported_load(view, typical_size, lengths, now)
    )


def estimate_produced(
    view: EngineView, placement: Placement, now: Millis
) -> int:
    """Estimate the tokens produced from the age and the engine's pace.

    Engines don't report progress per request. One token per step is an
    upper bound; work that waits inside the engine is overestimated.
    """
    pace = view.report.step_ms if view.report else _TYPICAL_STEP_MS
    return int((now - placement.placed_at) / max(1, pace))


def forecast_work(work: Work, lengths: LengthStatistics) -> Forecast:
    """Forecast the memory that a request would add."""
    return forecast_one(lengths.find(work.shape), work.prompt_tokens, 0)


def forecast_one(
    profile: LengthProfile, prompt: float, produced: int, count: float = 1
) -> Forecast:
    """Forecast ``count`` generations that produced the same token count.

    :param prompt: prompt length, in tokens.
    :param produced: tokens produced so far.
    """
    sums = _LoadSums()
    sums.add(profile, prompt, produced, count)
    return sums.read()


def _forecast_reported_load(
    view: EngineView,
    report: LoadReport,
    own: _ReportedOwnLoad,
    lengths: LengthStatistics,
) -> Forecast:
    count = max(0, report.running + report.waiting - own.count)
    if not count:
        return _EMPTY
    used = max(0, report.used_tokens - own.used)
    profile = lengths.find(view.upstream)
    running = max(1, report.running)
    typical_size = used / max(1, count)
    produced = min(int(profile.mean() / 2), int(typical_size / 2))
    waiting_share = report.waiting / (running + report.waiting)
    growing = forecast_one(profile, typical_size - produced, produced, count)
    if not waiting_share:
        return growing
    return growing.add(
        forecast_one(profile, typical_size, 0, count * waiting_share)
    )


def _forecast_unreported_load(
    view: EngineView,
    typical_size: float,
    lengths: LengthStatistics,
    now: Millis,
) -> Forecast:
    report = view.report
    if report is None:
        return _EMPTY
    expected = view.foreign_per_ms * (now - view.received_at)
    if not expected:
        return _EMPTY
    return forecast_one(lengths.find(view.upstream), typical_size, 0, expected)


def _add(
    left: tuple[float, ...], right: tuple[float, ...]
) -> tuple[float, ...]:
    return tuple(map(sum, zip(left, right, strict=True)))
