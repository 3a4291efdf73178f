"""Types of the fleet: upstreams, what they report and how they fare."""

from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import inf

from cartdale.clock import Millis
from cartdale.fleet.evacuation import Evacuation, EvacuationStatus
from cartdale.fleet.rate_limits import UNLIMITED, RateLimit


class Lifecycle(StrEnum):
    """Say whether an upstream takes new work."""

    LIVE = 'live'
    #: Said that it leaves, or was removed while it may still serve.
    LEAVING = 'leaving'
    #: Its entry went during an outage of the store; it may come back.
    LAPSED = 'lapsed'


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Describe an upstream as it described itself in the store.

    :param upstream: its id; a new start may have the same.
    :param address: ``IP:PORT``.
    :param cold_for: how much longer it is slow after its start.
    :param born: Unix milliseconds of its start; 0 when it does not tell.
    """

    upstream: str
    service: str
    address: str
    failure_domain: str
    slots: int
    lifecycle: Lifecycle = Lifecycle.LIVE
    cold_for: Millis = 0
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class RunReport:
    """Describe a generation as its engine reported it.

    :param tokens: memory that it holds.
    :param events: events made so far.
    """

    request_id: str
    tokens: int
    events: int
    priority: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Tell what an engine held some hundred milliseconds ago.

    :param used_tokens: memory that can't give way.
    :param leaves_in: time until the engine is gone, if it is known.
    :param leaving: whether the engine says that it leaves.
    :param born: Unix milliseconds of its start; 0 when it does not tell.
    """

    running: int
    waiting: int
    used_tokens: int
    total_tokens: int
    leaves_in: Millis | None = None
    leaving: bool = False
    runs: tuple[RunReport, ...] = ()
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class Advisory:
    """Hold what an upstream says of itself beside an answer.

    :param leaving: whether it takes no new work any more.
    :param backoff: how long it wants no requests from this instance, which it
        turned away; 0 when it does not say.
    :param limit: requests a second that it takes from all instances together,
        infinite for any; ``None`` when the answer does not tell.
    """

    leaving: bool = False
    backoff: Millis = 0
    limit: float | None = None

    def without_absence(self) -> 'Advisory':
        """Return what it tells where a missing limit does not tell of none."""
        return replace(self, limit=None) if self.limit == inf else self


@dataclass(frozen=True, slots=True)
class Upstream:
    """Hold what this instance believes of one upstream.

    :param returned: whether its entry came back after it was missing.
    :param warm_at: when it stops being slow after its start.
    :param failing: share of recent requests that failed, 0 to 1.
    :param strikes: failures in a row that show it unreachable.
    :param unreachable_until: until when it counts as unreachable, from
        failures that this instance saw itself.
    :param avoided_until: no new work before this time, if others can; for
        failures seen here or told by others.
    :param backoff_until: nothing is sent there before this time, as it asked
        this instance.
    :param leaving_observed_locally: whether it said in an answer to this
        instance that it leaves.
    :param unlisted: whether the store removed its entry since it leaves.
    :param rate_limit: what it takes from all instances together.
    """

    entry: UpstreamEntry
    lifecycle: Lifecycle
    changed_at: Millis
    returned: bool = False
    warm_at: Millis = 0
    failing: float = 0
    strikes: int = 0
    unreachable_until: Millis = 0
    avoided_until: Millis = 0
    backoff_until: Millis = 0
    leaving_observed_locally: bool = False
    unlisted: bool = False
    rate_limit: RateLimit = UNLIMITED

    @property
    def announced_leaving(self) -> bool:
        """Tell whether it said itself that it leaves; it never returns."""
        return self.entry.lifecycle is Lifecycle.LEAVING


@dataclass(frozen=True, slots=True)
class FleetState:
    """Hold all upstreams by their ids, and what is evacuated.

    :param evacuation_status_by_domain: of the failure domains that are
        evacuated or were.
    """

    upstreams_by_id: dict[str, Upstream] = field(default_factory=dict)
    evacuation_status_by_domain: dict[str, EvacuationStatus] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class EntriesListed:
    """The store listed all entries.

    :param after_outage: whether the store was away before.
    :param restored: whether it came back from an older copy just now: an entry
        that is there may be one of an upstream that is gone.
    """

    entries: tuple[UpstreamEntry, ...]
    after_outage: bool = False
    restored: bool = False


