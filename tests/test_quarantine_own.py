"""Own interface: a prompt that crashes each engine is quarantined."""

from functools import partial
from pathlib import Path

import trio

from tests.callers import Received, expected_tokens, make_body, stream
from tests.fault_soak.proxy import FaultProxy, LinkState
from tests.stage import CALLER_KEY, Stage, open_stage

DEADLY = 'A prompt that ends engines [length=40]'
HEALTHY = 'A sound one [length=40]'
NOT_RUN = 'urn:cartdale:problem:not-run'
#: Engines that a request may crash before it is refused.
CRASHES_TO_QUARANTINE = 3
#: Time for the instances to exchange news, in seconds.
NEWS_SECONDS = 1


def make_deadly(stage: Stage) -> None:
    for engine in stage.engines:
        engine.crashing_prompts.add(DEADLY)


def count_starts(stage: Stage) -> int:
    return sum(len(engine.started_by_generation) for engine in stage.engines)


async def submit_deadly(stage: Stage, times: int = 4) -> list[Received]:
    """Submit a crashing prompt at one instance after another."""
    answers: list[Received] = []
    for number in range(times):
        index = number % len(stage.runtimes)
        answers.append(await stream(stage, index, make_body(DEADLY)))
        await trio.sleep(NEWS_SECONDS)
    return answers


async def test_prompt_that_crashes_engines_is_quarantined(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path, instances=2, engines=4) as stage:
        await stage.settle(stage.declare())
        make_deadly(stage)
        answers = await submit_deadly(stage)
        assert count_starts(stage) == CRASHES_TO_QUARANTINE
        assert answers[-1].problem['type'] == NOT_RUN
        assert 'upstreams ended' in answers[-1].problem['detail']
        healthy = await stream(stage, 0, make_body(HEALTHY))
        assert healthy.tokens == expected_tokens(HEALTHY, 40)


async def test_without_retries_each_submission_crashes_one_engine(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path, instances=2, engines=4) as stage:
        await stage.settle(stage.declare(service={'repeat': 'never'}))
        make_deadly(stage)
        answers = await submit_deadly(stage, 6)
        assert count_starts(stage) == CRASHES_TO_QUARANTINE
        kinds = [each.problem['type'] for each in answers]
        assert kinds[-1] == NOT_RUN
        assert NOT_RUN not in kinds[:CRASHES_TO_QUARANTINE]


async def test_plain_call_that_crashes_its_upstream_is_quarantined(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        port = int(stage.addresses_by_name['plain-0'].rpartition(':')[2])
        proxy = FaultProxy(port)
        stage.nursery.start_soon(proxy.run)
        stage.addresses_by_name['plain-0'] = f'http://{proxy.address}'
        stage.plain.crash_body = b'deadly'
        stage.plain.on_crash = partial(proxy.set, LinkState.RESET)
        await stage.settle(stage.declare())
        statuses = []
        for _ in range(5):
            answer = await stage.client.post(
                stage.url(0, '/services/portal/cut'),
                content=b'deadly',
                headers={'Authorization': f'Bearer {CALLER_KEY}'},
            )
            statuses.append(answer.status_code)
            proxy.set(LinkState.NORMAL)
        assert stage.plain.crash_count == CRASHES_TO_QUARANTINE
        assert statuses == [502, 502, 502, 503, 503]
