"""Streamed responses arrive complete despite faults, over real sockets."""

from pathlib import Path

import openai
import pytest
import trio

from cartdale_standins.engine import EngineFaults
from tests.callers import (
    Received,
    expected_tokens,
    make_body,
    stream,
    wait_tokens,
)
from tests.stage import CALLER_KEY, OTHER_KEY, open_stage

LONG = 'A long draft [length=400]'


async def test_a_response_arrives_complete(tmp_path: Path) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        got = await stream(stage, 0, make_body(LONG))
        assert got.done
        assert got.tokens == expected_tokens(LONG, 400)
        assert len(got.generations) == 1


async def test_requests_before_the_first_configuration_are_not_run(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        got = await stream(stage, 0, make_body(LONG))
        assert got.status == 503
        assert got.problem['type'] == 'urn:cartdale:problem:not-run'


async def test_a_disconnected_caller_resumes_on_another_instance(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path, instances=2) as stage:
        await stage.settle(stage.declare())
        got = await stream(stage, 0, make_body(LONG), stop_after=50)
        stage.kill(0)
        got = await stream(stage, 1, make_body(LONG), received=got)
        assert got.done
        assert got.tokens == expected_tokens(LONG, 400)
        assert len(got.generations) == 1
        started = stage.engines[0].started_by_generation
        assert list(started.values()) == [1]


async def test_a_position_is_rejected_for_another_customer_or_body(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        got = await stream(stage, 0, make_body(LONG), stop_after=5)
        other = Received(last_id=got.last_id)
        await stream(stage, 0, make_body(LONG), received=other, key=OTHER_KEY)
        assert other.status == 400
        assert not other.tokens
        changed = Received(last_id=got.last_id)
        await stream(stage, 0, make_body('else'), received=changed)
        assert changed.status == 400


async def test_a_cut_link_to_the_engine_is_hidden_from_the_caller(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        got = Received()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stream_response, stage, got)
            await wait_tokens(got, 20)
            stage.engines[0].faults = EngineFaults(cut_links=True)
            await trio.sleep(0.1)
            stage.engines[0].faults = EngineFaults()
        assert got.done
        assert got.tokens == expected_tokens(LONG, 400)


async def test_a_run_on_another_engine_continues_when_the_prefix_matches(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path, engines=2) as stage:
        await stage.settle(stage.declare())
        got = Received()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stream_response, stage, got)
            await wait_tokens(got, 20)
            _drop_generations(stage)
        assert got.done
        assert got.tokens == expected_tokens(LONG, 400)
        assert len(got.generations) == 2


async def test_a_service_without_repeats_reports_an_early_end(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path, engines=2) as stage:
        await stage.settle(stage.declare(service={'repeat': 'never'}))
        got = Received()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stream_response, stage, got)
            await wait_tokens(got, 20)
            _drop_generations(stage)
        assert not got.done
        assert got.problem['type'] == 'urn:cartdale:problem:ended-early'
        assert got.tokens == expected_tokens(LONG, 400)[: len(got.tokens)]
        assert _count_started(stage) == 1


# Guards against a second run after an engine refused to continue a stream of
# which the caller has nothing yet.
@pytest.mark.parametrize('status', [429, 503])
async def test_a_refused_reader_does_not_run_the_request_again(
    tmp_path: Path, status: int
) -> None:
    async with open_stage(tmp_path, engines=2) as stage:
        await stage.settle(stage.declare(service={'repeat': 'never'}))
        for engine in stage.engines:
            engine.faults = EngineFaults(stall_links=True, refuse_links=status)
        got = await stream(stage, 0, make_body(LONG))
        assert _count_started(stage) == 1
        assert got.problem['type'] == 'urn:cartdale:problem:outcome-unknown'


async def test_a_public_client_library_streams(tmp_path: Path) -> None:
    async with open_stage(tmp_path) as stage:
        await stage.settle(stage.declare())
        base = stage.url(0, '/v1')

        def call() -> tuple[str, str]:
            client = openai.OpenAI(base_url=base, api_key=CALLER_KEY)
            chunks = client.chat.completions.create(
                model='writers',
                messages=[{'role': 'user', 'content': 'Hi [length=12]'}],
                stream=True,
                seed=7,
            )
            streamed = ''.join(
                chunk.choices[0].delta.content or '' for chunk in chunks
            )
            complete = client.completions.create(
                model='writers', prompt='Hi [length=12]', seed=7
            )
            return streamed, complete.choices[0].text

        streamed, complete = await trio.to_thread.run_sync(call)
        assert streamed == ''.join(expected_tokens('user: Hi [length=12]', 12))
        assert complete == ''.join(expected_tokens('Hi [length=12]', 12))


async def _stream_response(stage, got: Received) -> None:
    await stream(stage, 0, make_body(LONG), received=got)


def _count_started(stage) -> int:
    return sum(
        sum(engine.started_by_generation.values()) for engine in stage.engines
    )


def _drop_generations(stage) -> None:
    for engine in stage.engines:
        for generation in tuple(engine.driver.records_by_generation):
            engine.driver.model.cancel(generation)
        engine.driver.records_by_generation.clear()
