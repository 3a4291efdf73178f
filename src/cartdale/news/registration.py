"""List this instance in the store, and share the cluster's key there."""

import secrets
from collections.abc import Callable

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis, as_seconds
from cartdale.codec import encode_json
from cartdale.formatting import format_log_fields
from cartdale.news.roles import stretch
from cartdale.news.types import PeerEntry
from cartdale.store.types import (
    Committed,
    Compare,
    CompareFailed,
    LeasedStore,
    LeaseLost,
    Put,
    StoreFailure,
    TransactionOutcome,
)

PEER_PREFIX = 'cartdale/peers/'
KEY_NAME = 'cartdale/cluster-key'
#: An instance that dies stays listed for so long; datagrams to it are lost.
_LEASE: Millis = MINUTE_MS // 3
#: Between renewals in a small system. They also show within about a
#: second that the store is away, which a held watch does not.
_RENEW_EVERY: Millis = SECOND_MS
#: The same in the largest: two answers may be lost before the lease runs out.
_RENEW_AT_LEAST_EVERY: Millis = _LEASE // 3
_RETRY_EVERY: Millis = SECOND_MS
_KEY_BYTES = 32


class PeerRegistration:
    """Keep this instance listed.

    :param own: what the others need to reach it.
    :param count_peers: counts the instances that are listed.
    :param on_listed: called once this instance is listed for the first time.
    :param on_lapsed: called when its listing is gone from the store, and with
        it perhaps what else was written.
    """

    def __init__(
        self,
        store: LeasedStore,
        own: PeerEntry,
        count_peers: Callable[[], int],
        on_listed: Callable[[], None],
        on_lapsed: Callable[[], None],
    ) -> None:
        self._on_lapsed = on_lapsed
        self._on_listed: Callable[[], None] | None = on_listed
        self._count_peers = count_peers
        self._store = store
        self._own = own
        self._lease = 0
        self._listed = False
        #: Whether the store did not answer the last call.
        self.failing = False

    async def register(self) -> None:
        """List this instance, unless it is listed; once, good or bad."""
        if not self._listed:
            await self._register()

    async def run(self) -> None:
        """List this instance and renew its lease, for ever."""
        while True:
            if self._listed:
                await self._renew()
            else:
                await self._register()
            pause = self._choose_pause() if self._listed else _RETRY_EVERY
            await trio.sleep(as_seconds(pause))

    async def withdraw(self) -> None:
        """Remove this instance from the list."""
        if self._listed:
            await self._store.revoke(self._lease)

    async def propose_key(self, known: bytes = b'') -> bytes:
        """Write the cluster key unless there is one.

        :param known: that the instances have; empty for a new one.
        :returns: the key that is stored; empty when that is not known.
        """
        raw = known or secrets.token_bytes(_KEY_BYTES)
        outcome = await self._store.transact(
            (Compare(KEY_NAME, 0),), (Put(KEY_NAME, raw),)
        )
        match outcome:
            case Success(Committed()):
                return raw
            case Success(CompareFailed(entries=(found, *_))):
                return found.value
        return b''

    def _choose_pause(self) -> Millis:
        """Return how long to wait before the lease is renewed."""
        renew_every = _RENEW_EVERY * stretch(self._count_peers())
        return min(renew_every, _RENEW_AT_LEAST_EVERY)

    async def _register(self) -> None:
        granted = await self._store.grant(_LEASE)
        self.failing = not isinstance(granted, Success)
        if not isinstance(granted, Success):
            logger.info(
                'not listed', **format_log_fields('failure', granted.failure())
            )
            return
        self._lease = granted.unwrap()
        key = f'{PEER_PREFIX}{self._own.name}'
        entry = Put(key, encode_json(self._own), self._lease)
        written: Result[
            TransactionOutcome, StoreFailure
        ] = await self._store.transact((), (entry,))
        self._listed = isinstance(written, Success)
        self.failing = not self._listed
        if self._listed and self._on_listed is not None:
            self._on_listed()
            self._on_listed = None

    async def _renew(self) -> None:
        renewed = await self._store.keep_alive(self._lease)
        self.failing = False
        match renewed:
            case Failure(LeaseLost()):
                self._listed = False
                logger.info('listing lapsed', lease=self._lease)
                self._on_lapsed()
            case Failure(failure):
                self.failing = True
                logger.info(
                    'listing not renewed',
                    **format_log_fields('failure', failure),
                )
