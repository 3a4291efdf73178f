"""What a change in the store means to an instance."""

from collections.abc import Callable
from dataclasses import dataclass

from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import EntryRemoved, EntryWritten
from cartdale.routes.types import RoutingTable
from cartdale.store.types import Entry, Removed


@dataclass(frozen=True, slots=True)
class TableWritten:
    """The operator wrote a configuration.

    :param raw: as it is stored, to hand on to peers.
    """

    table: RoutingTable
    raw: bytes


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A value in the store can't be used; what was in force stays.

    :param upstream: whose entry it would be; empty for other values.
    """

    detail: str
    upstream: str = ''


@dataclass(frozen=True, slots=True)
class OwnKey:
    """A key of cartdale itself was written or removed.

    :param stored: empty when it was removed.
    """

    key: str
    stored: bytes


@dataclass(frozen=True, slots=True)
class EvacuationWritten:
    """The operator evacuates a failure domain, or has ended that."""

    evacuation: Evacuation


StoredChange = (
    TableWritten
    | EntryWritten
    | EntryRemoved
    | EvacuationWritten
    | Unreadable
    | OwnKey
)

#: Translates what is stored; returns ``None`` for keys of no interest.
Translate = Callable[[Entry | Removed], StoredChange | None]
