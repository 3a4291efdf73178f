"""Store the configuration as a head, a log and snapshots.

The log holds one delta per revision; a snapshot every ``SNAPSHOT_INTERVAL``
revisions bounds what a new instance reads. Snapshots are split into parts to
stay under the store's value limit; a delta above it is not confirmed.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import TypeVar

from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.codec import decode_json, encode_json
from cartdale.configuration.types import (
    ConfigurationState,
    Delta,
    Head,
    Snapshot,
)
from cartdale.exceptions import UndecodableError
from cartdale.store.types import (
    Committed,
    Compare,
    Delete,
    Listing,
    Put,
    Store,
    StoreFailure,
    StoreUnavailable,
    TransactionOutcome,
    Write,
)

HEAD_KEY = 'cartdale/config/head'
LOG_PREFIX = 'cartdale/config/log/'
SNAPSHOT_PREFIX = 'cartdale/config/snapshot/'
SNAPSHOT_INTERVAL = 32
KEPT_LOG = 256
PART_BYTES = 524288
#: The platform's key-value service accepts values of up to a megabyte.
VALUE_LIMIT = 1_000_000
_MAX_DELTAS_PER_READ = 64


Decoded = TypeVar('Decoded')


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The head and the store revision of its last write."""

    head: Head
    mod_revision: int


NO_HEAD = StoredHead(Head(0, '', ''), 0)


def log_key(revision: int) -> str:
    """Return the key of a revision's delta; keys sort by revision."""
    return f'{LOG_PREFIX}{revision:012d}'


async def read_head(store: Store) -> Result[StoredHead, StoreFailure]:
    """Read the head; its revision is 0 if nothing has been confirmed."""
    listing = await store.fetch(HEAD_KEY)
    return listing.bind(partial(_read, _to_head))


async def read_log(
    store: Store, after: int
) -> Result[tuple[Delta, ...], StoreFailure]:
    """Read the next deltas after a revision, oldest first.

    At most ``_MAX_DELTAS_PER_READ`` are returned.
    """
    listing = await store.fetch(
        LOG_PREFIX, log_key(after + 1), _MAX_DELTAS_PER_READ
    )
    return listing.bind(partial(_read, _to_deltas))


async def read_snapshot(
    store: Store, revision: int
) -> Result[Snapshot | None, StoreFailure]:
    """Read a snapshot; ``None`` if the store has no parts of it."""
    listing = await store.fetch(f'{SNAPSHOT_PREFIX}{revision:012d}/')
    return listing.bind(partial(_read, _join_parts))


def measure(delta: Delta) -> int:
    """Return the encoded size of a delta in bytes."""
    return len(encode_json(delta))


async def append(
    store: Store, seen: StoredHead, delta: Delta
) -> Result[TransactionOutcome, StoreFailure]:
    """Write a delta if the head has not changed since it was read."""
    head = replace(
        seen.head,
        revision=delta.revision,
        digest=delta.digest,
        plan_id=delta.plan_id,
    )
    writes: list[Write] = [
        Put(HEAD_KEY, encode_json(head)),
        Put(log_key(delta.revision), encode_json(delta)),
    ]
    expired = delta.revision - KEPT_LOG
    if 0 < expired <= seen.head.snapshot_revision:
        writes.append(Delete(log_key(expired)))
    return await store.transact(
        (Compare(HEAD_KEY, seen.mod_revision),), tuple(writes)
    )


def snapshot_due(state: ConfigurationState, head: Head) -> bool:
    """Return whether a snapshot should be written."""
    return state.revision - head.snapshot_revision >= SNAPSHOT_INTERVAL


async def write_snapshot(
    store: Store, state: ConfigurationState
) -> Result[bool, StoreFailure]:
    """Write a snapshot, then reference it in the head by compare-and-swap.

    :returns: whether the head was updated.
    """
    snapshot = Snapshot(state.revision, state.digest, state.bodies_by_key)
    raw = encode_json(snapshot)
    for number, start in enumerate(range(0, len(raw), PART_BYTES)):
        part = raw[start : start + PART_BYTES]
        key = f'{SNAPSHOT_PREFIX}{state.revision:012d}/{number:04d}'
        written = await store.transact((), (Put(key, part),))
        if isinstance(written, Failure):
            return Failure(written.failure())
    seen = await read_head(store)
    if isinstance(seen, Failure):
        return Failure(seen.failure())
    return await _reference_snapshot(store, seen.unwrap(), state.revision)


async def _reference_snapshot(
    store: Store, seen: StoredHead, revision: int
) -> Result[bool, StoreFailure]:
    if seen.head.snapshot_revision >= revision:
        return Success(False)
    head = replace(seen.head, snapshot_revision=revision)
    outcome = await store.transact(
        (Compare(HEAD_KEY, seen.mod_revision),),
        (Put(HEAD_KEY, encode_json(head)),),
    )
    return outcome.map(_is_committed)


def _is_committed(outcome: TransactionOutcome) -> bool:
    return isinstance(outcome, Committed)


def _read(
    decode: Callable[[Listing], Decoded], listing: Listing
) -> Result[Decoded, StoreFailure]:
    """Decode a listing; malformed values count as not read."""
    try:
        return Success(decode(listing))
    except UndecodableError as error:
        keys = [entry.key for entry in listing.entries]
        logger.error(
            'stored value unreadable',
            key=' '.join(keys[:1]),
            size=sum(len(entry.value) for entry in listing.entries),
            detail=error.detail,
        )
        return Failure(StoreUnavailable(error.detail))


def _to_head(listing: Listing) -> StoredHead:
    if not listing.entries:
        return NO_HEAD
    entry = listing.entries[0]
    return StoredHead(decode_json(entry.value, Head), entry.mod_revision)


def _to_deltas(listing: Listing) -> tuple[Delta, ...]:
    return tuple(decode_json(entry.value, Delta) for entry in listing.entries)


def _join_parts(listing: Listing) -> Snapshot | None:
    if not listing.entries:
        return None
    raw = b''.join(entry.value for entry in listing.entries)
    return decode_json(raw, Snapshot)
