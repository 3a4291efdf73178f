"""Keep quarantined requests in the platform's store.

Instances tell each other of crashes; only the store outlasts the loss of all of
them at once. Who saw the crash that decided writes, so that a quarantined
request costs two calls, whatever the number of instances.
"""

from dataclasses import dataclass

import msgspec
import trio
from loguru import logger
from returns.result import Success

from cartdale.clock import MINUTE_MS, SECOND_MS, Clock, Millis, as_seconds
from cartdale.codec import decode_binary, encode_binary
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.types import CrashesTold, CrashNews
from cartdale.store.types import Delete, LeasedStore, Put

PREFIX = 'cartdale/quarantine/'
#: The store forgets by itself, within the longest lease that platforms give.
_LEASE: Millis = 9 * MINUTE_MS
#: Between tries while the store does not answer.
_RETRY_EVERY: Millis = SECOND_MS
#: Requests that wait to be written; more at once are not written.
_MOST_WAITING = 64


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Hold what the store keeps of a quarantined request.

    :param written_at: wall time when it was written; ages count to then.
    """

    written_at: Millis
    crashes: tuple[CrashNews, ...]


class PersistentQuarantine:
    """Write to the store what this instance found out, and read it.

    :param store: where it lasts.
    """

    def __init__(
        self, store: LeasedStore, quarantine: Quarantine, clock: Clock
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._clock = clock
        ends = trio.open_memory_channel[Identity](_MOST_WAITING)
        self._put = ends[0]
        self._take = ends[1]
        quarantine.on_found = self._add
        #: What this instance wrote and still holds.
        self._written: set[Identity] = set()

    async def run(self) -> None:
        """Write what is found out, one after another, for ever."""
        async for identity in self._take:
            while not await self._write(identity):
                await trio.sleep(as_seconds(_RETRY_EVERY))

    def write_again(self) -> None:
        """Write once more what this instance had written: it may be gone."""
        for identity in sorted(self._written):
            self._add(identity)

    def restore(self, key: str, stored: bytes) -> None:
        """Take what an instance wrote.

        Where it is known by now that the request ran on, what was written is
        removed: whoever wrote it may not live to hear of that.

        :param stored: empty when it was removed.
        """
        if not key.startswith(PREFIX) or not stored:
            return
        try:
            record = decode_binary(stored, StoredRecord)
        except msgspec.MsgspecError as error:
            logger.error('quarantine unreadable', key=key, detail=str(error))
            return
        passed = max(self._clock.wall_time() - record.written_at, 0)
        crashes = tuple(_grow_older(each, passed) for each in record.crashes)
        self._quarantine.dispatch(CrashesTold(crashes))
        for identity in sorted({each.identity for each in crashes}):
            if not self._quarantine.is_quarantined(identity):
                self._add(identity)

    def _add(self, identity: Identity) -> None:
        try:
            self._put.send_nowait(identity)
        except trio.WouldBlock:
            logger.warning('quarantine not stored', identity=identity.hex())

    async def _write(self, identity: Identity) -> bool:
        """Write how a request stands now; tell whether the store took it."""
        key = f'{PREFIX}{identity.hex()}'
        if not self._quarantine.is_quarantined(identity):
            self._written.discard(identity)
            removed = await self._store.transact((), (Delete(key),))
            return isinstance(removed, Success)
        granted = await self._store.grant(_LEASE)
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


def _grow_older(told: CrashNews, passed: Millis) -> CrashNews:
    ran_age = None if told.ran_age is None else told.ran_age + passed
    return msgspec.structs.replace(told, age=told.age + passed, ran_age=ran_age)
