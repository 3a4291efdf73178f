"""Responses before a request's body, and connections that never send one."""

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
from tests.platform_stage import LOCAL
from tests.test_connection_ends import LAST, Caller, open_server
from tests.test_connection_faults import answer_early, open_h2

_BODY = 1_000_000
HEAD = (
    'POST /cut/a HTTP/1.1\r\nHost: mill.example\r\n'
    f'Content-Length: {_BODY}\r\n\r\n'
).encode()
#: Longest that a connection without a request may hold up a stop, in seconds.
_UNUSED = 1.5


async def refuse(scope: AsgiEvent, receive: Receive, send: Send) -> None:
    """Refuse with the last response of a connection, before the body."""
    if await accept_http_request(scope, receive, send):
        await send_response(send, 503, LAST, b'whole')


# Guards against a refusal that its caller can't read, or that holds up a stop,
# as the body was not read: it has come in part, is on its way, or never comes.
@pytest.mark.parametrize('sent', [0, 1000, _BODY])
@pytest.mark.parametrize('stops', [False, True])
async def test_refusal_before_the_body_is_read(
    *, sent: int, stops: bool
) -> None:
    async with open_server(refuse) as server:
        server.listener.leaving.set()
        callers = [
            Caller(await trio.open_tcp_stream(LOCAL, server.listener.port))
            for _ in range(8)
        ]
        if stops:
            server.stopping.set()
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(_read_refusal, caller, sent)
        server.stopping.set()
        await server.ended.wait()


async def _read_refusal(caller: Caller, sent: int) -> None:
    """Read while the body is sent, and after its connection has ended."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_body, caller, sent)
        answer = await caller.read_response()
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'connection: close' in answer.lower()
        assert answer.endswith(b'whole')
        assert await caller.read_response() == b''
        nursery.cancel_scope.cancel()


async def _send_body(caller: Caller, sent: int) -> None:
    try:
        await caller.stream.send_all(HEAD + b'x' * sent)
    except trio.BrokenResourceError:
        return


# Guards against a stop that waits for connections that never send anything:
# one accepted before, one as the listener closes, and one of HTTP/2.
async def test_connections_that_never_send_end_soon() -> None:
    async with open_server() as server:
        port = server.listener.port
        callers = [Caller(await trio.open_tcp_stream(LOCAL, port))]
        await wait_all_tasks_blocked(0.02)
        callers.append(Caller((await open_h2(port)).stream))
        callers.append(Caller(await trio.open_tcp_stream(LOCAL, port)))
        server.stopping.set()
        began = trio.current_time()
        await server.ended.wait()
        assert trio.current_time() - began < _UNUSED
        for caller in callers:
            await caller.read_response()


async def answer_early_or_late(
    scope: AsgiEvent, receive: Receive, send: Send
) -> None:
    """Refuse paths that end in b; answer others a while after their body."""
    if scope['type'] == 'http' and scope['raw_path'].endswith(b'b'):
        await answer_early(scope, receive, send)
    elif await accept_http_request(scope, receive, send):
        await read_body(receive, 100)
        await trio.sleep(0.3)
        await send_response(send, 200, (), b'whole')


# Guards against a refusal before the body that cuts the other requests of its
# connection of HTTP/2 as the body goes on.
async def test_h2_refusal_before_the_body_cuts_no_other() -> None:
    early = (
        (':method', 'POST'),
        (':scheme', 'http'),
        (':authority', 'mill.example'),
        (':path', '/cut/b'),
    )
    async with open_server(answer_early_or_late) as server:
        caller = await open_h2(server.listener.port)
        other = caller.begin(b'brief')
        refused = caller.begin(b'brief', early, end=False)
        await caller.flush()
        assert await caller.read_until_ended(refused) == 'ended'
        for end in (False, True):
            caller.connection.send_data(refused, b'more', end_stream=end)
            await caller.flush()
            await wait_all_tasks_blocked(0.01)
        assert await caller.read_until_ended(other) == 'ended'
