"""Decode the values that the operator and upstreams write to the store."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Any, Final

import msgspec

from cartdale.clock import SECOND_MS, Millis
from cartdale.codec import decode_json
from cartdale.exceptions import CartdaleError, UndecodableError
from cartdale.fleet.types import Lifecycle, UpstreamEntry
from cartdale.platform.births import is_in_future
from cartdale.platform.carried import (
    NO_HEADER,
    NO_PATH,
    fits_header,
    fits_request_line,
)
from cartdale.platform.customers import (
    Tenant,
    index_customers,
    read_regions,
)
from cartdale.platform.names import STATE_DRAINING, STATE_READY
from cartdale.ranges import (
    LARGEST,
    Address,
    Amount,
    Count,
    FractionalSpan,
    Integer,
    Ordinal,
    PositiveCount,
    Size,
    SmallInteger,
    Span,
)
from cartdale.routes.types import (
    EngineSpec,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
    TableFault,
)

CONFIGURATION_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'
EVACUATION_PREFIX = 'op/evacuate/'
#: Precedes the path of a field in the detail of a fault.
_PATH_MARK: Final = ' - at '

_DEFAULT_HEALTH_PATH: Final = '/health'

#: Callers give up a stream, also before its first event, after the longest of
#: two seconds, a multiple of its target latency and a multiple of its target
#: gap.
_MIN_CALLER_TIMEOUT: Millis = 2 * SECOND_MS
_TIMEOUT_PER_TARGET_LATENCY = 4
_TIMEOUT_PER_TARGET_GAP = 8

_KINDS_BY_NAME: Mapping[str, RouteKind] = MappingProxyType(
    {
        'safe': RouteKind.SAFE,
        'unsafe': RouteKind.UNSAFE,
        'streaming': RouteKind.STREAM,
    },
)


_LIFECYCLES_BY_STATE: Mapping[str, Lifecycle] = MappingProxyType(
    {STATE_READY: Lifecycle.LIVE, STATE_DRAINING: Lifecycle.LEAVING},
)


class BadDocumentError(CartdaleError):
    """Raised for a stored value that is malformed.

    :param key: the value's key in the store.
    :param detail: description of the fault, with the path of the field.
    """

    exit_code = 2

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(key, detail)
        self.key = key
        self.detail = detail

    @property
    def field(self) -> str:
        """Return the path of the field at fault; empty if it has none."""
        _, mark, path = self.detail.rpartition(_PATH_MARK)
        return path.strip('`') if mark else ''

    def format_message(self) -> str:
        """Return the key and the fault in its value."""
        return f'{self.key}: {self.detail}'


class _Split(msgspec.Struct):
    service: str
    weight: Amount


class _Route(msgspec.Struct, rename='camel'):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: Span
    target_latency_ms: Span = 0
    #: Maximum pause between events that meets the target.
    target_gap_ms: Span = 0
    priority: SmallInteger = 0
    service: str = ''
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: Count = 1
    allow_anonymous: bool = False
    #: Whether any engine may resume a stream.
    resumable: bool = False
    allowed_regions: frozenset[str] | None | msgspec.UnsetType = msgspec.UNSET


class _Engine(msgspec.Struct, rename='camel'):
    slots: Count
    #: Tokens of running requests and cached prompts together.
    kv_capacity: Size
    kv_bytes: Annotated[float, msgspec.Meta(ge=0, le=LARGEST)]
    link_mbps: Amount
    #: Tokens per event of a stream.
    stride: Count = 1
    moves: bool = False
    backups: bool = False


class _Service(msgspec.Struct, rename='camel'):
    name: str
    health_path: str = _DEFAULT_HEALTH_PATH
    max_connections: Count = 0
    engine: _Engine | None = None
    cold_start_s: Annotated[
        float, msgspec.Meta(ge=0, le=LARGEST / SECOND_MS)
    ] = 0
    #: Requests per second that an upstream sustains while it is cold.
    cold_per_s: Amount = 0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: Size = 16384
    max_body_bytes: Size = 4194304
    header_timeout_ms: Span = 3000
    idle_timeout_ms: Span = 15000


class _Configuration(msgspec.Struct):
    version: Integer
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[Tenant, ...] | None | msgspec.UnsetType = msgspec.UNSET


class _Upstream(msgspec.Struct, rename='camel'):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: Address
    zone: str
    #: Version of its software.
    version: str | Integer
    slots: PositiveCount
    state: str
    #: Remaining time that the upstream is slow after its start.
    cold_remaining_ms: FractionalSpan
    #: Number of its writes since its start.
    sequence: Integer
    #: Unix milliseconds of its start; older platforms omit it.
    born: Ordinal = 0


def decode_table(raw: bytes) -> RoutingTable:
    """Decode the operator's configuration.

    A customer or a path that no request can carry costs only itself.

    :raises BadDocumentError: when it is malformed.
    """
    stored = _decode(CONFIGURATION_KEY, raw, _Configuration)
    _validate(stored)
    routes_by_host: dict[str, list[Route]] = {}
    for stored_route in stored.routes:
        route = _to_route(stored_route)
        routes_by_host.setdefault(route.host, []).append(route)
    limits = stored.limits
    index = index_customers(stored.tenants or ())
    return RoutingTable(
        version=stored.version,
        routes_by_host={
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in routes_by_host.items()
        },
        services_by_name={
            service.name: _to_service(service) for service in stored.services
        },
        customers_by_name=index.customers_by_name,
        customers_by_key=index.customers_by_key,
        limits=RequestLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout_ms,
            idle_timeout=limits.idle_timeout_ms,
        ),
        lists_customers=stored.tenants is not msgspec.UNSET,
        faults=(*index.faults, *_list_odd_paths(stored)),
    )


def decode_upstream(key: str, raw: bytes) -> UpstreamEntry:
    """Decode an upstream's entry.

    Other writers may use these keys too: a value that lacks a field, or has a
    state that the platform does not define, is not an upstream's entry.

    :raises BadDocumentError: when it is malformed.
    """
    name = key.removeprefix(UPSTREAM_PREFIX)
    if not fits_header(name):
        raise BadDocumentError(key, NO_HEADER)
    stored = _decode(key, raw, _Upstream)
    lifecycle = _LIFECYCLES_BY_STATE.get(stored.state)
    if lifecycle is None:
        raise BadDocumentError(key, 'unknown state - at `$.state`')
    if is_in_future(stored.born):
        raise BadDocumentError(key, 'in the future - at `$.born`')
    return UpstreamEntry(
        upstream=name,
        service=stored.service,
        address=stored.address,
        failure_domain=stored.zone,
        slots=stored.slots,
        lifecycle=lifecycle,
        cold_for=int(stored.cold_remaining_ms),
        born=stored.born,
    )


def _validate(stored: _Configuration) -> None:
    """Reject weights, memory sizes and bandwidths that are not positive."""
    for number, route in enumerate(stored.routes):
        weights = [split.weight for split in route.traffic_split]
        if weights and (min(weights) < 0 or sum(weights) <= 0):
            raise BadDocumentError(
                CONFIGURATION_KEY,
                f'no positive weight - at `$.routes[{number}].trafficSplit`',
            )
    for index, service in enumerate(stored.services):
        engine = service.engine
        if engine and min(engine.kv_capacity, engine.link_mbps) <= 0:
            raise BadDocumentError(
                CONFIGURATION_KEY,
                'kvCapacity and linkMbps must be positive '
                f'- at `$.services[{index}].engine`',
            )


def _decode(key: str, raw: bytes, shape: type[Any]) -> Any:
    try:
        return decode_json(raw, shape)
    except UndecodableError as error:
        raise BadDocumentError(key, str(error)) from error


def _to_route(stored: _Route) -> Route:
    kind = _KINDS_BY_NAME.get(stored.kind, RouteKind.UNSAFE)
    shares = tuple(
        ServiceShare(split.service, split.weight)
        for split in stored.traffic_split
    )
    return Route(
        name=stored.name,
        host=stored.hostname.lower(),
        prefix=stored.path_prefix,
        kind=kind,
        timeout=stored.timeout_ms,
        target_latency=stored.target_latency_ms,
        shares=shares or (ServiceShare(stored.service),),
        target_gap=stored.target_gap_ms,
        caller_read_timeout=_find_caller_timeout(stored)
        if kind is RouteKind.STREAM
        else 0,
        priority=stored.priority,
        max_attempts=stored.max_attempts,
        anonymous=stored.allow_anonymous,
        resumable=stored.resumable,
        regions=read_regions(stored.allowed_regions),
    )


def _list_odd_paths(stored: _Configuration) -> list[TableFault]:
    return [
        TableFault(f'$.services[{number}].healthPath', NO_PATH)
        for number, service in enumerate(stored.services)
        if not fits_request_line(service.health_path)
    ]


def _to_service(stored: _Service) -> ServiceSpec:
    path = stored.health_path
    return ServiceSpec(
        name=stored.name,
        health_path=path if fits_request_line(path) else _DEFAULT_HEALTH_PATH,
        max_connections=stored.max_connections,
        engine=_to_engine(stored.engine) if stored.engine else None,
        cold_start=int(stored.cold_start_s * SECOND_MS),
        cold_rate=stored.cold_per_s,
    )


def _to_engine(stored: _Engine) -> EngineSpec:
    return EngineSpec(
        slots=stored.slots,
        memory_tokens=stored.kv_capacity,
        token_bytes=int(stored.kv_bytes),
        link_mbps=stored.link_mbps,
        event_tokens=max(stored.stride, 1),
        moves=stored.moves,
        backups=stored.backups,
    )


def _find_caller_timeout(stored: _Route) -> Millis:
    """Return the time without an event after which callers give up a stream."""
    return max(
        _MIN_CALLER_TIMEOUT,
        _TIMEOUT_PER_TARGET_LATENCY * stored.target_latency_ms,
        _TIMEOUT_PER_TARGET_GAP * stored.target_gap_ms,
    )


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
