"""Restarts of an upstream under the same id, and entries of other writers."""

from types import MappingProxyType

import pytest

from cartdale.clock import VirtualClock
from cartdale.codec import decode_binary, encode_json
from cartdale.fleet.decide import decide
from cartdale.fleet.departures import PEER_REPORT_IGNORED_MS
from cartdale.fleet.driver import Fleet
from cartdale.fleet.store_changes import Unreadable
from cartdale.fleet.types import (
    BeganLeaving,
    EntriesListed,
    EntryRemoved,
    EntryWritten,
    FleetState,
    Lifecycle,
    RequestEnded,
    Restarted,
)
from cartdale.news.decide import decide as decide_news
from cartdale.news.types import (
    ApplyLeaving,
    LoadNews,
    NewsArrived,
    NewsState,
    PeerEntry,
)
from cartdale.news.writing import NewsWriter
from cartdale.peers.authentication import Authenticator
from cartdale.platform.documents import BadDocumentError, decode_upstream
from cartdale.platform.translate import decode_change
from cartdale.store.types import Entry
from tests.platform_stage import draft_meanwhile, open_platform, until
from tests.test_fleet import make_entry, make_fleet

PEER = PeerEntry('p', '10.0.0.1', 7200)
STORED = MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'west',
        'version': 1,
        'slots': 4,
        'state': 'ready',
        'coldRemainingMs': 700,
        'sequence': 3,
        'born': 1777495388662,
    }
)


def write(state: FleetState, born: int, now: int = 0, **changes):
    from_peer = changes.pop('from_peer', False)
    entry = make_entry('a', born=born, **changes)
    return decide(state, EntryWritten(entry, from_peer=from_peer), now)


def test_new_incarnation_starts_with_fresh_state() -> None:
    state = make_fleet('a', born=1)
    for _ in range(3):
        ended = RequestEnded('a', good=False, reached=False)
        state, _ = decide(state, ended, 100)
    state, actions = write(state, 2, 200, cold_for=500)
    assert actions == (Restarted('a'),)
    upstream = state.upstreams_by_id['a']
    assert upstream.lifecycle is Lifecycle.LIVE
    assert (upstream.strikes, upstream.failing) == (0, 0)
    assert upstream.avoided_until == upstream.unreachable_until == 0
    assert upstream.warm_at == 700


@pytest.mark.parametrize('from_peer', [False, True])
def test_upstream_that_left_may_restart(from_peer: bool) -> None:
    state = make_fleet('a', born=1)
    state, _ = write(state, 1, 100, lifecycle=Lifecycle.LEAVING)
    state, _ = write(state, 1, 200, from_peer=from_peer)
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING
    state, _ = write(state, 2, 300, from_peer=from_peer)
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LIVE


def test_peer_reports_of_the_previous_incarnation_are_ignored() -> None:
    state, _ = write(make_fleet('a', born=1), 2, 100)
    assert write(state, 1, 200, lifecycle=Lifecycle.LEAVING) == (state, ())
    removal = EntryRemoved('a', from_peer=True, born=1)
    assert decide(state, removal, 200) == (state, ())
    assert decide(state, removal, 100 + PEER_REPORT_IGNORED_MS) == (state, ())


def test_peer_report_that_the_new_incarnation_leaves_is_applied() -> None:
    """Guards against ignoring a drain that begins 0.5 s after the start."""
    state, _ = write(make_fleet('a', born=1), 2, 100)
    removal = EntryRemoved('a', from_peer=True, born=2)
    after, actions = decide(state, removal, 200)
    assert after.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING
    assert actions == (BeganLeaving('a'),)


