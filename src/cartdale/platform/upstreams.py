"""Adapter to the platform's upstreams: plain services and engines.

Every request goes over a connection of its own: an upstream may send late
answers, forget idle connections and reset old ones, and a new connection
costs less than telling these apart.
"""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any

import httpcore
import msgspec
from returns.result import Failure, Result, Success

from cartdale.clock import SECOND_MS, Millis, seconds
from cartdale.fleet.types import EngineReport, RunReport
from cartdale.platform.callers import CONNECTION_HEADERS
from cartdale.platform.names import (
    HEADER_BACKUP,
    HEADER_DEADLINE,
    HEADER_EXPECT,
    HEADER_LAST_EVENT,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    HEADER_RESUME_FROM,
    HEADER_SEAL,
    HEADER_TENANT,
    HEADER_URGENCY,
    PATH_HANDLE,
    PATH_MOVE,
    PATH_REPORT,
    WORD_DRAINING,
)
from cartdale.relay.types import (
    Copied,
    CopyFailed,
    CopyFault,
    Headers,
    LinkBroke,
    LinkBrokeError,
    MemoryCopy,
    NotSent,
    Opened,
    OpenedAnswer,
    SendFailure,
    Standing,
    UpstreamCall,
)
from cartdale.routes.types import RouteKind

#: A connection comes up in a few milliseconds, or its opening packet was
#: dropped and is sent again after a second.
_CONNECT_TIMEOUT: Millis = 1500
#: Longest wait for a report.
_REPORT_TIMEOUT: Millis = 500
#: Unacknowledged bytes and unanswered probes end a connection after so long.
_DEAD_LINK: Millis = 2 * SECOND_MS
_PROBE_SECONDS = 1
_PROBES = 2

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _DEAD_LINK),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
)
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_BROKEN = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
_HIDDEN_HEADERS = CONNECTION_HEADERS | {
    HEADER_LOAD.encode(),
    HEADER_NOT_RUN.encode(),
}
_MOST_URGENT = 1
_URGENCY_STEP = 2
_LEAST_URGENT = 9


class _CopyRequest(msgspec.Struct, rename='camel', omit_defaults=True):
    id: str
    #: IP:PORT of the engine that gets the copy, despite the name.
    target_version: str
    #: Whether the generation stops first.
    last: bool = False


class _CopyAnswer(msgspec.Struct):
    handle: str = ''
    #: Events made so far, despite the name.
    created: int = 0


class _Report(msgspec.Struct, rename='camel'):
    running: int = 0
    queued: int = 0
    state: str = ''
    #: Tokens that can't give way.
    kv_used: int = 0
    kv_total: int = 0
    leaves_ms: float | None = msgspec.field(default=None, name='leaves_ms')
    #: Rows of id, tokens in memory, events made and priority.
    runs: tuple[tuple[str, int, int, int], ...] = ()


class PlatformUpstreams:
    """Reach upstreams over HTTP."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=0,
            socket_options=_SOCKET_OPTIONS,
        )

    def open(self, call: UpstreamCall) -> Opened:
        """Send a request and read the head of its answer."""
        return self._open(call)

    async def copy(self, copy: MemoryCopy) -> Result[Copied, CopyFailed]:
        """Copy a generation's memory."""
        order = _CopyRequest(copy.request_id, copy.target, copy.last)
        answer = await self._ask(
            'POST',
            copy.source,
            PATH_MOVE,
            msgspec.json.encode(order),
            copy.patience,
        )
        match answer:
            case Success(response):
                return _read_copy(response)
            case Failure(NotSent()):
                return Failure(CopyFailed(CopyFault.UNREACHABLE))
        return Failure(CopyFailed(CopyFault.NO_ANSWER))

    async def drop(self, address: str, handle: str) -> None:
        """Free a copy that is not needed."""
        await self._ask(
            'DELETE', address, f'{PATH_HANDLE}{handle}', b'', _REPORT_TIMEOUT
        )

    async def report(self, address: str) -> Result[EngineReport, SendFailure]:
        """Read what an engine holds."""
        answer = await self._ask(
            'GET', address, PATH_REPORT, b'', _REPORT_TIMEOUT
        )
        return answer.bind(_read_report)

    async def _ask(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        timeout: Millis,
    ) -> Result[httpcore.Response, SendFailure]:
        headers = [(b'host', address.encode()), (b'connection', b'close')]
        if body:
            headers.append((b'content-type', b'application/json'))
            headers.append((b'content-length', str(len(body)).encode()))
        try:
            response = await self._pool.request(
                method,
                _make_url(address, path.encode()),
                headers=headers,
                content=body,
                extensions=_limit(timeout),
            )
        except _NOT_SENT as error:
            return Failure(NotSent(repr(error)))
        except _BROKEN as late_error:
            return Failure(LinkBroke(repr(late_error)))
        return Success(response)

    @asynccontextmanager
    async def _open(
        self, call: UpstreamCall
    ) -> AsyncIterator[Result[OpenedAnswer, SendFailure]]:
        request = call.routed.request
        outgoing = httpcore.Request(
            request.method,
            _make_url(call.upstream.address, request.target),
            headers=_write_headers(call),
            content=request.body,
            extensions=_limit(None),
        )
        try:
            response = await self._pool.handle_async_request(outgoing)
        except _NOT_SENT as error:
            yield Failure(NotSent(repr(error)))
            return
        except _BROKEN as late_error:
            yield Failure(LinkBroke(repr(late_error)))
            return
        try:
            yield _read_head(call, response)
        finally:
            await response.aclose()


