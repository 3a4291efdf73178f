"""The store is restored from a copy that is some seconds old.

Writes since the copy are lost, leases too; revisions and lease ids are assigned
again. Operators and upstreams write their values again. Guards against state of
the earlier era that is taken for state of the new one, and the reverse.
"""

from random import Random

import trio
from returns.result import Failure, Success

from cartdale.clock import SECOND_MS, SystemClock, as_seconds
from cartdale.fleet.decide import LAPSED_KEPT_MS, decide
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import (
    EntriesListed,
    EntryRemoved,
    EntryWritten,
    EvacuationsListed,
    EvacuationsReceived,
    FleetState,
    Lifecycle,
    TimePassed,
)
from cartdale.news.registration import KEY_NAME, PEER_PREFIX
from cartdale.platform.eras import decode_era, decode_revision, encode_revision
from cartdale.platform.settings import Endpoint
from cartdale.platform.store import PlatformStore, make_store
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.persistence import PREFIX, PersistentQuarantine
from cartdale.quarantine.types import Crash, UpstreamEnded
from cartdale.store.types import (
    Compare,
    CompareFailed,
    HistoryLost,
    LeaseLost,
    Put,
)
from cartdale_standins.platform_store import PlatformStoreFaults
from tests.fakes import FakeStore
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    make_configuration,
    make_headers,
    open_platform,
    until,
)
from tests.test_fleet import make_entry, make_fleet

#: Identity of a request that crashes upstreams.
ONE = b'1' * 16


def open_store(stage: PlatformStage) -> PlatformStore:
    return make_store(Endpoint(LOCAL, stage.store_port), SECOND_MS)


def test_revisions_of_a_later_era_are_newer() -> None:
    assert encode_revision(7, 0) == 7
    assert (
        encode_revision(5, 1)
        < encode_revision(10**12, 1)
        < encode_revision(1, 2)
    )
    encoded = encode_revision(123, 3)
    assert (decode_era(encoded), decode_revision(encoded)) == (3, 123)


async def test_watch_from_an_earlier_era_ends_even_at_a_known_revision() -> (
    None
):
    async with open_platform(instances=0) as stage:
        store = open_store(stage)
        copy = stage.store.state.copy()
        stage.store.put('op/one', {})
        listing = (await store.fetch('')).unwrap()
        stage.store.restore(copy)
        for number in range(3):
            stage.store.put(f'op/other-{number}', {})
        after = listing.store_revision
        assert stage.store.state.revision >= after
        # The store refuses the first; the second is not sent to it.
        for _ in range(2):
            assert await store.watch('', after, 50) == Failure(HistoryLost())
        again = (await store.fetch('')).unwrap()
        assert again.era == listing.era + 1
        assert again.store_revision > after
        stage.store.put('op/last', {})
        changed = (await store.watch('', again.store_revision, 500)).unwrap()
        assert [each.key for each in changed.changes] == ['op/last']


