"""The own interface: an upstream that asks for rest is left alone.

Found when the cause of the same on the users' platform was looked for
elsewhere: the time that a 503 asks for was read for neither engines nor plain
services.
"""

from pathlib import Path

import trio

from cartdale.clock import VirtualClock
from cartdale.retries.backoffs import BackoffTracker
from cartdale_standins.engine import EngineFaults
from tests.callers import make_body, stream
from tests.stage import CALLER_KEY, Stage, open_stage
from tests.test_rests import MOST, ON_ITS_WAY, REST, TOLERANCE

PROMPT = 'A check [length=5]'
LONG_REST = 6


def count_in_rest(refused_at: list[float], rest: float = REST) -> int:
    began = refused_at[0]
    return sum(began + ON_ITS_WAY <= at < began + rest for at in refused_at)


def measure_wait(told: str, refused_at: list[float]) -> float:
    """Return by how much a caller is told to outlast the rest."""
    left = refused_at[0] + REST - trio.current_time()
    return float(told) - left


async def call_plain(stage: Stage) -> str:
    answer = await stage.client.post(
        stage.url(0, '/services/portal/cut'),
        content=b'x',
        headers={'Authorization': f'Bearer {CALLER_KEY}'},
    )
    assert answer.status_code == 503, answer.text
    return answer.headers['Retry-After']


async def test_engine_that_asks_for_rest_is_left_alone(tmp_path: Path) -> None:
    """Longer than an engine that failed is left out at first."""
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        engine = stage.engines[0]
        engine.faults = EngineFaults(refuse=True, rest=str(LONG_REST))
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + LONG_REST
            while True:
                nursery.start_soon(stream, stage, 0, make_body(PROMPT))
                await trio.sleep(0.2)
        assert count_in_rest(engine.refused_at, LONG_REST) <= MOST


async def test_plain_service_that_asks_for_rest_is_left_alone(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        stage.plain.retry_after = str(REST)
        waits: list[float] = []
        with trio.move_on_after(REST):
            while True:
                told = await call_plain(stage)
                waits.append(measure_wait(told, stage.plain.refused_at))
                await trio.sleep(0.05)
        assert count_in_rest(stage.plain.refused_at) <= MOST
        assert min(waits) > -TOLERANCE


def test_the_longest_rest_holds_and_ends() -> None:
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
