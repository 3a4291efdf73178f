"""Planned stops end by the grace that is in force."""

from contextlib import suppress
from dataclasses import replace

import httpx
import pytest
import trio

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.daemon import gateway
from cartdale.daemon.gateway import GatewayRuntime
from cartdale_standins.platform_engine import STRIDE
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    count_runs,
    draft,
    draft_meanwhile,
    open_platform,
    until,
    whole,
)
from tests.test_stops import call_at
from tests.test_work_past_the_end import make_request

GRACE = 8 * SECOND_MS
SHORT_GRACE = 2 * SECOND_MS
#: Takes about 6 s.
LONG = 1500
#: Bytes of an event; a few fill the buffers of a connection.
MORE_THAN_BUFFERS = 400_000
FILLING_SECONDS = 1


def set_grace(runtime: GatewayRuntime, grace: Millis) -> None:
    bounds = replace(runtime.bounds, grace=grace)
    runtime._settings = replace(runtime._settings, bounds=bounds)


def reload_grace(
    monkeypatch: pytest.MonkeyPatch, runtime: GatewayRuntime, grace: Millis
) -> None:
    """Let an instance read settings with another grace."""
    bounds = replace(runtime.bounds, grace=grace)
    changed = replace(runtime._settings, bounds=bounds)
    monkeypatch.setattr(gateway, 'load_platform_settings', lambda _: changed)
    runtime.reload()


async def try_draft(stage: PlatformStage, name: str, tokens: int) -> None:
    """Ask for a draft whose response may be cut."""
    with suppress(httpx.RemoteProtocolError):
        await draft(stage, name, tokens)


async def is_stopped_within(stage: PlatformStage, limit: Millis) -> bool:
    with trio.move_on_after(as_seconds(limit)):
        await stage.stopped[0].wait()
    return stage.stopped[0].is_set()


# Guards against a stream that is cut by the old grace though settings with a
# longer one are in force.
async def test_stop_ends_by_a_longer_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', SECOND_MS // 2)
    tokens = 800
    async with open_platform(plains=0) as stage:
        instance = stage.runtimes[0]
        set_grace(instance, SHORT_GRACE)
        async with draft_meanwhile(stage, 'r1', tokens) as answers:
            await until(lambda: count_runs(stage, 'r1'))
            instance.leave()
            await instance._stopping.wait()
            await trio.sleep(0.1)
            reload_grace(monkeypatch, instance, GRACE)
        assert answers[0].content == whole('r1', tokens // STRIDE)


# Guards against an instance that SIGKILL overtakes once the grace was made
# shorter during its stop.
async def test_stop_ends_by_a_shorter_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', SECOND_MS // 2)
    async with open_platform(plains=0) as stage:
        instance = stage.runtimes[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(try_draft, stage, 'r1', LONG)
            await until(lambda: count_runs(stage, 'r1'))
            instance.leave()
            await instance._stopping.wait()
            await trio.sleep(0.1)
            reload_grace(monkeypatch, instance, SHORT_GRACE)
            assert await is_stopped_within(stage, SHORT_GRACE)


# Guards against an instance that still waits for the balancer as SIGKILL comes.
async def test_stop_ends_by_a_grace_below_its_pause() -> None:
    async with open_platform(plains=0) as stage:
        set_grace(stage.runtimes[0], SHORT_GRACE)
        stage.runtimes[0].leave()
        assert await is_stopped_within(stage, SHORT_GRACE)


# Guards against an instance that SIGKILL overtakes, and a stream without a line
# `request cut`, where a caller does not read.
async def test_stop_ends_beside_a_caller_that_does_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', SECOND_MS // 2)
    cut = trio.Event()
    async with open_platform(plains=0) as stage:
        stage.engines[0].stream_faults.padding = MORE_THAN_BUFFERS
        instance = stage.runtimes[0]
        set_grace(instance, SHORT_GRACE)
        stream = await trio.open_tcp_stream(LOCAL, instance.caller_port)
        async with stream:
            await stream.send_all(make_request('r1', LONG))
            await until(lambda: count_runs(stage, 'r1'))
            await trio.sleep(FILLING_SECONDS)
            with call_at('request cut', cut.set):
                instance.leave()
                assert await is_stopped_within(stage, SHORT_GRACE)
        assert cut.is_set()
