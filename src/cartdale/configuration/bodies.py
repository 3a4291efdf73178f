"""Convert declared objects to JSON bodies by key, and back."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from cartdale.codec import decode_json, encode_json
from cartdale.declarations.types import (
    KINDS,
    Customer,
    Declarations,
    FailureDomain,
    Model,
    Service,
    Upstream,
)

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

    :raises msgspec.MsgspecError: if a body does not match its kind.
    """
    declared = Declarations()
    for key, body in bodies_by_key.items():
        kind, _, name = key.partition('.')
        decoded = decode_json(body, _TYPES_BY_KIND[kind])
        getattr(declared, kind)[name] = decoded
    return declared
