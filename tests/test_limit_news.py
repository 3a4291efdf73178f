"""Exchange of upstreams' rate limits between instances."""

from dataclasses import replace
from math import inf

import pytest
import trio

from cartdale.clock import VirtualClock
from cartdale.codec import decode_binary
from cartdale.daemon import shares
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.decide import decide
from cartdale.fleet.driver import Fleet
from cartdale.fleet.rate_limits import LIMIT_KEPT_MS, RateLimit
from cartdale.fleet.types import (
    Advisory,
    EntryRemoved,
    EntryWritten,
    LimitAdvertised,
    LimitChanged,
    TimePassed,
)
from cartdale.news.decide import ALIVE_MS
from cartdale.news.decide import decide as decide_news
from cartdale.news.limits import (
    find_limit_participants,
    merge_limit_news,
    read_limit,
    sum_demand,
    write_limit,
)
from cartdale.news.types import (
    ApplyLimit,
    LimitNews,
    LoadNews,
    NewsArrived,
    NewsState,
    ReceivedNews,
)
from cartdale.news.writing import NewsWriter
from cartdale.peers.authentication import Authenticator
from cartdale_standins.platform_store import PlatformStoreFaults
from tests.platform_stage import ask, open_platform, until
from tests.test_domain_news import (
    OWN,
    PEERS,
    apply_domain_news,
    make_state,
)
from tests.test_fleet import make_entry, make_fleet

#: Exceeds the transit time of a message, in milliseconds.
LATER = 1000


def test_peers_receive_a_limit_and_its_end() -> None:
    clock = VirtualClock(10_000)
    sender = Fleet(clock, 'west', 1)
    sender.dispatch(EntryWritten(make_entry('a', born=1)))
    advisories = AdvisoryRecorder(sender, clock)
    writer = NewsWriter(PEERS[1], sender, clock, bool, bool)
    authenticator = Authenticator((b'k' * 32,))
    known = make_fleet('a', born=1)
    for limit in (3.1, inf):
        writer.write(authenticator)
        asked_at = clock.now()
        clock.advance(40)
        advisories.record('a', Advisory(limit=limit), 'r', asked_at)
        assert writer.has_new()
        envelope = authenticator.verify(
            writer.write(authenticator), clock.wall_time()
        )
        news = decode_binary(bytes(envelope.body), LoadNews)
        assert news.limits == {'a': LimitNews(limit, 40, 0, 1)}
        _, actions = decide_news(NewsState(), NewsArrived('p', news), 0, 0)
        assert ApplyLimit('a', news.limits['a']) in actions
        announced = read_limit(news.limits['a'], clock.now())
        known, actions = decide(
            known, LimitAdvertised('a', announced, 1), clock.now()
        )
        assert actions == (LimitChanged('a', limit),)
        clock.advance(LATER)


def test_a_peer_does_not_repeat_reported_limits() -> None:
    clock = VirtualClock(10_000)
    fleet = Fleet(clock, 'west', 1)
    fleet.dispatch(EntryWritten(make_entry('a')))
    fleet.dispatch(LimitAdvertised('a', RateLimit(3, 9000, 9100)))
    assert fleet.limits.gate.find('a') is not None
    writer = NewsWriter(PEERS[1], fleet, clock, bool, bool)
    assert not writer.list_limits()


def test_a_late_report_does_not_end_a_limit() -> None:
    """The response predates the limit, but is reported after it."""
    known = RateLimit(3, 900, 1000)
    ended = write_limit(RateLimit(inf, 950, 990), 0, 1000)
    arrived_at = 1200
    state = make_fleet('a')
    state, _ = decide(state, LimitAdvertised('a', known), 1000)
    report = LimitAdvertised('a', read_limit(ended, arrived_at))
    assert decide(state, report, arrived_at) == (state, ())


def test_each_incarnation_has_its_own_limit() -> None:
    state = make_fleet('a', born=2)
    announced = RateLimit(3, 100, 200)
    assert decide(state, LimitAdvertised('a', announced, born=1), 200) == (
        state,
        (),
    )
    state, _ = decide(state, LimitAdvertised('a', announced, born=2), 200)
    state, _ = decide(state, EntryWritten(make_entry('a', born=3)), 300)
    assert not state.upstreams_by_id['a'].rate_limit.limited


def test_an_entry_that_is_gone_and_back_keeps_its_limit() -> None:
    state = make_fleet('a', born=2)
    state, _ = decide(state, LimitAdvertised('a', RateLimit(3, 100, 200)), 200)
    state, _ = decide(state, EntryRemoved('a', after_outage=True), 300)
    state, _ = decide(state, EntryWritten(make_entry('a', born=2)), 5000)
    assert state.upstreams_by_id['a'].rate_limit.per_second == 3


def test_gate_drops_an_ended_incarnation() -> None:
    fleet = Fleet(VirtualClock(), 'west', 1)
    fleet.dispatch(EntryWritten(make_entry('a', born=1)))
    fleet.dispatch(LimitAdvertised('a', RateLimit(3, 0, 0), born=1))
    assert fleet.limits.gate.find('a') is not None
    fleet.dispatch(EntryWritten(make_entry('a', born=2)))
    assert fleet.limits.gate.find('a') is None


