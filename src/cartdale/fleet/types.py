"""Types of the fleet: upstreams, their reports and their health."""

from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import inf

from cartdale.clock import Millis
from cartdale.fleet.evacuation import Evacuation, EvacuationStatus
from cartdale.fleet.rate_limits import UNLIMITED, RateLimit
from cartdale.ranges import Address, Ordinal, PositiveCount, Span
from cartdale.speeds.types import LoadSample


class Lifecycle(StrEnum):
    """Whether an upstream accepts new work."""

    LIVE = 'live'
    #: Announced that it is leaving, or was removed but may still be serving.
    LEAVING = 'leaving'
    #: Its entry disappeared in a store outage; it may come back.
    LAPSED = 'lapsed'


class RefusedIntent(StrEnum):
    """What an entry that can't be used as a whole says of new work."""

    #: The upstream announces that it is leaving.
    LEAVES = 'leaves'
    #: It is in a state in which it is not known to accept any.
    PAUSES = 'pauses'
    #: It accepts new work, or does not say: its previous entry stays in force.
    UNCHANGED = 'unchanged'


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Describe an upstream as its own entry in the store does.

    :param upstream: its id, which a later incarnation may reuse.
    :param address: ``IP:PORT``.
    :param cold_for: how much longer it is slow after its start.
    :param born: Unix milliseconds of its start; 0 if it does not report it.
    :param revision: of the store, at which it was written; 0 if unknown.
    """

    upstream: str
    service: str
    address: Address
    failure_domain: str
    slots: PositiveCount
    lifecycle: Lifecycle = Lifecycle.LIVE
    cold_for: Span = 0
    born: Ordinal = 0
    revision: Ordinal = field(default=0, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class RunReport:
    """Describe a generation as reported by its engine.

    :param tokens: memory that it holds.
    :param events: events produced so far.
    """

    request_id: str
    tokens: int
    events: int
    priority: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Describe the state of an engine some hundred milliseconds ago.

    :param used_tokens: memory that can't be reclaimed.
    :param leaves_in: time until the engine is gone, if known.
    :param leaving: whether the engine announces that it is leaving.
    :param born: Unix milliseconds of its start; 0 if it does not report it.
    :param copies: copies and backups that it keeps for others; ``None`` if it
        does not report them.
    """

    running: int
    waiting: int
    used_tokens: int
    total_tokens: int
    leaves_in: Millis | None = None
    leaving: bool = False
    runs: tuple[RunReport, ...] = ()
    born: Millis = 0
    copies: int | None = None


@dataclass(frozen=True, slots=True)
class Advisory:
    """Hold what a response says of how its upstream is to be treated.

    :param leaving: whether the upstream accepts no new work any more.
    :param backoff: how long this instance, whose request was rejected, is to
        send no requests; 0 if the response does not say.
    :param limit: requests per second accepted from all instances together;
        infinite for no limit, ``None`` if the response does not say.
    :param tolerance: requests that the upstream, which is brittle, can reject
        in a second without failing; ``None`` if it is not brittle.
    :param rejected: whether the upstream rejected the request.
    :param load: what it reports of its load; ``None`` if it does not.
    :param load_malformed: whether it reports a load that can't be read.
    """

    leaving: bool = False
    backoff: Millis = 0
    limit: float | None = None
    tolerance: int | None = None
    rejected: bool = False
    load: LoadSample | None = None
    load_malformed: bool = False

    def without_absence(self) -> 'Advisory':
        """Return the advisory with "no limit" replaced by "unspecified".

        For responses in which a missing limit does not mean that there is none.
        """
        return replace(self, limit=None) if self.limit == inf else self

    def without_load(self) -> 'Advisory':
        """Return the advisory for a response of perhaps another upstream."""
        return replace(self, load=None, load_malformed=False)


