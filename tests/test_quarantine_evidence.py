"""Evidence against requests: merged in any order, cleared and forgotten."""

from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartdale.briefing.types import Briefing
from cartdale.clock import SECOND_MS, VirtualClock
from cartdale.codec import decode_binary, encode_binary
from cartdale.fleet.driver import Fleet
from cartdale.news.decide import decide as decide_news
from cartdale.news.types import LoadNews, NewsArrived, NewsState, PeerEntry
from cartdale.quarantine.decide import (
    CRASHES_TO_QUARANTINE,
    MOST_IDENTITIES,
    decide,
    is_quarantined,
    list_crashes,
)
from cartdale.quarantine.driver import MOST_RAN, Quarantine
from cartdale.quarantine.evidence import KEPT, RAN_LATELY
from cartdale.quarantine.publishing import PAGE, select_news
from cartdale.quarantine.types import (
    Crash,
    CrashesTold,
    CrashNews,
    Quarantined,
    QuarantineState,
    RanOn,
    Released,
    TimePassed,
    UpstreamEnded,
)

ONE = b'1' * 16
OTHER = b'2' * 16
#: Bytes that a piece of evidence takes of a message at most.
PIECE_BYTES = 64
PEER = PeerEntry('p', '10.0.0.1', 7200)


def end(*upstreams: str, identity: bytes = ONE, now: int = 0):
    """Return the state after upstreams have ended under a request."""
    state = QuarantineState()
    for name in upstreams:
        ended = UpstreamEnded(Crash(identity, name, 1))
        state, _ = decide(state, ended, now)
    return state


def tell(identity: bytes, upstream: str, **changes) -> CrashNews:
    given = {'born': 1, 'age': 0, **changes}
    return CrashNews(identity, upstream, **given)


def test_three_upstreams_quarantine_a_request() -> None:
    state = end('a', 'b')
    assert not is_quarantined(state, ONE)
    third = UpstreamEnded(Crash(ONE, 'c', 1))
    state, actions = decide(state, third, 100)
    assert actions == (Quarantined(ONE),)
    assert not is_quarantined(state, OTHER)
    again = UpstreamEnded(Crash(ONE, 'd', 1))
    assert decide(state, again, 200)[1] == ()


def test_a_crash_counts_once_whoever_saw_it() -> None:
    state = end('a', 'a')
    told = CrashesTold((tell(ONE, 'a'), tell(ONE, 'a', age=2)))
    state, _ = decide(state, told, 100)
    assert len(list_crashes(state, ONE)) == 1


def test_an_upstream_that_came_back_counts_again() -> None:
    state = QuarantineState()
    for born in range(1, 1 + CRASHES_TO_QUARANTINE):
        ended = UpstreamEnded(Crash(ONE, 'a', born))
        state, _ = decide(state, ended, born)
    assert is_quarantined(state, ONE)


def test_an_upstream_that_is_back_before_its_birth_is_known_counts_again() -> (
    None
):
    state = end('a', now=100)
    for sent_at in (200, 400):
        ended = UpstreamEnded(Crash(ONE, 'a', 1), sent_at, begun=True)
        state, _ = decide(state, ended, sent_at + 100)
    assert is_quarantined(state, ONE)
    # Two copies of a request on one upstream see one end.
    beside = UpstreamEnded(Crash(ONE, 'a', 1), 450, begun=True)
    assert decide(state, beside, 510) == (state, ())
    # Whatever stands before a dead upstream may take connections and close.
    closed = UpstreamEnded(Crash(ONE, 'a', 1), 600)
    assert decide(state, closed, 610) == (state, ())


def test_a_request_that_ran_on_is_released() -> None:
    state, actions = decide(end('a', 'b', 'c'), RanOn(ONE, 100), 100)
    assert actions == (Released(ONE),)
    state, _ = decide(state, CrashesTold((tell(ONE, 'a'),)), 200)
    assert not list_crashes(state, ONE)
    assert decide(state, RanOn(ONE, 300), 300) == (state, ())
    soon = UpstreamEnded(Crash(ONE, 'd', 1))
    state, _ = decide(state, soon, 400)
    assert not list_crashes(state, ONE)
    later = UpstreamEnded(Crash(ONE, 'e', 1))
    state, _ = decide(state, later, 101 + RAN_LATELY)
    assert len(list_crashes(state, ONE)) == 1


