"""News of speeds: mixed versions, failure domains, and what it is told of."""

from dataclasses import fields, make_dataclass, replace
from math import inf

import msgspec
import pytest
from msgspec import UNSET

from cartdale.clock import VirtualClock
from cartdale.codec import decode_binary, encode_binary
from cartdale.fleet.types import Advisory
from cartdale.news.decide import decide
from cartdale.news.types import (
    DomainNews,
    DomainNewsArrived,
    LoadNews,
    NewsArrived,
    NewsState,
    PeerEntry,
)
from cartdale.relay.pacing import PaceMeter
from cartdale.relay.recent_times import RecentTimes
from cartdale.speeds.driver import SpeedBook
from cartdale.speeds.types import (
    LoadSample,
    Moment,
    Observations,
    SpeedNews,
    SpeedsTold,
    SpeedSums,
)
from cartdale.speeds.windows import GenerationTimer
from tests.test_speeds import SERVICE, make_book, make_fleet

PEER = PeerEntry('n', '10.0.0.1', 7200, 'd')
SPEEDS = SpeedNews(
    {'a': SpeedSums(5, Observations(100, 10))}, {'a': Moment(3, 0, 250, 40)}
)
LOAD_NEWS = LoadNews(1, 2, 3, PEER, {}, speeds=SPEEDS)
DOMAIN_NEWS = DomainNews(1, 2, 3, PEER, 4, {}, speeds=SPEEDS)


def make_old_type(kind: type) -> type:
    """Return the type of news as it was without speeds."""
    return make_dataclass(
        kind.__name__,
        [
            (each.name, object, each)
            for each in fields(kind)
            if each.name != 'speeds'
        ],
        frozen=True,
    )


@pytest.mark.parametrize('news', [LOAD_NEWS, DOMAIN_NEWS])
def test_news_of_speeds_is_read_as_it_was_written(
    news: LoadNews | DomainNews,
) -> None:
    assert decode_binary(encode_binary(news), type(news)) == news


@pytest.mark.parametrize('news', [LOAD_NEWS, DOMAIN_NEWS])
def test_earlier_versions_read_news_with_speeds(
    news: LoadNews | DomainNews,
) -> None:
    old = decode_binary(encode_binary(news), make_old_type(type(news)))
    assert (old.boot, old.number, old.version) == (1, 2, 3)


@pytest.mark.parametrize('news', [LOAD_NEWS, DOMAIN_NEWS])
def test_news_of_earlier_versions_is_read(
    news: LoadNews | DomainNews,
) -> None:
    old_type = make_old_type(type(news))
    raw = encode_binary(
        old_type(
            **{each.name: getattr(news, each.name) for each in fields(old_type)}
        )
    )
    assert decode_binary(raw, type(news)) == replace(news, speeds=UNSET)


def test_later_versions_may_add_figures() -> None:
    raw = encode_binary([{'a': [5, [100, 10], 'new']}, {'a': [3, 0, 250, 40]}])
    assert decode_binary(raw, SpeedNews) == SPEEDS


def test_without_speeds_a_message_is_as_before() -> None:
    plain = replace(LOAD_NEWS, speeds=UNSET)
    assert 'speeds' not in msgspec.msgpack.decode(encode_binary(plain))


def test_speeds_in_news_are_applied() -> None:
    arrived = NewsArrived('n', LOAD_NEWS)
    _, actions = decide(NewsState(), arrived, 0, 3)
    assert SpeedsTold('n', SPEEDS) in actions
    of_domain = DomainNewsArrived(DOMAIN_NEWS, direct=False)
    _, actions = decide(NewsState(), of_domain, 0, 3)
    assert SpeedsTold('domain/d', SPEEDS, 4) in actions


def list_told_types(news: LoadNews) -> set[type]:
    _, actions = decide(NewsState(), NewsArrived('n', news), 0, 3)
    return set(map(type, actions))


def test_news_without_speeds_leads_to_no_action() -> None:
    assert SpeedsTold in list_told_types(LOAD_NEWS)
    plain = replace(LOAD_NEWS, speeds=UNSET)
    assert SpeedsTold not in list_told_types(plain)


def observe(book: SpeedBook, name: str, took: float, now: int) -> None:
    """Observe a generation of five windows."""
    book.note_sample(name, LoadSample(1, 0, 8, 1), now)
    timer = GenerationTimer(book, 1)
    for _ in range(5):
        timer.add_window(name, took, now, now)


