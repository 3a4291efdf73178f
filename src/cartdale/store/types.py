"""Messages of the key-value service, free of its wire format."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from cartdale.clock import Millis


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold one stored value.

    :param mod_revision: store revision of its last write.
    :param create_revision: store revision of its creation.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Answer a range read.

    :param store_revision: revision of the store when it was read.
    :param more: whether the limit cut the list.
    :param era: rises each time that the service comes back from an older copy,
        where it counts that.
    """

    entries: tuple[Entry, ...]
    store_revision: int
    more: bool = False
    era: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Require a key's last write to be at a revision; 0 means absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write a value, bound to a lease unless ``lease`` is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Committed:
    """Answer a transaction whose comparisons held."""

    store_revision: int


@dataclass(frozen=True, slots=True)
class CompareFailed:
    """Answer a transaction that changed nothing.

    :param entries: the compared keys as they are, where the service tells.
    """

    store_revision: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The call certainly had no effect, or was only a read."""

    detail: str


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The write may have taken effect; its answer was lost.

    :param timed_out: whether nothing came in time; else the connection broke.
    """

    detail: str
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class WatchCut:
    """The connection of a watch broke, which does not show an outage."""

    detail: str


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is not known to the service any more."""

    lease: int


@dataclass(frozen=True, slots=True)
class Removed:
    """Tell that a key is gone.

    :param mod_revision: store revision of the removal.
    """

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Answer a watch, in the order of the revisions.

    :param store_revision: where the next watch continues.
    """

    changes: tuple[Entry | Removed, ...]
    store_revision: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes since the asked revision are not kept any more."""


Write = Put | Delete
TransactionOutcome = Committed | CompareFailed
StoreFailure = (
    StoreUnavailable | WriteUnknown | LeaseLost | HistoryLost | WatchCut
)


class LeasedStore(Protocol):
    """Write keys under conditions and leases."""

    async def transact(
        self, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ) -> Result[TransactionOutcome, StoreFailure]:
        """Apply all writes if all comparisons hold."""

    async def grant(self, ttl: Millis) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""

    async def keep_alive(self, lease: int) -> Result[Millis, StoreFailure]:
        """Renew a lease and return its time to live."""

    async def revoke(self, lease: int) -> Result[None, StoreFailure]:
        """End a lease and remove its keys."""


class Store(LeasedStore, Protocol):
    """Reach the key-value service."""

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        """Read the keys with a prefix, from ``start`` on, in key order."""

    async def wait_change(
        self, key: str, after: int, timeout: Millis
    ) -> Result[bool, StoreFailure]:
        """Wait until a key is written after a store revision."""


class WatchedStore(Protocol):
    """Read keys by prefix and follow their changes."""

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        """Read the keys with a prefix, from ``start`` on, in key order."""

    async def watch(
        self, prefix: str, after: int, timeout: Millis
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes after a store revision, at most ``timeout``."""
