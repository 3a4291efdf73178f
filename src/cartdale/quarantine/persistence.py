"""Persist quarantined requests and parts in the platform's store.

Instances report crashes to each other; only the store survives the loss of all
instances at once. The instance that observed the deciding crash writes the
record, so a quarantined request costs two calls, whatever the number of
instances.
"""

from dataclasses import dataclass

import msgspec
import trio
from loguru import logger
from returns.result import Success

from cartdale.clock import MINUTE_MS, SECOND_MS, Clock, Millis, as_seconds
from cartdale.codec import decode_binary, encode_binary
from cartdale.exceptions import UndecodableError
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.types import CrashesTold, CrashNews, PartNews
from cartdale.ranges import WallTime
from cartdale.store.types import Delete, LeasedStore, Put
from cartdale.supervision import contain

PREFIX = 'cartdale/quarantine/'
#: The store drops records by itself when the lease expires. This is within the
#: longest lease that platforms grant.
_LEASE_DURATION: Millis = 9 * MINUTE_MS
#: Time between attempts while the store does not respond.
_RETRY_INTERVAL: Millis = SECOND_MS
#: Maximum number of requests waiting to be written; further ones are dropped.
_MAX_PENDING = 64


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Stored record of a quarantined request.

    :param written_at: wall time of the write; ages are relative to it.
    """

    written_at: WallTime
    crashes: tuple[CrashNews, ...]


class PersistentQuarantine:
    """Write quarantines observed by this instance, and restore stored ones.

    :param store: store that holds the records.
    """

    def __init__(
        self, store: LeasedStore, quarantine: Quarantine, clock: Clock
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._clock = clock
        channel = trio.open_memory_channel[Identity](_MAX_PENDING)
        self._sender = channel[0]
        self._receiver = channel[1]
        quarantine.on_observed = self._enqueue
        #: Requests whose record this instance wrote and has not removed.
        self._written: set[Identity] = set()

    async def run(self) -> None:
        """Write changed quarantines one by one; runs until cancelled."""
        async for identity in self._receiver:
            with contain('quarantine records', identity=identity.hex()):
                await self._keep_writing(identity)

    def write_again(self) -> None:
        """Rewrite the records of this instance, which may have been lost."""
        for identity in sorted(self._written):
            self._enqueue(identity)

    def restore(self, key: str, stored: bytes) -> None:
        """Apply a stored record.

        If the request is known to have survived since, the record is removed,
        because the instance that wrote it may end before it learns of that. A
        record whose crashes are too old to count here stays until its lease
        ends: this instance's clock may be ahead of its writer's.

        :param stored: contents of the record; empty if it was removed.
        """
        if not key.startswith(PREFIX) or not stored:
            return
        try:
            identity = bytes.fromhex(key.removeprefix(PREFIX))
            record = decode_binary(stored, StoredRecord)
        except (UndecodableError, ValueError) as error:
            logger.error('quarantine unreadable', key=key, detail=str(error))
            return
        elapsed = max(self._clock.wall_time() - record.written_at, 0)
        crashes = tuple(
            _increase_ages(each, elapsed) for each in record.crashes
        )
        self._quarantine.dispatch(CrashesTold(crashes))
        survived = self._quarantine.has_survived(identity)
        if survived and not self._quarantine.is_quarantined(identity):
            self._enqueue(identity)

    async def _keep_writing(self, identity: Identity) -> None:
        while not await self._write(identity):
            await trio.sleep(as_seconds(_RETRY_INTERVAL))

    def _enqueue(self, identity: Identity) -> None:
        try:
            self._sender.send_nowait(identity)
        except trio.WouldBlock:
            logger.warning('quarantine not stored', identity=identity.hex())

    async def _write(self, identity: Identity) -> bool:
        """Write the status of a request or part; tell whether it was stored."""
        key = f'{PREFIX}{identity.hex()}'
        if not self._quarantine.is_quarantined(identity):
            self._written.discard(identity)
            removed = await self._store.transact((), (Delete(key),))
            return isinstance(removed, Success)
        granted = await self._store.grant(_LEASE_DURATION)
        if not isinstance(granted, Success):
            return False
        record = StoredRecord(
            self._clock.wall_time(), self._quarantine.describe(identity)
        )
        written = await self._store.transact(
            (), (Put(key, encode_binary(record), granted.unwrap()),)
        )
        if isinstance(written, Success):
            self._written.add(identity)
        return isinstance(written, Success)


def _increase_ages(crash: CrashNews, elapsed: Millis) -> CrashNews:
    return msgspec.structs.replace(
        crash,
        age=crash.age + elapsed,
        ran_age=_increase_age(crash.ran_age, elapsed),
        parts=tuple(
            PartNews(each.part, _increase_age(each.ran_age, elapsed))
            for each in crash.parts
        ),
    )


def _increase_age(age: Millis | None, elapsed: Millis) -> Millis | None:
    return None if age is None else age + elapsed