def test_news_states_which_incarnation_leaves() -> None:
    fleet = Fleet(VirtualClock(), 'west', 1)
    fleet.dispatch(EntryWritten(make_entry('a', born=1)))
    fleet.dispatch(EntryRemoved('a'))
    writer = NewsWriter(PEER, fleet, VirtualClock(), bool, bool)
    authenticator = Authenticator((b'k' * 32,))
    envelope = authenticator.verify(writer.write(authenticator), 0)
    news = decode_binary(bytes(envelope.body), LoadNews)
    _, actions = decide_news(NewsState(), NewsArrived('p', news), 0, 0)
    assert ApplyLeaving('a', 1) in actions


def test_announced_departure_is_published_as_an_entry() -> None:
    """An upstream back after an outage does not leave by peer reports alone."""
    fleet = Fleet(VirtualClock(), 'west', 1)
    fleet.dispatch(EntryWritten(make_entry('a')))
    fleet.dispatch(EntryWritten(make_entry('a', lifecycle=Lifecycle.LEAVING)))
    writer = NewsWriter(PEER, fleet, VirtualClock(), lambda: True, bool)
    news = writer.describe_domain(1, {}, {}, store_lost=False)
    assert [each.lifecycle for each in news.entries] == [Lifecycle.LEAVING]


def test_entry_without_birth_is_the_same_incarnation() -> None:
    state = make_fleet('a', born=1)
    state, actions = write(state, 0, 100)
    assert not actions
    assert state.upstreams_by_id['a'].entry.born == 1
    listed = EntriesListed((make_entry('a', born=1),))
    assert not decide(state, listed, 200)[1]


async def test_backup_is_lost_with_the_incarnation_that_held_it() -> None:
    async with open_platform(engines=2, proxied=True) as stage:
        mover = stage.runtimes[0].mover
        async with draft_meanwhile(stage, 'r1'):
            await until(
                lambda: any(each.backup for each in mover.list_generations())
            )
            generation = mover.list_generations()[0]
            engines_by_name = {each.name: each for each in stage.engines}
            backup_holder = engines_by_name[generation.backup]
            backup_holder.crash('another')
            await until(lambda: not generation.backup)


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'retired'},
        {'state': 7},
        {'slots': '4'},
        {'slots': 0},
        {'address': 'nowhere'},
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:x'},
        {'service': ''},
        {'zone': None},
        {'born': 'yesterday'},
        {'coldRemainingMs': -1},
        {'sequence': 'first'},
        {'version': None},
    ],
)
def test_invalid_entries_of_other_writers_are_rejected(changes: dict) -> None:
    raw = encode_json({**STORED, **changes})
    with pytest.raises(BadDocumentError) as caught:
        decode_upstream('servers/i', raw)
    assert caught.value.format_message().startswith('servers/i: ')


@pytest.mark.parametrize('missing', sorted(STORED.keys() - {'born'}))
def test_entries_without_a_required_field_are_rejected(missing: str) -> None:
    stored = {name: STORED[name] for name in STORED if name != missing}
    with pytest.raises(BadDocumentError):
        decode_upstream('servers/i', encode_json(stored))


@pytest.mark.parametrize('raw', [b'', b'\xff\xfe', b'[]', b'null', b'{"a":'])
def test_undecodable_bytes_are_unreadable(raw: bytes) -> None:
    assert isinstance(decode_change(Entry('servers/i', raw, 1, 1)), Unreadable)


async def test_unreadable_entry_does_not_affect_other_entries() -> None:
    async with open_platform(engines=2) as stage:
        runtime = stage.runtimes[0]
        stage.store.put('servers/other', {'service': 'writers'})
        stage.store.put('servers/engine-0', {**STORED, 'state': 'retired'})
        stage.store.compact()
        stage.store.put('servers/engine-1', {'service': 'writers'})
        stage.add_engine()
        await until(lambda: runtime.fleet.find('engine-2') is not None)
        known = runtime.fleet.state.upstreams_by_id
        assert set(known) == {'engine-0', 'engine-1', 'engine-2', 'plain-0'}
        assert all(each.lifecycle is Lifecycle.LIVE for each in known.values())
