"""Request bodies and lookup tables of the callers' HTTP interface."""

from dataclasses import dataclass, field

import msgspec

from cartdale.declarations.types import Customer, Declarations, Service
from cartdale.ranges import Integer, SmallInteger


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a chat request."""

    role: str = ''
    content: str = ''


class GenerationBody(msgspec.Struct, frozen=True, rename={'alternatives': 'n'}):
    """Fields of a completion request that cartdale reads.

    All other fields are passed to the engine unchanged.

    :param model: name of a service, or of a model that one service runs.
    """

    model: str
    prompt: str = ''
    messages: tuple[ChatMessage, ...] = ()
    stream: bool = False
    seed: Integer | None = None
    alternatives: SmallInteger = 1


@dataclass(frozen=True, slots=True)
class Caller:
    """Authenticated customer that sent a request."""

    name: str
    customer: Customer


@dataclass(frozen=True, slots=True)
class Directory:
    """Look up services by name and customers by API key.

    :param callers_by_hash: customers by the SHA-256 of their API keys.
    """

    services_by_name: dict[str, Service] = field(default_factory=dict)
    callers_by_hash: dict[str, Caller] = field(default_factory=dict)


def make_directory(declared: Declarations) -> Directory:
    """Index the declarations for lookups while serving requests."""
    callers_by_hash: dict[str, Caller] = {}
    for name, customer in declared.customers.items():
        for hashed in customer.key_hashes:
            callers_by_hash[hashed] = Caller(name, customer)
    return Directory(dict(declared.services), callers_by_hash)
