"""An upstream that answers before it has read the body of a request."""

import socket
import ssl
import struct
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

import trio

from cartdale_standins.platform_engine import format_event
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    make_configuration,
    until,
)
from tests.pouring import find_request_id
from tests.raw_upstream import REPORT

#: A body that the buffers of both sockets can't hold, so that it is still being
#: written when the answer ends.
LONG_BODY = b'x' * 12_000_000
#: Room that the upstream's socket has for what it does not read, in bytes.
_RECEIVE_BUFFER = 4096
_BODY_LIMIT = 2 * len(LONG_BODY)
#: Time from the answer, or from its end, to a late reset, in seconds.
_LATER = 0.05
_RESET = struct.pack('ii', 1, 0)
_HEAD_END = b'\r\n\r\n'
_NAME = 'early'
_WHOLE_REPORT = b'\r\n'.join(
    (
        b'HTTP/1.1 200 OK',
        b'Instance-Id: %b' % _NAME.encode(),
        b'Content-Length: %d' % len(REPORT),
        b'',
        REPORT,
    )
)


class AnswerEnd(Enum):
    """How the connection ends once an answer was sent."""

    #: It is reset, with the request unread.
    RESET = 'reset'
    #: The same, some time after the answer was sent.
    LATE_RESET = 'late reset'
    #: It is closed, which resets it, as the request was not read.
    CLOSED_UNREAD = 'closed unread'
    #: The answer ends in order; the connection is reset some time later.
    HALF_CLOSED_RESET = 'half closed, then reset'
    #: The answer ends in order, and the request is read to its end.
    HALF_CLOSED_READ = 'half closed, then read'
    #: The request is read first.
    IN_ORDER = 'in order'


class AnswerFraming(Enum):
    """What delimits the body of an answer."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKS = 'chunks'


@dataclass
class EarlyUpstream:
    """Answer each request in one way, before its body is read.

    :param status: the status of each answer.
    :param version: of the protocol.
    :param body: of each answer; empty for that of a plain service.
    :param tls: context of its connections; ``None`` for none.
    """

    end: AnswerEnd
    framing: AnswerFraming = AnswerFraming.NONE
    body: bytes = b''
    status: int = 200
    version: str = '1.1'
    tls: ssl.SSLContext | None = None
    runs_by_request: Counter[str] = field(default_factory=Counter)

    async def listen(self, nursery: trio.Nursery) -> int:
        """Serve while a nursery is open; return the port."""
        listeners = await trio.open_tcp_listeners(0, host=LOCAL)
        listeners[0].socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER
        )
        nursery.start_soon(partial(trio.serve_listeners, self.serve, listeners))
        port: int = listeners[0].socket.getsockname()[1]
        return port

    async def serve(self, connection: trio.SocketStream) -> None:
        """Answer one request."""
        stream: trio.abc.Stream = connection
        if self.tls is not None:
            stream = trio.SSLStream(connection, self.tls, server_side=True)
        head = await _read_head(stream)
        target = head.split(b' ')[1] if head else b''
        if target in {b'', b'/health', b'/cartdale/report'}:
            await stream.send_all(_WHOLE_REPORT)
            await stream.aclose()
            return
        if self.end is AnswerEnd.IN_ORDER:
            await _read_body(stream, head)
        name = find_request_id(head)
        self.runs_by_request[name.decode()] += 1
        await stream.send_all(self._make_answer(name))
        await self._end(connection, head)

    def _make_answer(self, request_id: bytes) -> bytes:
        body = self.body or b'answer to %b' % request_id
        framing, sent = self._frame(body)
        lines = (
            b'HTTP/%b %d x' % (self.version.encode(), self.status),
            b'Request-Id: %b' % request_id,
            b'Response-Seal: 3e1b.07',
            *framing,
            b'Connection: close',
        )
        return b'\r\n'.join(lines) + _HEAD_END + sent

    def _frame(self, body: bytes) -> tuple[tuple[bytes, ...], bytes]:
        """Return the headers that delimit a body, and what is sent of it."""
        match self.framing:
            case AnswerFraming.NONE:
                return (), body
            case AnswerFraming.LENGTH:
                return (b'Content-Length: %d' % len(body),), body
            case AnswerFraming.CHUNKS:
                chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
                return (b'Transfer-Encoding: chunked',), chunks

    async def _end(self, stream: trio.SocketStream, head: bytes) -> None:
        match self.end:
            case AnswerEnd.LATE_RESET:
                await trio.sleep(_LATER)
            case AnswerEnd.HALF_CLOSED_RESET:
                await stream.send_eof()
                await trio.sleep(_LATER)
            case AnswerEnd.HALF_CLOSED_READ:
                await stream.send_eof()
                await _read_body(stream, head)
        if self.end not in _ENDS_IN_ORDER:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        await stream.aclose()


#: Ends without a reset that is asked for.
_ENDS_IN_ORDER = frozenset(
    (
        AnswerEnd.CLOSED_UNREAD,
        AnswerEnd.HALF_CLOSED_READ,
        AnswerEnd.IN_ORDER,
    )
)


def make_events(request_id: str, events: int) -> bytes:
    """Return the body of a stream."""
    return b''.join(
        format_event(request_id, number + 1) for number in range(events)
    )


async def add_early(
    stage: PlatformStage, service: str, upstream: EarlyUpstream
) -> int:
    """List an upstream, and allow long bodies; return its port."""
    configuration = make_configuration(2)
    configuration['limits']['maxBodyBytes'] = _BODY_LIMIT
    stage.store.put('op/config', configuration)
    await stage.settle(2)
    port = await upstream.listen(stage.nursery)
    stage.list_upstream(_NAME, service, f'{LOCAL}:{port}')
    await until(
        lambda: all(runtime.fleet.find(_NAME) for runtime in stage.runtimes)
    )
    return port


async def _read_head(stream: trio.abc.Stream) -> bytes:
    """Read a head, and nothing that follows it."""
    head = b''
    while not head.endswith(_HEAD_END):
        received = await stream.receive_some(1)
        if not received:
            return b''
        head += received
    return head


async def _read_body(stream: trio.abc.Stream, head: bytes) -> None:
    named = head.lower().partition(b'content-length:')[2]
    left = int(named.partition(b'\r\n')[0] or b'0')
    while left > 0:
        received = await stream.receive_some(1 << 16)
        if not received:
            return
        left -= len(received)
