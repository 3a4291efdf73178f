"""Types of the routing table that is in force."""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis


class RouteKind(StrEnum):
    """Say what may be repeated, and how the answer arrives."""

    #: May run more than once.
    SAFE = 'safe'
    #: Runs at most once for each request.
    UNSAFE = 'unsafe'
    #: Answers in events; runs at most once unless its route is resumable.
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service a part of a route's requests.

    :param weight: relative to the other shares of the route.
    """

    service: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Route:
    """Direct the requests of a host below a path prefix.

    :param prefix: starts and ends with a slash.
    :param timeout: longest time that a request may be held.
    :param target_latency: an answer that starts later earns little.
    :param target_gap: longest pause between events; 0 for none.
    :param caller_read_timeout: a caller gives a stream up that shows nothing
        for so long; 0 for no bound but its time limit.
    :param priority: 0 is the most urgent.
    :param max_attempts: upstreams that one request may run on.
    :param anonymous: whether requests need no key.
    :param resumable: whether any engine may go on with a stream of it after
        the last event that the caller has.
    :param regions: where its requests and their bodies may go; empty for
        everywhere.
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
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again at another upstream."""
        resumable = self.kind is RouteKind.STREAM and self.resumable
        return resumable or self.kind is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Describe the engines of a service.

    :param memory_tokens: tokens that one engine holds, running and cached.
    :param token_bytes: memory of a token, in bytes, when it is copied.
    :param link_mbps: bandwidth of an engine's link in megabits per second.
    :param event_tokens: tokens that one event of a stream holds.
    :param moves: whether a running generation can be moved.
    :param backups: whether an engine can keep another up to date.
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
    """Describe one service.

    :param max_connections: that one upstream takes from all instances.
    :param cold_start: how long an upstream is cold after its start.
    :param cold_rate: requests a second that a cold upstream bears from all
        instances together; 0 for no bound.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_start: Millis = 0
    cold_rate: float = 0


@dataclass(frozen=True, slots=True)
class Customer:
    """Name who holds a key.

    :param priority: goes before the route's; ``None`` leaves it.
    :param regions: where its requests may go; empty for everywhere.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bound what a caller may send and how long it may rest.

    :param idle_timeout: a kept connection may rest for so long.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: Millis = 3 * SECOND_MS
    idle_timeout: Millis = MINUTE_MS // 4


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Hold one version of the configuration, ready for look-ups.

    :param routes_by_host: the longest prefixes first.
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[str, ServiceSpec] = field(default_factory=dict)
    customers_by_key: dict[str, Customer] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
