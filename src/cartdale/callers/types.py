"""Messages of the callers' interface."""

from dataclasses import dataclass, field

import msgspec

from cartdale.declarations.types import Customer, Declarations, Service


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """Carry one message of a chat."""

    role: str = ''
    content: str = ''


class GenerationBody(msgspec.Struct, frozen=True, rename={'alternatives': 'n'}):
    """Carry the fields of a completion request that cartdale reads.

    All other fields pass to the engine untouched.

    :param model: name of a service, or of a model that one service runs.
    """

    model: str
    prompt: str = ''
    messages: tuple[ChatMessage, ...] = ()
    stream: bool = False
    seed: int | None = None
    alternatives: int = 1


@dataclass(frozen=True, slots=True)
class Caller:
    """Name who is asking."""

    name: str
    customer: Customer


@dataclass(frozen=True, slots=True)
class Directory:
    """Answer who a key belongs to and what a service is.

    :param callers_by_hash: customers by the SHA-256 of their keys.
    """

    services_by_name: dict[str, Service] = field(default_factory=dict)
    callers_by_hash: dict[str, Caller] = field(default_factory=dict)


def make_directory(declared: Declarations) -> Directory:
    """Index the declarations for look-ups by request."""
    callers_by_hash: dict[str, Caller] = {}
    for name, customer in declared.customers.items():
        for hashed in customer.key_hashes:
            callers_by_hash[hashed] = Caller(name, customer)
    return Directory(dict(declared.services), callers_by_hash)
