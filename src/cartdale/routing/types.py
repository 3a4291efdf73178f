"""Messages, state and actions of the routing state machine."""

from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.declarations.types import PolicyName, Weights
from cartdale.model.types import LoadReport
from cartdale.problems.types import Limited, NotRun
from cartdale.routing.lengths import LengthStatistics


@dataclass(frozen=True, slots=True)
class Work:
    """A request that needs an engine.

    :param work_id: generation id.
    :param shape: key of the output length statistics.
    :param prefix: digest of the prompt's prefix.
    :param prefix_tokens: length of that prefix, in tokens.
    :param deadline_at: latest start, in monotonic milliseconds.
    :param avoid: upstreams to exclude, such as those it already failed on.
    :param entry: instance that delivers the response.
    :param within: upstreams of its placement group; empty for all.
    """

    work_id: str
    service: str
    customer: str
    prompt_tokens: int
    arrived_at: Millis
    deadline_at: Millis
    priority: int = 0
    share: float = 1
    shape: str = ''
    prefix: str = ''
    prefix_tokens: int = 0
    avoid: tuple[str, ...] = ()
    entry: str = ''
    within: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Placement:
    """Work that this instance placed.

    :param orphaned: whether the instance that delivers it is gone, so that
        its end may never be reported.
    """

    work: Work
    upstream: str
    placed_at: Millis
    orphaned: bool = False


@dataclass(frozen=True, slots=True)
class EngineView:
    """State of an engine as known to this instance.

    :param report: last report; its content lags behind ``received_at``.
    :param received_at: when the report arrived.
    :param foreign_per_ms: rate of requests placed by other instances,
        estimated from reports.
    :param own_accepted: requests that this instance placed.
    :param own_accepted_at_report: ``own_accepted`` at the last report.
    :param excluded_until: gets no new work before this time, after failures.
    :param prefixes: prefixes assumed to be cached, oldest first.
    """

    upstream: str
    memory_tokens: int
    draining: bool = False
    report: LoadReport | None = None
    received_at: Millis = 0
    foreign_per_ms: float = 0
    own_accepted: int = 0
    own_accepted_at_report: int = 0
    failures: int = 0
    excluded_until: Millis = 0
    prefixes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceView:
    """The part of a declared service that routing uses.

    :param queue: maximum number of queued requests.
    """

    name: str
    upstreams: tuple[str, ...]
    policy: PolicyName
    weights: Weights = field(default_factory=Weights)
    queue: int = 256


@dataclass(frozen=True, slots=True)
class RoutingState:
    """State of the routing state machine.

    :param waiting: queued work, in order of arrival.
    :param served_by_customer: number of requests placed, divided by the
        customer's share.
    :param drain_per_ms: requests placed per millisecond, smoothed.
    :param draws: number of placements; seeds the next random choice.
    """

    seed: int
    services_by_name: dict[str, ServiceView] = field(default_factory=dict)
    engines_by_upstream: dict[str, EngineView] = field(default_factory=dict)
    placements_by_work: dict[str, Placement] = field(default_factory=dict)
    waiting: tuple[Work, ...] = ()
    served_by_customer: dict[str, float] = field(default_factory=dict)
    lengths: LengthStatistics = field(default_factory=LengthStatistics)
    drain_per_ms: float = 0
    drained_at: Millis = 0
    draws: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class WorkArrived:
    """A request needs an engine, for a first or a repeated run."""

    work: Work


@dataclass(frozen=True, slots=True)
class WorkEnded:
    """Work ended on its engine.

    :param finished: whether ``produced`` is the true output length.
    """

    work_id: str
    produced: int
    finished: bool


@dataclass(frozen=True, slots=True)
class WorkAbandoned:
    """The caller of queued work disconnected."""

    work_id: str


@dataclass(frozen=True, slots=True)
class LoadReportReceived:
    """An engine's report arrived."""

    upstream: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """An engine refused, could not be reached or was lost."""

    upstream: str


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """A configuration became active."""

    services: tuple[ServiceView, ...]
    engines: tuple[EngineView, ...]


@dataclass(frozen=True, slots=True)
class EntryGone:
    """An instance is silent; the end of its work may never be reported."""

    entry: str


@dataclass(frozen=True, slots=True)
class LeaveBegan:
    """This instance is leaving and accepts no new work."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


@dataclass(frozen=True, slots=True)
class Place:
    """Send work to an engine now."""

    work: Work
    upstream: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse work immediately; it did not run."""

    work: Work
    problem: NotRun | Limited


Message = (
    WorkArrived
    | WorkEnded
    | WorkAbandoned
    | LoadReportReceived
    | UpstreamFailed
    | TargetsChanged
    | EntryGone
    | LeaveBegan
    | Tick
)
Action = Place | Refuse
Decision = tuple[RoutingState, tuple[Action, ...]]
