"""Evacuation: nothing new goes to a failure domain that is to be emptied."""

from itertools import permutations
from random import Random

import pytest
import trio
from returns.result import Success

from cartdale.briefing.types import Briefing
from cartdale.clock import SystemClock, VirtualClock
from cartdale.codec import decode_binary, encode_binary, encode_json
from cartdale.fleet.candidates import is_closed, list_candidates
from cartdale.fleet.choose import RequestNeeds
from cartdale.fleet.decide import decide
from cartdale.fleet.driver import Fleet
from cartdale.fleet.evacuation import (
    FINISHES_MOVES,
    Evacuation,
    is_evacuated,
    merge,
)
from cartdale.fleet.loads import Load
from cartdale.fleet.store_follower import StoreFollower
from cartdale.fleet.types import (
    BeganEvacuating,
    EndedEvacuating,
    EntriesListed,
    EvacuationsListed,
    EvacuationsReceived,
    FleetState,
)
from cartdale.news.decide import decide as decide_news
from cartdale.news.types import (
    ApplyEvacuations,
    DomainNews,
    DomainNewsArrived,
    LoadNews,
    NewsArrived,
    NewsState,
    PeerEntry,
)
from cartdale.platform.translate import decode_change
from cartdale.relay.admission import Admission, NoCapacity, Waiting
from cartdale.relay.targets import choose_backup, choose_target
from cartdale.routes.types import RoutingTable
from cartdale.store.types import Entry, Listing
from cartdale_standins.platform_entries import describe_upstream
from tests.platform_stage import (
    count_runs,
    draft,
    draft_meanwhile,
    find_runner,
    make_headers,
    open_platform,
    until,
    whole,
)
from tests.test_fleet import SPEC, make_entry
from tests.test_follow import ScriptedStore
from tests.test_targets import SOURCE, make_routed

NEED = RequestNeeds('s', prompt=100, expected=100, reads=100)
BEGUN = Evacuation('west', 7)
ENDED = Evacuation('west', 9, active=False)
AGAIN = Evacuation('west', 12)
ENTRY_VALUE = encode_json(describe_upstream('s', 'a:1'))


def make_state(*told: Evacuation, now: int = 0) -> FleetState:
    entries = (
        make_entry('a', failure_domain='west'),
        make_entry('b', failure_domain='east'),
    )
    state, _ = decide(FleetState(), EntriesListed(entries), now)
    return decide(state, EvacuationsReceived(told), now)[0]


def list_names(state: FleetState) -> list[str]:
    return [each.entry.upstream for each in list_candidates(state, NEED)]


def test_evacuated_domain_takes_nothing_new() -> None:
    assert list_names(make_state()) == ['a', 'b']
    assert list_names(make_state(BEGUN)) == ['b']
    assert list_names(make_state(BEGUN, ENDED)) == ['a', 'b']


def test_second_domain_is_evacuated_beside_the_first() -> None:
    state = make_state(BEGUN, Evacuation('east', 8))
    assert not list_names(state)
    assert is_closed(state, NEED)


@pytest.mark.parametrize('order', list(permutations((BEGUN, ENDED, AGAIN))))
def test_older_view_never_undoes_a_newer_one(order) -> None:
    statuses = {}
    for told in order:
        statuses = merge(statuses, (told,), 0)
    assert is_evacuated(statuses, 'west')
    assert statuses['west'].evacuation == AGAIN


def test_views_that_meet_in_any_order_agree() -> None:
    generator = Random(5)
    changes = [
        Evacuation(generator.choice('xyz'), revision, bool(revision % 2))
        for revision in range(60)
    ]
    views = []
    for _ in range(50):
        told = changes.copy()
        generator.shuffle(told)
        statuses = {}
        for change in told:
            statuses = merge(statuses, (change,), 0)
        views.append(
            {name: known.evacuation for name, known in statuses.items()}
        )
    assert all(view == views[0] for view in views)


def test_changes_are_told_once() -> None:
    state = make_state()
    state, began = decide(state, EvacuationsReceived((BEGUN,)), 5)
    assert began == (BeganEvacuating('west', 7),)
    same, nothing = decide(state, EvacuationsReceived((BEGUN,)), 6)
    assert same is state
    assert not nothing
    _, ended = decide(state, EvacuationsReceived((ENDED,)), 7)
    assert ended == (EndedEvacuating('west', 9),)


def test_listing_without_an_evacuation_ends_it() -> None:
    state = make_state(BEGUN)
    state, _ = decide(state, EvacuationsListed((), 8), 5)
    assert list_names(state) == ['a', 'b']
    # A peer that was told before the end does not bring it back.
    state, _ = decide(state, EvacuationsReceived((BEGUN,)), 6)
    assert list_names(state) == ['a', 'b']


def test_listing_from_before_an_evacuation_does_not_end_it() -> None:
    state, _ = decide(make_state(BEGUN), EvacuationsListed((), 6), 5)
    assert list_names(state) == ['b']


def test_evacuation_that_came_and_went_unseen_leaves_nothing() -> None:
    state, actions = decide(make_state(), EvacuationsListed((), 20), 5)
    assert not actions
    assert list_names(state) == ['a', 'b']


