"""State of the key-value stand-in, without any I/O."""

from collections import Counter
from dataclasses import dataclass, replace

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.store.types import (
    Committed,
    Compare,
    CompareFailed,
    Entry,
    Listing,
    Put,
    Removed,
    TransactionOutcome,
    Write,
)


@dataclass(frozen=True, slots=True)
class Lease:
    """Hold a lease's time to live and its deadline."""

    ttl: Millis
    expires_at: Millis


class KeyValueState:
    """Keep keys, revisions and leases in memory.

    :param clock: where expiry reads the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries_by_key: dict[str, Entry] = {}
        self._leases_by_key: dict[str, int] = {}
        self._leases_by_id: dict[int, Lease] = {}
        self._last_lease = 0
        self.revision = 1
        #: What was written and removed, oldest first, for watches.
        self.history: list[Entry | Removed] = []

    def copy(self) -> 'KeyValueState':
        """Return a copy, as the store may come back from."""
        copied = KeyValueState(self._clock)
        copied._entries_by_key = dict(self._entries_by_key)
        copied._leases_by_key = dict(self._leases_by_key)
        copied._leases_by_id = dict(self._leases_by_id)
        copied._last_lease = self._last_lease
        copied.revision = self.revision
        copied.history = list(self.history)
        return copied

    def fetch(self, start: str, end: str, limit: int) -> Listing:
        """Read the keys in ``[start, end)``; an empty end means one key."""
        self._expire()
        keys = sorted(
            key
            for key in self._entries_by_key
            if key == start or (end and start <= key < end)
        )
        cut = keys[:limit] if limit else keys
        entries = tuple(self._entries_by_key[key] for key in cut)
        return Listing(entries, self.revision, len(cut) < len(keys))

    def transact(
        self, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ) -> TransactionOutcome:
        """Apply all writes if all comparisons hold."""
        self._expire()
        for compare in compares:
            if self._mod_revision(compare.key) != compare.mod_revision:
                return CompareFailed(self.revision)
        self.revision += 1
        for write in writes:
            self._apply(write)
        return Committed(self.revision)

    def grant(self, ttl: Millis) -> int:
        """Create a lease and return its id."""
        self._last_lease += 1
        expires_at = self._clock.now() + ttl
        self._leases_by_id[self._last_lease] = Lease(ttl, expires_at)
        return self._last_lease

    def keep_alive(self, lease_id: int) -> Millis:
        """Renew a lease; 0 when it is not known."""
        self._expire()
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return 0
        self._leases_by_id[lease_id] = replace(
            lease, expires_at=self._clock.now() + lease.ttl
        )
        return lease.ttl

    def revoke(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        self._leases_by_id.pop(lease_id, None)
        bound = [
            key
            for key, holder in self._leases_by_key.items()
            if holder == lease_id
        ]
        # Otherwise a watch from the current revision would miss the removal.
        self.revision += bool(bound)
        for key in bound:
            self._remove(key)

    def knows_lease(self, lease_id: int) -> bool:
        """Tell whether a lease is alive; 0 stands for no lease."""
        self._expire()
        return lease_id == 0 or lease_id in self._leases_by_id

    def mod_revision(self, key: str) -> int:
        """Return the revision of a key's last write; 0 when absent."""
        self._expire()
        return self._mod_revision(key)

    def find(self, key: str) -> Entry | None:
        """Return what is stored under a key; ``None`` when it is absent."""
        self._expire()
        return self._entries_by_key.get(key)

    def _mod_revision(self, key: str) -> int:
        entry = self._entries_by_key.get(key)
        return entry.mod_revision if entry else 0

    def _apply(self, write: Write) -> None:
        if not isinstance(write, Put):
            self._remove(write.key)
            return
        earlier = self._entries_by_key.get(write.key)
        created = earlier.create_revision if earlier else self.revision
        entry = Entry(write.key, write.value, self.revision, created)
        self._entries_by_key[write.key] = entry
        self.history.append(entry)
        self._leases_by_key[write.key] = write.lease

    def _remove(self, key: str) -> None:
        if self._entries_by_key.pop(key, None) is not None:
            self.history.append(Removed(key, self.revision))
        self._leases_by_key.pop(key, None)

    def _expire(self) -> None:
        current = self._clock.now()
        lapsed = [
            lease_id
            for lease_id, lease in self._leases_by_id.items()
            if lease.expires_at <= current
        ]
        for lease_id in lapsed:
            self.revoke(lease_id)


class RateMeter:
    """Enforce a rate with one second's worth of burst, and count calls.

    :param per_second: calls admitted in a second.
    """

    def __init__(self, clock: Clock, per_second: int) -> None:
        self._clock = clock
        self._rate = per_second
        self._tokens = float(per_second)
        self._filled_at = clock.now()
        self.counts: Counter[str] = Counter()

    def admit(self, name: str) -> bool:
        """Count a call and tell whether the rate admits it."""
        current = self._clock.now()
        gained = as_seconds(current - self._filled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + gained)
        self._filled_at = current
        self.counts[name] += 1
        if self._tokens < 1:
            self.counts[f'{name}_refused'] += 1
            return False
        self._tokens -= 1
        return True
