"""Load settings from a JSON-with-comments file."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from cartdale.documents import Document, parse_document
from cartdale.exceptions import BadInputError, InputFault, SourceLocation
from cartdale.settings.types import Listener, Settings
from cartdale.structuring import structure_document

_HIGHEST_PORT = 65535
_SHORTEST_KEY = 16


@dataclass(frozen=True, slots=True)
class Keys:
    """Hold the secrets that the settings name; never logged.

    :param cluster: shared by all instances, newest first.
    :param operators: accepted from operators.
    """

    cluster: tuple[bytes, ...]
    operators: tuple[bytes, ...]

    def __repr__(self) -> str:
        """Hide the secrets."""
        return f'Keys({len(self.cluster)}, {len(self.operators)})'


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises BadInputError: naming file, line and field of every fault.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        location = SourceLocation(str(path), 0, '(file)')
        raise BadInputError((InputFault(location, str(error)),)) from error
    document = parse_document(text, str(path))
    settings = structure_document(document, Settings)
    faults = tuple(_check(settings, document))
    if faults:
        raise BadInputError(faults)
    return settings


def load_keys(settings: Settings, base: Path) -> Keys:
    """Read the key files.

    :param base: directory that relative names start from.
    :raises BadInputError: when a file is missing or a key is too short.
    """
    return Keys(
        _read_keys(settings.cluster_key_files, base, 'cluster_key_files'),
        _read_keys(settings.operator_key_files, base, 'operator_key_files'),
    )


def _read_keys(
    names: tuple[str, ...], base: Path, field: str
) -> tuple[bytes, ...]:
    keys: list[bytes] = []
    faults: list[InputFault] = []
    for index, name in enumerate(names):
        location = SourceLocation(str(base / name), 0, f'{field}.{index}')
        try:
            key = (base / name).read_bytes().strip()
        except OSError as error:
            faults.append(InputFault(location, str(error)))
            continue
        if len(key) < _SHORTEST_KEY:
            expected = f'a key of at least {_SHORTEST_KEY} bytes'
            faults.append(InputFault(location, expected))
            continue
        keys.append(key)
    if faults:
        raise BadInputError(tuple(faults))
    return tuple(keys)


def _check(settings: Settings, document: Document) -> Iterator[InputFault]:
    listeners_by_field = {
        'callers': settings.callers,
        'peers': settings.peers,
        'operators': settings.operators,
    }
    fields_by_port: dict[tuple[str, int], str] = {}
    for name, listener in listeners_by_field.items():
        yield from _check_port(name, listener, document)
        bound = (listener.address, listener.port)
        other = fields_by_port.setdefault(bound, name)
        if other != name and listener.port:
            yield InputFault(
                document.locate(f'{name}.port'), f'not the port of {other}'
            )
    if not settings.cluster_key_files:
        yield InputFault(
            document.locate('cluster_key_files'), 'at least one file'
        )


def _check_port(
    name: str, listener: Listener, document: Document
) -> Iterator[InputFault]:
    if not 0 <= listener.port <= _HIGHEST_PORT:
        yield InputFault(
            document.locate(f'{name}.port'), f'0 to {_HIGHEST_PORT}'
        )
