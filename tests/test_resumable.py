"""Streams of resumable routes continue on any engine after the last event."""

import httpx
import trio

from cartdale_standins.platform_engine import STRIDE
from tests.platform_stage import (
    EVENTS,
    count_runs,
    draft,
    draft_meanwhile,
    find_runner,
    open_platform,
    until,
    whole,
)

TAG = '/tag/a'
#: Takes about three seconds, so that the test can stop an engine midway.
LONG = 800


async def test_caller_resumes_after_its_last_event() -> None:
    async with open_platform() as stage:
        answer = await draft(stage, 'r1', path=TAG, last_event='20')
        assert answer.content == whole('r1', EVENTS, after=20)
        assert stage.engines[0].heads[0]['Last-Event-Id'] == '20'


async def test_event_id_is_not_forwarded_on_other_routes() -> None:
    async with open_platform() as stage:
        answer = await draft(stage, 'r1', last_event='20')
        assert answer.content == whole('r1')
        assert 'Last-Event-Id' not in stage.engines[0].heads[0]


async def test_stream_continues_on_another_engine_without_a_copy() -> None:
    async with open_platform(engines=1) as stage:
        async with draft_meanwhile(stage, 'r1', LONG, TAG) as answers:
            source = await find_runner(stage, 'r1')
            stage.add_engine()
            await stage.settle()
            source.stream_faults.cut_inside_event = True
            source.die()
        answer = answers[0]
        assert answer.content == whole('r1', LONG // STRIDE)
        assert answer.headers['Response-Seal'] == f'{source.name}.r1'
        assert count_runs(stage, 'r1') == 2


async def test_stream_is_cut_when_its_attempts_are_used_up() -> None:
    async with open_platform(engines=1) as stage:
        cut: list[str] = []

        async def request_draft() -> None:
            try:
                await draft(stage, 'r1', LONG, TAG)
            except httpx.RemoteProtocolError as error:
                cut.append(type(error).__name__)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request_draft)
            first = await find_runner(stage, 'r1')
            stage.add_engine()
            await stage.settle()
            first.die()
            await until(lambda: count_runs(stage, 'r1') == 2)
            stage.add_engine()
            await stage.settle()
            stage.engines[1].die()
        assert cut
        assert count_runs(stage, 'r1') == 2


async def test_failed_stream_runs_again_on_another_engine() -> None:
    async with open_platform(engines=2) as stage:
        for engine in stage.engines:
            engine.faults.errors = 1
        stage.engines[1].faults.errors = 0
        for number in range(4):
            name = f'r{number}'
            answer = await draft(stage, name, path=TAG)
            assert answer.content == whole(name)


async def test_engine_failure_is_forwarded_unchanged() -> None:
    async with open_platform(engines=2) as stage:
        for engine in stage.engines:
            engine.faults.errors = 1
        answer = await draft(stage, 'r1')
        assert answer.status_code == 500
        assert answer.text == 'failed'
        assert count_runs(stage, 'r1') == 1
