"""Convert declared objects to JSON bodies by key, and back."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from loguru import logger

from cartdale.codec import decode_json, encode_json
from cartdale.configuration.types import ConfigurationState
from cartdale.declarations.types import (
    KINDS,
    Customer,
    Declarations,
    FailureDomain,
    Model,
    Service,
    Upstream,
)
from cartdale.exceptions import UndecodableError

_TYPES_BY_KIND: Mapping[str, type[Any]] = MappingProxyType(
    {
        'models': Model,
        'failure_domains': FailureDomain,
        'upstreams': Upstream,
        'services': Service,
        'customers': Customer,
    }
)


def encode_bodies(declared: Declarations) -> dict[str, str]:
    """Encode every declared object under its ``kind.name`` key."""
    bodies_by_key: dict[str, str] = {}
    for kind in KINDS:
        for name, declared_object in getattr(declared, kind).items():
            key = f'{kind}.{name}'
            bodies_by_key[key] = encode_json(declared_object).decode()
    return bodies_by_key


def decode_bodies(bodies_by_key: dict[str, str]) -> Declarations:
    """Decode a configuration from its bodies by key.

    :raises UndecodableError: if a body does not match its kind, or its kind is
        unknown.
    """
    declared = Declarations()
    for key, body in bodies_by_key.items():
        kind, _, name = key.partition('.')
        shape = _TYPES_BY_KIND.get(kind)
        if shape is None:
            raise UndecodableError(f'unknown kind of object {kind!r}')
        decoded = decode_json(body, shape)
        getattr(declared, kind)[name] = decoded
    return declared


def read_bodies(state: ConfigurationState) -> Declarations | None:
    """Decode a configuration; ``None``, and a log line, if that fails."""
    try:
        return decode_bodies(state.bodies_by_key)
    except UndecodableError as error:
        logger.error(
            'configuration unreadable',
            revision=state.revision,
            detail=error.detail,
        )
        return None
