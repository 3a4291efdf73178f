"""Fakes at the interfaces: a store in memory with faults, skewed clocks."""

from dataclasses import dataclass, field
from random import Random

import trio
from returns.result import Failure, Result, Success

from cartdale.clock import Millis, SystemClock, as_seconds
from cartdale.store.types import (
    Compare,
    LeaseLost,
    Listing,
    Put,
    StoreFailure,
    StoreUnavailable,
    TransactionOutcome,
    Write,
    WriteUnknown,
)
from cartdale.store.wire import end_of_prefix
from cartdale_standins.state import KeyValueState


@dataclass
class SkewedClock:
    """Read the loop's clock, with a wall clock that is off."""

    skew: Millis = 0

    def now(self) -> Millis:
        return SystemClock().now()

    def wall_time(self) -> Millis:
        return 1_800_000_000_000 + self.now() + self.skew


@dataclass
class FakeStore:
    """A key-value service that can be down, slow, or lose answers."""

    generator: Random
    state: KeyValueState = field(
        default_factory=lambda: KeyValueState(SystemClock())
    )
    down: bool = False
    loss_probability: float = 0
    max_delay: Millis = 50

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        await self._delay()
        if self.down:
            return Failure(StoreUnavailable('down'))
        listing = self.state.fetch(
            start or prefix, end_of_prefix(prefix), limit
        )
        # A read may be old when it arrives.
        await self._delay()
        return Success(listing)

    async def transact(
        self, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ) -> Result[TransactionOutcome, StoreFailure]:
        await self._delay()
        if self.down:
            return Failure(StoreUnavailable('down'))
        if self._loses():
            return Failure(WriteUnknown('the request was lost'))
        for write in writes:
            lease = write.lease if isinstance(write, Put) else 0
            if not self.state.knows_lease(lease):
                return Failure(LeaseLost(lease))
        outcome = self.state.transact(compares, writes)
        await self._delay()
        if self._loses():
            return Failure(WriteUnknown('the answer was lost'))
        return Success(outcome)

    async def grant(self, ttl: Millis) -> Result[int, StoreFailure]:
        await self._delay()
        if self.down:
            return Failure(StoreUnavailable('down'))
        return Success(self.state.grant(ttl))

    async def keep_alive(self, lease: int) -> Result[Millis, StoreFailure]:
        await self._delay()
        if self.down:
            return Failure(StoreUnavailable('down'))
        ttl = self.state.keep_alive(lease)
        if not ttl:
            return Failure(LeaseLost(lease))
        return Success(ttl)

    async def revoke(self, lease: int) -> Result[None, StoreFailure]:
        await self._delay()
        if self.down:
            return Failure(StoreUnavailable('down'))
        self.state.revoke(lease)
        return Success(None)

    async def wait_change(
        self, key: str, after: int, timeout: Millis
    ) -> Result[bool, StoreFailure]:
        with trio.move_on_after(as_seconds(timeout)):
            while self.down or self.state.mod_revision(key) <= after:
                await trio.sleep(0.02)
            return Success(True)
        return Success(False)

    async def _delay(self) -> None:
        await trio.sleep(as_seconds(self.generator.randrange(self.max_delay)))

    def _loses(self) -> bool:
        return self.generator.random() < self.loss_probability
