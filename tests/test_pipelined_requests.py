"""Requests of HTTP/1.1 that were sent before the responses ahead of them."""

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from cartdale.asgi import (
    AsgiEvent,
    Receive,
    Send,
    accept_http_request,
    read_body,
    send_response,
)
from cartdale.daemon import gateway
from tests.platform_stage import (
    LOCAL,
    ask,
    count_runs,
    make_headers,
    open_platform,
)
from tests.test_connection_ends import (
    LAST,
    REQUEST,
    Caller,
    Server,
    open_server,
)
from tests.test_stops import make_request

#: Longest that an answer or an end may take, in seconds.
PATIENCE = 3
CLOSE = b'connection: close'


class ClosingApplication:
    """Close after each response, as at a stop."""

    def __init__(self) -> None:
        self.handed = 0
        self.answering = trio.Event()

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        if not await accept_http_request(scope, receive, send):
            return
        self.handed += 1
        await read_body(receive, 100)
        await self.answering.wait()
        await send_response(send, 200, LAST, b'whole')


async def read_until_closed(caller: Caller) -> list[bytes]:
    """Return whole responses, in lower case, until the connection ends."""
    raw = b''
    with trio.fail_after(PATIENCE):
        while part := await caller.stream.receive_some():
            raw += part
    return raw.lower().split(b'whole')[:-1]


async def connect(server: Server) -> Caller:
    return Caller(await trio.open_tcp_stream(LOCAL, server.listener.port))


# Guards against requests that get neither an answer nor a run though they were
# taken from the socket with the one before, whose response ends the connection.
@pytest.mark.parametrize('count', [2, 5])
async def test_requests_sent_at_once_as_a_stop_begins_are_answered(
    count: int,
) -> None:
    app = ClosingApplication()
    app.answering.set()
    async with open_server(app) as server:
        server.listener.leaving.set()
        caller = await connect(server)
        caller.send_at_once(REQUEST * count)
        responses = await read_until_closed(caller)
        assert [CLOSE in each for each in responses] == [
            *[False] * (count - 1),
            True,
        ]
        assert app.handed == count


# Guards against the same for a request whose head has come in part, before and
# after connections at rest are closed.
@pytest.mark.parametrize('stops', [False, True])
async def test_request_begun_behind_another_is_answered(*, stops: bool) -> None:
    app = ClosingApplication()
    async with open_server(app) as server:
        server.listener.leaving.set()
        caller = await connect(server)
        caller.send_at_once(REQUEST + REQUEST[:20])
        await wait_all_tasks_blocked(0.02)
        if stops:
            server.stopping.set()
            await wait_all_tasks_blocked(0.02)
        app.answering.set()
        await wait_all_tasks_blocked(0.02)
        caller.send_at_once(REQUEST[20:])
        responses = await read_until_closed(caller)
        assert [CLOSE in each for each in responses] == [False, True]


# Guards against a stop that is held up by such a head that never comes whole.
async def test_request_begun_behind_another_may_stay_so() -> None:
    app = ClosingApplication()
    app.answering.set()
    async with open_server(app) as server:
        server.listener.leaving.set()
        caller = await connect(server)
        caller.send_at_once(REQUEST + REQUEST[:20])
        server.stopping.set()
        assert len(await read_until_closed(caller)) == 1
        assert app.handed == 1
        await server.ended.wait()


# Guards against a last response that does not end its connection.
async def test_last_response_of_a_stop_closes() -> None:
    app = ClosingApplication()
    app.answering.set()
    async with open_server(app) as server:
        server.listener.leaving.set()
        for raw in (REQUEST, b'\r\n'.join((REQUEST, b''))):
            caller = await connect(server)
            caller.send_at_once(raw)
            assert len(await read_until_closed(caller)) == 1


# Guards against a stop that lasts for as long as requests are sent ahead.
async def test_requests_sent_ahead_for_ever_do_not_hold_up_a_stop() -> None:
    app = ClosingApplication()
    app.answering.set()
    async with open_server(app) as server:
        server.listener.leaving.set()
        caller = await connect(server)
        caller.send_at_once(REQUEST * 200)
        server.stopping.set()
        responses = await read_until_closed(caller)
        assert [CLOSE in each for each in responses][-2:] == [False, True]
        assert 2 <= len(responses) < 100
        assert app.handed == len(responses)
        await server.ended.wait()


# Guards against the same at an instance, where the second one of two must run
# once and be answered, or not run.
async def test_requests_sent_at_once_to_an_instance_that_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', 300)
    names = [f'r{number}' for number in range(10)]
    async with open_platform(engines=0) as stage:
        instance = stage.runtimes[0]
        assert (await ask(stage, 'first')).is_success
        stage.plains[0].speed.work_seconds = 0.1
        callers = [
            Caller(await trio.open_tcp_stream(LOCAL, instance.caller_port))
            for _ in names
        ]
        instance.leave()
        await trio.sleep(0.1)
        for name, caller in zip(names, callers, strict=True):
            requests = [
                make_request('/cut/a', make_headers(each))
                for each in (name, f'{name}-second')
            ]
            caller.send_at_once(b''.join(requests))
        for name, caller in zip(names, callers, strict=True):
            raw = b''
            with trio.fail_after(PATIENCE):
                while part := await caller.stream.receive_some():
                    raw += part
            assert raw.count(b'HTTP/1.1 200') == 2
            assert raw.lower().count(CLOSE) == 1
            assert count_runs(stage, f'{name}-second') == 1
        await stage.stopped[0].wait()