def test_what_all_ask_for_first_is_not_blamed_for_the_ends_of_two() -> None:
    """Right after a start nothing has run on that could speak for it.

    Seen in a soak: two requests end three upstreams within 1.5 s, and what all
    ask for was about to begin on each of them.
    """
    state = QuarantineState()
    third = b'3' * 16
    for now, name, deadly in ((0, 'a', OTHER), (1130, 'b', third)):
        for identity in (ONE, deadly):
            ended = UpstreamEnded(Crash(identity, name, 1))
            state, _ = decide(state, ended, now)
    for identity in (ONE, OTHER):
        again = UpstreamEnded(Crash(identity, 'a', 2))
        state, _ = decide(state, again, 1520)
    assert not is_quarantined(state, ONE)


def test_news_of_an_old_run_clear_nothing_new() -> None:
    state, _ = decide(end('a'), RanOn(ONE, 100), 100)
    later = 2 * RAN_LATELY
    for name in ('b', 'c', 'd'):
        ended = UpstreamEnded(Crash(ONE, name, 1))
        state, _ = decide(state, ended, later)
    assert is_quarantined(state, ONE)
    for turn in range(3):
        told = CrashesTold(select_news(state, later, turn))
        newcomer, _ = decide(QuarantineState(), told, later)
        assert is_quarantined(newcomer, ONE)
        state, _ = decide(state, told, later)
        assert is_quarantined(state, ONE)


def test_evidence_is_forgotten_together_after_its_time() -> None:
    state = end('a', 'b', now=0)
    state, _ = decide(state, UpstreamEnded(Crash(ONE, 'c', 1)), SECOND_MS)
    before = KEPT + SECOND_MS - 1
    assert decide(state, TimePassed(), before) == (state, ())
    after, actions = decide(state, TimePassed(), KEPT + SECOND_MS)
    assert actions == (Released(ONE),)
    assert not after.records_by_identity


def test_old_evidence_of_a_peer_is_not_taken() -> None:
    old = tell(ONE, 'a', age=KEPT)
    state = QuarantineState()
    assert decide(state, CrashesTold((old,)), KEPT) == (state, ())


def test_what_speaks_least_is_dropped_when_there_is_too_much() -> None:
    state = end('a', 'b', 'c')
    for number in range(MOST_IDENTITIES + 5):
        identity = number.to_bytes(16, 'big')
        ended = UpstreamEnded(Crash(identity, 'a', 1))
        state, _ = decide(state, ended, number)
    assert len(state.records_by_identity) == MOST_IDENTITIES
    assert is_quarantined(state, ONE)
    assert (0).to_bytes(16, 'big') not in state.records_by_identity


@given(
    st.permutations(
        [
            tell(ONE, 'a'),
            tell(ONE, 'b'),
            tell(ONE, 'c'),
            tell(OTHER, 'a'),
            tell(OTHER, 'b'),
            tell(OTHER, 'c', ran_age=0),
            tell(OTHER, 'd'),
        ]
    ),
    st.integers(0, 5),
)
def test_any_order_of_news_ends_in_the_same(told, cut: int) -> None:
    state = QuarantineState()
    for part in (told[:cut], told[cut:], told[:2]):
        state, _ = decide(state, CrashesTold(tuple(part)), 0)
    assert len(list_crashes(state, ONE)) == 3
    assert len(list_crashes(state, OTHER)) == 0


def test_instances_that_each_saw_one_crash_agree_once_told() -> None:
    states = [end(name) for name in ('a', 'b', 'c')]
    for order in permutations(range(3)):
        merged = states[order[0]]
        for number in order[1:]:
            news = select_news(states[number], 0, 1)
            merged, _ = decide(merged, CrashesTold(news), 0)
        assert is_quarantined(merged, ONE)


@pytest.mark.parametrize('requests', [PAGE + 3, 2 * PAGE, 4 * PAGE])
def test_a_message_holds_a_page_and_all_come_in_turns(requests: int) -> None:
    state = QuarantineState()
    for number in range(requests):
        for name in ('a', 'b'):
            ended = UpstreamEnded(Crash(number.to_bytes(16, 'big'), name, 1))
            state, _ = decide(state, ended, 0)
    later = 10 * SECOND_MS
    told = [select_news(state, later, turn) for turn in range(3 * requests)]
    assert all(len(page) == PAGE for page in told)
    named = {(each.identity, each.upstream) for page in told for each in page}
    assert len(named) == 2 * requests


