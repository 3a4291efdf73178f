"""Messages, state and actions of the routing slice."""

from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.declarations.types import PolicyName, Weights
from cartdale.model.types import LoadReport
from cartdale.problems.types import Limited, NotRun
from cartdale.routing.lengths import LengthStatistics


@dataclass(frozen=True, slots=True)
class Work:
    """Describe a request that needs an engine.

    :param work_id: generation id.
    :param shape: key under which output lengths are learned.
    :param prefix: digest of the prompt's start.
    :param prefix_tokens: length of that start, in tokens.
    :param deadline_at: latest start, in monotonic milliseconds.
    :param avoid: upstreams that failed it already.
    :param entry: instance that delivers the answer.
    :param within: upstreams of the cell it was sent to; empty for all.
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
    """Remember work that this instance placed.

    :param orphaned: whether the instance that delivers it is gone, so that
        nobody may report its end.
    """

    work: Work
    upstream: str
    placed_at: Millis
    orphaned: bool = False


@dataclass(frozen=True, slots=True)
class EngineView:
    """Hold what this instance knows of an engine.

    :param report: last report, older than it looks by the engine's lag.
    :param received_at: when the report arrived.
    :param foreign_per_ms: jobs that others place, learned from reports.
    :param own_accepted: jobs placed here before the last report.
    :param excluded_until: no new work before, after failures.
    :param prefixes: prefixes believed to be cached, oldest first.
    """

    upstream: str
    memory_tokens: int
    draining: bool = False
    report: LoadReport | None = None
    received_at: Millis = 0
    foreign_per_ms: float = 0
    own_accepted: int = 0
    own_at_report: int = 0
    failures: int = 0
    excluded_until: Millis = 0
    prefixes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceView:
    """Hold what routing needs of a declared service."""

    name: str
    upstreams: tuple[str, ...]
    policy: PolicyName
    weights: Weights = field(default_factory=Weights)
    queue: int = 256


@dataclass(frozen=True, slots=True)
class RoutingState:
    """Hold everything that routing decides from.

    :param waiting: queued work, in order of arrival.
    :param served_by_customer: work placed, divided by the share.
    :param drain_per_ms: work placed in a millisecond, smoothed.
    :param draws: how many random numbers were used; seeds the next.
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
    """A request needs an engine, for the first time or again."""

    work: Work


@dataclass(frozen=True, slots=True)
class WorkEnded:
    """Work left its engine.

    :param finished: whether ``produced`` is the true output length.
    """

    work_id: str
    produced: int
    finished: bool


@dataclass(frozen=True, slots=True)
class WorkAbandoned:
    """The caller of queued work went away."""

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
    """A configuration came in force."""

    services: tuple[ServiceView, ...]
    engines: tuple[EngineView, ...]


@dataclass(frozen=True, slots=True)
class EntryGone:
    """An instance is silent; nobody may report the end of its work."""

    entry: str


@dataclass(frozen=True, slots=True)
class LeaveBegan:
    """This instance takes no new work from now on."""


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
    """Answer the caller at once; the work did not run."""

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
