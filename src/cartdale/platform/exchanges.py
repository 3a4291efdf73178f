"""Translate what is sent to upstreams, and what they answer."""

from collections.abc import AsyncIterator
from http import HTTPStatus

import httpcore
import msgspec
from returns.result import Failure, Result, Success

from cartdale.fleet.rate_limits import parse_limit
from cartdale.fleet.types import Advisory, EngineReport, RunReport
from cartdale.formatting import format_error
from cartdale.platform.callers import CONNECTION_HEADERS
from cartdale.platform.names import (
    HEADER_BACKUP,
    HEADER_DEADLINE,
    HEADER_EXPECT,
    HEADER_LAST_EVENT,
    HEADER_LEAVING,
    HEADER_LIMIT,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    HEADER_RESUME_FROM,
    HEADER_RETRY_AFTER,
    HEADER_SEAL,
    HEADER_TENANT,
    WORD_DRAINING,
)
from cartdale.relay.types import (
    Copied,
    CopyFailed,
    CopyFault,
    ExecutionStatus,
    Headers,
    LinkBroke,
    LinkBrokeError,
    OpenedResponse,
    SendFailure,
    UpstreamCall,
)
from cartdale.retries.backoffs import parse_retry_after
from cartdale.transport import HTTPCORE_UNKNOWN_OUTCOME_ERRORS

_HIDDEN_HEADERS = CONNECTION_HEADERS | {
    HEADER_LOAD.encode(),
    HEADER_NOT_RUN.encode(),
    # A caller that is a proxy itself would take these for this instance's.
    HEADER_LEAVING.encode(),
    HEADER_LIMIT.encode(),
}
#: Headers of which one says where a body ends.
_FRAMES = frozenset((b'content-length', b'transfer-encoding'))


class CopyRequest(msgspec.Struct, rename='camel', omit_defaults=True):
    """Ask an engine for a copy, in the words of the wire."""

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
    born: int = 0


def write_headers(call: UpstreamCall) -> list[tuple[bytes, bytes]]:
    """Return the caller's headers and those that cartdale adds.

    None says how urgent a request is: an engine pushes less urgent ones aside
    in the middle, and reads them anew. With one urgency for all, the urgent
    still go first in cartdale's own queue; on engines of 21,878 tokens that
    were nearly full 19 instead of 81 requests were pushed aside in 34 s, and
    31,000 instead of 181,000 tokens were read for nothing.
    """
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
    if call.backup:
        own[HEADER_BACKUP] = call.backup
    if call.resume is not None:
        resume = call.resume
        own[HEADER_RESUME_FROM] = f'{resume.address}/{resume.handle}'
    if call.last_event or call.resume is not None:
        own[HEADER_LAST_EVENT] = call.last_event.decode('latin-1')
    written = [(name.encode(), text.encode()) for name, text in own.items()]
    return [*request.headers, *written]


def read_head(
    call: UpstreamCall, response: httpcore.Response, advisory: Advisory
) -> Result[OpenedResponse, SendFailure]:
    """Read the head of an answer.

    One to another request, or a success without its seal, is no answer.

    :param advisory: what the upstream says of itself beside it.
    """
    named = {name.lower(): value for name, value in response.headers}
    execution = _judge(response.status, named)
    answered = named.get(HEADER_REQUEST_ID.encode(), b'').decode('latin-1')
    request_id = call.routed.request.request_id
    if execution is ExecutionStatus.RAN:
        if answered != request_id:
            return Failure(LinkBroke(f'answer to {answered!r}'))
        sealed = HEADER_SEAL.encode() in named
        if response.status < HTTPStatus.MULTIPLE_CHOICES and not sealed:
            return Failure(LinkBroke('a success without its seal'))
    return Success(
        OpenedResponse(
            status=response.status,
            headers=_pass_headers(response.headers),
            execution=execution,
            chunks=_read_chunks(response),
            framed=not _FRAMES.isdisjoint(named),
            backoff=advisory.backoff,
        )
    )


def read_advisory(response: httpcore.Response) -> Advisory:
    """Read what an upstream says of itself beside an answer.

    Another upstream at its address says nothing of it.
    """
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return Advisory()
    named = {name.lower(): value for name, value in response.headers}
    asked = named.get(HEADER_RETRY_AFTER.encode(), b'')
    unavailable = response.status == HTTPStatus.SERVICE_UNAVAILABLE
    limit_name = HEADER_LIMIT.encode()
    return Advisory(
        leaving=named.get(HEADER_LEAVING.encode(), b'').strip() == b'1',
        backoff=parse_retry_after(asked) if unavailable else 0,
        limit=parse_limit(
            value
            for name, value in response.headers
            if name.lower() == limit_name
        ),
    )


def read_copy(response: httpcore.Response) -> Result[Copied, CopyFailed]:
    """Read what became of a copy."""
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


def read_report(
    response: httpcore.Response,
) -> Result[EngineReport, SendFailure]:
    """Read an engine's report."""
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
            leaving=stored.state == WORD_DRAINING
            or read_advisory(response).leaving,
            runs=tuple(RunReport(*row) for row in stored.runs),
            born=stored.born,
        )
    )


def _judge(status: int, named: dict[bytes, bytes]) -> ExecutionStatus:
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return ExecutionStatus.REPLACED
    if HEADER_NOT_RUN.encode() in named:
        return ExecutionStatus.NOT_RUN
    return ExecutionStatus.RAN


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
    except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as error:
        raise LinkBrokeError(format_error(error)) from error
