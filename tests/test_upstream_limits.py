"""The rate limit of an upstream applies to all instances together.

Guards against instances that exceed an advertised limit: to two upstreams of a
service with limits of 3.1 and 1.6 requests per second, seven instances sent 27
and 30 requests in four seconds, where at most 23 and 14 were allowed.

Each instance knows only the requests that it sends itself, so applying the
limit per instance is not enough: with 3.1 requests per second at each of four
instances, 48 requests passed in four seconds; with the permits of the limit
divided among the instances, 13 passed.
"""

import trio
from returns.result import Failure

from cartdale.clock import SystemClock
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import Advisory
from cartdale.platform.upstreams import PlatformUpstreams
from cartdale.relay.types import SendWithheld
from cartdale_standins.platform_worker import PlatformWorker
from tests.platform_stage import PlatformStage, ask, open_platform, until
from tests.test_peer_reported_departures import make_call_to

#: Time from the first announcement of a limit until it is in force.
CONTACT_SECONDS = 3
#: Window over which requests are counted.
WINDOW_SECONDS = 4
#: Tolerance above the limit in a window: a factor, and additional requests.
OVERAGE_FACTOR = 1.5
SLACK_REQUESTS = 5
#: Callers of each instance, and their pause after each response.
CALLERS_PER_INSTANCE = 4
PAUSE_SECONDS = 0.1


def max_requests_in_window(worker: PlatformWorker, started_at: float) -> int:
    """Return the maximum number of requests that arrived in any window."""
    arrival_times = [
        seen.at for seen in worker.arrivals if seen.at >= started_at
    ]
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in arrival_times)
            for start in arrival_times
        ),
        default=0,
    )


async def overload_instance(stage: PlatformStage, instance: int) -> None:
    """Send requests to an instance above the limit until cancelled."""

    async def call(caller: int) -> None:
        number = 0
        while True:
            number += 1
            await ask(stage, f'r-{instance}-{caller}-{number}', instance)
            await trio.sleep(PAUSE_SECONDS)

    async with trio.open_nursery() as nursery:
        for caller in range(CALLERS_PER_INSTANCE):
            nursery.start_soon(call, caller)


async def test_instances_together_respect_the_limit_of_an_upstream() -> None:
    limit = 3.1
    async with open_platform(engines=0, plains=1, instances=4) as stage:
        plain = stage.plains[0]
        plain.limit = str(limit)
        async with trio.open_nursery() as nursery:
            for instance, _ in enumerate(stage.runtimes):
                nursery.start_soon(overload_instance, stage, instance)
            await until(lambda: plain.limit_announcements)
            announced_at = plain.limit_announcements[0].at
            await trio.sleep_until(
                announced_at + CONTACT_SECONDS + WINDOW_SECONDS
            )
            nursery.cancel_scope.cancel()
        max_requests = max_requests_in_window(
            plain, announced_at + CONTACT_SECONDS
        )
        assert (
            max_requests
            <= OVERAGE_FACTOR * limit * WINDOW_SECONDS + SLACK_REQUESTS
        )


def has_permit(fleet: Fleet) -> bool:
    """Return whether a request may be placed at the limited upstream."""
    permits = fleet.limits.gate.find('plain-0')
    return permits is not None and permits.is_free(SystemClock().now())


async def test_response_to_another_request_does_not_end_a_limit() -> None:
    """The response has another request's id and advertises no limit."""
    async with open_platform(engines=0, plains=1) as stage:
        plain, fleet = stage.plains[0], stage.runtimes[0].fleet
        plain.limit = '20'
        await ask(stage, 'r1')
        await until(lambda: has_permit(fleet))
        plain.limit, plain.faults.mismatched_ids = '', 1
        assert (await ask(stage, 'r2')).status_code != 200
        assert fleet.find('plain-0').rate_limit.per_second == 20
        await until(lambda: has_permit(fleet))
        await ask(stage, 'r3')
        assert not fleet.find('plain-0').rate_limit.limited


async def test_request_is_counted_when_it_is_sent() -> None:
    """A permit can expire while the connection of its request is set up."""
    async with open_platform(engines=0, plains=1) as stage:
        fleet = stage.runtimes[0].fleet
        advisories = AdvisoryRecorder(fleet, SystemClock())
        advisory = Advisory(limit=1)
        advisories.record('plain-0', advisory, 'r', SystemClock().now())
        await until(lambda: has_permit(fleet))
        call = make_call_to(fleet, 'plain-0')
        upstreams = PlatformUpstreams(advisories)
        async with upstreams.open(call) as opened:
            assert opened.unwrap().status == 200
        advisories.record('plain-0', advisory, 'r', SystemClock().now())
        async with upstreams.open(call) as opened:
            assert opened == Failure(SendWithheld())
        assert len(stage.plains[0].arrivals) == 1
