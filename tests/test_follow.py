"""Follow: what is missing after an outage may come back."""

from dataclasses import dataclass, field

import trio
from returns.result import Failure, Result, Success

from cartdale.clock import SystemClock
from cartdale.codec import encode_json
from cartdale.fleet.driver import Fleet
from cartdale.fleet.store_follower import StoreFollower
from cartdale.fleet.types import Lifecycle
from cartdale.platform.translate import decode_change
from cartdale.store.types import (
    Changes,
    Entry,
    Listing,
    StoreFailure,
    StoreUnavailable,
)
from cartdale_standins.platform_entries import describe_upstream
from tests.platform_stage import make_configuration

ENTRY = Entry('servers/i', encode_json(describe_upstream('s', 'a:1')), 1, 1)


@dataclass
class ScriptedStore:
    """Answer reads of entries by a script; the last answer stays."""

    answers: list[Result[Listing, StoreFailure]]
    asked: list[str] = field(default_factory=list)
    #: Changes by the time in seconds at which the store makes them.
    changes: list[tuple[float, Entry]] = field(default_factory=list)
    watched: int = 0

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        await trio.sleep(0.05)
        assert not prefix
        self.asked.append(prefix)
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]

    async def watch(
        self, prefix: str, after: int, timeout: int
    ) -> Result[Changes, StoreFailure]:
        self.watched += 1
        while True:
            due = [
                entry
                for at, entry in self.changes
                if entry.mod_revision > after and at <= trio.current_time()
            ]
            if due:
                return Success(Changes(tuple(due), due[-1].mod_revision))
            await trio.sleep(0.001)


def make_follower(store: ScriptedStore, watches, hears_nobody) -> StoreFollower:
    clock = SystemClock()
    fleet = Fleet(clock, 'west', 1)
    return StoreFollower(
        store, fleet, clock, decode_change, print, watches, hears_nobody
    )


async def test_entry_missing_after_an_outage_lapses(autojump_clock) -> None:
    listed = Success(Listing((ENTRY,), 1))
    missing = Success(Listing((), 2))
    away = Failure(StoreUnavailable('away'))
    store = ScriptedStore([listed, away, missing])
    clock = SystemClock()
    fleet = Fleet(clock, 'west', 1)
    follower = StoreFollower(
        store, fleet, clock, decode_change, print, bool, bool
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        while len(store.asked) < 3:
            await trio.sleep(0.1)
        await trio.sleep(0.1)
        assert fleet.find('i').lifecycle is Lifecycle.LAPSED
        nursery.cancel_scope.cancel()


async def test_changes_that_come_together_cost_one_more_call(
    autojump_clock,
) -> None:
    began = trio.current_time()
    changes = [
        (began + 1 + number / 100, Entry(ENTRY.key, ENTRY.value, 2 + number, 1))
        for number in range(5)
    ]
    store = ScriptedStore([Success(Listing((ENTRY,), 1))], changes=changes)
    follower = make_follower(store, lambda: True, bool)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(3)
        nursery.cancel_scope.cancel()
    # The first change, the other four, and the watch that waits.
    assert store.watched == 3


async def read_by_a_listener(hears_nobody, seconds: float) -> int:
    """Return how often an instance that does not watch reads the store."""
    store = ScriptedStore([Success(Listing((ENTRY,), 1))])
    follower = make_follower(store, bool, hears_nobody)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    return len(store.asked)


async def test_who_hears_of_changes_seldom_reads(autojump_clock) -> None:
    assert await read_by_a_listener(bool, 59) == 1
    assert await read_by_a_listener(bool, 119) == 2


async def test_who_heard_nobody_reads_soon_again(autojump_clock) -> None:
    began = trio.current_time()

    def cut_off_for_a_second() -> bool:
        return 10 <= trio.current_time() - began <= 11

    assert 2 <= await read_by_a_listener(cut_off_for_a_second, 12) <= 3


@dataclass
class SilencedStore(ScriptedStore):
    """Lose each watch that begins before a time; its answer never comes."""

    silent_until: float = 0
    #: What the adapter waits beyond the time for which a watch is held.
    slack: float = 0.5

    async def watch(
        self, prefix: str, after: int, timeout: int
    ) -> Result[Changes, StoreFailure]:
        if trio.current_time() < self.silent_until:
            await trio.sleep(timeout / 1000 + self.slack)
            return Failure(StoreUnavailable('silence'))
        return await super().watch(prefix, after, timeout)


async def test_lost_watch_is_noticed_before_the_bounds_hold_again(
    autojump_clock,
) -> None:
    began = trio.current_time()
    later = Entry('op/config', encode_json(make_configuration(2)), 2, 1)
    store = SilencedStore(
        [Success(Listing((ENTRY,), 1))], silent_until=began + 1
    )
    # Three seconds after the silence the operator writes; two more are the
    # bound of a configuration.
    store.changes = [(began + 4, later)]
    follower = make_follower(store, lambda: True, bool)
    # The watch begins at the end of the silence.
    await trio.sleep(0.9)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(5.1)
        assert follower.configured.is_set()
        nursery.cancel_scope.cancel()
