"""Synchronize this instance's configuration with the store."""

import random
from collections.abc import Callable
from operator import not_
from typing import assert_never

import trio
from returns.result import Failure
from tenacity import AsyncRetrying, retry_if_result, wait_random_exponential

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.configuration.decide import decide
from cartdale.configuration.storage import (
    HEAD_KEY,
    NO_HEAD,
    StoredHead,
    read_head,
    read_log,
    read_snapshot,
)
from cartdale.configuration.types import (
    Action,
    Adopt,
    ConfigurationState,
    DeltasReceived,
    Fetch,
    Message,
    RevisionAnnounced,
    SnapshotReceived,
)
from cartdale.store.types import Store

WATCH_TIMEOUT: Millis = 60_000
#: Least interval between reads of an instance that does not watch the
#: store; a random delay of up to as much is added.
UNWATCHED_READ_INTERVAL: Millis = 30_000
#: The first read is delayed at random by up to this, so that instances
#: that start together do not read the store at once.
_MAX_START_DELAY: Millis = 1000
#: Initial and maximum delay before a retry while the store fails.
_RETRY_DELAY: Millis = 1000
_MAX_RETRY_DELAY: Millis = 30_000

Adopted = Callable[[ConfigurationState], None]


class Configurator:
    """Hold the configuration of this instance.

    :param adopted: called after a newer configuration has been adopted.
    """

    def __init__(
        self, store: Store, clock: Clock, adopted: Adopted, seed: int
    ) -> None:
        self._store = store
        self._seen = NO_HEAD
        self._generator = random.Random(seed)
        self._clock = clock
        self._adopted = adopted
        self._fetching = trio.Lock()
        self.state = ConfigurationState()
        self.in_force_at: Millis = 0
        self.took: Millis = 0

    async def dispatch(self, message: Message) -> None:
        """Apply a message and carry out the resulting actions."""
        for action in self.apply(message):
            match action:
                case Fetch():
                    await self.catch_up()
                case Adopt():
                    """Already carried out by ``apply``."""
                case _:
                    assert_never(action)

    def apply(self, message: Message) -> tuple[Action, ...]:
        """Apply a message and carry out adoptions at once.

        :returns: all resulting actions, including the adoptions.
        """
        after, actions = decide(self.state, message, self._clock.now())
        self.state = after
        for action in actions:
            if isinstance(action, Adopt):
                self._record_adoption(action)
        return actions

    async def catch_up(self) -> bool:
        """Read the revisions that this instance lacks from the store.

        :returns: whether all of them were read and applied.
        """
        async with self._fetching:
            seen = await read_head(self._store)
            if isinstance(seen, Failure):
                return False
            self._seen = seen.unwrap()
            return await self._catch_up_to(self._seen)

    async def read_newer(self) -> None:
        """Catch up, unless another call already waits for its turn to do so.

        Of many calls in a store outage only one then waits; it reads what all
        of them need.
        """
        if not self._fetching.statistics().tasks_waiting:
            await self.catch_up()

    async def run(self, watches: Callable[[], bool]) -> None:
        """Follow the store until cancelled, with a bounded load on it.

        :param watches: returns whether this instance is one of the few that
            watch the store; the others receive revisions from these and
            read the store only every ``UNWATCHED_READ_INTERVAL`` or more.
        """
        await trio.sleep(as_seconds(self._draw_delay(_MAX_START_DELAY)))
        while True:
            async for attempt in self._retrying():
                with attempt:
                    attempt.retry_state.set_result(await self.catch_up())
            if watches():
                await self._wait_for_change()
                continue
            await trio.sleep(
                as_seconds(
                    UNWATCHED_READ_INTERVAL
                    + self._draw_delay(UNWATCHED_READ_INTERVAL)
                )
            )

    def _retrying(self) -> AsyncRetrying:
        return AsyncRetrying(
            sleep=trio.sleep,
            wait=wait_random_exponential(
                multiplier=as_seconds(_RETRY_DELAY),
                max=as_seconds(_MAX_RETRY_DELAY),
            ),
            retry=retry_if_result(not_),
        )

    def _draw_delay(self, limit: Millis) -> Millis:
        return self._generator.randrange(limit)

    async def _wait_for_change(self) -> None:
        waited = await self._store.wait_change(
            HEAD_KEY, self._seen.mod_revision, WATCH_TIMEOUT
        )
        if isinstance(waited, Failure):
            await trio.sleep(as_seconds(_RETRY_DELAY))

    async def _catch_up_to(self, seen: StoredHead) -> bool:
        self.apply(RevisionAnnounced(seen.head.revision))
        while self.state.revision < seen.head.revision:
            before = self.state.revision
            log = await read_log(self._store, before)
            if isinstance(log, Failure):
                return False
            self.apply(DeltasReceived(log.unwrap()))
            if self.state.revision > before:
                continue
            if not await self._load_snapshot(seen.head.snapshot_revision):
                return False
        return True

    async def _load_snapshot(self, revision: int) -> bool:
        if revision <= self.state.revision:
            return False
        fetched = await read_snapshot(self._store, revision)
        snapshot = fetched.value_or(None)
        if snapshot is None:
            return False
        self.apply(SnapshotReceived(snapshot))
        return self.state.revision >= revision

    def _record_adoption(self, adopt: Adopt) -> None:
        self.in_force_at = self._clock.wall_time()
        self.took = 0
        if adopt.confirmed_at:
            self.took = max(0, self.in_force_at - adopt.confirmed_at)
        self._adopted(self.state)
