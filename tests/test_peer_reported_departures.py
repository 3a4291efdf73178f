"""Upstreams announce in response headers that they leave, before the store.

Guards against two faults. During a store outage, an instance ignored the
leaving header of a plain upstream's response and sent it requests for seconds:
seventeen of thirty, and none once the header is applied where the response head
is read. Departures came only from the store, from peers that had read them
there, and from engines' reports. And an older entry of the store, which still
said ready, reverted a departure that a report had announced.
"""

import trio
from returns.result import Failure

from cartdale.clock import MINUTE_MS, SystemClock, VirtualClock
from cartdale.codec import decode_binary
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.decide import decide
from cartdale.fleet.departures import ANNOUNCED_LEAVING_KEPT_MS, LEAVING_KEPT_MS
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import (
    Advisory,
    BeganLeaving,
    EntriesListed,
    EntryRemoved,
    EntryWritten,
    LeavingAnnounced,
    Lifecycle,
    Restarted,
    Returned,
    TimePassed,
    Upstream,
    Vanished,
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
from cartdale.platform.upstreams import PlatformUpstreams
from cartdale.relay.decide import (
    MAX_SENDS,
    AttemptState,
    TryAgain,
    Withheld,
)
from cartdale.relay.decide import decide as decide_attempt
from cartdale.relay.send_record import NewRun, SendRecord
from cartdale.relay.types import (
    CallerRequest,
    RoutedRequest,
    SendWithheld,
    UpstreamCall,
)
from cartdale_standins.platform_store import PlatformStoreFaults
from cartdale_standins.platform_worker import PlatformWorker
from tests.platform_stage import (
    HOST,
    PlatformStage,
    ask,
    draft_meanwhile,
    find_runner,
    open_platform,
    until,
    whole,
)
from tests.test_fleet import make_entry, make_fleet

#: Time in seconds after which no new request reaches an upstream that an
#: instance knows to be leaving.
DRAIN_BOUND = 2
PEER = PeerEntry('p', '10.0.0.1', 7200)


async def ask_until_answered_by(
    stage: PlatformStage, worker: PlatformWorker
) -> None:
    numbers = iter(range(10**6))
    while not worker.runs_by_request:
        answer = await ask(stage, f'before-{next(numbers)}')
        assert answer.status_code == 200


async def count_after_bound(
    stage: PlatformStage, worker: PlatformWorker, instance: int = 0
) -> int:
    """Return how many of thirty requests reach a leaving upstream."""
    await trio.sleep(DRAIN_BOUND)
    before = len(worker.arrivals)
    for number in range(30):
        answer = await ask(stage, f'after-{number}', instance)
        assert answer.status_code == 200
    return len(worker.arrivals) - before


async def test_no_new_request_after_a_response_announced_leaving() -> None:
    async with open_platform(plains=2) as stage:
        stage.store.faults = PlatformStoreFaults(busy=True)
        leaving = stage.plains[0]
        leaving.leaving = True
        await ask_until_answered_by(stage, leaving)
        assert await count_after_bound(stage, leaving) == 0


def make_announcement(**fields) -> LeavingAnnounced:
    return LeavingAnnounced('a', **fields)


def test_an_older_store_entry_does_not_revert_the_departure() -> None:
    state, actions = decide(make_fleet('a', born=1), make_announcement(), 10)
    assert actions == (BeganLeaving('a'),)
    for after in (20, MINUTE_MS, 5 * MINUTE_MS):
        ready = EntryWritten(make_entry('a', born=1))
        state, actions = decide(state, ready, after)
        assert not actions
        state, actions = decide(state, TimePassed(), after)
        assert not actions
        listed = EntriesListed((ready.entry,), after_outage=True)
        state, actions = decide(state, listed, after)
        assert not actions
        assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING


def test_departure_is_forgotten_once_no_older_entry_remains() -> None:
    """Otherwise each departure is kept for minutes, whatever the store."""
    state, _ = decide(make_fleet('a'), make_announcement(), 10)
    kept, _ = decide(state, TimePassed(), 10 + LEAVING_KEPT_MS)
    assert 'a' in kept.upstreams_by_id
    for lapsed in (EntryRemoved('a', True), EntryRemoved('a', from_peer=True)):
        unsure, _ = decide(state, lapsed, 20)
        kept, _ = decide(unsure, TimePassed(), 10 + LEAVING_KEPT_MS)
        assert 'a' in kept.upstreams_by_id
    removed, _ = decide(state, EntryRemoved('a'), 20)
    _, actions = decide(removed, TimePassed(), 10 + LEAVING_KEPT_MS)
    assert actions == (Vanished('a'),)
    longest = 10 + ANNOUNCED_LEAVING_KEPT_MS
    assert decide(state, TimePassed(), longest)[1] == (Vanished('a'),)


def test_a_new_incarnation_is_live_after_the_last_one_left() -> None:
    state, _ = decide(make_fleet('a', born=1), make_announcement(), 10)
    state, actions = decide(state, EntryWritten(make_entry('a', born=2)), 20)
    assert Restarted('a') in actions
    state, actions = decide(
        state, make_announcement(from_peer=True, born=1), 30
    )
    assert not actions
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LIVE


def test_announcement_also_holds_for_a_missing_entry() -> None:
    state, _ = decide(make_fleet('a'), EntryRemoved('a'), 5)
    state, _ = decide(state, make_announcement(), 6)
    state, actions = decide(state, EntryWritten(make_entry('a')), 900)
    assert not actions
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING


def test_peers_receive_the_departure_and_keep_it() -> None:
    """Also if an older store entry reaches them later."""
    clock = VirtualClock()
    publisher = Fleet(clock, 'west', 1)
    publisher.dispatch(EntryWritten(make_entry('a', born=1)))
    writer = NewsWriter(PEER, publisher, clock, bool, bool)
    authenticator = Authenticator((b'k' * 32,))
    writer.write(authenticator)
    AdvisoryRecorder(publisher, clock).record(
        'a', Advisory(leaving=True), 'r', 0
    )
    assert writer.has_new()
    envelope = authenticator.verify(
        writer.write(authenticator), clock.wall_time()
    )
    news = decode_binary(bytes(envelope.body), LoadNews)
    _, actions = decide_news(NewsState(), NewsArrived('p', news), 0, 0)
    assert ApplyLeaving('a', 1, announced=True) in actions
    by_peer = decide(
        make_fleet('a', born=1), make_announcement(from_peer=True, born=1), 0
    )[0]
    after, _ = decide(by_peer, EntryWritten(make_entry('a', born=1)), 10**5)
    assert after.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING
    # A departure reported by a peer is not published as observed locally.
    assert not after.upstreams_by_id['a'].leaving_observed_locally


async def test_a_peer_without_a_response_of_it_sends_it_nothing() -> None:
    async with open_platform(plains=2, instances=2) as stage:
        news = [runtime.peers.news for runtime in stage.runtimes]
        await until(lambda: all(each.count_alive() == 2 for each in news))
        stage.store.faults = PlatformStoreFaults(busy=True)
        leaving = stage.plains[0]
        leaving.leaving = True
        await ask_until_answered_by(stage, leaving)
        assert await count_after_bound(stage, leaving, instance=1) == 0


async def test_callers_do_not_see_that_an_upstream_leaves() -> None:
    async with open_platform(plains=1) as stage:
        stage.plains[0].leaving = True
        answer = await ask(stage, 'r')
        assert answer.status_code == 200
        assert 'Server-Leaving' not in answer.headers


async def test_departure_is_known_when_a_long_response_begins() -> None:
    """From then on it gets no backups and no moves either."""
    async with open_platform(engines=2) as stage:
        fleet = stage.runtimes[0].fleet
        for engine in stage.engines:
            engine.leaving = True
        async with draft_meanwhile(stage, 'r1', tokens=400) as answers:
            await until(lambda: len(list_live(fleet)) < 3)
            assert not answers
            engine = await find_runner(stage, 'r1')
            assert fleet.find(engine.name).lifecycle is Lifecycle.LEAVING
        assert answers[0].content == whole('r1', 100)


async def test_placed_request_is_withheld_from_a_leaving_upstream() -> None:
    """Its upstream announces that it leaves between placement and send."""
    async with open_platform(plains=2) as stage:
        leaving = stage.plains[0]
        fleet = stage.runtimes[0].fleet
        advisories = AdvisoryRecorder(fleet, SystemClock())
        hidden = {each.entry.upstream for each in list_live(fleet)}
        assert hidden == {'plain-0', 'plain-1', 'engine-0'}
        call = make_call_to(fleet, 'plain-0')
        advisories.record('plain-0', Advisory(leaving=True), 'r', 0)
        async with PlatformUpstreams(advisories).open(call) as opened:
            assert opened == Failure(SendWithheld())
        assert not leaving.arrivals


def list_live(fleet: Fleet) -> list[Upstream]:
    return [
        each
        for each in fleet.state.upstreams_by_id.values()
        if each.lifecycle is Lifecycle.LIVE
    ]


def make_call_to(fleet: Fleet, name: str) -> UpstreamCall:
    headers = ((b'host', HOST.encode()), (b'request-id', b'r'))
    request = CallerRequest('r', 'GET', HOST, b'/cut/a', '', 1000, headers)
    route = fleet.table.routes_by_host[HOST][0]
    routed = RoutedRequest(request, route, 'portal', '', 0, 0, 1000)
    permit = SendRecord('r', 1, bool, lambda: True).permit(NewRun())
    return UpstreamCall(routed, fleet.find(name).entry, permit, 1000)


def test_a_withheld_send_costs_no_attempt() -> None:
    state = AttemptState(repeatable=False, may_run=1)
    for _ in range(2 * MAX_SENDS):
        state, step = decide_attempt(state, Withheld(), affordable=False)
        assert step == TryAgain()
    assert state == AttemptState(repeatable=False, may_run=1)


def test_departure_of_an_incarnation_that_only_peers_saw_counts() -> None:
    # Guards against requests to the address of an upstream that started again
    # and left while this instance heard nothing, and against its entry at a
    # peer that is behind.
    removed = EntryRemoved('a', from_peer=True, born=2)
    state, actions = decide(make_fleet('a', born=1), removed, 10)
    assert actions == (Restarted('a'), BeganLeaving('a'))
    behind = EntryWritten(make_entry('a', born=2), from_peer=True)
    state, _ = decide(state, behind, 20)
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING
    again = EntryWritten(make_entry('a', born=2))
    state, _ = decide(state, again, 30)
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LIVE


def test_announcement_of_an_incarnation_that_only_peers_saw_is_final() -> None:
    announced = make_announcement(from_peer=True, born=2)
    state, actions = decide(make_fleet('a', born=1), announced, 10)
    assert actions == (Restarted('a'), BeganLeaving('a'))
    for entry in (make_entry('a', born=2), make_entry('a', born=1)):
        state, _ = decide(state, EntryWritten(entry), 10**4)
        assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING


def test_entries_of_two_incarnations_in_reverse_order() -> None:
    # Guards against an upstream that is lost, or used, since the last words of
    # its earlier incarnation come after the first ones of the next.
    ready = EntryWritten(make_entry('a', born=2))
    draining = EntryWritten(
        make_entry('a', born=1, lifecycle=Lifecycle.LEAVING)
    )
    state, _ = decide(make_fleet('a', born=1), ready, 10)
    state, actions = decide(state, draining, 20)
    assert not actions
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LIVE
    state, _ = decide(state, EntryRemoved('a'), 30)
    assert state.upstreams_by_id['a'].lifecycle is Lifecycle.LEAVING
    state, actions = decide(state, ready, 40)
    assert actions == (Returned('a'),)
