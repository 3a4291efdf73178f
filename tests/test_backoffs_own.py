"""Back-offs of upstreams at cartdale's own interface.

Guards against ignoring the ``Retry-After`` of a 503, which was read for neither
engines nor plain services.
"""

from pathlib import Path

import trio

from cartdale.clock import VirtualClock
from cartdale.retries.backoffs import BackoffTracker
from cartdale_standins.engine import EngineFaults
from tests.callers import make_body, stream
from tests.stage import CALLER_KEY, Stage, open_stage
from tests.test_backoffs import (
    BACKOFF_SECONDS,
    IN_FLIGHT_SECONDS,
    MAX_LATE_REQUESTS,
    TOLERANCE_SECONDS,
)

PROMPT = 'A check [length=5]'
LONG_BACKOFF_SECONDS = 6


def count_during_backoff(
    refused_at: list[float], backoff: float = BACKOFF_SECONDS
) -> int:
    began = refused_at[0]
    return sum(
        began + IN_FLIGHT_SECONDS <= at < began + backoff for at in refused_at
    )


def measure_wait(retry_after: str, refused_at: list[float]) -> float:
    """Return by how much a caller's retry time exceeds the back-off."""
    remaining = refused_at[0] + BACKOFF_SECONDS - trio.current_time()
    return float(retry_after) - remaining


async def call_plain(stage: Stage) -> str:
    answer = await stage.client.post(
        stage.url(0, '/services/portal/cut'),
        content=b'x',
        headers={'Authorization': f'Bearer {CALLER_KEY}'},
    )
    assert answer.status_code == 503, answer.text
    return answer.headers['Retry-After']


async def test_engine_gets_no_requests_during_a_backoff(tmp_path: Path) -> None:
    """The back-off exceeds the first exclusion of a failed engine."""
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        engine = stage.engines[0]
        engine.faults = EngineFaults(
            refuse=True, rest=str(LONG_BACKOFF_SECONDS)
        )
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = (
                trio.current_time() + LONG_BACKOFF_SECONDS
            )
            while True:
                nursery.start_soon(stream, stage, 0, make_body(PROMPT))
                await trio.sleep(0.2)
        assert (
            count_during_backoff(engine.refused_at, LONG_BACKOFF_SECONDS)
            <= MAX_LATE_REQUESTS
        )


async def test_plain_service_gets_no_requests_during_a_backoff(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        stage.plain.retry_after = str(BACKOFF_SECONDS)
        waits: list[float] = []
        with trio.move_on_after(BACKOFF_SECONDS):
            while True:
                retry_after = await call_plain(stage)
                waits.append(measure_wait(retry_after, stage.plain.refused_at))
                await trio.sleep(0.05)
        assert count_during_backoff(stage.plain.refused_at) <= MAX_LATE_REQUESTS
        assert min(waits) > -TOLERANCE_SECONDS


def test_the_backoff_that_ends_last_applies() -> None:
    clock = VirtualClock()
    backoffs = BackoffTracker(clock)
    backoffs.note('a', 3000)
    backoffs.note('a', 500)
    backoffs.note('b', 0)
    assert (backoffs.remaining('a'), backoffs.remaining('b')) == (3000, 0)
    assert backoffs.list_backing_off() == ('a',)
    clock.advance(3000)
    assert not backoffs.remaining('a')
    assert not backoffs.list_backing_off()
