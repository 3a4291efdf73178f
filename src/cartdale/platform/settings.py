"""Read the settings file that the platform provides on a machine.

Each line is ``a.b=value``; list items are separated by commas. Unknown fields
are skipped, since later versions of the platform may add some.

A start needs name, addresses and store; for all other fields there are
defaults, which stand in for values that can't be used.
"""

from dataclasses import dataclass, field
from ipaddress import ip_address
from math import inf
from pathlib import Path
from typing import Final

from cartdale.clock import SECOND_MS, Millis
from cartdale.exceptions import BadInputError, InputFault, SourceLocation
from cartdale.fleet.cold import ColdBound
from cartdale.platform.fields import (
    NO_LINE,
    FieldReader,
    parse_bandwidth,
    parse_count,
    parse_megabytes,
    parse_millis,
    parse_names,
    parse_port,
    parse_ports,
    parse_requests,
    parse_seconds,
    parse_text,
    parse_window,
)
from cartdale.pressure.decide import DEFAULT_MEMORY

#: Environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE: Final = 'CARTDALE_BOOT'

#: In the list of the rules in force: peers may be slow to read.
_PRESSURE_CONTRACT = 'pressure'
#: In the same list: requests carry the keys of customers.
_CUSTOMERS_CONTRACT = 'tenants'
#: What systems allow a process unless they are told otherwise.
_DEFAULT_DESCRIPTORS = 1024


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An address that a process binds or connects to."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds that the platform sets.

    :param grace: time from SIGTERM to SIGKILL.
    :param retry_ratio: retries allowed per request of a service.
    :param retry_window: window over which retries are counted.
    :param retry_slack: additional retries allowed in all instances together.
    :param contact: recovery time after a fault; from then on an instance must
        meet its bounds.
    :param cold: bound of the requests to a cold upstream from all instances
        together.
    """

    grace: Millis = 5 * SECOND_MS
    retry_ratio: float = 0.1
    retry_window: Millis = 10 * SECOND_MS
    retry_slack: float = 0
    contact: Millis = 3 * SECOND_MS
    cold: ColdBound = ColdBound()


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings of one instance on the platform.

    :param name: unique among the machines.
    :param callers: endpoint for callers.
    :param ready: endpoint that the load balancer polls for readiness.
    :param peer_ports: first and last port that instances may use among
        themselves.
    :param store: the platform's store.
    :param control: endpoint for requests of other instances; ``None`` if the
        role does not serve it.
    :param seeds: control endpoints of up to three machines, which may be down.
    :param regions_by_domain: the region of each failure domain.
    :param link_mbps: bandwidth of the machine's link, in megabits per second;
        infinite if it is not told.
    :param max_descriptors: open files and connections of the process at most.
    :param memory_bytes: memory of the process at most; 0 for no bound.
    :param pressure: whether callers compete for room, and they and upstreams
        may be slow to read.
    :param expects_customers: whether requests carry keys of customers, which
        holds too if the file does not tell.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    callers: Endpoint
    ready: Endpoint
    peer_ports: tuple[int, int]
    store: Endpoint
    bounds: Bounds
    control: Endpoint | None = None
    seeds: tuple[Endpoint, ...] = ()
    regions_by_domain: dict[str, str] = field(default_factory=dict)
    link_mbps: float = inf
    max_descriptors: int = _DEFAULT_DESCRIPTORS
    memory_bytes: int = 0
    pressure: bool = False
    expects_customers: bool = True


@dataclass(frozen=True, slots=True)
class StartSettings:
    """Hold what a start goes by.

    :param settings: with defaults for values that can't be used; ``None`` if
        a field that a start can't do without is one of these.
    """

    settings: PlatformSettings | None
    faults: tuple[InputFault, ...] = ()

    @property
    def lacks_fields(self) -> bool:
        """Return whether the file is missing or may not be whole yet."""
        return any(fault.location.line == NO_LINE for fault in self.faults)


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and validate a settings file.

    :raises BadInputError: naming file, line and field of every fault.
    """
    return parse_platform_settings(_read_text(path), str(path))


def load_start_settings(path: Path) -> StartSettings:
    """Read a settings file for a start."""
    try:
        return parse_start_settings(_read_text(path), str(path))
    except BadInputError as error:
        return StartSettings(None, error.faults)


