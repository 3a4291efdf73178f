"""Read the settings file that the platform lays on a machine.

Each line is ``a.b=value``; commas join the items of a list. Fields that are
not known are skipped, since later versions of the platform may add some.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, TypeVar

from cartdale.clock import SECOND_MS, Millis
from cartdale.exceptions import BadInputError, InputFault, SourceLocation
from cartdale.fleet.cold import ColdBound

#: Environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE: Final = 'CARTDALE_BOOT'

_HIGHEST_PORT = 65535
_MISSING_LINE = 0

Parsed = TypeVar('Parsed')


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Name an address that a process binds or connects to."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the time bounds that the platform sets.

    :param grace: from SIGTERM to SIGKILL.
    :param retry_ratio: repeats allowed for each request of a service.
    :param retry_window: span over which repeats are counted.
    :param retry_slack: repeats allowed on top, in all instances together.
    :param contact: an instance is held to its bounds so long after a trouble.
    :param cold: what a cold upstream may get from all instances together.
    """

    grace: Millis
    retry_ratio: float
    retry_window: Millis
    retry_slack: float
    contact: Millis = 3 * SECOND_MS
    cold: ColdBound = ColdBound()


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Configure one instance on the platform.

    :param name: unique among the machines.
    :param callers: where callers connect.
    :param ready: where the balancer asks whether to send connections here.
    :param peer_ports: first and last port that is free between instances.
    :param store: the platform's store.
    :param control: where other instances of the system ask; ``None`` where
        the role does not serve that.
    :param seeds: the same of up to three machines, which may be down.
    :param regions_by_domain: the region in which each failure domain lies.
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


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check a settings file.

    :raises BadInputError: naming file, line and field of every fault.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        location = SourceLocation(str(path), _MISSING_LINE, '(file)')
        raise BadInputError((InputFault(location, str(error)),)) from error
    return parse_platform_settings(text, str(path))


def read_stamp(path: Path) -> tuple[int, int]:
    """Return what changes when the file does; zeros when there is none."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def parse_platform_settings(text: str, path: str) -> PlatformSettings:
    """Check the text of a settings file.

    :param path: names the file in errors.
    :raises BadInputError: naming file, line and field of every fault.
    """
    reader = _FieldReader(text, path)
    settings = PlatformSettings(
        name=reader.take('node', _parse_text, ''),
        address=reader.take('ip', _parse_text, ''),
        failure_domain=reader.take('zone', _parse_text, ''),
        region=reader.take('region', _parse_text, ''),
        callers=reader.take('listen.front', _parse_endpoint, _NO_ENDPOINT),
        ready=reader.take('listen.ready', _parse_endpoint, _NO_ENDPOINT),
        peer_ports=reader.take('internalPorts', _parse_ports, (0, 0)),
        store=reader.take('platform.address', _parse_endpoint, _NO_ENDPOINT),
        bounds=Bounds(
            grace=reader.take('bounds.graceS', _parse_seconds, 0),
            retry_ratio=reader.take('bounds.retryBudgetRatio', float, float()),
            retry_window=reader.take('bounds.budgetWindowS', _parse_seconds, 0),
            retry_slack=reader.take('bounds.budgetSlack', float, float()),
            contact=reader.take_optional(
                'bounds.contactMs', int, 3 * SECOND_MS
            ),
            cold=ColdBound(
                reader.take_optional('bounds.coldOverage', float, 1.0),
                reader.take_optional('bounds.coldSlack', float, float()),
            ),
        ),
        control=reader.take_optional('listen.control', _parse_endpoint, None),
        seeds=reader.take_optional('seeds', _parse_endpoints, ()),
        regions_by_domain=reader.take_table('zones.'),
    )
    reader.finish()
    return settings


_NO_ENDPOINT = Endpoint('', 0)


class _FieldReader:
    """Take typed fields from the text and gather every fault."""

    def __init__(self, text: str, path: str) -> None:
        self._path = path
        self._faults: list[InputFault] = []
        self._rows_by_field: dict[str, tuple[int, str]] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            self._add(number, line.strip())

    def take(
        self, name: str, parse: Callable[[str], Parsed], missing: Parsed
    ) -> Parsed:
        """Return a field's value, or note a fault and return ``missing``."""
        number, raw = self._rows_by_field.get(name, (_MISSING_LINE, ''))
        if not raw:
            self._blame(number, name, 'a value is required')
            return missing
        return self.take_optional(name, parse, missing)

    def take_optional(
        self, name: str, parse: Callable[[str], Parsed], missing: Parsed
    ) -> Parsed:
        """Return a field's value, or ``missing`` where there is none.

        A value that can't be read is a fault here too.
        """
        number, raw = self._rows_by_field.get(name, (_MISSING_LINE, ''))
        if not raw:
            return missing
        try:
            return parse(raw)
        except ValueError as error:
            self._blame(number, name, str(error))
            return missing

    def take_table(self, prefix: str) -> dict[str, str]:
        """Return the values of all fields with a prefix by what follows it."""
        return {
            name.removeprefix(prefix): raw
            for name, (_, raw) in self._rows_by_field.items()
            if name.startswith(prefix)
        }

    def finish(self) -> None:
        """Raise what was found.

        :raises BadInputError: when there was any fault.
        """
        if self._faults:
            raise BadInputError(tuple(self._faults))

    def _add(self, number: int, line: str) -> None:
        if not line or line.startswith('#'):
            return
        name, mark, raw = line.partition('=')
        if not mark:
            self._blame(number, line, 'expected NAME=VALUE')
            return
        self._rows_by_field[name.strip()] = (number, raw.strip())

    def _blame(self, number: int, name: str, expected: str) -> None:
        location = SourceLocation(self._path, number, name)
        self._faults.append(InputFault(location, expected))


def _parse_text(raw: str) -> str:
    return raw


def _parse_seconds(raw: str) -> Millis:
    return int(float(raw) * SECOND_MS)


def _parse_endpoint(raw: str) -> Endpoint:
    address, mark, port = raw.rpartition(':')
    if not mark or not address:
        raise ValueError('expected IP:PORT')
    return Endpoint(address, _parse_port(port))


def _parse_endpoints(raw: str) -> tuple[Endpoint, ...]:
    return tuple(_parse_endpoint(part.strip()) for part in raw.split(','))


def _parse_port(raw: str) -> int:
    port = int(raw)
    if not 0 < port <= _HIGHEST_PORT:
        raise ValueError(f'expected a port from 1 to {_HIGHEST_PORT}')
    return port


def _parse_ports(raw: str) -> tuple[int, int]:
    first, mark, last = raw.partition(',')
    if not mark:
        raise ValueError('expected FIRST,LAST')
    return _parse_port(first), _parse_port(last)
