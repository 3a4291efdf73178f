"""Client of the platform's upstreams: plain services and engines.

Every request uses a new connection: an upstream may send late responses, drop
idle connections and reset old ones, and a new connection costs less than
distinguishing these cases.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import httpcore
import msgspec
import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from cartdale.bodies import read_bounded
from cartdale.clock import Millis, as_seconds
from cartdale.detours.decide import UNREACHED_FOR
from cartdale.detours.direct import DirectTransport
from cartdale.detours.guard import SendGuard, UnwritableError, WithheldError
from cartdale.detours.ports import UpstreamTransport
from cartdale.detours.types import UpstreamRequest
from cartdale.failures import is_exhaustion
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.types import EngineReport, UpstreamEntry
from cartdale.formatting import format_error
from cartdale.platform.exchanges import (
    CopyRequest,
    read_advisory,
    read_copy,
    read_head,
    read_report,
    write_headers,
)
from cartdale.platform.names import (
    HEADER_INSTANCE,
    PATH_HANDLE,
    PATH_MOVE,
    PATH_REPORT,
)
from cartdale.platform.pools import make_pool
from cartdale.relay.liveness import LifeCheck, LifeEvidence, LifeState
from cartdale.relay.types import (
    MAX_SOUND_SILENCE,
    Copied,
    CopyFailed,
    CopyFault,
    LinkBroke,
    MemoryCopy,
    NotSent,
    OpenedResponse,
    SendFailure,
    SendWithheld,
    Unwritable,
    UpstreamCall,
)
from cartdale.routes.types import ServiceSpec
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
    CarriedTimeoutError,
    IntermediaryError,
    PathUnclearError,
    bound_answer,
    find_carrier,
    find_longest,
    is_refusal,
)

#: Maximum wait for a report.
_REPORT_TIMEOUT: Millis = 500
#: Maximum wait for a plain service to respond to a check or to close its
#: connection, which one that ended does at once. Answers wait for it.
_HEALTH_TIMEOUT: Millis = 50
#: Maximum size of an answer to this instance itself, in bytes.
_MAX_ANSWER = 4194304
#: Between two checks whether a silent upstream has ended.
_CHECK_PAUSE: Millis = 100
#: Time for which an upstream is asked that perhaps only the path from here does
#: not reach. Until then instances that were asked may be asked again.
_MAX_UNCLEAR: Millis = UNREACHED_FOR
_NOT_SENT_ERRORS = (*HTTPCORE_NOT_SENT_ERRORS, UnwritableError)


class PlatformUpstreams:
    """Client of upstreams over HTTP.

    :param advisories: records the advisories of upstreams.
    :param transport: reaches the upstreams; directly if left out.
    """

    def __init__(
        self,
        advisories: AdvisoryRecorder,
        transport: UpstreamTransport | None = None,
    ) -> None:
        self._advisories = advisories
        self._transport = transport or DirectTransport(make_pool(max_idle=0))

    @asynccontextmanager
    async def open(
        self, call: UpstreamCall
    ) -> AsyncIterator[Result[OpenedResponse, SendFailure]]:
        """Send a request and read the head of its response."""
        request = _make_request(call)
        guard = SendGuard(self._advisories, request, call.permit)
        try:
            response = await self._transport.send(request, guard)
        except _NOT_SENT_ERRORS as error:
            yield Failure(_describe_not_sent(error))
            return
        except WithheldError as withheld:
            if withheld.backoff:
                self._advisories.record_backoff(
                    request.upstream, withheld.backoff
                )
            yield Failure(SendWithheld())
            return
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as late_error:
            yield Failure(LinkBroke(format_error(late_error)))
            return
        advisory = read_advisory(response)
        answer = read_head(call, response, advisory)
        if not is_successful(answer):
            # The response may be another upstream's, so that the absence of
            # an advisory means nothing.
            advisory = advisory.without_absence().without_load()
        self._advisories.record(
            call.upstream.upstream, advisory, request.request_id, guard.sent_at
        )
        try:
            yield answer
        finally:
            await response.aclose()

    def record_carried(
        self,
        request: UpstreamRequest,
        response: httpcore.Response,
        sent_at: Millis,
    ) -> None:
        """Record the advisory of a response to another instance's request.

        What the response answers is for that instance to check, so that the
        absence of an advisory means nothing here. That instance also records
        the load.
        """
        advisory = read_advisory(response).without_absence().without_load()
        self._advisories.record(
            request.upstream, advisory, request.request_id, sent_at
        )

    async def copy(self, copy: MemoryCopy) -> Result[Copied, CopyFailed]:
        """Copy a generation's memory."""
        body = CopyRequest(copy.request_id, copy.target, copy.last)
        answer = await self._request(
            'POST',
            copy.source,
            PATH_MOVE,
            msgspec.json.encode(body),
            copy.timeout,
        )
        match answer:
            case Success(response):
                return read_copy(response)
            case Failure(NotSent()):
                return Failure(CopyFailed(CopyFault.UNREACHABLE))
            case Failure(LinkBroke(timed_out=False, by_intermediary=False)):
                return Failure(CopyFailed(CopyFault.BROKEN))
        return Failure(CopyFailed(CopyFault.NO_ANSWER))

    async def release_copy(self, address: str, handle: str) -> None:
        """Free a copy that is no longer needed."""
        await self._request(
            'DELETE', address, f'{PATH_HANDLE}{handle}', b'', _REPORT_TIMEOUT
        )

    async def report(self, address: str) -> Result[EngineReport, SendFailure]:
        """Read an engine's report."""
        answer = await self._request(
            'GET', address, PATH_REPORT, b'', _REPORT_TIMEOUT
        )
        return answer.bind(read_report)

    async def check_life(
        self,
        upstream: UpstreamEntry,
        spec: ServiceSpec | None,
        through: str = '',
        patience: Millis = 0,
    ) -> LifeCheck:
        """Check whether an upstream ended, or restarted since its entry.

        An upstream that no instance reaches, or that closes the connection
        without a response, counts as ended. A response of it shows that it is
        alive; an engine's also shows its start time. A plain service lets the
        check wait while all its slots are in use, so that a timeout on an open
        connection counts as alive there. Without an answer to its connections
        an upstream counts as ended only after a while. Where nothing is found
        out for as long, that is the result.
        """
        began_at = self._advisories.now()
        while True:
            check = await self._ask_whether_alive(
                upstream, spec, through, patience
            )
            if check.state is not LifeState.UNKNOWN:
                return check
            waited = self._advisories.now() - began_at
            if waited >= _find_patience(check.evidence):
                return _conclude_unknown(check)
            await trio.sleep(as_seconds(_CHECK_PAUSE))

    async def _ask_whether_alive(
        self,
        upstream: UpstreamEntry,
        spec: ServiceSpec | None,
        through: str,
        patience: Millis,
    ) -> LifeCheck:
        """Ask an upstream once."""
        plain = spec is not None and spec.engine is None
        path = spec.health_path if spec is not None and plain else PATH_REPORT
        sent_at = self._advisories.now()
        timeout = max(_HEALTH_TIMEOUT, patience) if plain else _REPORT_TIMEOUT
        answer = await self._request(
            'GET', upstream.address, path, b'', timeout, through
        )
        if plain:
            answer.map(partial(self._record_health, upstream.upstream, sent_at))
        report: EngineReport | None = None
        match answer:
            case Success(response) if plain:
                evidence = _judge_health(response, upstream)
            case Success(response):
                report = read_report(response).value_or(None)
                evidence = _judge_report(response, report, upstream)
            case Failure(failure):
                evidence = _judge_failure(failure, plain=plain)
        if evidence is LifeEvidence.UNIDENTIFIED and spec is not None:
            evidence = await self._identify(upstream, spec.health_path, through)
        return LifeCheck(evidence, sent_at, report, _find_check_carrier(answer))

    async def _identify(
        self, upstream: UpstreamEntry, health_path: str, through: str
    ) -> LifeEvidence:
        """Ask an engine for its id, which its health response names.

        While all its slots are in use, the engine lets the question wait.
        """
        answer = await self._request(
            'GET',
            upstream.address,
            health_path,
            b'',
            _HEALTH_TIMEOUT,
            through,
        )
        responder = answer.map(_find_responder).value_or('')
        if responder == upstream.upstream:
            return LifeEvidence.RESPONSE
        if responder:
            return LifeEvidence.OTHER_UPSTREAM
        return LifeEvidence.UNIDENTIFIED

    def _record_health(
        self, upstream: str, sent_at: Millis, response: httpcore.Response
    ) -> None:
        """Record the advisory of a health response from this upstream."""
        if _find_responder(response) == upstream:
            # Health responses may never carry limits, so that their absence
            # means nothing.
            advisory = read_advisory(response).without_absence()
            self._advisories.record(upstream, advisory, '', sent_at)

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        timeout: Millis,
        through: str = '',
    ) -> Result[httpcore.Response, SendFailure]:
        headers = [
            (b'host', address.encode()),
            (b'connection', b'close'),
        ]
        if body:
            headers.append((b'content-type', b'application/json'))
            headers.append((b'content-length', str(len(body)).encode()))
        request = UpstreamRequest(
            address, method, path.encode(), tuple(headers), body, timeout
        )
        try:
            with bound_answer(find_longest(timeout)):
                response = await self._read_whole(request, through)
        except _NOT_SENT_ERRORS as error:
            return Failure(_describe_not_sent(error))
        except CarriedTimeoutError as carried:
            detail = format_error(carried)
            return Failure(
                LinkBroke(detail, timed_out=True, carrier=carried.carrier)
            )
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as late_error:
            return Failure(
                LinkBroke(
                    format_error(late_error),
                    timed_out=isinstance(late_error, httpcore.TimeoutException),
                    by_intermediary=isinstance(late_error, IntermediaryError),
                )
            )
        return Success(response)

    async def _read_whole(
        self, request: UpstreamRequest, through: str
    ) -> httpcore.Response:
        response = await self._transport.send(request, through=through)
        try:
            return await read_bounded(response, _MAX_ANSWER)
        finally:
            await response.aclose()