async def test_a_watch_held_during_the_restore_ends_too() -> None:
    async with open_platform(instances=0) as stage:
        store = open_store(stage)
        copy = stage.store.state.copy()
        after = (await store.fetch('')).unwrap().store_revision
        answers = []

        async def watch() -> None:
            answers.append(await store.watch('', after, 2000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.1)
            stage.store.restore(copy)
            stage.store.put('op/one', {})
        assert answers == [Failure(HistoryLost())]


async def test_a_lease_of_an_earlier_era_counts_as_lost() -> None:
    async with open_platform(instances=0) as stage:
        store, other = open_store(stage), open_store(stage)
        copy = stage.store.state.copy()
        lease = (await store.grant(9000)).unwrap()
        stage.store.restore(copy)
        assert (await other.grant(9000)).unwrap() == lease
        assert await store.keep_alive(lease) == Failure(LeaseLost(lease))
        # It isn't revoked either: its id now belongs to the other client.
        assert await store.revoke(lease) == Failure(LeaseLost(lease))
        assert isinstance(await other.keep_alive(lease), Success)


async def test_a_condition_on_an_earlier_era_does_not_hold() -> None:
    async with open_platform(instances=0) as stage:
        store = open_store(stage)
        copy = stage.store.state.copy()
        stage.store.put('op/one', {})
        entry = (await store.fetch('op/one')).unwrap().entries[0]
        stage.store.restore(copy)
        stage.store.put('op/one', {'other': 1})
        await store.fetch('')
        compare = Compare('op/one', entry.mod_revision)
        outcome = await store.transact((compare,), (Put('own', b'x'),))
        assert outcome == Success(CompareFailed(0))


async def test_a_confirmed_configuration_stays_in_force_everywhere() -> None:
    async with open_platform(instances=2) as stage:
        news = [runtime.peers.news for runtime in stage.runtimes]
        await until(lambda: all(each.count_alive() == 2 for each in news))
        copy = stage.store.state.copy()
        stage.store.put('op/config', make_configuration(2))
        await stage.settle(2)
        stage.store.restore(copy)
        # An instance that starts now reads the older configuration from the
        # store, and receives the newer one from its peers.
        late = stage.add_instance()
        with trio.fail_after(2):
            await stage.settle(2)
        assert late.fleet.table.version == 2
        for _ in range(20):
            await trio.sleep(0.1)
            versions = {each.fleet.table.version for each in stage.runtimes}
            assert versions == {2}
        stage.store.put('op/config', make_configuration(3))
        with trio.fail_after(2):
            await stage.settle(3)


async def test_instances_register_again_and_restore_their_key() -> None:
    async with open_platform(instances=2) as stage:
        state = stage.store.state
        await until(lambda: state.find(KEY_NAME) is not None)
        await until(lambda: all(each.peers.key for each in stage.runtimes))
        key = state.find(KEY_NAME).value
        empty = state.copy()
        names = [f'{PEER_PREFIX}entry-{number}' for number in range(2)]
        stage.store.remove(KEY_NAME)
        for name in names:
            stage.store.remove(name)
        bare = stage.store.state.copy()
        stage.store.state = empty
        stage.store.restore(bare)
        with trio.fail_after(6):
            await until(
                lambda: all(bare.find(name) is not None for name in names)
            )
            await until(lambda: bare.find(KEY_NAME) is not None)
        assert bare.find(KEY_NAME).value == key
        assert {runtime.peers.key for runtime in stage.runtimes} == {key}


async def test_key_is_restored_by_instances_whose_reads_failed() -> None:
    """Guards against a key that each instance leaves to the other to write.

    The store answers again, but no news tells yet whose reads failed.
    """
    async with open_platform(instances=2) as stage:
        state = stage.store.state
        await until(lambda: all(each.peers.key for each in stage.runtimes))
        news = [runtime.peers.news for runtime in stage.runtimes]
        await until(lambda: all(each.count_alive() == 2 for each in news))
        key = state.find(KEY_NAME).value
        stage.store.remove(KEY_NAME)
        for runtime in stage.runtimes:
            runtime.follower.failing = True
        for runtime in stage.runtimes:
            # As when the store no longer knows its lease.
            runtime.peers._registration._on_lapsed()
        with trio.fail_after(2):
            await until(lambda: state.find(KEY_NAME) is not None)
        assert state.find(KEY_NAME).value == key


async def test_a_departure_before_the_restore_stays_in_force() -> None:
    """Its entry is restored, which doesn't show whether it is alive."""
    async with open_platform(plains=2) as stage:
        fleet = stage.runtimes[0].fleet
        copy = stage.store.state.copy()
        stage.store.remove('servers/plain-0')
        await until(lambda: is_leaving(fleet.state, 'plain-0'))
        stage.store.faults = PlatformStoreFaults(busy=True)
        await trio.sleep(0.2)
        stage.store.restore(copy)
        stage.store.faults = PlatformStoreFaults()
        before = len(stage.plains[0].arrivals)
        with trio.move_on_after(3):
            for number in range(10**6):
                answer = await stage.client.post(
                    stage.url('/cut/a'), headers=make_headers(f'r-{number}')
                )
                assert answer.status_code == 200
        assert len(stage.plains[0].arrivals) == before
        # It still has an entry once all live upstreams have written again.
        with trio.fail_after(6):
            await until(lambda: not is_leaving(fleet.state, 'plain-0'))


async def test_upstream_with_a_lost_entry_is_used_until_it_writes_again() -> (
    None
):
    async with open_platform(plains=1) as stage:
        fleet = stage.runtimes[0].fleet
        copy = stage.store.state.copy()
        address = fleet.find('plain-0').entry.address
        stage.list_upstream('late', 'portal', address, born=5)
        await until(lambda: fleet.find('late') is not None)
        stage.store.restore(copy)
        await until(
            lambda: fleet.find('late').lifecycle is Lifecycle.LAPSED,
        )
        stage.list_upstream('late', 'portal', address, born=5)
        with trio.fail_after(as_seconds(LAPSED_KEPT_MS)):
            await until(
                lambda: fleet.find('late').lifecycle is Lifecycle.LIVE,
            )


def is_leaving(state: FleetState, name: str) -> bool:
    return state.upstreams_by_id[name].lifecycle is Lifecycle.LEAVING


async def test_quarantined_requests_are_written_again(autojump_clock) -> None:
    """The instance that wrote them does; others would write the same."""
    clock = SystemClock()
    store = FakeStore(Random(1))
    quarantine = Quarantine(clock, lambda: None)
    lasting = PersistentQuarantine(store, quarantine, clock)
    key = f'{PREFIX}{ONE.hex()}'
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lasting.run)
        copy = store.state.copy()
        for name in ('a', 'b', 'c'):
            quarantine.dispatch(UpstreamEnded(Crash(ONE, name)))
        await trio.sleep(1)
        assert store.state.find(key) is not None
        store.state = copy
        lasting.write_again()
        await trio.sleep(1)
        assert store.state.find(key) is not None
        nursery.cancel_scope.cancel()


