"""An upstream names a rate limit for all instances together.

Seen: two upstreams of a service named 3.1 and 1.6 requests a second, in good
answers; the seven instances that had them sent 27 and 30 in four seconds, of
23 and 14 at most, and went on like that.

Cause: the limit was read nowhere, and reading it would not have sufficed: it is
one for all instances, each of which knows only what it sends itself.
Proof: kept to by each of four instances alone, a limit of 3.1 a second let 48
requests pass in four seconds; with its permits divided among them, 13.
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

#: In force so long after an upstream first named its limit, in seconds.
CONTACT = 3
#: Over which requests are counted, in seconds.
WINDOW = 4
#: More than the limit allows in a window: a factor, and requests on top.
OVERAGE = 1.5
SLACK = 5
#: Of an instance: its callers, and how long they wait after an answer.
CALLERS = 4
PAUSE = 0.1


def most_in_window(worker: PlatformWorker, since: float) -> int:
    """Return the most requests that came within any window."""
    times = [seen.at for seen in worker.arrivals if seen.at >= since]
    return max(
        (sum(start <= at < start + WINDOW for at in times) for start in times),
        default=0,
    )


async def crowd(stage: PlatformStage, instance: int) -> None:
    """Ask an instance for more than the limit bears, for ever."""

    async def call(caller: int) -> None:
        number = 0
        while True:
            number += 1
            await ask(stage, f'r-{instance}-{caller}-{number}', instance)
            await trio.sleep(PAUSE)

    async with trio.open_nursery() as nursery:
        for caller in range(CALLERS):
            nursery.start_soon(call, caller)


async def test_instances_together_keep_to_the_limit_of_an_upstream() -> None:
    limit = 3.1
    async with open_platform(engines=0, plains=1, instances=4) as stage:
        plain = stage.plains[0]
        plain.limit = str(limit)
        async with trio.open_nursery() as nursery:
            for instance, _ in enumerate(stage.runtimes):
                nursery.start_soon(crowd, stage, instance)
            await until(lambda: plain.limit_announcements)
            first = plain.limit_announcements[0].at
            await trio.sleep_until(first + CONTACT + WINDOW)
            nursery.cancel_scope.cancel()
        most = most_in_window(plain, first + CONTACT)
        assert most <= OVERAGE * limit * WINDOW + SLACK


def has_permit(fleet: Fleet) -> bool:
    """Tell whether a request may be placed at the limited upstream."""
    permits = fleet.limits.gate.find('plain-0')
    return permits is not None and permits.is_free(SystemClock().now())


async def test_an_answer_of_another_does_not_end_a_limit() -> None:
    """It has another request's id, and does not name the limit."""
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


async def test_a_request_is_counted_as_it_is_sent() -> None:
    """Its permit was kept while its connection came up, and has lapsed."""
    async with open_platform(engines=0, plains=1) as stage:
        fleet = stage.runtimes[0].fleet
        advisories = AdvisoryRecorder(fleet, SystemClock())
        named = Advisory(limit=1)
        advisories.record('plain-0', named, 'r', SystemClock().now())
        await until(lambda: has_permit(fleet))
        call = make_call_to(fleet, 'plain-0')
        upstreams = PlatformUpstreams(advisories)
        async with upstreams.open(call) as opened:
            assert opened.unwrap().status == 200
        advisories.record('plain-0', named, 'r', SystemClock().now())
        async with upstreams.open(call) as opened:
            assert opened == Failure(SendWithheld())
        assert len(stage.plains[0].arrivals) == 1