def _limit(timeout: Millis | None) -> dict[str, Any]:
    longest = None if timeout is None else seconds(timeout)
    connect = seconds(min(timeout or _CONNECT_TIMEOUT, _CONNECT_TIMEOUT))
    return {'timeout': {'connect': connect, 'read': longest, 'write': longest}}


def _make_url(address: str, target: bytes) -> httpcore.URL:
    host, _, port = address.rpartition(':')
    return httpcore.URL(
        scheme=b'http', host=host.encode(), port=int(port), target=target
    )


def _write_headers(call: UpstreamCall) -> list[tuple[bytes, bytes]]:
    routed = call.routed
    request = routed.request
    own = {
        HEADER_DEADLINE: str(max(call.left, 1)),
        HEADER_EXPECT: call.upstream.upstream,
        'connection': 'close',
    }
    if request.body or request.method != 'GET':
        own['content-length'] = str(len(request.body))
    if routed.customer:
        own[HEADER_TENANT] = routed.customer
    if routed.route.kind is RouteKind.STREAM:
        urgency = _MOST_URGENT + _URGENCY_STEP * routed.priority
        own[HEADER_URGENCY] = str(min(urgency, _LEAST_URGENT))
    if call.backup:
        own[HEADER_BACKUP] = call.backup
    if call.resume is not None:
        resume = call.resume
        own[HEADER_RESUME_FROM] = f'{resume.address}/{resume.handle}'
        own[HEADER_LAST_EVENT] = resume.last_event.decode('latin-1')
    written = [(name.encode(), text.encode()) for name, text in own.items()]
    return [*request.headers, *written]


def _read_head(
    call: UpstreamCall, response: httpcore.Response
) -> Result[OpenedAnswer, SendFailure]:
    named = {name.lower(): value for name, value in response.headers}
    standing = _judge(response.status, named)
    answered = named.get(HEADER_REQUEST_ID.encode(), b'').decode('latin-1')
    request_id = call.routed.request.request_id
    if standing is Standing.RAN:
        if answered != request_id:
            return Failure(LinkBroke(f'answer to {answered!r}'))
        sealed = HEADER_SEAL.encode() in named
        if response.status < HTTPStatus.MULTIPLE_CHOICES and not sealed:
            return Failure(LinkBroke('a success without its seal'))
    return Success(
        OpenedAnswer(
            status=response.status,
            headers=_pass_headers(response.headers),
            standing=standing,
            chunks=_read_chunks(response),
        )
    )


def _judge(status: int, named: dict[bytes, bytes]) -> Standing:
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Standing.REPLACED
    if HEADER_NOT_RUN.encode() in named:
        return Standing.NOT_RUN
    return Standing.RAN


def _pass_headers(headers: list[tuple[bytes, bytes]]) -> Headers:
    return tuple(
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in _HIDDEN_HEADERS
    )


async def _read_chunks(response: httpcore.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except _BROKEN as error:
        raise LinkBrokeError(repr(error)) from error


def _read_copy(response: httpcore.Response) -> Result[Copied, CopyFailed]:
    try:
        answer = msgspec.json.decode(response.content, type=_CopyAnswer)
    except msgspec.MsgspecError:
        answer = _CopyAnswer()
    match response.status:
        case HTTPStatus.OK:
            return Success(Copied(answer.handle, answer.created))
        case HTTPStatus.NOT_FOUND:
            return Failure(CopyFailed(CopyFault.UNKNOWN_RUN))
        case HTTPStatus.CONFLICT:
            return Failure(CopyFailed(CopyFault.BUSY))
        case _:
            return Failure(CopyFailed(CopyFault.NO_ROOM, answer.handle))


def _read_report(
    response: httpcore.Response,
) -> Result[EngineReport, SendFailure]:
    if response.status != HTTPStatus.OK:
        return Failure(LinkBroke(f'status {response.status}'))
    try:
        stored = msgspec.json.decode(response.content, type=_Report)
    except msgspec.MsgspecError as error:
        return Failure(LinkBroke(str(error)))
    leaves = stored.leaves_ms
    return Success(
        EngineReport(
            running=stored.running,
            waiting=stored.queued,
            used_tokens=stored.kv_used,
            total_tokens=stored.kv_total,
            leaves_in=None if leaves is None else int(leaves),
            leaving=stored.state == WORD_DRAINING,
            runs=tuple(RunReport(*row) for row in stored.runs),
        )
    )