@dataclass(frozen=True, slots=True)
class Upstream:
    """Hold the state of one upstream as known to this instance.

    :param returned: whether its entry came back after it was missing.
    :param warm_at: when it stops being slow after its start.
    :param failing: share of recent requests that had failed at ``failing_at``,
        0 to 1; see :func:`cartdale.fleet.health.find_failing`.
    :param failing_at: when a request last ended.
    :param strikes: consecutive failures to reach it.
    :param unreachable_until: until when it counts as unreachable, from
        failures observed by this instance.
    :param path_unclear: whether perhaps only the path from this instance was at
        fault when it was last not reached, so that peers are not told.
    :param avoided_until: no new work is sent before this time if another
        upstream can take it; from failures observed here or by peers.
    :param backoff_until: nothing is sent there before this time, as it
        requested a back-off from this instance.
    :param leaving_observed_locally: whether it announced in a response to
        this instance, or in an entry that can't be used as a whole, that it is
        leaving.
    :param unlisted: whether the store removed its entry after it began to
        leave.
    :param rate_limit: its limit for all instances together.
    """

    entry: UpstreamEntry
    lifecycle: Lifecycle
    changed_at: Millis
    returned: bool = False
    warm_at: Millis = 0
    failing: float = 0
    failing_at: Millis = 0
    strikes: int = 0
    unreachable_until: Millis = 0
    path_unclear: bool = False
    avoided_until: Millis = 0
    backoff_until: Millis = 0
    leaving_observed_locally: bool = False
    unlisted: bool = False
    rate_limit: RateLimit = UNLIMITED

    @property
    def announced_leaving(self) -> bool:
        """Tell whether it announced that it is leaving; it never returns."""
        return self.entry.lifecycle is Lifecycle.LEAVING


@dataclass(frozen=True, slots=True)
class Departure:
    """Remember that an upstream whose entry is unknown announced leaving.

    :param born: start of the incarnation that is leaving; 0 if unknown.
    :param observed_locally: whether it announced that to this instance.
    :param unlisted: whether the store holds no entry of it any more.
    :param revision: of the store, at which that incarnation wrote its entry; 0
        if unknown.
    """

    born: Millis
    announced_at: Millis
    observed_locally: bool
    unlisted: bool = False
    revision: int = 0


