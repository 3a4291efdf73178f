"""Planned stops: an instance takes on no work that outlasts it."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace

import pytest
import trio

from cartdale.clock import SECOND_MS
from cartdale.daemon import gateway
from cartdale.switches import Mechanism, Switches
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    count_runs,
    make_draft,
    open_platform,
    until,
)

GRACE = 4 * SECOND_MS
#: These take about 6 s and 0.2 s.
LONG, SHORT = 1500, 40
#: Requests wait whatever the forecast of room says.
PATIENT = Switches(frozenset((Mechanism.FORECAST,)))
OK = b'HTTP/1.1 200'
NOT_RUN = b'HTTP/1.1 503'


@dataclass
class StoppingStage:
    """Hold an instance whose grace is a few seconds."""

    stage: PlatformStage
    closing: trio.Event

    @property
    def port(self) -> int:
        return self.stage.runtimes[0].caller_port

    def leave(self) -> None:
        self.stage.runtimes[0].leave()


@asynccontextmanager
async def open_stopping(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[StoppingStage]:
    """Run an instance that waits for half a second once it is to leave."""
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', SECOND_MS // 2)
    async with open_platform(plains=0) as stage:
        instance = stage.runtimes[0]
        bounds = replace(instance.bounds, grace=GRACE)
        instance._settings = replace(instance._settings, bounds=bounds)
        yield StoppingStage(stage, instance._stopping)


def make_request(request_id: str, tokens: int, body: str = 'x') -> bytes:
    """Return a request for a draft.

    :param body: of one byte; empty if it comes later.
    """
    headers = {**make_draft(request_id, tokens), 'Content-Length': '1'}
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join(('POST /draft/a HTTP/1.1', *lines, '', body)).encode()


async def read_all(stream: trio.SocketStream) -> bytes:
    """Return what arrives until the connection ends."""
    chunks: list[bytes] = []
    with suppress(trio.BrokenResourceError):
        async for chunk in stream:
            chunks.append(chunk)
    return b''.join(chunks)


async def ask(port: int, request_id: str, tokens: int = LONG) -> bytes:
    """Ask on a new connection; return all that arrives."""
    async with await trio.open_tcp_stream(LOCAL, port) as stream:
        await stream.send_all(make_request(request_id, tokens))
        return await read_all(stream)


def check_not_run(stopping: StoppingStage, name: str, received: bytes) -> None:
    head = received.lower()
    assert received.startswith(NOT_RUN), received[:80]
    assert b'retry-after' in head
    assert b'connection: close' in head
    assert not count_runs(stopping.stage, name)


# Guards against a stream that is sent during a stop, runs, and is cut as its
# instance ends.
async def test_stream_that_outlasts_the_instance_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch) as stopping:
        stopping.leave()
        received = await ask(stopping.port, 'late')
        check_not_run(stopping, 'late', received)


# Guards against the same on a connection that was opened in time, and whose
# first request comes once the others are closed.
async def test_late_first_request_of_a_connection_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch) as stopping:
        stopping.leave()
        stream = await trio.open_tcp_stream(LOCAL, stopping.port)
        async with stream:
            await stopping.closing.wait()
            await trio.sleep(0.2)
            await stream.send_all(make_request('first', LONG))
            received = await read_all(stream)
        check_not_run(stopping, 'first', received)


# Guards against the same where the rest of a body comes late.
async def test_request_whose_body_comes_late_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch) as stopping:
        stream = await trio.open_tcp_stream(LOCAL, stopping.port)
        async with stream:
            await stream.send_all(make_request('body', LONG, ''))
            await until(lambda: stopping.stage.runtimes[0]._app.count)
            stopping.leave()
            await stopping.closing.wait()
            await stream.send_all(b'x')
            received = await read_all(stream)
        check_not_run(stopping, 'body', received)


# Guards against a request that waits for room as the stop begins, begins to run
# later, and is cut.
async def test_request_that_waits_is_refused_once_it_would_be_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch) as stopping:
        answers: list[bytes] = []

        async def wait_for_room() -> None:
            answers.append(await ask(stopping.port, 'waiting'))

        fleet = stopping.stage.runtimes[0].fleet
        monkeypatch.setattr(fleet, 'switches', PATIENT)
        async with trio.open_nursery() as nursery:
            with monkeypatch.context() as full:
                full.setattr(fleet, 'choose', lambda _: None)
                nursery.start_soon(wait_for_room)
                await until(lambda: stopping.stage.runtimes[0]._app.count)
                await trio.sleep(0.1)
                assert not answers
                stopping.leave()
        check_not_run(stopping, 'waiting', answers[0])


# Guards against refusals of streams that end in time.
async def test_stream_that_ends_before_the_instance_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch) as stopping:
        stopping.leave()
        received = await ask(stopping.port, 'short', SHORT)
        assert received.startswith(OK)
        assert received.endswith(b'0\r\n\r\n')
        assert count_runs(stopping.stage, 'short') == 1