def read_stamp(path: Path) -> tuple[int, int]:
    """Return the file's modification time and size; zeros if it is missing."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def parse_platform_settings(text: str, path: str) -> PlatformSettings:
    """Parse and validate the text of a settings file.

    :param path: path of the file for error messages.
    :raises BadInputError: naming file, line and field of every fault.
    """
    reader = FieldReader(text, path)
    settings = _parse_fields(reader)
    if reader.faults:
        raise BadInputError(tuple(reader.faults))
    return settings


def parse_start_settings(text: str, path: str) -> StartSettings:
    """Parse the text of a settings file for a start.

    :param path: path of the file for error messages.
    """
    reader = FieldReader(text, path)
    settings = _parse_fields(reader)
    usable = None if reader.lacks_vital else settings
    return StartSettings(usable, tuple(reader.faults))


def _read_text(path: Path) -> str:
    try:
        # What is no text costs the field that it is in.
        return path.read_bytes().decode('utf-8-sig', errors='replace')
    except OSError as error:
        location = SourceLocation(str(path), NO_LINE, '(file)')
        raise BadInputError((InputFault(location, str(error)),)) from error


def _parse_fields(reader: FieldReader) -> PlatformSettings:
    """Return the settings; faults are left with the reader."""
    contracts = reader.parse_optional('contracts', parse_names, _NO_NAMES)
    return PlatformSettings(
        name=reader.parse_required('node', parse_text, ''),
        address=reader.parse_required('ip', parse_text, ''),
        failure_domain=reader.parse_required('zone', parse_text, ''),
        region=reader.parse_required('region', parse_text, ''),
        callers=reader.parse_required(
            'listen.front', _parse_endpoint, _NO_ENDPOINT
        ),
        ready=reader.parse_required(
            'listen.ready', _parse_endpoint, _NO_ENDPOINT
        ),
        peer_ports=reader.parse_required('internalPorts', parse_ports, (0, 0)),
        store=reader.parse_required(
            'platform.address', _parse_endpoint, _NO_ENDPOINT
        ),
        bounds=_parse_bounds(reader),
        control=reader.parse_optional('listen.control', _parse_endpoint, None),
        seeds=reader.parse_list('seeds', _parse_seed),
        regions_by_domain=reader.parse_table('zones.'),
        link_mbps=reader.parse_optional(
            'limits.linkMbps', parse_bandwidth, inf
        ),
        max_descriptors=reader.parse_optional(
            'limits.maxFds', parse_count, _DEFAULT_DESCRIPTORS
        ),
        memory_bytes=reader.parse_optional(
            'limits.memoryMb', parse_megabytes, DEFAULT_MEMORY
        ),
        pressure=_PRESSURE_CONTRACT in contracts,
        expects_customers=not contracts or _CUSTOMERS_CONTRACT in contracts,
    )


def _parse_bounds(reader: FieldReader) -> Bounds:
    default = Bounds()
    return Bounds(
        grace=reader.parse_expected(
            'bounds.graceS', parse_seconds, default.grace
        ),
        retry_ratio=reader.parse_expected(
            'bounds.retryBudgetRatio', parse_requests, default.retry_ratio
        ),
        retry_window=reader.parse_expected(
            'bounds.budgetWindowS', parse_window, default.retry_window
        ),
        retry_slack=reader.parse_expected(
            'bounds.budgetSlack', parse_requests, default.retry_slack
        ),
        contact=reader.parse_optional(
            'bounds.contactMs', parse_millis, default.contact
        ),
        cold=ColdBound(
            reader.parse_optional('bounds.coldOverage', parse_requests, 1.0),
            reader.parse_optional('bounds.coldSlack', parse_requests, float()),
        ),
    )


def _parse_endpoint(raw: str) -> Endpoint:
    address, mark, port = raw.rpartition(':')
    if not mark or not address:
        raise ValueError('expected IP:PORT')
    return Endpoint(address, parse_port(port))


def _parse_seed(raw: str) -> Endpoint:
    seed = _parse_endpoint(raw)
    ip_address(seed.address)
    return seed


_NO_ENDPOINT = Endpoint('', 0)
_NO_NAMES: frozenset[str] = frozenset()
