"""Estimates of how long work takes, for an instance that is to stop."""

from dataclasses import replace
from random import Random

from cartdale.clock import VirtualClock
from cartdale.relay.output_lengths import OutputLengths
from cartdale.relay.pacing import PaceMeter
from cartdale.relay.recent_times import RecentTimes
from cartdale.relay.stop_needs import describe_work
from cartdale.relay.types import CallerRequest, RoutedRequest
from cartdale.routes.types import Route, RouteKind
from cartdale.routing.lengths import MIN_OBSERVATIONS
from cartdale.scheduling.loads import Assignment
from cartdale.stopping.decide import MAX_RISK
from cartdale.stopping.types import StreamWork
from tests.platform_stage import open_platform
from tests.test_speeds import SERVICE, make_fleet

EVENT_TOKENS = 4
#: Milliseconds per token that are assumed before anything is known.
ASSUMED = 9
REQUEST = CallerRequest(
    request_id='r',
    method='POST',
    host='mill.example',
    target=b'/draft/a',
    key='',
    deadline=0,
    headers=(),
    prompt_tokens=700,
    max_tokens=1_000_000,
)
ROUTE = Route('draft', 'mill.example', '/draft/', RouteKind.STREAM, 0, 0, ())
ROUTED = RoutedRequest(REQUEST, ROUTE, 'writers', '', 0, 0, 50_000)


def time_events(pause: int, *, slow_caller: bool = False) -> RecentTimes:
    """Return what is learnt from the first events of one generation."""
    times, clock = RecentTimes(0.9), VirtualClock(1000)
    meter = PaceMeter(make_fleet('a'), clock, SERVICE, EVENT_TOKENS, times)
    meter.begin(100)
    for _ in range(20):
        clock.advance(pause)
        meter.advance()
        meter.time_event('a')
        if slow_caller:
            meter.skip()
    return times


# Guards against refusals at a stop of all streams of a service, after a few of
# its callers read slowly.
def test_events_that_a_slow_caller_delayed_do_not_tell_the_pace() -> None:
    times = time_events(500, slow_caller=True)
    assert times.find_from(SERVICE, ASSUMED) == ASSUMED


# Guards against streams that are taken on as if tokens took no time, after one
# generation whose first events arrived together.
def test_one_generation_does_not_tell_the_pace_of_most() -> None:
    times = time_events(0)
    assert times.find_from(SERVICE, ASSUMED) >= ASSUMED


# Guards against streams that are cut since the prompts before theirs are read
# first.
async def test_prompts_that_wait_at_the_engine_are_read_first() -> None:
    waiting = 14_000
    async with open_platform(plains=0) as stage:
        ports = stage.runtimes[0]._relaying.ports
        fleet = ports.fleet
        upstream = fleet.find(stage.engines[0].name)
        assert upstream is not None
        name = upstream.entry.upstream
        fleet.loads.assign(Assignment(name, waiting, 10))
        work = describe_work(ports, ROUTED, upstream)
        assert isinstance(work, StreamWork)
        assert work.read_time >= fleet.pace('writers').read_time(waiting)


# Guards against refusals of short streams in the later part of a stop, at a
# service whose streams are all too short to tell its pace.
async def test_pace_of_short_streams_need_not_be_observed() -> None:
    async with open_platform(plains=0) as stage:
        ports = stage.runtimes[0]._relaying.ports
        request = replace(REQUEST, max_tokens=16)
        short = replace(ROUTED, request=request)
        assert describe_work(ports, short).is_timed
        assert not describe_work(ports, ROUTED).is_timed


# Guards against streams that exceed the learnt bound more often than accepted,
# on routes with few streams.
def test_bound_of_a_route_with_few_streams_is_rarely_exceeded() -> None:
    random, rounds, exceeded = Random(80), 2000, 0
    for _ in range(rounds):
        lengths = OutputLengths()
        for _ in range(MIN_OBSERVATIONS + 1):
            lengths.note(ROUTED, draw_length(random))
        bound = lengths.find_bound(ROUTED, MAX_RISK)
        assert bound is not None
        exceeded += draw_length(random) > bound
    assert exceeded <= 2 * MAX_RISK * rounds


def draw_length(random: Random) -> int:
    return 1 + int(random.lognormvariate(5, 1))


# Guards against bounds of another service's streams, once a configuration gives
# the name of its route to another route.
def test_lengths_of_a_route_are_those_of_its_service() -> None:
    lengths = OutputLengths()
    for _ in range(2 * MIN_OBSERVATIONS):
        lengths.note(ROUTED, 10)
    other = replace(ROUTED, service='painters')
    assert lengths.find_bound(other, MAX_RISK) == REQUEST.max_tokens
