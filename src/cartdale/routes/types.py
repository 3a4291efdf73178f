"""Types of the routing table in force."""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis


class RouteKind(StrEnum):
    """Whether requests may be retried, and how the response arrives."""

    #: May be executed more than once.
    SAFE = 'safe'
    #: Is executed at most once per request.
    UNSAFE = 'unsafe'
    #: Responds with an event stream; executed at most once unless its route is
    #: resumable.
    STREAM = 'stream'


class KeyFault(StrEnum):
    """Why a request's key names no customer."""

    MISSING = 'missing key'
    UNKNOWN = 'unknown key'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's share of a route's requests.

    :param weight: weight relative to the other shares of the route.
    """

    service: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the requests to a host below a path prefix.

    :param prefix: path prefix that starts and ends with a slash.
    :param timeout: maximum time that a request may be held.
    :param target_latency: target time to the start of a response; a later one
        has little value.
    :param target_gap: maximum pause between events; 0 for none.
    :param caller_read_timeout: time without data after which callers give up
        a stream; 0 for no bound but the route's timeout.
    :param priority: 0 is the most urgent.
    :param max_attempts: maximum number of upstreams that a request may run on.
    :param anonymous: whether requests need no key.
    :param resumable: whether any engine may resume a stream of this route
        after the last event that the caller received.
    :param regions: regions that its requests and their bodies may be sent to;
        ``None`` for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: Millis
    target_latency: Millis
    shares: tuple[ServiceShare, ...]
    target_gap: Millis = 0
    caller_read_timeout: Millis = 0
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be executed again elsewhere."""
        resumable = self.kind is RouteKind.STREAM and self.resumable
        return resumable or self.kind is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties of the engines of a service.

    :param memory_tokens: memory of one engine in tokens, running and cached.
    :param token_bytes: size of one token's memory when copied, in bytes.
    :param link_mbps: bandwidth of an engine's link in megabits per second.
    :param event_tokens: tokens per event of a stream.
    :param moves: whether a running generation can be moved.
    :param backups: whether an engine can keep a backup at another up to date.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    event_tokens: int = 1
    moves: bool = False
    backups: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Properties of one service.

    :param max_connections: maximum number of connections that one upstream
        accepts from all instances together.
    :param cold_start: time that an upstream is cold after its start.
    :param cold_rate: requests per second that a cold upstream sustains from
        all instances together; 0 for no bound.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_start: Millis = 0
    cold_rate: float = 0


@dataclass(frozen=True, slots=True)
class Customer:
    """The customer that owns a key.

    :param priority: overrides the route's priority; ``None`` keeps it.
    :param regions: regions that its requests may be sent to; ``None`` for all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on callers' requests and connections.

    :param idle_timeout: maximum idle time of a kept-alive connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: Millis = 3 * SECOND_MS
    idle_timeout: Millis = MINUTE_MS // 4


@dataclass(frozen=True, slots=True)
class TableFault:
    """A part of the configuration that can't be used.

    :param field: its path in the stored form.
    """

    field: str
    detail: str


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration, indexed for look-ups.

    :param routes_by_host: the routes of each host, longest prefix first.
    :param customers_by_name: all customers, also those without a key.
    :param lists_customers: whether the configuration has a list of customers,
        be it empty; a list without any customer accepts no key.
    :param faults: parts without which it is in force.
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[str, ServiceSpec] = field(default_factory=dict)
    customers_by_name: dict[str, Customer] = field(default_factory=dict)
    customers_by_key: dict[str, Customer] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
    lists_customers: bool = False
    faults: tuple[TableFault, ...] = ()
