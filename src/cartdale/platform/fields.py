"""Parse the fields of the platform's settings file.

Every number has bounds, far above any that is meant: what is computed from it
stays finite and can be waited for.
"""

from collections.abc import Callable
from functools import partial
from typing import Final, TypeVar

from cartdale.clock import HOUR_MS, SECOND_MS, Millis
from cartdale.exceptions import InputFault, SourceLocation

#: Line of a field that is missing.
NO_LINE: Final = 0
_MAX_PORT = 65535
_MEGABYTE = 1024 * 1024
_MAX_TIME: Millis = 24 * HOUR_MS
_SHORTEST_WINDOW: Millis = 100
_MAX_REQUESTS = 1e9
_MAX_LINK_MBPS = 1e7
_MAX_COUNT = 10**9
#: Of what a value was refused for.
_MAX_DETAIL = 200

Parsed = TypeVar('Parsed')


class FieldReader:
    """Parser of typed fields that collects every fault."""

    def __init__(self, text: str, path: str) -> None:
        self._path = path
        self.faults: list[InputFault] = []
        #: Whether a required field has a fault.
        self.lacks_vital = False
        self._rows_by_field: dict[str, tuple[int, str]] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            self._add_line(number, line.strip())

    def parse_required(
        self, name: str, parse: Callable[[str], Parsed], missing: Parsed
    ) -> Parsed:
        """Return the value of a field that a start can't do without.

        Records a fault and returns ``missing`` if there is none.
        """
        before = len(self.faults)
        parsed = self.parse_expected(name, parse, missing)
        self.lacks_vital |= len(self.faults) > before
        return parsed

    def parse_expected(
        self, name: str, parse: Callable[[str], Parsed], default: Parsed
    ) -> Parsed:
        """Return a field's value, or record a fault and return ``default``."""
        number, raw = self._rows_by_field.get(name, (NO_LINE, ''))
        if not raw:
            self._add_fault(number, name, 'a value is required')
            return default
        return self.parse_optional(name, parse, default)

    def parse_optional(
        self, name: str, parse: Callable[[str], Parsed], missing: Parsed
    ) -> Parsed:
        """Return a field's value, or ``missing`` if there is none.

        A value that can't be parsed is recorded as a fault here too.
        """
        number, raw = self._rows_by_field.get(name, (NO_LINE, ''))
        if not raw:
            return missing
        try:
            return parse(raw)
        except ValueError as error:
            self._add_fault(number, name, str(error)[:_MAX_DETAIL])
            return missing

    def parse_list(
        self, name: str, parse: Callable[[str], Parsed]
    ) -> tuple[Parsed, ...]:
        """Return a field's items; a fault of one leaves the others."""
        number, raw = self._rows_by_field.get(name, (NO_LINE, ''))
        parsed: list[Parsed] = []
        for text in raw.split(','):
            if not text.strip():
                continue
            try:
                parsed.append(parse(text.strip()))
            except ValueError as error:
                self._add_fault(number, name, str(error)[:_MAX_DETAIL])
        return tuple(parsed)

    def parse_table(self, prefix: str) -> dict[str, str]:
        """Return all fields with a prefix, keyed by the rest of their name."""
        return {
            name.removeprefix(prefix): raw
            for name, (_, raw) in self._rows_by_field.items()
            if name.startswith(prefix)
        }

    def _add_line(self, number: int, line: str) -> None:
        if not line or line.startswith('#'):
            return
        name, mark, raw = line.partition('=')
        if not mark:
            self._add_fault(number, line, 'expected NAME=VALUE')
            return
        self._rows_by_field[name.strip()] = (number, raw.strip())

    def _add_fault(self, number: int, name: str, expected: str) -> None:
        location = SourceLocation(self._path, number, name)
        self.faults.append(InputFault(location, expected))


def parse_text(raw: str) -> str:
    """Return a text as it is."""
    return raw


def _parse_number(raw: str, low: float, high: float) -> float:
    number = float(raw)
    if not low <= number <= high:
        raise ValueError(f'expected a number from {low:g} to {high:g}')
    return number


def parse_requests(raw: str) -> float:
    """Return a number of requests, or one for each request.

    :raises ValueError: if it is none, negative, infinite or absurd.
    """
    return _parse_number(raw, 0, _MAX_REQUESTS)


def parse_millis(raw: str, unit: Millis = 1, low: Millis = 0) -> Millis:
    """Return a time.

    :param unit: what the text counts.
    :raises ValueError: if it is none, under ``low`` or absurd.
    """
    return int(_parse_number(raw, low / unit, _MAX_TIME / unit) * unit)


parse_seconds = partial(parse_millis, unit=SECOND_MS)
parse_window = partial(parse_millis, unit=SECOND_MS, low=_SHORTEST_WINDOW)


def parse_bandwidth(raw: str) -> float:
    """Return megabits per second.

    :raises ValueError: if it is no positive number, or absurd.
    """
    bandwidth = float(raw)
    if not 0 < bandwidth <= _MAX_LINK_MBPS:
        raise ValueError(f'expected a positive number to {_MAX_LINK_MBPS:g}')
    return bandwidth


def parse_count(raw: str) -> int:
    """Return how many there are of something.

    :raises ValueError: if it is no positive number, or absurd.
    """
    count = int(raw)
    if not 0 < count <= _MAX_COUNT:
        raise ValueError(f'expected a positive number to {_MAX_COUNT}')
    return count


def parse_megabytes(raw: str) -> int:
    """Return bytes.

    :raises ValueError: if it is no positive number, or absurd.
    """
    return parse_count(raw) * _MEGABYTE


def parse_names(raw: str) -> frozenset[str]:
    """Return names that commas separate."""
    return frozenset(name.strip() for name in raw.split(','))


def parse_port(raw: str) -> int:
    """Return a port.

    :raises ValueError: if it is none.
    """
    port = int(raw)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'expected a port from 1 to {_MAX_PORT}')
    return port


def parse_ports(raw: str) -> tuple[int, int]:
    """Return a first and a last port.

    :raises ValueError: if it is none.
    """
    first, mark, last = raw.partition(',')
    if not mark:
        raise ValueError('expected FIRST,LAST')
    return parse_port(first), parse_port(last)
