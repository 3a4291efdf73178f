"""Planned stops: work that is on its way, or runs, as one begins."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import httpx
import pytest
import trio

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.daemon import gateway
from cartdale.daemon.gateway import GatewayRuntime
from cartdale_standins.platform_engine import STRIDE
from tests.platform_stage import (
    PlatformStage,
    ask,
    count_runs,
    draft,
    draft_meanwhile,
    find_runner,
    make_headers,
    open_platform,
    until,
    whole,
)

GRACE = 4 * SECOND_MS
#: Takes about 6 s.
LONG = 1500
NOT_RUN = 503
OUTCOME_UNKNOWN = 502
TAG = '/tag/a'


def set_grace(runtime: GatewayRuntime, grace: Millis = GRACE) -> None:
    bounds = replace(runtime.bounds, grace=grace)
    runtime._settings = replace(runtime._settings, bounds=bounds)


@asynccontextmanager
async def open_stopping(
    monkeypatch: pytest.MonkeyPatch, plains: int = 0
) -> AsyncIterator[tuple[PlatformStage, GatewayRuntime]]:
    """Run an instance that closes connections half a second after SIGTERM."""
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', SECOND_MS // 2)
    async with open_platform(plains=plains) as stage:
        set_grace(stage.runtimes[0])
        yield stage, stage.runtimes[0]


async def try_draft(
    stage: PlatformStage, name: str, tokens: int
) -> httpx.Response | None:
    """Ask for a draft; return ``None`` if its response is cut."""
    try:
        return await draft(stage, name, tokens)
    except httpx.RemoteProtocolError:
        return None


# Guards against a stream that is placed as a stop begins, is sent once its
# connection stands, and is cut.
async def test_stream_whose_connection_takes_long_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch) as (stage, instance):
        router = instance._relaying.router
        send, connecting = router.send, trio.Event()

        async def send_late(*request: Any, **more: Any) -> Any:
            connecting.set()
            await instance._stopping.wait()
            return await send(*request, **more)

        monkeypatch.setattr(router, 'send', send_late)
        answers: list[httpx.Response | None] = []
        async with trio.open_nursery() as nursery:

            async def submit() -> None:
                answers.append(await try_draft(stage, 'r1', LONG))

            nursery.start_soon(submit)
            await connecting.wait()
            instance.leave()
        assert not count_runs(stage, 'r1')
        answer = answers[0]
        assert answer is not None
        assert answer.status_code == NOT_RUN


# Guards against a stream that has nearly ended, loses its engine during a stop,
# and is cut although another engine could continue it.
async def test_stream_that_has_nearly_ended_is_continued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tokens = 800
    async with open_stopping(monkeypatch) as (stage, instance):
        async with draft_meanwhile(stage, 'r1', tokens, TAG) as answers:
            source = await find_runner(stage, 'r1', tokens * 3 // 4)
            stage.add_engine()
            await stage.settle()
            instance.leave()
            source.stream_faults.cut_inside_event = True
            source.die()
        assert answers[0].content == whole('r1', tokens // STRIDE)


# Guards against requests whose connections end without an answer, as their
# upstream has not responded by the end of a stop.
@pytest.mark.parametrize('kind', ['plain', 'stream'])
async def test_request_without_a_response_is_answered_at_the_end(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    answers: list[httpx.Response | None] = []
    async with open_stopping(monkeypatch, plains=1) as (stage, instance):
        stage.plains[0].speed.work_seconds = 2 * GRACE
        stage.engines[0].stream_faults.withhold_headers = True

        async def submit() -> None:
            if kind == 'plain':
                answers.append(await ask(stage, 'r1'))
            else:
                answers.append(await try_draft(stage, 'r1', LONG))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            await until(lambda: count_runs(stage, 'r1'))
            instance.leave()
            await stage.stopped[0].wait()
        answer = answers[0]
        assert answer is not None
        assert answer.status_code == OUTCOME_UNKNOWN


# Guards against plain requests that are taken on late in a stop at the assumed
# time of a service that has not answered yet, and are cut.
async def test_plain_request_of_an_unknown_service_is_not_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch, plains=1) as (stage, instance):
        stage.plains[0].speed.work_seconds = 5
        instance.leave()
        await trio.sleep(as_seconds(gateway.LEAVE_PAUSE // 2) + 0.05)
        answer = await ask(stage, 'r1')
        assert answer.status_code == NOT_RUN
        assert not count_runs(stage, 'r1')


# Guards against requests that may run only once, sent early in a stop, that are
# cut at its end though an idle instance beside would have served them.
@pytest.mark.parametrize(
    ('path', 'instances', 'status'),
    [('/cut/a', 2, NOT_RUN), ('/cut/a', 1, 200), ('/look/a', 2, 200)],
)
async def test_request_of_unknown_length_is_left_to_another_instance(
    path: str,
    instances: int,
    status: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', 1000)
    async with open_platform(0, 1, instances) as stage:
        news = stage.runtimes[0].peers.news
        await until(lambda: news.count_alive() == instances)
        stage.runtimes[0].leave()
        answer = await stage.client.post(
            stage.url(path), headers=make_headers('r1')
        )
        assert answer.status_code == status
        assert count_runs(stage, 'r1') == (status != NOT_RUN)
