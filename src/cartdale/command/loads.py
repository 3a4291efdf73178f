"""Tables of a system under load: who waits, who is refused, who pays."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cartdale.command.causes import Cause
from cartdale.command.journeys import Journey
from cartdale.command.pauses import PauseJudge, PauseReason

_COLUMNS = (
    'asked',
    'sent',
    'wait-50',
    'wait-90',
    'wait-max',
    'refused',
    'told-50',
    'back',
    'back-ok',
    'late',
    'paused',
    'failed',
    'served',
)
_WIDTH = 8
_MEDIAN = 0.5
_NINTH = 0.9


@dataclass(slots=True)
class LoadRow:
    """Hold the figures of one row; of an upstream, those of its requests.

    :param waits: times until a placement, in milliseconds.
    :param returns: delays until callers were told to return, likewise.
    :param back: requests that came back after a refusal.
    :param late: requests that began after their target.
    :param paused: streams that paused for longer than their target.
    """

    asked: int = 0
    sent: int = 0
    waits: list[int] = field(default_factory=list)
    refused: int = 0
    returns: list[int] = field(default_factory=list)
    back: int = 0
    back_served: int = 0
    late: int = 0
    paused: int = 0
    failed: int = 0
    served: int = 0

    def count(self, journey: Journey) -> None:
        """Count a request with all that became of it."""
        self.sent += len(journey.sent)
        self.paused += journey.pause is not None
        self.count_outcome(journey)

    def count_outcome(self, journey: Journey) -> None:
        """Count how a request was received and how it ended."""
        self.asked += 1
        self.waits.extend(journey.waits)
        self.refused += len(journey.returns)
        self.returns.extend(journey.returns)
        self.back += journey.returned
        self.back_served += journey.returned and journey.is_served
        self.late += journey.start_delay is not None
        self.failed += journey.verdict.is_failure
        self.served += journey.is_served

    def add(self, other: 'LoadRow') -> None:
        """Add the figures of another row."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def list_figures(self) -> list[int]:
        """Return the figures in the order of the columns."""
        return [
            self.asked,
            self.sent,
            _find_quantile(self.waits, _MEDIAN),
            _find_quantile(self.waits, _NINTH),
            _find_quantile(self.waits, 1),
            self.refused,
            _find_quantile(self.returns, _MEDIAN),
            self.back,
            self.back_served,
            self.late,
            self.paused,
            self.failed,
            self.served,
        ]


@dataclass(slots=True)
class LoadTables:
    """Hold tables of rows, and counts of what made requests late.

    :param rows: by table and row.
    :param counts: by what is counted and its kind.
    """

    rows: dict[str, dict[str, LoadRow]] = field(default_factory=dict)
    counts: dict[str, Counter[str]] = field(default_factory=dict)

    def row(self, table: str, name: str) -> LoadRow:
        """Return a row, made if need be."""
        return self.rows.setdefault(table, {}).setdefault(name, LoadRow())

    def tell(self, title: str, name: str) -> None:
        """Count one more of a kind."""
        self.counts.setdefault(title, Counter())[name] += 1


def tabulate(journeys: Iterable[Journey]) -> LoadTables:
    """Count requests by route, customer, instance, upstream and second.

    Seconds count from the first request. What the configuration does not allow
    is no load and stands among the causes only.
    """
    listed = sorted(journeys, key=_asked_at)
    judge = PauseJudge()
    for journey in listed:
        judge.note(journey.readings, journey.pause)
    tables = LoadTables()
    origin = listed[0].asked_at if listed else 0
    for journey in listed:
        if journey.verdict.cause is not Cause.NOT_ALLOWED:
            _count_rows(tables, journey, origin)
        reason = judge.judge(journey.pause) if journey.pause else None
        _count_reasons(tables, journey, reason)
    return tables


def format_table(
    name: str, rows: dict[str, LoadRow], most: int
) -> Iterable[str]:
    """Return a table's lines.

    :param most: rows; those with fewer requests are added up in one more.
    """
    yield _format_cells(_COLUMNS, name)
    for row, figures in _select_rows(name, rows, most):
        yield _format_cells(figures.list_figures(), row)


def _format_cells(cells: Iterable[object], name: str) -> str:
    told = ' '.join(f'{cell!s:>{_WIDTH}}' for cell in cells)
    return f'{told}  {name}'


def _count_rows(tables: LoadTables, journey: Journey, origin: float) -> None:
    kind = f'{journey.route} rank {journey.rank}'
    tables.row('route', kind).count(journey)
    tables.row('customer', journey.customer).count(journey)
    tables.row('instance', journey.node).count(journey)
    second = str(int(journey.asked_at - origin))
    tables.row('second', second).count(journey)
    for upstream in journey.sent:
        tables.row('upstream', upstream).sent += 1
    last = journey.sent[-1] if journey.sent else '(none)'
    tables.row('upstream', last).count_outcome(journey)
    if journey.pause:
        tables.row('upstream', journey.pause.upstream).paused += 1


def _count_reasons(
    tables: LoadTables, journey: Journey, reason: PauseReason | None
) -> None:
    for shortage in journey.shortages:
        tables.tell('refused for want of room', shortage)
    if journey.start_delay:
        tables.tell('began late by', journey.start_delay.value)
    if reason:
        tables.tell('paused by', reason.value)
    if journey.verdict.is_failure:
        tables.tell('failed by', journey.verdict.cause.value)
    for grounds in journey.grounds:
        tables.tell('sent as', grounds)


def _select_rows(
    name: str, rows: dict[str, LoadRow], most: int
) -> list[tuple[str, LoadRow]]:
    if name == 'second':
        return sorted(rows.items(), key=lambda row: int(row[0]))
    ordered = sorted(rows.items(), key=lambda row: -row[1].asked)
    if len(ordered) <= most:
        return ordered
    others = LoadRow()
    for _, figures in ordered[most:]:
        others.add(figures)
    return [*ordered[:most], ('(others)', others)]


def _find_quantile(figures: list[int], share: float) -> int:
    """Return a quantile; 0 for none."""
    if not figures:
        return 0
    last = len(figures) - 1
    return sorted(figures)[round(share * last)]


def _asked_at(journey: Journey) -> float:
    return journey.asked_at