@dataclass(frozen=True, slots=True)
class FleetState:
    """Hold all upstreams by id, and the evacuations of failure domains.

    :param departures_by_id: of upstreams whose entries are unknown.
    :param evacuation_status_by_domain: of the failure domains that are or
        were evacuated.
    """

    upstreams_by_id: dict[str, Upstream] = field(default_factory=dict)
    departures_by_id: dict[str, Departure] = field(default_factory=dict)
    evacuation_status_by_domain: dict[str, EvacuationStatus] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class EntryRefused:
    """An upstream wrote an entry that can't be used as a whole.

    :param intent: what it says of new work, as far as that can be read.
    :param born: start of the incarnation that wrote it; 0 if unknown.
    :param revision: of the store, at which it was written; 0 if unknown.
    :param settled: whether it was written in the era of its revision, not
        before a restore of the store from an older copy.
    """

    upstream: str
    intent: RefusedIntent
    born: Millis = 0
    revision: int = field(default=0, compare=False, repr=False)
    settled: bool = field(default=False, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class EntriesListed:
    """The store listed all entries.

    :param refused: those that can't be used as a whole.
    :param after_outage: whether the store was unavailable before.
    :param restored: whether the store was just restored from an older copy, in
        which case an entry may belong to an upstream that is gone.
    :param settled: whether all entries were written in the eras of their
        revisions, as far as it matters who of two incarnations is later.
    """

    entries: tuple[UpstreamEntry, ...]
    after_outage: bool = False
    restored: bool = False
    refused: tuple[EntryRefused, ...] = ()
    settled: bool = False


@dataclass(frozen=True, slots=True)
class EntryWritten:
    """An upstream wrote its entry.

    :param from_peer: whether a peer reported it; peers may be slightly behind.
    :param settled: whether it was written in the era of its revision, not
        before a restore of the store from an older copy.
    """

    entry: UpstreamEntry
    from_peer: bool = False
    settled: bool = False


@dataclass(frozen=True, slots=True)
class EntryRemoved:
    """An upstream's entry is gone.

    :param after_outage: whether the store was unavailable shortly before.
    :param from_peer: whether a peer reported it; peers may be slightly behind.
    :param born: start of the incarnation that left, if a peer reports it.
    :param revision: of the store, at which that incarnation wrote its entry; 0
        if unknown.
    """

    upstream: str
    after_outage: bool = False
    from_peer: bool = False
    born: Millis = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LeavingAnnounced:
    """An upstream announced that it is leaving.

    :param from_peer: whether it announced that to a peer, which reported it.
    :param born: start of the incarnation that is leaving; 0 if unknown.
    :param revision: of the store, at which that incarnation wrote its entry; 0
        if unknown.
    :param settled: whether it wrote in the era of that revision.
    """

    upstream: str
    from_peer: bool = False
    born: Millis = 0
    revision: int = 0
    settled: bool = False


@dataclass(frozen=True, slots=True)
class BackoffRequested:
    """An upstream rejected a request and requested a back-off.

    :param backoff: its length, from now.
    """

    upstream: str
    backoff: Millis


@dataclass(frozen=True, slots=True)
class LimitAdvertised:
    """An upstream advertised its rate limit, or none, in a response.

    :param born: start of the incarnation that advertised it; 0 if unknown.
    """

    upstream: str
    limit: RateLimit
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request's attempt at an upstream ended.

    :param good: whether the upstream served the request.
    :param reached: whether the upstream responded at all.
    :param confirmed: whether the upstream is at fault if it was not reached;
        otherwise perhaps only the path from this instance is.
    """

    upstream: str
    good: bool
    reached: bool = True
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class ReportedUnreachable:
    """Several peers can't reach an upstream."""

    upstream: str


@dataclass(frozen=True, slots=True)
class AddressReachable:
    """A connection to an address is possible again."""

    address: str


@dataclass(frozen=True, slots=True)
class AddressTakenOver:
    """Another upstream responded at the address of this one."""

    upstream: str


@dataclass(frozen=True, slots=True)
class EvacuationsReceived:
    """The store or a peer reported current and past evacuations."""

    evacuations: tuple[Evacuation, ...]


@dataclass(frozen=True, slots=True)
class EvacuationsListed:
    """The store listed all evacuations.

    :param revision: of the store at the time of the listing.
    :param restored: whether the store was just restored from an older copy, in
        which case a missing evacuation may be written again.
    """

    evacuations: tuple[Evacuation, ...]
    revision: int
    restored: bool = False


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time passed; lapsed upstreams that did not come back are dropped."""


@dataclass(frozen=True, slots=True)
class BeganLeaving:
    """Running work should move away from an upstream."""

    upstream: str


@dataclass(frozen=True, slots=True)
class Returned:
    """An upstream that was missing accepts new work again."""

    upstream: str


@dataclass(frozen=True, slots=True)
class Vanished:
    """An upstream was dropped."""

    upstream: str


@dataclass(frozen=True, slots=True)
class Restarted:
    """An upstream restarted under the same id and holds no work."""

    upstream: str


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """The rate limit of an upstream changed.

    :param per_second: requests per second; infinite for no limit.
    :param paced: whether requests must also be spread over time.
    """

    upstream: str
    per_second: float
    paced: bool = False


@dataclass(frozen=True, slots=True)
class BeganEvacuating:
    """No new work may go to a failure domain."""

    failure_domain: str
    revision: int


@dataclass(frozen=True, slots=True)
class EndedEvacuating:
    """A failure domain accepts new work again."""

    failure_domain: str
    revision: int


Message = (
    EntriesListed
    | EntryWritten
    | EntryRefused
    | EntryRemoved
    | LeavingAnnounced
    | BackoffRequested
    | LimitAdvertised
    | RequestEnded
    | ReportedUnreachable
    | AddressReachable
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
