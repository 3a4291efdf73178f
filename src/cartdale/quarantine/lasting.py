"""Keep quarantined requests in the platform's store.

Instances tell each other of crashes; only the store outlasts the loss of all of
them at once. Who saw the crash that decided writes, so that a quarantined
request costs two calls, whatever the number of instances.
"""

import msgspec
import trio
from loguru import logger
from returns.result import Success

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis, seconds
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


class LastingQuarantine:
    """Write to the store what this instance found out, and read it.

    :param store: where it lasts.
    """

    def __init__(self, store: LeasedStore, quarantine: Quarantine) -> None:
        self._store = store
        self._quarantine = quarantine
        ends = trio.open_memory_channel[Identity](_MOST_WAITING)
        self._put = ends[0]
        self._take = ends[1]
        quarantine.on_found = self._add

    async def run(self) -> None:
        """Write what is found out, one after another, for ever."""
        async for identity in self._take:
            while not await self._write(identity):
                await trio.sleep(seconds(_RETRY_EVERY))

    def take(self, key: str, stored: bytes) -> None:
        """Take what an instance wrote.

        :param stored: empty when it was removed.
        """
        if not key.startswith(PREFIX) or not stored:
            return
        try:
            crashes = decode_binary(stored, tuple[CrashNews, ...])
        except msgspec.MsgspecError as error:
            logger.error('quarantine unreadable', key=key, detail=str(error))
            return
        self._quarantine.tell(CrashesTold(crashes))

    def _add(self, identity: Identity) -> None:
        try:
            self._put.send_nowait(identity)
        except trio.WouldBlock:
            logger.warning('quarantine not stored', identity=identity.hex())

    async def _write(self, identity: Identity) -> bool:
        """Write how a request stands now; tell whether the store took it."""
        key = f'{PREFIX}{identity.hex()}'
        if not self._quarantine.holds(identity):
            removed = await self._store.transact((), (Delete(key),))
            return isinstance(removed, Success)
        granted = await self._store.grant(_LEASE)
        if not isinstance(granted, Success):
            return False
        raw = encode_binary(self._quarantine.describe(identity))
        written = await self._store.transact(
            (), (Put(key, raw, granted.unwrap()),)
        )
        return isinstance(written, Success)
