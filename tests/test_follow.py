"""The store follower: outages, batched changes, polling and lost watches.

An entry that is missing after a store outage lapses instead of leaving,
because it may come back.
"""

from dataclasses import dataclass, field

import pytest
import trio
from loguru import logger
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
    Removed,
    StoreFailure,
    StoreUnavailable,
    WatchCut,
)
from cartdale_standins.platform_entries import describe_upstream
from tests.platform_stage import make_configuration
from tests.task_faults import count_failures

ENTRY = Entry('servers/i', encode_json(describe_upstream('s', 'a:1')), 1, 1)


@dataclass
class ScriptedStore:
    """Return scripted listings in order, and the last one from then on."""

    listings: list[Result[Listing, StoreFailure]]
    fetched: list[str] = field(default_factory=list)
    #: Changes with the time in seconds at which the store makes each.
    changes: list[tuple[float, Entry]] = field(default_factory=list)
    watched: int = 0

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        await trio.sleep(0.05)
        assert not prefix
        self.fetched.append(prefix)
        if len(self.listings) > 1:
            return self.listings.pop(0)
        return self.listings[0]

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


def make_follower(store: ScriptedStore, watches, is_isolated) -> StoreFollower:
    clock = SystemClock()
    fleet = Fleet(clock, 'west', 1)
    return StoreFollower(
        store, fleet, clock, decode_change, print, watches, is_isolated
    )