def test_single_crashes_are_told_only_while_they_are_fresh() -> None:
    state = end('a')
    assert select_news(state, SECOND_MS, 1)
    assert not select_news(state, 10 * SECOND_MS, 1)
    state = end('a', 'b')
    assert len(select_news(state, 10 * SECOND_MS, 1)) == 2


def test_the_most_suspected_are_told_first() -> None:
    state = end('a', 'b', 'c')
    for number in range(2 * PAGE):
        ended = UpstreamEnded(Crash(number.to_bytes(16, 'big'), 'z', 1))
        state, _ = decide(state, ended, 100)
    news = select_news(state, 100, 1)
    assert {each.upstream for each in news[:3]} == {'a', 'b', 'c'}


def test_news_and_briefings_carry_evidence() -> None:
    crashes = (tell(ONE, 'a', age=3),)
    news = LoadNews(1, 1, 1, PEER, {}, crashes=crashes)
    read = decode_binary(encode_binary(news), LoadNews)
    _, actions = decide_news(NewsState(), NewsArrived('p', read), 0, 1)
    assert CrashesTold(crashes) in actions
    briefing = Briefing(b'', b'', crashes=crashes)
    assert decode_binary(encode_binary(briefing), Briefing) == briefing


def test_evidence_takes_little_of_a_message() -> None:
    one = tell(
        ONE, 'i-7573d5a716', born=1777495388662, age=KEPT - 1, ran_age=KEPT
    )
    empty = encode_binary(LoadNews(1, 1, 1, PEER, {}))
    full = encode_binary(LoadNews(1, 1, 1, PEER, {}, crashes=(one,) * PAGE))
    assert (len(full) - len(empty)) / PAGE <= PIECE_BYTES


def test_peers_are_told_at_once() -> None:
    fleet = Fleet(VirtualClock(), 'west', 1)
    before = fleet.quarantine.version
    fleet.quarantine.dispatch(UpstreamEnded(Crash(ONE, 'a', 1)))
    assert fleet.quarantine.version == before + 1
    fleet.quarantine.record_survival(OTHER)
    assert fleet.quarantine.version == before + 1


def test_what_many_ask_for_is_not_blamed_for_upstreams_that_end() -> None:
    """Of all requests for one thing some run on each upstream that ends."""
    clock = VirtualClock()
    quarantine = Quarantine(clock, print)
    quarantine.record_survival(ONE)
    for name in ('a', 'b', 'c', 'd'):
        clock.advance(SECOND_MS)
        quarantine.dispatch(UpstreamEnded(Crash(ONE, name, 1)))
        quarantine.dispatch(UpstreamEnded(Crash(OTHER, name, 1)))
    assert not quarantine.is_quarantined(ONE)
    assert quarantine.is_quarantined(OTHER)


def test_the_oldest_evidence_makes_way() -> None:
    state = end('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h')
    state, _ = decide(state, RanOn(ONE, 0), 0)
    for name in 'ijk':
        ended = UpstreamEnded(Crash(ONE, name, 1))
        state, _ = decide(state, ended, RAN_LATELY + 1)
    assert is_quarantined(state, ONE)
    assert len(state.records_by_identity[ONE].evidence) == 8


async def test_a_peer_that_saw_it_run_clears_what_others_tell() -> None:
    clock = VirtualClock()
    quarantine = Quarantine(clock, print)
    quarantine.record_survival(ONE)
    quarantine.dispatch(CrashesTold(tuple(tell(ONE, name) for name in 'abc')))
    assert not quarantine.is_quarantined(ONE)
    with quarantine.guard(ONE) as guard:
        quarantine.dispatch(CrashesTold((tell(ONE, 'd'), tell(ONE, 'e'))))
    assert not guard.stopped
    assert all(each.ran_age == 0 for each in quarantine.list_news())
    clock.advance(RAN_LATELY + 1)
    quarantine.dispatch(CrashesTold(tuple(tell(ONE, name) for name in 'fgh')))
    assert quarantine.is_quarantined(ONE)


def test_what_ran_is_remembered_within_bounds() -> None:
    quarantine = Quarantine(VirtualClock(), print)
    quarantine.record_survival(ONE)
    for number in range(MOST_RAN):
        quarantine.record_survival(number.to_bytes(16, 'big'))
    quarantine.dispatch(CrashesTold(tuple(tell(ONE, name) for name in 'abc')))
    assert quarantine.is_quarantined(ONE)