def _judge_health(
    response: httpcore.Response, upstream: UpstreamEntry
) -> LifeEvidence:
    """Return what a plain service's response to a check says of it."""
    if _find_responder(response) in {'', upstream.upstream}:
        return LifeEvidence.RESPONSE
    return LifeEvidence.OTHER_UPSTREAM


def _judge_report(
    response: httpcore.Response,
    report: EngineReport | None,
    upstream: UpstreamEntry,
) -> LifeEvidence:
    """Return what an engine's response to a check says of it.

    Without start times only its id distinguishes it from another engine at the
    same address.
    """
    responder = _find_responder(response)
    if responder not in {'', upstream.upstream}:
        return LifeEvidence.OTHER_UPSTREAM
    if report is None or bool(report.born) is not bool(upstream.born):
        return LifeEvidence.NO_REPORT
    if report.born != upstream.born:
        return LifeEvidence.OTHER_INCARNATION
    if report.born or responder:
        return LifeEvidence.RESPONSE
    return LifeEvidence.UNIDENTIFIED


def _find_responder(response: httpcore.Response) -> str:
    """Return the id of the upstream that responded; empty if it names none."""
    name = HEADER_INSTANCE.encode()
    for each, value in response.headers:
        if each.lower() == name:
            return value.decode('latin-1')
    return ''


