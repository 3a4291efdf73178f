"""Register this instance in the store, and share the cluster key there."""

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
#: A crashed instance stays listed until its lease expires; datagrams to it are
#: lost.
_LEASE_DURATION: Millis = MINUTE_MS // 3
#: Time between renewals in a small system. Renewals also detect a store outage
#: within about a second, which an open watch does not.
_RENEW_INTERVAL: Millis = SECOND_MS
#: Maximum time between renewals, in the largest systems: two responses may be
#: lost before the lease expires.
_MAX_RENEW_INTERVAL: Millis = _LEASE_DURATION // 3
_RETRY_INTERVAL: Millis = SECOND_MS
_KEY_BYTES = 32


class PeerRegistration:
    """Keep this instance registered.

    :param own: entry by which peers reach it.
    :param count_peers: counts the registered instances.
    :param on_listed: called once this instance is registered for the first
        time.
    :param on_lapsed: called when its registration is gone from the store;
        other data may have been lost with it.
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
        #: Whether the store failed to respond to the last call.
        self.failing = False

    async def register(self) -> None:
        """Register this instance if it isn't; tries once."""
        if not self._listed:
            await self._register()

    async def run(self) -> None:
        """Register this instance and renew its lease until cancelled."""
        while True:
            if self._listed:
                await self._renew()
            else:
                await self._register()
            pause = self._choose_pause() if self._listed else _RETRY_INTERVAL
            await trio.sleep(as_seconds(pause))

    async def withdraw(self) -> None:
        """Remove the registration of this instance."""
        if self._listed:
            await self._store.revoke(self._lease)

    async def propose_key(self, known: bytes = b'') -> bytes:
        """Write the cluster key unless one is stored.

        :param known: key that the instances use; empty to generate one.
        :returns: the stored key; empty if it is unknown.
        """
        raw = known or secrets.token_bytes(_KEY_BYTES)
        outcome = await self._store.transact(
            (Compare(KEY_NAME, 0),), (Put(KEY_NAME, raw),)
        )
        match outcome:
            case Success(Committed()):
                return raw
            case Success(CompareFailed(entries=(existing, *_))):
                return existing.value
        return b''

    def _choose_pause(self) -> Millis:
        """Return the time to wait before renewing the lease."""
        renew_interval = _RENEW_INTERVAL * stretch(self._count_peers())
        return min(renew_interval, _MAX_RENEW_INTERVAL)

    async def _register(self) -> None:
        granted = await self._store.grant(_LEASE_DURATION)
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