def test_publisher_adds_up_its_domain() -> None:
    """What it tells weighs as much as the news of all of its instances."""
    publisher, member = make_book('a', 'b'), make_book('a', 'b')
    observe(publisher, 'a', 10, 1000)
    observe(member, 'a', 12, 1000)
    observe(member, 'b', 20, 1000)
    told = member.write_news(1010)
    assert isinstance(told, SpeedNews)
    publisher.receive('m', told, 1020)
    summed = publisher.write_domain_news(('m',), 1030)
    assert isinstance(summed, SpeedNews)
    times = summed.sums_by_upstream['a'].times
    assert times.weight == pytest.approx(100, rel=0.02)
    assert times.mean == pytest.approx(11, rel=0.02)
    assert summed.sums_by_upstream['b'].times.mean == pytest.approx(20)
    assert set(summed.moments_by_upstream) == {'a', 'b'}
    # The time that the message took is unknown.
    assert summed.moments_by_upstream['b'].age == 20
    assert publisher.write_domain_news(('m',), 1040) is UNSET


def test_news_of_other_domains_is_not_repeated() -> None:
    publisher = make_book('a')
    publisher.receive('domain/other', SPEEDS, 1000)
    assert publisher.write_domain_news(('m',), 1010) is UNSET
    assert publisher.write_news(1010) is UNSET


def test_unchanged_sums_are_told_again_only_now_and_then() -> None:
    book = make_book('a')
    observe(book, 'a', 10, 0)
    told = sum(
        isinstance(book.write_news(now), SpeedNews)
        for now in range(100, 30_100, 100)
    )
    assert told == 2


# Events of generations.


@pytest.mark.parametrize(
    'pauses',
    [
        {},
        # A prompt is read beside it now and then.
        {5: 400, 15: 300, 25: 400, 35: 300, 45: 400},
        # The instance was busy, so that two events arrive together.
        {number: 0 if number % 2 else 80 for number in range(20, 40)},
    ],
)
def test_time_of_a_token_is_learnt_from_events(pauses: dict[int, int]) -> None:
    fleet = make_fleet('a')
    book = fleet.speeds
    clock = VirtualClock(1000)
    meter = PaceMeter(fleet, clock, SERVICE, 4, RecentTimes(1))
    book.note_sample('a', LoadSample(1, 0, 8, 1), 1000)
    meter.begin(100)
    for number in range(60):
        clock.advance(pauses.get(number, 40))
        meter.advance()
        meter.time_event('a')
    assert isinstance(book.write_news(clock.now()), SpeedNews)
    meter.end()
    observed = book.write_news(clock.now() + 16_000)
    assert isinstance(observed, SpeedNews)
    times = observed.sums_by_upstream['a'].times
    assert times.mean == pytest.approx(10, rel=0.1)


def test_events_that_a_slow_caller_delayed_do_not_count() -> None:
    fleet = make_fleet('a')
    clock = VirtualClock()
    meter = PaceMeter(fleet, clock, SERVICE, 4, RecentTimes(1))
    fleet.speeds.note_sample('a', LoadSample(1, 0, 8, 1), 0)
    meter.begin(100)
    for _ in range(60):
        clock.advance(400)
        meter.time_event('a')
        meter.skip()
    meter.end()
    fleet.speeds.note_sample('a', LoadSample(1, 0, 8, 1), clock.now())
    told = fleet.speeds.write_news(clock.now())
    assert isinstance(told, SpeedNews)
    assert not told.sums_by_upstream


def test_a_generation_that_moves_is_timed_at_each_engine() -> None:
    book = make_book('a', 'b')
    for name in ('a', 'b'):
        book.note_sample(name, LoadSample(1, 0, 8, 1), 0)
    timer = GenerationTimer(book, 1)
    for now in range(0, 1000, 20):
        timer.add('a', now)
    for now in range(1000, 3000, 40):
        timer.add('b', now)
    timer.end(3000)
    told = book.write_news(3000)
    assert isinstance(told, SpeedNews)
    means = {
        name: sums.times.mean for name, sums in told.sums_by_upstream.items()
    }
    assert means == pytest.approx({'a': 20, 'b': 40}, rel=0.05)


def test_advisory_without_load_keeps_the_rest() -> None:
    advisory = Advisory(leaving=True, limit=inf, load=LoadSample(1, 0, 8, 1))
    assert advisory.without_load() == Advisory(leaving=True, limit=inf)