def _find_patience(evidence: LifeEvidence) -> Millis:
    """Return how long an upstream is asked while this is all that is known."""
    match evidence:
        case LifeEvidence.UNIDENTIFIED:
            return 0
        case LifeEvidence.PATH_UNCLEAR | LifeEvidence.INTERMEDIARY:
            return _MAX_UNCLEAR
    return MAX_SOUND_SILENCE


def _conclude_unknown(check: LifeCheck) -> LifeCheck:
    """Return the result of a check that was repeated in vain."""
    if check.evidence is LifeEvidence.UNANSWERED:
        return LifeCheck(LifeEvidence.UNREACHABLE, check.asked_at)
    return check


def _find_check_carrier(answer: Result[httpcore.Response, SendFailure]) -> str:
    """Return the instance over which a check went; empty for none."""
    match answer:
        case Success(response):
            return find_carrier(response)
        case Failure(LinkBroke(carrier=carrier)):
            return carrier
    return ''


def _judge_failure(failure: SendFailure, *, plain: bool) -> LifeEvidence:
    """Return what a check that failed says of an upstream."""
    match failure:
        case LinkBroke(by_intermediary=True):
            return LifeEvidence.INTERMEDIARY
        case LinkBroke(timed_out=True) if plain:
            return LifeEvidence.OPEN_CONNECTION
        case LinkBroke(timed_out=True):
            return LifeEvidence.SILENT
        case LinkBroke():
            return LifeEvidence.CLOSED
        case Unwritable():
            return LifeEvidence.FAILED
        case NotSent(confirmed=False):
            return LifeEvidence.PATH_UNCLEAR
        case NotSent(refused=False):
            return LifeEvidence.UNANSWERED
    return LifeEvidence.REFUSED


def _make_request(call: UpstreamCall) -> UpstreamRequest:
    """Return the request of an attempt."""
    request = call.routed.request
    return UpstreamRequest(
        call.upstream.address,
        request.method,
        request.target,
        tuple(write_headers(call)),
        request.body,
        upstream=call.upstream.upstream,
        request_id=request.request_id,
        is_work=True,
        resumes=call.resume is not None,
    )


def _describe_not_sent(error: Exception) -> NotSent | Unwritable:
    if isinstance(error, UnwritableError):
        return Unwritable(error.part)
    own_fault = isinstance(error, PathUnclearError) or is_exhaustion(error)
    confirmed = not own_fault
    return NotSent(format_error(error), confirmed, is_refusal(error))
