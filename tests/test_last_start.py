"""Until when work may begin at an instance that is to stop."""

from dataclasses import replace
from math import inf

import pytest
import trio

from cartdale.relay.output_lengths import OutputLengths
from cartdale.relay.recent_times import RecentTimes
from cartdale.relay.types import CallerRequest, RoutedRequest
from cartdale.routes.types import Route, RouteKind
from cartdale.stopping.decide import MAX_RISK, find_last_start
from cartdale.stopping.driver import PlannedStop
from cartdale.stopping.types import PlainWork, Schedule, StreamWork

STOPS_AT = 10_000
LATER = 50_000
SCHEDULE = Schedule(sure_from=3000, stops_at=STOPS_AT)
#: Streams of a route from which its lengths are known.
ENOUGH = 105
STREAM = StreamWork(ends_at=LATER, read_time=200, tokens=100, token_time=8)
PLAIN = PlainWork(ends_at=LATER, answer_time=40)
REQUEST = CallerRequest(
    request_id='r',
    method='POST',
    host='mill.example',
    target=b'/draft/a',
    key='',
    deadline=0,
    headers=(),
    max_tokens=4000,
    expected_tokens=100,
)
ROUTE = Route('draft', 'mill.example', '/draft/', RouteKind.STREAM, 0, 0, ())
ROUTED = RoutedRequest(REQUEST, ROUTE, 'writers', '', 0, 0, LATER)


# Guards against refusals of requests that their own limit ends in time.
@pytest.mark.parametrize('work', [STREAM, PLAIN])
def test_time_limit_before_the_stop_is_enough(work) -> None:
    in_time = replace(work, ends_at=STOPS_AT)
    assert find_last_start(in_time, SCHEDULE) == STOPS_AT


# Guards against streams that are taken on with less time than they take.
def test_stream_begins_early_enough_for_all_its_tokens() -> None:
    last = find_last_start(STREAM, SCHEDULE)
    assert last <= STOPS_AT - STREAM.read_time - 100 * STREAM.token_time
    longer = find_last_start(replace(STREAM, tokens=200), SCHEDULE)
    assert longer <= last - 100 * STREAM.token_time


# Guards against streams sent late that are taken on at an assumed pace, at an
# instance that has not seen one, and are cut.
def test_stream_of_unknown_pace_begins_early_in_a_stop_only() -> None:
    unknown = replace(STREAM, is_timed=False)
    assert find_last_start(unknown, SCHEDULE) == SCHEDULE.sure_from
    longer = replace(unknown, tokens=1000)
    assert find_last_start(longer, SCHEDULE) < SCHEDULE.sure_from


# Guards against streams of unknown length that are taken on, and are cut.
def test_stream_that_nothing_bounds_never_begins() -> None:
    unbounded = replace(STREAM, tokens=None)
    assert find_last_start(unbounded, SCHEDULE) == -inf


# Guards against requests that may run only once, that nothing tells the length
# of, and that are cut though another instance would have served them.
@pytest.mark.parametrize('work', [STREAM, PLAIN])
def test_work_of_unknown_time_that_runs_once_is_left_to_others(work) -> None:
    unknown = replace(work, is_timed=False)
    single = replace(unknown, is_repeatable=False)
    beside = replace(SCHEDULE, has_others=True)
    assert find_last_start(single, beside) == -inf
    assert find_last_start(unknown, beside) == SCHEDULE.sure_from
    assert find_last_start(single, SCHEDULE) == SCHEDULE.sure_from
    timed = replace(work, is_repeatable=False)
    assert find_last_start(timed, beside) == find_last_start(work, SCHEDULE)


# Guards against refusals of short streams through most of a stop.
def test_short_stream_begins_until_two_seconds_before_the_stop() -> None:
    short = replace(STREAM, tokens=16)
    assert find_last_start(short, SCHEDULE) >= STOPS_AT - 2000


# Guards against a plain request that is cut where its upstream falls silent
# for a moment.
def test_plain_request_leaves_time_for_a_silence() -> None:
    last = find_last_start(PLAIN, SCHEDULE)
    assert STOPS_AT - 2000 <= last <= STOPS_AT - 1500


# Guards against bounds that are told of routes without enough streams.
def test_maximum_bounds_a_stream_of_an_unknown_route() -> None:
    assert OutputLengths().find_bound(ROUTED, MAX_RISK) == 4000
    unbounded = replace(ROUTED, request=replace(REQUEST, max_tokens=0))
    assert OutputLengths().find_bound(unbounded, MAX_RISK) is None


# Guards against hints that are taken at their word.
def test_streams_that_outran_their_hints_raise_the_bound() -> None:
    lengths = OutputLengths()
    for number in range(ENOUGH):
        lengths.note(ROUTED, 300 if number % 4 == 0 else 100)
    assert lengths.find_bound(ROUTED, MAX_RISK) == 301
    twice = replace(ROUTED, request=replace(REQUEST, expected_tokens=200))
    assert lengths.find_bound(twice, MAX_RISK) == 601


# Guards against refusals of all streams without a hint by their maximum.
def test_route_bounds_streams_without_a_hint() -> None:
    lengths = OutputLengths()
    unhinted = replace(ROUTED, request=replace(REQUEST, expected_tokens=0))
    for _ in range(ENOUGH):
        lengths.note(unhinted, 120)
    assert lengths.find_bound(unhinted, MAX_RISK) == 120


# Guards against waits that go on after a stop has begun, or has moved.
async def test_wait_ends_once_its_work_would_outlast_the_stop(
    autojump_clock: trio.testing.MockClock,
) -> None:
    stop = PlannedStop()
    now = int(trio.current_time() * 1000)
    work = replace(STREAM, ends_at=now + LATER)
    with stop.bound_wait(lambda: work, now):
        stop.schedule(now, now + STOPS_AT, now)
        stop.schedule(now, now + STOPS_AT // 2, now)
        await trio.sleep_forever()
    waited = int(trio.current_time() * 1000) - now
    assert 0 < waited < STOPS_AT // 2 - 1000


# Guards against refusals at the pace that is assumed before any generation has
# ended, while others show that their engines are faster.
def test_token_time_follows_the_latest_generations() -> None:
    times = RecentTimes(0.9)
    assert times.find_from('writers', 9) == 9
    for token_time in (20.0, *(4.0 for _ in range(10))):
        times.note('writers', token_time)
    assert times.find_from('writers', 9) == 9
    for _ in range(22):
        times.note('writers', 4)
    assert times.find_from('writers', 9) == 4
    for _ in range(8):
        times.note('writers', 12)
    assert times.find_from('writers', 9) == 12


# Guards against plain requests of a service that never answered, taken on as if
# its time were known.
def test_nothing_is_known_of_a_service_without_observations() -> None:
    times = RecentTimes(1)
    assert not times.knows('portal')
    times.note('portal', 80)
    assert times.knows('portal')
    assert times.find_from('portal', 60) == 80
    unknown = replace(PLAIN, is_timed=False)
    assert find_last_start(unknown, SCHEDULE) == SCHEDULE.sure_from
