"""Messages and state of the news that instances send each other."""

from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.loads import Load
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.types import CrashesTold, CrashNews


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """Describe an instance as the store lists it.

    :param address: IP number.
    :param port: of its datagrams and of its peers' interface.
    """

    name: str
    address: str
    port: int
    failure_domain: str = ''


@dataclass(frozen=True, slots=True)
class LimitNews:
    """Tell which rate limit an upstream named in an answer.

    :param per_second: requests a second; infinite for no limit.
    :param asked_ago: time since the request was sent that was answered so.
    :param answered_ago: time since the head of its answer came.
    :param born: start of the upstream's life, in Unix milliseconds; 0 when it
        does not tell.
    """

    per_second: float
    asked_ago: Millis
    answered_ago: Millis
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class LoadNews:
    """Tell what an instance has running and what it knows.

    :param boot: wall time of the sender's start, in milliseconds; larger
        is newer.
    :param number: counts the sender's messages since its start.
    :param version: configuration in force at the sender.
    :param peer: how the sender is reached.
    :param leaving: upstreams that take no new work.
    :param births: when those were born, in Unix milliseconds: one may have
        started again under its id.
    :param entries: upstreams whose entries changed of late.
    :param store_lost: whether the store does not answer the sender.
    :param unreachable: upstreams that the sender could not reach of late.
    :param evacuations: of failure domains, present and past; in each message,
        so that one which was missed is made up for by the next.
    :param crashes: upstreams that ended as they began to run a request.
    :param departing: those of ``leaving`` that said it in an answer to the
        sender; they don't come back, whatever the store says.
    :param limits: what upstreams named of late in answers to the sender.
    :param offers: requests a second that the sender's callers ask of the
        services with limited upstreams.
    """

    boot: Millis
    number: int
    version: int
    peer: PeerEntry
    loads_by_upstream: dict[str, Load]
    leaving: tuple[str, ...] = ()
    entries: tuple[UpstreamEntry, ...] = ()
    store_lost: bool = False
    unreachable: tuple[str, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    births: dict[str, Millis] = field(default_factory=dict)
    departing: tuple[str, ...] = ()
    limits: dict[str, LimitNews] = field(default_factory=dict)
    offers: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DomainNews:
    """Tell another failure domain what the instances of one have and know.

    :param boot: wall time of the sender's start, in milliseconds.
    :param number: counts the sender's messages of this kind.
    :param version: configuration in force at the sender.
    :param peer: how the sender is reached.
    :param alive: instances of its failure domain that it heard of late,
        itself included.
    :param loads_by_upstream: what all of them have running.
    :param leaving: upstreams that take no new work.
    :param births: when those were born, in Unix milliseconds.
    :param entries: upstreams whose entries changed of late.
    :param reporters_by_upstream: how many instances of the failure domain
        could not reach an upstream of late.
    :param store_lost: whether the store answers none of them.
    :param evacuations: of failure domains, present and past.
    :param crashes: upstreams that ended as they began to run a request.
    :param departing: those of ``leaving`` that said it themselves.
    :param limits: what upstreams named of late in answers there.
    :param offers: requests a second of all callers there together.
    """

    boot: Millis
    number: int
    version: int
    peer: PeerEntry
    alive: int
    loads_by_upstream: dict[str, Load]
    leaving: tuple[str, ...] = ()
    entries: tuple[UpstreamEntry, ...] = ()
    reporters_by_upstream: dict[str, int] = field(default_factory=dict)
    store_lost: bool = False
    evacuations: tuple[Evacuation, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    births: dict[str, Millis] = field(default_factory=dict)
    departing: tuple[str, ...] = ()
    limits: dict[str, LimitNews] = field(default_factory=dict)
    offers: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReceivedNews:
    """Hold the last message of a peer."""

    news: LoadNews
    at: Millis


@dataclass(frozen=True, slots=True)
class ReceivedDomainNews:
    """Hold the last message about a failure domain."""

    news: DomainNews
    at: Millis


@dataclass(frozen=True, slots=True)
class NewsState:
    """Hold the peers and what they said last.

    :param domains_by_name: the other failure domains, in a large system.
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
    """The store lists an instance no more."""

    name: str


@dataclass(frozen=True, slots=True)
class NewsArrived:
    """A genuine message came from a peer."""

    sender: str
    news: LoadNews


@dataclass(frozen=True, slots=True)
class DomainNewsArrived:
    """A genuine message about another failure domain came.

    :param direct: whether its sender chose this instance; it is passed on
        to the instances around then.
    """

    news: DomainNews
    direct: bool


@dataclass(frozen=True, slots=True)
class ApplyLoads:
    """Replace what a peer, or all of a failure domain, has running."""

    peer: str
    loads_by_upstream: dict[str, Load]


@dataclass(frozen=True, slots=True)
class ApplyLeaving:
    """Take over that an upstream leaves.

    :param born: start of the life that leaves; 0 when that is not told.
    :param announced: whether it said so itself.
    """

    upstream: str
    born: Millis = 0
    announced: bool = False


@dataclass(frozen=True, slots=True)
class ApplyLimit:
    """Take over which rate limit an upstream named."""

    upstream: str
    news: LimitNews


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Take over what an upstream wrote of itself."""

    entry: UpstreamEntry


@dataclass(frozen=True, slots=True)
class ApplyEvacuations:
    """Take over what is newer of the evacuations that a peer knows."""

    evacuations: tuple[Evacuation, ...]


@dataclass(frozen=True, slots=True)
class AvoidUpstream:
    """Take over that an upstream can't be reached, as several tell."""

    upstream: str


@dataclass(frozen=True, slots=True)
class FetchTable:
    """Ask a peer for its configuration, which is newer."""

    peer: PeerEntry


@dataclass(frozen=True, slots=True)
class ForwardNews:
    """Pass the message on to the instances of this failure domain."""


Message = PeerListed | PeerRemoved | NewsArrived | DomainNewsArrived
Action = (
    ApplyLoads
    | ApplyLeaving
    | ApplyLimit
    | ApplyEntry
    | ApplyEvacuations
    | CrashesTold
    | AvoidUpstream
    | FetchTable
    | ForwardNews
)
Decision = tuple[NewsState, tuple[Action, ...]]