def test_a_domain_publishes_the_newest_limits_of_its_instances() -> None:
    peer = LoadNews(1, 1, 0, PEERS[1], {})
    received = [
        ReceivedNews(replace(peer, limits={'a': LimitNews(6, 900, 800)}), 2000),
        ReceivedNews(replace(peer, limits={'b': LimitNews(2, 50, 40)}), 2000),
        ReceivedNews(
            replace(peer, limits={'a': LimitNews(1.6, 100, 90)}), 1900
        ),
    ]
    own = {'b': LimitNews(9, 900, 800)}
    merged = merge_limit_news(own, received, 2000)
    assert {name: each.per_second for name, each in merged.items()} == {
        'a': 1.6,
        'b': 2,
    }
    assert merged['a'].answered_ago == 190


def test_demand_is_summed_where_all_report_it() -> None:
    assert sum_demand([{'s': 1, 't': 2}, {'s': 3}]) == {'s': 4}
    assert not sum_demand([])


def test_participants_of_a_small_system_are_all_listed_instances() -> None:
    few = PEERS[:3]
    state = make_state(few, offers={'s': 2.0})
    participants = find_limit_participants(state, OWN, {'s': 1.0}, 0)
    assert participants.domain_peers == {
        OWN.name: {'s': 1.0},
        **{peer.name: {'s': 2.0} for peer in few[1:]},
    }
    silent = find_limit_participants(state, OWN, {'s': 1.0}, ALIVE_MS + 1)
    assert silent.domain_peers == {
        **dict.fromkeys((peer.name for peer in few)),
        OWN.name: {'s': 1.0},
    }


def test_participants_of_a_large_system_are_grouped_by_domain() -> None:
    state = make_state(offers={'s': 2.0})
    participants = find_limit_participants(state, OWN, {'s': 1.0}, 0)
    assert participants.own_group == 'east'
    assert len(participants.domain_peers) == 8
    assert participants.groups == {
        'east': {'s': 15},
        'north': None,
        'west': None,
    }
    state = apply_domain_news(state, OWN, offers={'s': 8.0})
    participants = find_limit_participants(state, OWN, {'s': 1.0}, 0)
    assert participants.groups['west'] == {'s': 8}


# Guards against a limit that is exceeded as an instance joins, whose part the
# others still use.
async def test_a_part_is_given_up_as_an_instance_joins(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_platform(engines=0, plains=1) as stage:
        first = stage.runtimes[0].fleet.limits.gate
        stage.plains[0].limit = '4'
        await ask(stage, 'r')
        await until(lambda: first.find('plain-0'))
        assert first.count_rate() == pytest.approx(4)
        monkeypatch.setattr(shares, '_LOOK_EVERY', 60_000)
        await trio.sleep(1.1)
        second = stage.add_instance().fleet.limits.gate
        await until(lambda: second.find('plain-0'))
        await until(lambda: first.count_rate() < 4)
        total = first.count_rate() + second.count_rate()
        assert total == pytest.approx(4)


@pytest.mark.parametrize('store_is_away', [False, True])
async def test_a_peer_without_responses_obeys_a_limit(
    *, store_is_away: bool
) -> None:
    async with open_platform(engines=0, plains=1, instances=2) as stage:
        plain = stage.plains[0]
        news = [runtime.peers.news for runtime in stage.runtimes]
        await until(lambda: all(each.count_alive() == 2 for each in news))
        stage.store.faults = PlatformStoreFaults(busy=store_is_away)
        gates = [runtime.fleet.limits.gate for runtime in stage.runtimes]
        plain.limit = '2'
        await ask(stage, 'r')
        await until(lambda: all(gate.find('plain-0') for gate in gates))
        assert sum(gate.count_rate() for gate in gates) == pytest.approx(2)
        plain.limit = ''
        number = 0
        while any(gate.find('plain-0') for gate in gates):
            number += 1
            await ask(stage, f'r-{number}')


def test_an_idle_instance_learns_of_an_end_by_later_responses() -> None:
    """The first response without a limit may predate the last with one.

    An instance without a permit kept a limit forever, since the request of the
    only end reported to it was sent 10 ms after the limit was announced.
    """
    clock = VirtualClock(10_000)
    sender = Fleet(clock, 'west', 1)
    sender.dispatch(EntryWritten(make_entry('a')))
    advisories = AdvisoryRecorder(sender, clock)
    writer = NewsWriter(PEERS[1], sender, clock, bool, bool)
    known = make_fleet('a')
    began = clock.now()
    for limit in (3.1, *[inf] * 60):
        asked_at = clock.now()
        clock.advance(50)
        advisories.record('a', Advisory(limit=limit), 'r', asked_at)
        for report in writer.list_limits().values():
            announced = LimitAdvertised('a', read_limit(report, clock.now()))
            known, _ = decide(known, announced, clock.now())
        if limit == inf and not known.upstreams_by_id['a'].rate_limit.limited:
            break
    assert clock.now() - began <= LATER
    # The end is not reported forever.
    clock.advance(4000)
    advisories.record('a', Advisory(limit=inf), 'r', clock.now() - 10)
    assert not writer.list_limits()


def test_a_limit_that_is_no_longer_announced_lapses() -> None:
    """An instance cut off at the end, without a permit, learns of no end."""
    state = make_fleet('a')
    state, _ = decide(state, LimitAdvertised('a', RateLimit(3, 0, 0)), 0)
    before = LIMIT_KEPT_MS - 1
    assert decide(state, TimePassed(), before)[0] is state
    state, actions = decide(state, TimePassed(), LIMIT_KEPT_MS)
    assert actions == (LimitChanged('a', inf),)
    again = RateLimit(3, LIMIT_KEPT_MS - 20, LIMIT_KEPT_MS + 10)
    _, actions = decide(state, LimitAdvertised('a', again), LIMIT_KEPT_MS + 10)
    assert actions == (LimitChanged('a', 3),)
