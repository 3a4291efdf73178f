"""Keep the measures of this instance and merge those of all."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from cartdale.clock import MINUTE_MS, Clock, Millis
from cartdale.declarations.types import Objectives
from cartdale.reports.burn import MINUTES_KEPT, rate_burn, sum_window
from cartdale.reports.types import (
    AccountCounts,
    AnswerMeasured,
    Counts,
    Outcome,
    Quantiles,
    Report,
    ReportLine,
    ReportPart,
)

_LONGEST_MS = 3_600_000
_DIGITS = 2
_SLOW_SHARE = 0.05
_MEDIAN = 50
_P95 = 95
_P99 = 99
STALL = 'stall'
GAP = 'gap'
FIRST_TOKEN = 'first_token'

ObjectivesOf = Callable[[str], Objectives]


@dataclass(frozen=True, slots=True)
class _Account:
    """Name who is counted."""

    service: str
    customer: str


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST_MS, _DIGITS)


class MeasurementStore:
    """Record answers as they end.

    :param objectives_of: finds the objectives of a service.
    """

    def __init__(
        self, instance: str, clock: Clock, objectives_of: ObjectivesOf
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._objectives_of = objectives_of
        self._since_minute = clock.wall_time() // MINUTE_MS
        self._minutes_by_account: dict[_Account, dict[int, Counts]] = {}
        self._histograms_by_name: dict[str, HdrHistogram] = {}

    def record_gap(self, service: str, gap: Millis) -> None:
        """Record one gap between tokens."""
        self._find(service, GAP).record_value(max(1, gap))

    def record(self, measured: AnswerMeasured) -> None:
        """Record one answer that ended."""
        if measured.outcome is Outcome.CALLER_LEFT:
            return
        if measured.tokens:
            self._find(measured.service, STALL).record_value(
                max(1, measured.stall_ms)
            )
            self._find(measured.service, FIRST_TOKEN).record_value(
                measured.first_token_ms
            )
        objectives = self._objectives_of(measured.service)
        counts = judge(measured, objectives)
        minute = self._clock.wall_time() // MINUTE_MS
        for customer in (measured.customer, ''):
            self._count(_Account(measured.service, customer), minute, counts)

    def export(self) -> ReportPart:
        """Return what this instance measured, for merging."""
        accounts = tuple(
            AccountCounts(account.service, account.customer, dict(minutes))
            for account, minutes in self._minutes_by_account.items()
        )
        services = {account.service for account in self._minutes_by_account}
        return ReportPart(
            instance=self._instance,
            since_minute=self._since_minute,
            good_share_by_service={
                service: self._objectives_of(service).good_share
                for service in sorted(services)
            },
            accounts=accounts,
            histograms_by_name={
                name: histogram.encode().decode()
                for name, histogram in self._histograms_by_name.items()
            },
        )

    def _find(self, service: str, measure: str) -> HdrHistogram:
        name = f'{service}/{measure}'
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = _make_histogram()
            self._histograms_by_name[name] = histogram
        return histogram

    def _count(self, account: _Account, minute: int, counts: Counts) -> None:
        minutes = self._minutes_by_account.setdefault(account, {})
        minutes[minute] = minutes.get(minute, Counts()).add(counts)
        while len(minutes) > MINUTES_KEPT:
            minutes.pop(min(minutes))


def judge(measured: AnswerMeasured, objectives: Objectives) -> Counts:
    """Compare one answer with its service's objectives."""
    slow_limit = _SLOW_SHARE * measured.tokens
    return Counts(
        total=1,
        unfinished=int(measured.outcome is not Outcome.COMPLETE),
        stalled=int(measured.stall_ms > objectives.stall_ms),
        preempted=int(measured.preemptions > 0),
        slow=int(measured.slow_gaps > slow_limit),
        late=int(measured.first_token_ms > objectives.first_token_ms),
    )


class _Merger:
    """Add up the parts of several instances."""

    def __init__(self) -> None:
        self._minutes_by_account: dict[_Account, dict[int, Counts]] = {}
        self._good_share_by_service: dict[str, float] = {}
        self._histograms_by_name: dict[str, HdrHistogram] = {}

    def add(self, part: ReportPart) -> None:
        """Add one part."""
        self._good_share_by_service.update(part.good_share_by_service)
        for counted in part.accounts:
            self._add_account(counted)
        for name, encoded in part.histograms_by_name.items():
            merged = self._histograms_by_name.setdefault(
                name, _make_histogram()
            )
            merged.decode_and_add(encoded)

    def list_lines(self, at_minute: int) -> tuple[ReportLine, ...]:
        """Return a line for each account, in order of name."""
        lines: list[ReportLine] = []
        for account in sorted(self._minutes_by_account, key=_order_of):
            minutes = self._minutes_by_account[account]
            total = sum_window(minutes, at_minute, MINUTES_KEPT)
            good_share = self._good_share_by_service[account.service]
            burn = rate_burn(minutes, at_minute, good_share)
            lines.append(
                ReportLine(account.service, account.customer, total, burn)
            )
        return tuple(lines)

    def list_quantiles(self) -> tuple[Quantiles, ...]:
        """Return a summary of each histogram, in order of name."""
        return tuple(
            _summarise(name, self._histograms_by_name[name])
            for name in sorted(self._histograms_by_name)
        )

    def _add_account(self, counted: AccountCounts) -> None:
        account = _Account(counted.service, counted.customer)
        minutes = self._minutes_by_account.setdefault(account, {})
        for minute, counts in counted.counts_by_minute.items():
            minutes[minute] = minutes.get(minute, Counts()).add(counts)


def merge_parts(
    parts: Iterable[ReportPart], silent: tuple[str, ...], at_minute: int
) -> Report:
    """Merge the parts of several instances."""
    merger = _Merger()
    instances: list[str] = []
    since_minute = at_minute
    for part in parts:
        merger.add(part)
        instances.append(part.instance)
        since_minute = min(since_minute, part.since_minute)
    return Report(
        at_minute=at_minute,
        since_minute=since_minute,
        instances=tuple(sorted(instances)),
        silent=silent,
        lines=merger.list_lines(at_minute),
        quantiles=merger.list_quantiles(),
    )


def _order_of(account: _Account) -> tuple[str, str]:
    return (account.service, account.customer)


def _summarise(name: str, histogram: HdrHistogram) -> Quantiles:
    service, _, measure = name.rpartition('/')
    return Quantiles(
        service=service,
        measure=measure,
        count=histogram.get_total_count(),
        p50=histogram.get_value_at_percentile(_MEDIAN),
        p95=histogram.get_value_at_percentile(_P95),
        p99=histogram.get_value_at_percentile(_P99),
        longest=histogram.get_max_value(),
    )
