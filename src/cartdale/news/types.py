"""Messages and state of the news that instances send each other."""

from dataclasses import dataclass, field
from enum import StrEnum

from msgspec import UNSET, UnsetType

from cartdale.admission.types import ServiceAdmissionNews
from cartdale.clock import Millis
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.types import CrashesTold, CrashNews
from cartdale.ranges import (
    Age,
    Amount,
    Count,
    Host,
    Integer,
    Ordinal,
    Port,
    Rate,
    WallTime,
)
from cartdale.scheduling.loads import Load
from cartdale.speeds.types import SpeedNews, SpeedsTold


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """Describe an instance as the store lists it.

    :param address: IP number.
    :param port: of its datagrams and of its peers' interface.
    :param link_mbps: bandwidth of its link in megabits per second; 0 if it does
        not report it.
    """

    name: str
    address: Host
    port: Port
    failure_domain: str = ''
    link_mbps: Amount = 0


@dataclass(frozen=True, slots=True)
class LimitNews:
    """Report a rate limit that an upstream announced in a response.

    :param per_second: requests per second; infinite for no limit.
    :param asked_ago: time since the request of that response was sent.
    :param answered_ago: time since the head of the response arrived.
    :param born: start of the upstream's incarnation, in Unix milliseconds; 0
        if it does not report one.
    :param paced: whether requests must also be spread over time.
    """

    per_second: Rate
    asked_ago: Age
    answered_ago: Age
    born: Ordinal = 0
    paced: bool = False


