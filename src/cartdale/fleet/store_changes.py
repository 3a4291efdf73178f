"""Changes in the store, as translated for an instance."""

from collections.abc import Callable
from dataclasses import dataclass

from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import EntryRefused, EntryRemoved, EntryWritten
from cartdale.routes.types import RoutingTable
from cartdale.store.types import Entry, Removed


@dataclass(frozen=True, slots=True)
class TableWritten:
    """The operator wrote a configuration.

    :param raw: the stored form, which is passed on to peers.
    """

    table: RoutingTable
    raw: bytes


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A value in the store is invalid; the previous one stays in force.

    :param size: its length in bytes.
    :param field: path of the field at fault; empty if that is not known.
    :param refused: what counts of an upstream's entry all the same; ``None``
        for other values.
    """

    key: str
    detail: str
    size: int
    field: str = ''
    refused: EntryRefused | None = None


@dataclass(frozen=True, slots=True)
class OwnKey:
    """A key of cartdale itself was written or removed.

    :param stored: its value; empty if it was removed.
    """

    key: str
    stored: bytes


@dataclass(frozen=True, slots=True)
class OwnKeysListed:
    """The store was read completely.

    :param keys: all keys of cartdale itself.
    """

    keys: frozenset[str]


@dataclass(frozen=True, slots=True)
class EvacuationWritten:
    """The operator began or ended the evacuation of a failure domain."""

    evacuation: Evacuation


StoredChange = (
    TableWritten
    | EntryWritten
    | EntryRemoved
    | EvacuationWritten
    | Unreadable
    | OwnKey
)

#: Translates a stored entry; returns ``None`` for irrelevant keys.
Translate = Callable[[Entry | Removed], StoredChange | None]
