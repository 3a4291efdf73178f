"""Measures of answers, and reports that merge over instances."""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import Millis

#: A gap between tokens longer than this counts as stall time, whole.
STALL_AFTER_MS: Millis = 500


class Outcome(StrEnum):
    """Say how an answer ended for its caller."""

    COMPLETE = 'whole'
    REFUSED = 'refused'
    ENDED_EARLY = 'ended_early'
    UNKNOWN = 'unknown'
    CALLER_LEFT = 'caller_left'


@dataclass(frozen=True, slots=True)
class AnswerMeasured:
    """Describe one answer that ended.

    :param first_token_ms: from arrival to the first token; 0 for none.
    :param stall_ms: time in gaps longer than ``STALL_AFTER_MS``.
    :param slow_gaps: gaps longer than the service's objective.
    :param preemptions: times the engine was seen to push it aside.
    """

    service: str
    customer: str
    outcome: Outcome
    tokens: int
    first_token_ms: Millis
    stall_ms: Millis
    slow_gaps: int
    preemptions: int


@dataclass(frozen=True, slots=True)
class Counts:
    """Count answers of one period, good and bad by measure."""

    total: int = 0
    unfinished: int = 0
    stalled: int = 0
    preempted: int = 0
    slow: int = 0
    late: int = 0

    def add(self, other: 'Counts') -> 'Counts':
        """Return the sum."""
        return Counts(
            self.total + other.total,
            self.unfinished + other.unfinished,
            self.stalled + other.stalled,
            self.preempted + other.preempted,
            self.slow + other.slow,
            self.late + other.late,
        )


@dataclass(frozen=True, slots=True)
class AccountCounts:
    """Hold one account's counts by minute of the wall clock."""

    service: str
    customer: str
    counts_by_minute: dict[int, Counts]


@dataclass(frozen=True, slots=True)
class ReportPart:
    """Carry what one instance measured.

    :param since_minute: how far back it can see, minutes since the epoch.
    :param histograms_by_name: encoded histograms, ``service/measure``.
    """

    instance: str
    since_minute: int
    good_share_by_service: dict[str, float]
    accounts: tuple[AccountCounts, ...]
    histograms_by_name: dict[str, str]


@dataclass(frozen=True, slots=True)
class BurnRate:
    """Tell how fast an error budget burns; 1 spends it exactly in time.

    :param measure: the measure whose objective was missed.
    :param short: rate over the short window.
    :param long: rate over the long window.
    :param alerting: whether both exceed the window pair's threshold.
    """

    measure: str
    window: str
    short: float
    long: float
    alerting: bool


@dataclass(frozen=True, slots=True)
class ReportLine:
    """Report on one account; an empty customer stands for all."""

    service: str
    customer: str
    counts: Counts
    burn: tuple[BurnRate, ...]


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Summarise one measure of a service, in milliseconds."""

    service: str
    measure: str
    count: int
    p50: float
    p95: float
    p99: float
    longest: float


@dataclass(frozen=True, slots=True)
class Report:
    """Merge the parts of all instances that answered.

    :param silent: instances that did not answer.
    """

    at_minute: int
    since_minute: int
    instances: tuple[str, ...]
    silent: tuple[str, ...] = ()
    lines: tuple[ReportLine, ...] = ()
    quantiles: tuple[Quantiles, ...] = field(default=())
