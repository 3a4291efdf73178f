"""Messages and state of the news that instances send each other."""

from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.fleet.loads import Load
from cartdale.fleet.types import UpstreamEntry


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """Describe an instance as the store lists it.

    :param address: IP number.
    :param port: of its datagrams and of its peers' interface.
    """

    name: str
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class LoadNews:
    """Tell what an instance has running and what it knows.

    :param boot: wall time of the sender's start, in milliseconds; larger
        is newer.
    :param number: counts the sender's messages since its start.
    :param version: configuration in force at the sender.
    :param peer: how the sender is reached.
    :param leaving: upstreams that take no new work.
    :param entries: upstreams whose entries changed of late.
    :param store_lost: whether the store does not answer the sender.
    """

    boot: Millis
    number: int
    version: int
    peer: PeerEntry
    loads_by_upstream: dict[str, Load]
    leaving: tuple[str, ...] = ()
    entries: tuple[UpstreamEntry, ...] = ()
    store_lost: bool = False


@dataclass(frozen=True, slots=True)
class Heard:
    """Hold the last message of a peer."""

    news: LoadNews
    at: Millis


@dataclass(frozen=True, slots=True)
class NewsState:
    """Hold the peers and what they said last."""

    peers_by_name: dict[str, PeerEntry] = field(default_factory=dict)
    heard_by_name: dict[str, Heard] = field(default_factory=dict)


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
class TakeLoads:
    """Replace what a peer has running."""

    peer: str
    loads_by_upstream: dict[str, Load]


@dataclass(frozen=True, slots=True)
class TakeLeaving:
    """Take over that an upstream leaves."""

    upstream: str


@dataclass(frozen=True, slots=True)
class TakeEntry:
    """Take over what an upstream wrote of itself."""

    entry: UpstreamEntry


@dataclass(frozen=True, slots=True)
class FetchTable:
    """Ask a peer for its configuration, which is newer."""

    peer: PeerEntry


Message = PeerListed | PeerRemoved | NewsArrived
Action = TakeLoads | TakeLeaving | TakeEntry | FetchTable
Decision = tuple[NewsState, tuple[Action, ...]]
