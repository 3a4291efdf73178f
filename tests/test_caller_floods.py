"""Callers of HTTP/2 that send frames without an end beside requests."""

from contextlib import suppress
from types import MappingProxyType

import pytest
import trio
from h2.errors import ErrorCodes
from h2.events import DataReceived, StreamEnded
from hyperframe.frame import (
    ContinuationFrame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

from cartdale.asgi import TYPE, AsgiEvent, Receive, Send, accept_http_request
from tests.test_connection_ends import open_server
from tests.test_connection_faults import open_h2

HEADER_BLOCK = b'\x00\x01a\x01b' * 2000
#: Bytes of a flood that a server takes before it closes the connection.
TAKEN = 4_000_000
BODY = 2_000_000
REQUESTS = 300


def make_priorities() -> bytes:
    frames = (PriorityFrame(2 * each + 1, 0, 5) for each in range(2000))
    return b''.join(frame.serialize() for frame in frames)


def begin_head() -> bytes:
    return HeadersFrame(1, HEADER_BLOCK).serialize()


FLOODS = MappingProxyType(
    {
        'ping': (b'', PingFrame(0, b'12345678').serialize()),
        'settings': (b'', SettingsFrame(0, {}).serialize()),
        'window': (b'', WindowUpdateFrame(0, 1).serialize()),
        'priority': (b'', make_priorities()),
        'continuation': (begin_head(), ContinuationFrame(1, b'a').serialize()),
        'large continuation': (
            begin_head(),
            ContinuationFrame(1, HEADER_BLOCK).serialize(),
        ),
    }
)


# Guards against frames that are read for ever: the loop serves nobody
# meanwhile, and heads without an end take the memory of the process.
@pytest.mark.parametrize('kind', FLOODS)
async def test_a_flood_of_frames_ends_its_connection(kind: str) -> None:
    begun, frame = FLOODS[kind]
    async with open_server() as server:
        flooding = await open_h2(server.listener.port)
        sent = 0
        with suppress(trio.BrokenResourceError), trio.fail_after(5):
            await flooding.stream.send_all(begun)
            while sent < TAKEN:
                block = frame * max(10_000 // len(frame), 1)
                await flooding.stream.send_all(block)
                sent += len(block)
        assert sent < TAKEN
        other = await open_h2(server.listener.port)
        number = other.begin(b'brief')
        await other.flush()
        assert await other.read_until_ended(number) == 'ended'
        server.stopping.set()
        await server.ended.wait()


# Guards against a caller who is not told why its connection ends.
async def test_a_flood_is_answered_with_its_reason() -> None:
    async with open_server() as server:
        flooding = await open_h2(server.listener.port)
        await flooding.stream.send_all(
            PingFrame(0, b'12345678').serialize() * 600
        )
        parts = []
        with suppress(trio.BrokenResourceError):
            async for raw in flooding.stream:
                parts.append(raw)
        code = int(ErrorCodes.ENHANCE_YOUR_CALM).to_bytes(4)
        assert b''.join(parts).endswith(code)


async def respond_with_much(
    scope: AsgiEvent, receive: Receive, send: Send
) -> None:
    """Write a response in many small parts."""
    if not await accept_http_request(scope, receive, send):
        return
    await send({TYPE: 'http.response.start', 'status': 200, 'headers': []})
    part = {TYPE: 'http.response.body', 'body': b'x' * 1000, 'more_body': True}
    for _ in range(BODY // 1000):
        await send(part)
    await send({TYPE: 'http.response.body', 'body': b''})


# Guards against callers who read long responses, and whose connection is ended
# for the frames that this takes.
async def test_frames_that_answer_responses_are_no_flood() -> None:
    async with open_server(respond_with_much) as server:
        caller = await open_h2(server.listener.port)
        caller.begin(b'brief')
        await caller.flush()
        received, has_ended = 0, False
        while not has_ended:
            raw = await caller.stream.receive_some()
            assert raw
            for event in caller.connection.receive_data(raw):
                has_ended |= isinstance(event, StreamEnded)
                if isinstance(event, DataReceived):
                    received += len(event.data)
                    caller.connection.acknowledge_received_data(
                        event.flow_controlled_length, event.stream_id
                    )
            await caller.flush()
        assert received == BODY


# Guards against callers who take many requests back, and whose connection is
# ended for that.
async def test_requests_that_are_taken_back_are_no_flood() -> None:
    async with open_server() as server:
        server.app.answering = trio.Event()
        caller = await open_h2(server.listener.port)
        first = caller.begin(b'brief')
        for _ in range(REQUESTS):
            number = caller.begin(b'brief')
            caller.connection.reset_stream(number)
            await caller.flush()
        server.app.answering.set()
        assert await caller.read_until_ended(first) == 'ended'