def make_fleet(*told: Evacuation, clock=None) -> Fleet:
    fleet = Fleet(clock or VirtualClock(), 'west', 1)
    fleet.table = RoutingTable(version=1, services_by_name={'s': SPEC})
    fleet.dispatch(
        EntriesListed(
            (
                SOURCE,
                make_entry('b', failure_domain='west', slots=64),
                make_entry('c', failure_domain='east', slots=64),
            )
        )
    )
    fleet.dispatch(EvacuationsReceived(told))
    return fleet


@pytest.mark.parametrize('seed', range(5))
def test_targets_and_backups_lie_elsewhere(seed: int) -> None:
    fleet = make_fleet(BEGUN)
    fleet._generator = Random(seed)
    routed = make_routed(900)
    target = choose_target(fleet, routed, Load(1, 3000), SOURCE, ())
    assert target is not None
    assert target.upstream == 'c'
    backup = choose_backup(fleet, routed, SOURCE)
    assert backup is None or backup.upstream == 'c'


def test_stopped_generation_goes_on_there_only_for_a_moment() -> None:
    clock = VirtualClock()
    fleet = make_fleet(clock=clock)
    assert fleet.may_finish_move(SOURCE)
    fleet.dispatch(EvacuationsReceived((BEGUN,)))
    clock.advance(FINISHES_MOVES)
    assert fleet.may_finish_move(SOURCE)
    clock.advance(1)
    assert not fleet.may_finish_move(SOURCE)
    # What comes later does not begin the moment again.
    fleet.dispatch(EvacuationsReceived((Evacuation('west', 30),)))
    assert not fleet.may_finish_move(SOURCE)


async def test_service_that_is_all_evacuated_refuses_at_once(
    autojump_clock,
) -> None:
    clock = SystemClock()
    fleet = make_fleet(BEGUN, Evacuation('east', 8), clock=clock)
    admission = Admission(fleet, clock, 1)
    began = clock.now()
    waiting = Waiting('r', NEED, 0, began, began + 2000)
    refused = await admission.place(waiting)
    assert isinstance(refused, NoCapacity)
    assert refused.retry_after > 0
    assert clock.now() == began


def test_news_of_both_kinds_tell_evacuations() -> None:
    peer = PeerEntry('p', '10.0.0.1', 7200, 'north')
    news = LoadNews(1, 1, 0, peer, {}, evacuations=(BEGUN,))
    sent = decode_binary(encode_binary(news), LoadNews)
    _, actions = decide_news(NewsState(), NewsArrived('p', sent), 0, 0)
    assert ApplyEvacuations((BEGUN,)) in actions
    domain = DomainNews(1, 1, 0, peer, 1, {}, evacuations=(BEGUN,))
    arrived = DomainNewsArrived(domain, direct=False)
    _, actions = decide_news(NewsState(), arrived, 0, 0)
    assert ApplyEvacuations((BEGUN,)) in actions


def test_briefing_tells_a_new_instance() -> None:
    briefing = Briefing(b'', b'', evacuations=(BEGUN,))
    read = decode_binary(encode_binary(briefing), Briefing)
    assert read.evacuations == (BEGUN,)


async def test_store_tells_begin_and_end(autojump_clock) -> None:
    key = 'op/evacuate/west'
    began = trio.current_time()
    listing = Success(Listing((Entry('servers/i', ENTRY_VALUE, 1, 1),), 1))
    store = ScriptedStore(
        [listing], changes=[(began + 1, Entry(key, b'{}', 5, 5))]
    )
    fleet = Fleet(SystemClock(), 'west', 1)
    follower = StoreFollower(
        store, fleet, SystemClock(), decode_change, print, lambda: True, bool
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(0.5)
        assert not fleet.list_evacuated()
        await trio.sleep(1)
        assert fleet.list_evacuated() == ('west',)
        nursery.cancel_scope.cancel()


async def test_evacuated_engine_ends_its_work_and_gets_no_more() -> None:
    async with open_platform(engines=1, plains=1, instances=2) as stage:
        async with draft_meanwhile(stage, 'running') as answers:
            await find_runner(stage, 'running')
            stage.store.put('op/evacuate/west', {})
            for runtime in stage.runtimes:
                await until(runtime.fleet.list_evacuated)
            refused = await draft(stage, 'refused')
        assert answers[0].content == whole('running')
        assert refused.status_code == 503
        assert float(refused.headers['Retry-After']) > 0
        assert not count_runs(stage, 'refused')
        stage.store.remove('op/evacuate/west')
        for runtime in stage.runtimes:
            await until(lambda at=runtime: not at.fleet.list_evacuated())
        assert (await draft(stage, 'later')).content == whole('later')


async def test_plain_requests_leave_an_evacuated_domain() -> None:
    async with open_platform(plains=1) as stage:
        stage.store.put('op/evacuate/west', {})
        await until(stage.runtimes[0].fleet.list_evacuated)
        answer = await stage.client.post(
            stage.url('/cut/one'), headers=make_headers('r1'), content=b''
        )
        assert answer.status_code == 503
        assert not count_runs(stage, 'r1')