async def test_entry_missing_after_an_outage_lapses(autojump_clock) -> None:
    listed = Success(Listing((ENTRY,), 1))
    missing = Success(Listing((), 2))
    unavailable = Failure(StoreUnavailable('away'))
    store = ScriptedStore([listed, unavailable, missing])
    clock = SystemClock()
    fleet = Fleet(clock, 'west', 1)
    follower = StoreFollower(
        store, fleet, clock, decode_change, print, bool, bool
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        while len(store.fetched) < 3:
            await trio.sleep(0.1)
        await trio.sleep(0.1)
        assert fleet.find('i').lifecycle is Lifecycle.LAPSED
        nursery.cancel_scope.cancel()


async def test_pages_that_do_not_go_on_are_a_failed_read(
    autojump_clock,
) -> None:
    # Guards against a start that never ends, and takes ever more memory, at a
    # store that gives the same page of a listing again.
    repeated = Success(Listing((ENTRY,), 1, more=True))
    store = ScriptedStore([repeated])
    follower = make_follower(store, bool, bool)
    with trio.move_on_after(10):
        await follower.run()
    assert not follower.synced.is_set()
    assert follower.failing
    # Two pages for each of the reads, which are three seconds apart.
    assert len(store.fetched) <= 8


async def test_changes_in_quick_succession_cost_one_more_watch(
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
    # One watch for the first change, one for the other four, one pending.
    assert store.watched == 3


async def count_reads_without_watch(is_isolated, seconds: float) -> int:
    """Return how often an instance without a watch reads the store."""
    store = ScriptedStore([Success(Listing((ENTRY,), 1))])
    follower = make_follower(store, bool, is_isolated)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    return len(store.fetched)


async def test_instance_that_receives_news_rarely_reads_the_store(
    autojump_clock,
) -> None:
    assert await count_reads_without_watch(bool, 59) == 1
    assert await count_reads_without_watch(bool, 119) == 2


async def test_isolated_instance_reads_the_store_again_soon(
    autojump_clock,
) -> None:
    began = trio.current_time()

    def isolated_for_a_second() -> bool:
        return 10 <= trio.current_time() - began <= 11

    assert 2 <= await count_reads_without_watch(isolated_for_a_second, 12) <= 3


@dataclass
class SilencedStore(ScriptedStore):
    """Lose the response of each watch that begins before a given time."""

    silent_until: float = 0
    #: Seconds that the adapter waits beyond the timeout of a watch.
    slack: float = 0.5

    async def watch(
        self, prefix: str, after: int, timeout: int
    ) -> Result[Changes, StoreFailure]:
        if trio.current_time() < self.silent_until:
            await trio.sleep(timeout / 1000 + self.slack)
            return Failure(StoreUnavailable('silence'))
        return await super().watch(prefix, after, timeout)


async def test_lost_watch_is_detected_before_the_time_limits_apply_again(
    autojump_clock,
) -> None:
    began = trio.current_time()
    later = Entry('op/config', encode_json(make_configuration(2)), 2, 1)
    store = SilencedStore(
        [Success(Listing((ENTRY,), 1))], silent_until=began + 1
    )
    # The operator writes three seconds after the silence; a configuration
    # must be applied within two more seconds.
    store.changes = [(began + 4, later)]
    follower = make_follower(store, lambda: True, bool)
    # The watch begins just before the silence ends.
    await trio.sleep(0.9)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(5.1)
        assert follower.configured.is_set()
        nursery.cancel_scope.cancel()


class BrokenChangeError(Exception):
    """Stands for an error that no code expects."""


def translate_or_break(change: Entry) -> object:
    if change.key == 'servers/untranslatable':
        raise BrokenChangeError
    return decode_change(change)


def apply_or_break(change: object) -> None:
    if getattr(change, 'key', '') == 'cartdale/broken':
        raise BrokenChangeError


@pytest.mark.parametrize('watched', [False, True], ids=['listed', 'watched'])
async def test_a_change_that_fails_costs_only_itself(
    watched: bool, autojump_clock, monkeypatch
) -> None:
    # Guards against a follower, and with it an instance, that ends by the one
    # change among many that its code fails on.
    entries = [
        Entry(key, ENTRY.value, number, 1)
        for number, key in enumerate(
            (
                'servers/a',
                'servers/untranslatable',
                'cartdale/broken',
                'servers/undecidable',
                'servers/z',
            ),
            2,
        )
    ]
    listed = () if watched else tuple(entries)
    due = [(0, entry) for entry in entries] if watched else []
    store = ScriptedStore([Success(Listing(listed, 1))], changes=due)
    clock = SystemClock()
    fleet = Fleet(clock, 'west', 1)
    dispatch = fleet.dispatch

    def dispatch_or_break(message: object) -> None:
        entry = getattr(message, 'entry', None)
        if entry is not None and entry.upstream == 'undecidable':
            raise BrokenChangeError
        dispatch(message)

    monkeypatch.setattr(fleet, 'dispatch', dispatch_or_break)
    lines: list[dict[str, object]] = []
    sink = logger.add(
        lambda line: lines.append(line.record['extra']),
        filter=lambda line: line['message'] == 'task failed',
    )
    before = count_failures('store changes')
    follower = StoreFollower(
        store,
        fleet,
        clock,
        translate_or_break,
        apply_or_break,
        lambda: watched,
        bool,
    )
    with trio.move_on_after(1):
        await follower.run()
    logger.remove(sink)
    assert follower.synced.is_set()
    assert set(fleet.state.upstreams_by_id) == {'a', 'z'}
    assert {line['error'] for line in lines} == {BrokenChangeError.__name__}
    first = lines[0]
    assert first['key'] == 'servers/untranslatable'
    assert first['size'] == len(ENTRY.value)
    assert {line['task'] for line in lines} == {'store changes'}
    assert not any('value' in line for line in lines)
    assert len(lines) == 3
    assert count_failures('store changes') == before + 3


class CutStore(ScriptedStore):
    """Cut watches, or turn them away, before it serves them."""

    def __init__(self, failures: list[StoreFailure], removed: Removed) -> None:
        super().__init__([Success(Listing((ENTRY,), 1))])
        self._failures = failures
        self._removed = removed
        #: Revisions that were watched from.
        self.watched_from: list[int] = []

    async def watch(
        self, prefix: str, after: int, timeout: int
    ) -> Result[Changes, StoreFailure]:
        await trio.sleep(0.05)
        self.watched_from.append(after)
        if self._failures:
            return Failure(self._failures.pop(0))
        if after < self._removed.mod_revision:
            return Success(Changes((self._removed,), 2))
        await trio.sleep(timeout / 1000)
        return Success(Changes((), after))


# Guards against an instance that says that the store is lost, and takes
# departures for the store's fault, though only a watch was cut.
@pytest.mark.parametrize(
    ('failures', 'lifecycle'),
    [
        ([WatchCut('reset')], Lifecycle.LEAVING),
        ([WatchCut('reset')] * 3, Lifecycle.LEAVING),
        ([WatchCut('reset')] * 4, Lifecycle.LAPSED),
        ([StoreUnavailable('503')], Lifecycle.LAPSED),
    ],
)
async def test_watch_that_is_cut_is_no_outage(
    autojump_clock, failures: list[StoreFailure], lifecycle: Lifecycle
) -> None:
    outage = lifecycle is Lifecycle.LAPSED
    store = CutStore(list(failures), Removed(ENTRY.key, 2))
    follower = make_follower(store, lambda: True, bool)
    failing = []
    with trio.move_on_after(2):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            while True:
                failing.append(follower.failing)
                await trio.sleep(0.01)
    assert any(failing) == outage
    assert not follower.failing
    assert len(store.fetched) == 1 + outage
    assert set(store.watched_from) == {1, 2}
    assert follower._fleet.find('i').lifecycle is lifecycle


# Guards against one failed call that keeps an instance from watching the store
# for others until its next read, a minute later.
async def test_instance_whose_call_failed_reads_again_soon(
    autojump_clock,
) -> None:
    store = CutStore([StoreUnavailable('503')], Removed(ENTRY.key, 2))
    follower = make_follower(store, lambda: not follower.failing, bool)
    with trio.move_on_after(3):
        await follower.run()
    assert not follower.failing
    assert len(store.fetched) == 2