async def test_a_second_listing_soon_after_does_not_end_an_evacuation() -> None:
    """The store loses its history too, so that all keys are listed at once."""
    async with open_platform(instances=1) as stage:
        fleet = stage.runtimes[0].fleet
        copy = stage.store.state.copy()
        stage.store.put('op/evacuate/west', {})
        await until(lambda: fleet.list_evacuated() == ('west',))
        stage.store.restore(copy)
        for _ in range(3):
            await trio.sleep(0.5)
            stage.store.put('op/other', {})
            stage.store.compact()
            assert fleet.list_evacuated() == ('west',)
        with trio.fail_after(7):
            await until(lambda: not fleet.list_evacuated())


def test_evacuations_hold_until_their_end_is_known() -> None:
    state = make_fleet('a')
    received = EvacuationsReceived((Evacuation('west', 50),))
    state, _ = decide(state, received, 10)
    restored = EvacuationsListed((), encode_revision(20, 1), restored=True)
    state, actions = decide(state, restored, 20)
    assert not actions
    # Written again, with a smaller revision of the store than before.
    again = EvacuationsReceived((Evacuation('west', encode_revision(21, 1)),))
    state, actions = decide(state, again, 30)
    assert not actions
    ended = Evacuation('west', encode_revision(22, 1), active=False)
    state, _ = decide(state, EvacuationsReceived((ended,)), 40)
    assert not state.evacuation_status_by_domain['west'].active
    # A peer that doesn't know the new era yet reports the earlier state.
    assert decide(state, received, 50)[0] == state


def test_an_evacuation_that_is_not_written_again_ends() -> None:
    state, _ = decide(
        make_fleet('a'), EvacuationsReceived((Evacuation('west', 50),)), 10
    )
    listed = EvacuationsListed((), encode_revision(30, 1))
    state, _ = decide(state, listed, 5000)
    assert not state.evacuation_status_by_domain['west'].active


def test_a_restored_listing_does_not_bring_back_an_upstream_that_left() -> None:
    state, _ = decide(make_fleet('a', 'b'), EntryRemoved('a'), 5)
    entries = (make_entry('a'), make_entry('b'))
    older = EntriesListed(entries, after_outage=True, restored=True)
    state, actions = decide(state, older, 10)
    assert not actions
    assert is_leaving(state, 'a')
    # An entry that it writes in the new era brings it back at once.
    back, _ = decide(state, EntryWritten(make_entry('a')), 20)
    assert not is_leaving(back, 'a')
    listed, _ = decide(state, EntriesListed(entries), 5000)
    assert not is_leaving(listed, 'a')
    assert not decide(state, TimePassed(), 20)[1]