@dataclass(frozen=True, slots=True)
class EntryWritten:
    """An upstream wrote its entry.

    :param from_peer: whether a peer told it, who may be a little behind.
    """

    entry: UpstreamEntry
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class EntryRemoved:
    """An upstream's entry is gone.

    :param after_outage: whether the store was away shortly before.
    :param from_peer: whether a peer told it, who may be a little behind.
    :param born: start of the life that left, where a peer tells it.
    """

    upstream: str
    after_outage: bool = False
    from_peer: bool = False
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class LeavingAnnounced:
    """An upstream said itself that it leaves, in an answer.

    :param from_peer: whether a peer told it, whom it had answered.
    :param born: start of the life that leaves; 0 when that is not told.
    """

    upstream: str
    from_peer: bool = False
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class BackoffRequested:
    """An upstream turned this instance away, and wants nothing for a while.

    :param backoff: how long, from now.
    """

    upstream: str
    backoff: Millis


@dataclass(frozen=True, slots=True)
class LimitAdvertised:
    """An upstream named its rate limit, or none, in an answer.

    :param born: start of the life that named it; 0 when that is not told.
    """

    upstream: str
    limit: RateLimit
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request's attempt at an upstream ended.

    :param good: whether the upstream did what it was asked.
    :param reached: whether the upstream answered at all.
    """

    upstream: str
    good: bool
    reached: bool = True


@dataclass(frozen=True, slots=True)
class ReportedUnreachable:
    """Several others can't reach an upstream."""

    upstream: str


@dataclass(frozen=True, slots=True)
class AddressTakenOver:
    """Another upstream answered at this one's address."""

    upstream: str


@dataclass(frozen=True, slots=True)
class EvacuationsReceived:
    """The store or a peer told of evacuations, present and past."""

    evacuations: tuple[Evacuation, ...]


@dataclass(frozen=True, slots=True)
class EvacuationsListed:
    """The store listed all evacuations.

    :param revision: of the store when it listed.
    :param restored: whether it came back from an older copy just now: one that
        is missing may be written again.
    """

    evacuations: tuple[Evacuation, ...]
    revision: int
    restored: bool = False


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Drop what lapsed and did not come back."""


@dataclass(frozen=True, slots=True)
class BeganLeaving:
    """Tell that running work should move away from an upstream."""

    upstream: str


@dataclass(frozen=True, slots=True)
class Returned:
    """Tell that an upstream which was missing takes new work again."""

    upstream: str


@dataclass(frozen=True, slots=True)
class Vanished:
    """Tell that an upstream was dropped."""

    upstream: str


@dataclass(frozen=True, slots=True)
class Restarted:
    """Tell that an upstream started again under its id: it holds nothing."""

    upstream: str


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """Tell that an upstream takes another rate.

    :param per_second: requests a second; infinite for no limit.
    """

    upstream: str
    per_second: float


@dataclass(frozen=True, slots=True)
class BeganEvacuating:
    """Tell that nothing new may go to a failure domain."""

    failure_domain: str
    revision: int


@dataclass(frozen=True, slots=True)
class EndedEvacuating:
    """Tell that a failure domain takes new work again."""

    failure_domain: str
    revision: int


Message = (
    EntriesListed
    | EntryWritten
    | EntryRemoved
    | LeavingAnnounced
    | BackoffRequested
    | LimitAdvertised
    | RequestEnded
    | ReportedUnreachable
    | AddressTakenOver
    | EvacuationsReceived
    | EvacuationsListed
    | TimePassed
)
Action = (
    BeganLeaving
    | Restarted
    | Returned
    | Vanished
    | LimitChanged
    | BeganEvacuating
    | EndedEvacuating
)
Decision = tuple[FleetState, tuple[Action, ...]]
