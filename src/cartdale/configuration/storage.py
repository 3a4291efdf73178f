"""Keep the configuration in the store: a head, a log and snapshots.

The log holds one delta a revision; a snapshot every ``SNAPSHOT_EVERY``
revisions bounds what a new instance reads. Snapshots stay under the store's
value limit by being cut into parts; a delta beyond it is not confirmed.
"""

from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from cartdale.codec import decode_json, encode_json
from cartdale.configuration.types import (
    ConfigurationState,
    Delta,
    Head,
    Snapshot,
)
from cartdale.store.types import (
    Committed,
    Compare,
    Delete,
    Listing,
    Put,
    Store,
    StoreFailure,
    TransactionOutcome,
    Write,
)

HEAD_KEY = 'cartdale/config/head'
LOG_PREFIX = 'cartdale/config/log/'
SNAPSHOT_PREFIX = 'cartdale/config/snapshot/'
SNAPSHOT_EVERY = 32
KEPT_LOG = 256
PART_BYTES = 524288
#: The platform's key-value service holds values of up to a megabyte.
VALUE_LIMIT = 1_000_000
_READ_AT_ONCE = 64


@dataclass(frozen=True, slots=True)
class StoredHead:
    """Hold the head and the store revision of its last write."""

    head: Head
    mod_revision: int


NO_HEAD = StoredHead(Head(0, '', ''), 0)


def log_key(revision: int) -> str:
    """Return the key of a revision's delta; keys sort by revision."""
    return f'{LOG_PREFIX}{revision:012d}'


async def read_head(store: Store) -> Result[StoredHead, StoreFailure]:
    """Read the head; revision 0 when nothing was ever confirmed."""
    listing = await store.fetch(HEAD_KEY)
    return listing.map(_to_head)


async def read_log(
    store: Store, after: int
) -> Result[tuple[Delta, ...], StoreFailure]:
    """Read some deltas after a revision, oldest first."""
    listing = await store.fetch(LOG_PREFIX, log_key(after + 1), _READ_AT_ONCE)
    return listing.map(_to_deltas)


async def read_snapshot(
    store: Store, revision: int
) -> Result[Snapshot | None, StoreFailure]:
    """Read a snapshot; ``None`` when its parts are not complete."""
    listing = await store.fetch(f'{SNAPSHOT_PREFIX}{revision:012d}/')
    return listing.map(_join_parts)


def measure(delta: Delta) -> int:
    """Return how many bytes a delta takes in the store."""
    return len(encode_json(delta))


async def append(
    store: Store, seen: StoredHead, delta: Delta
) -> Result[TransactionOutcome, StoreFailure]:
    """Write a delta if the head is still the one that was seen."""
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
    """Tell whether a snapshot should be written."""
    return state.revision - head.snapshot_revision >= SNAPSHOT_EVERY


async def write_snapshot(
    store: Store, state: ConfigurationState
) -> Result[bool, StoreFailure]:
    """Write a snapshot, then name it in the head by compare-and-swap."""
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
    return await _name_snapshot(store, seen.unwrap(), state.revision)


async def _name_snapshot(
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