@dataclass(frozen=True, slots=True)
class LoadNews:
    """Publish the work that an instance has running and the state it knows.

    :param boot: wall time of the sender's start, in milliseconds; usually, but
        not always, larger after a restart.
    :param number: sequence number of the message since the sender's start.
    :param version: configuration in force at the sender.
    :param peer: how the sender is reached.
    :param leaving: upstreams that take no new work.
    :param births: start times of those, in Unix milliseconds, since an upstream
        may have restarted under its id.
    :param revisions: those of the store at which they wrote their entries.
    :param entries: upstreams whose entries changed recently.
    :param store_lost: whether others should watch the store in place of the
        sender: the store does not respond to it, or it is leaving.
    :param unreachable: upstreams that the sender recently failed to reach.
    :param evacuations: current and past evacuations of failure domains; sent in
        each message, so that the next one makes up for a lost one.
    :param crashes: upstreams that crashed as they began to run a request.
    :param departing: those of ``leaving`` that announced it in a response to
        the sender; they don't come back, whatever the store says.
    :param limits: limits recently announced in responses to the sender.
    :param offers: demand of the sender's callers, in requests per second, by
        service with limited upstreams.
    :param wide: whether the sender counts enough peers for domain summaries;
        not whether a peer says so, or all would use them forever.
    :param speeds: what the sender observed of the speeds of upstreams and has
        not told before; left out of messages without any.
    :param admission: waiting and served requests by service.
    """

    boot: WallTime
    number: Ordinal
    version: Integer
    peer: PeerEntry
    loads_by_upstream: dict[str, Load]
    leaving: tuple[str, ...] = ()
    entries: tuple[UpstreamEntry, ...] = ()
    store_lost: bool = False
    unreachable: tuple[str, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    births: dict[str, Ordinal] = field(default_factory=dict)
    revisions: dict[str, Ordinal] = field(default_factory=dict)
    departing: tuple[str, ...] = ()
    limits: dict[str, LimitNews] = field(default_factory=dict)
    offers: dict[str, Amount] = field(default_factory=dict)
    wide: bool = False
    speeds: SpeedNews | UnsetType = UNSET
    admission: dict[str, ServiceAdmissionNews] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DomainNews:
    """Publish the combined state of a failure domain to another one.

    :param boot: wall time of the sender's start, in milliseconds.
    :param number: sequence number of the sender's messages of this kind.
    :param version: configuration in force at the sender.
    :param peer: how the sender is reached.
    :param alive: number of instances of its failure domain with recent news,
        the sender included.
    :param loads_by_upstream: work that all of them have running.
    :param leaving: upstreams that take no new work.
    :param births: start times of those, in Unix milliseconds.
    :param revisions: those of the store at which they wrote their entries.
    :param entries: upstreams whose entries changed recently.
    :param reporters_by_upstream: number of instances of the failure domain
        that recently failed to reach an upstream.
    :param store_lost: whether the store responds to none of them.
    :param evacuations: current and past evacuations of failure domains.
    :param crashes: upstreams that crashed as they began to run a request.
    :param departing: those of ``leaving`` that announced it themselves.
    :param limits: limits recently announced in responses to that domain.
    :param offers: demand of all callers of that domain, in requests per second.
    :param wide: whether one of its instances counts enough peers for domain
        summaries.
    :param speeds: what that domain observed of the speeds of upstreams and has
        not told before; left out of messages without any.
    :param admission: waiting and served requests by service.
    """

    boot: WallTime
    number: Ordinal
    version: Integer
    peer: PeerEntry
    alive: Count
    loads_by_upstream: dict[str, Load]
    leaving: tuple[str, ...] = ()
    entries: tuple[UpstreamEntry, ...] = ()
    reporters_by_upstream: dict[str, Count] = field(default_factory=dict)
    store_lost: bool = False
    evacuations: tuple[Evacuation, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    births: dict[str, Ordinal] = field(default_factory=dict)
    revisions: dict[str, Ordinal] = field(default_factory=dict)
    departing: tuple[str, ...] = ()
    limits: dict[str, LimitNews] = field(default_factory=dict)
    offers: dict[str, Amount] = field(default_factory=dict)
    wide: bool = False
    speeds: SpeedNews | UnsetType = UNSET
    admission: dict[str, ServiceAdmissionNews] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReceivedNews:
    """Hold the last message of a peer.

    :param restarted_at: when its present run was first heard of after an
        earlier one; ``None`` if only one was heard of.
    """

    news: LoadNews
    at: Millis
    restarted_at: Millis | None = None


@dataclass(frozen=True, slots=True)
class ReceivedDomainNews:
    """Hold the last message about a failure domain."""

    news: DomainNews
    at: Millis


@dataclass(frozen=True, slots=True)
class NewsState:
    """Hold the peers and their latest news.

    :param domains_by_name: latest news of the other failure domains, in a large
        system.
    """

    peers_by_name: dict[str, PeerEntry] = field(default_factory=dict)
    received_by_name: dict[str, ReceivedNews] = field(default_factory=dict)
    domains_by_name: dict[str, ReceivedDomainNews] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerListed:
    """The store lists an instance."""

    peer: PeerEntry


@dataclass(frozen=True, slots=True)
class PeerRemoved:
    """The store no longer lists an instance."""

    name: str


@dataclass(frozen=True, slots=True)
class PeersListed:
    """The store was read completely.

    :param names: all instances that it lists.
    """

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class NewsArrived:
    """An authenticated message from a peer arrived."""

    sender: str
    news: LoadNews


@dataclass(frozen=True, slots=True)
class DomainNewsArrived:
    """An authenticated message about another failure domain arrived.

    :param direct: whether its sender addressed this instance, which then
        forwards it to its domain peers.
    """

    news: DomainNews
    direct: bool


@dataclass(frozen=True, slots=True)
class ApplyLoads:
    """Replace the loads of a peer or of a whole failure domain.

    :param admission: their waiting and served requests by service.
    """

    peer: str
    loads_by_upstream: dict[str, Load]
    admission: dict[str, ServiceAdmissionNews] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ApplyLeaving:
    """Mark an upstream as leaving.

    :param born: start of the incarnation that leaves; 0 if unknown.
    :param announced: whether the upstream announced it itself.
    :param revision: of the store, at which that incarnation wrote its entry; 0
        if unknown.
    """

    upstream: str
    born: Millis = 0
    announced: bool = False
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ApplyLimit:
    """Apply a rate limit that an upstream announced."""

    upstream: str
    news: LimitNews


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply the entry that an upstream wrote about itself."""

    entry: UpstreamEntry


@dataclass(frozen=True, slots=True)
class ApplyEvacuations:
    """Apply those evacuations of a peer that are newer."""

    evacuations: tuple[Evacuation, ...]


@dataclass(frozen=True, slots=True)
class AvoidUpstream:
    """Avoid an upstream that several instances report as unreachable."""

    upstream: str


class ReportSource(StrEnum):
    """Name the kind of message that reported a version."""

    NEWS = 'news'
    DOMAIN_NEWS = 'domain news'
    FORWARDED = 'forwarded domain news'


@dataclass(frozen=True, slots=True)
class NewerVersion:
    """A peer has a configuration newer than the one in force here.

    :param version: that the peer reports to have in force.
    """

    peer: PeerEntry
    version: int
    source: ReportSource


@dataclass(frozen=True, slots=True)
class ForwardNews:
    """Forward the message to the instances of this failure domain."""


@dataclass(frozen=True, slots=True)
class NewsDropped:
    """Log that a message of an earlier run of its sender was dropped.

    After a restart with a clock that went back, this is the current run.

    :param boot: wall time at which the sender's run started, as it says.
    :param known_boot: that of the run whose messages are applied.
    """

    sender: str
    boot: Millis
    known_boot: Millis


Message = (
    PeerListed | PeerRemoved | PeersListed | NewsArrived | DomainNewsArrived
)
Action = (
    ApplyLoads
    | ApplyLeaving
    | ApplyLimit
    | ApplyEntry
    | ApplyEvacuations
    | CrashesTold
    | SpeedsTold
    | AvoidUpstream
    | NewerVersion
    | ForwardNews
    | NewsDropped
)
Decision = tuple[NewsState, tuple[Action, ...]]
