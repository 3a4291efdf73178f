"""Client of the platform's upstreams: plain services and engines.

Every request uses a new connection: an upstream may send late responses, drop
idle connections and reset old ones, and a new connection costs less than
distinguishing these cases.
"""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import httpcore
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from cartdale.clock import Millis
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
from cartdale.platform.pools import make_pool, make_timeouts
from cartdale.relay.types import (
    Copied,
    CopyFailed,
    CopyFault,
    LinkBroke,
    MemoryCopy,
    NotSent,
    OpenedResponse,
    SendFailure,
    SendWithheld,
    UpstreamCall,
)
from cartdale.routes.types import ServiceSpec
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
)

#: httpcore trace event: the connection is open and the request is sent next.
_BEFORE_SENDING = 'http11.send_request_headers.started'
#: Maximum wait for a report.
_REPORT_TIMEOUT: Millis = 500


class _WithheldError(Exception):
    """Raised to abort a request before any of it is sent."""


class _SendGuard:
    """Trace callback that aborts a request which must no longer be sent."""

    def __init__(
        self, advisories: AdvisoryRecorder, call: UpstreamCall
    ) -> None:
        self._advisories = advisories
        self._call = call
        #: Time at which the request was sent, in monotonic milliseconds.
        self.sent_at: Millis = 0

    async def __call__(self, event: str, _: Mapping[str, Any]) -> None:
        """Handle a trace event of the connection; httpcore awaits each."""
        if event != _BEFORE_SENDING:
            return
        resumes = self._call.resume is not None
        if self._advisories.must_withhold(
            self._call.upstream.upstream, resumes=resumes
        ):
            raise _WithheldError
        self.sent_at = self._advisories.now()


class PlatformUpstreams:
    """Client of upstreams over HTTP.

    :param advisories: records the advisories of upstreams.
    """

    def __init__(self, advisories: AdvisoryRecorder) -> None:
        self._advisories = advisories
        self._pool = make_pool(max_idle=0)

    @asynccontextmanager
    async def open(
        self, call: UpstreamCall
    ) -> AsyncIterator[Result[OpenedResponse, SendFailure]]:
        """Send a request and read the head of its response."""
        request = call.routed.request
        guard = _SendGuard(self._advisories, call)
        outgoing = httpcore.Request(
            request.method,
            _make_url(call.upstream.address, request.target),
            headers=write_headers(call),
            content=request.body,
            extensions={**make_timeouts(None), 'trace': guard},
        )
        try:
            response = await self._pool.handle_async_request(outgoing)
        except _WithheldError:
            yield Failure(SendWithheld())
            return
        except HTTPCORE_NOT_SENT_ERRORS as error:
            yield Failure(NotSent(format_error(error)))
            return
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as late_error:
            yield Failure(LinkBroke(format_error(late_error)))
            return
        advisory = read_advisory(response)
        answer = read_head(call, response, advisory)
        if not is_successful(answer):
            # The response may be another upstream's, so that the absence of
            # an advisory means nothing.
            advisory = advisory.without_absence()
        self._advisories.record(
            call.upstream.upstream, advisory, request.request_id, guard.sent_at
        )
        try:
            yield answer
        finally:
            await response.aclose()

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

    async def is_gone(
        self, upstream: UpstreamEntry, spec: ServiceSpec | None
    ) -> bool:
        """Return whether an upstream ended, or restarted since its entry.

        An upstream that is unreachable, or closes the connection without a
        response, counts as ended. Any response shows that it is alive, and an
        engine's also shows its start time. A timeout on an open connection
        counts as alive too: a plain service lets the check wait while all its
        slots are in use.
        """
        plain = spec is not None and spec.engine is None
        path = spec.health_path if spec is not None and plain else PATH_REPORT
        sent_at = self._advisories.now()
        answer = await self._request(
            'GET', upstream.address, path, b'', _REPORT_TIMEOUT
        )
        match answer:
            case Failure(LinkBroke(timed_out=timed_out)):
                return not timed_out
            case Failure(NotSent()):
                return True
        if plain:
            answer.map(partial(self._record_health, upstream.upstream, sent_at))
            return False
        born = answer.bind(read_report).map(_read_born).value_or(0)
        return bool(born and upstream.born and born != upstream.born)

    def _record_health(
        self, upstream: str, sent_at: Millis, response: httpcore.Response
    ) -> None:
        """Record the advisory of a health response from this upstream."""
        values_by_name = {
            name.lower(): value for name, value in response.headers
        }
        if values_by_name.get(HEADER_INSTANCE.encode()) == upstream.encode():
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
                extensions=make_timeouts(timeout),
            )
        except HTTPCORE_NOT_SENT_ERRORS as error:
            return Failure(NotSent(format_error(error)))
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as late_error:
            timed_out = isinstance(late_error, httpcore.TimeoutException)
            return Failure(LinkBroke(format_error(late_error), timed_out))
        return Success(response)


def _read_born(report: EngineReport) -> Millis:
    return report.born


def _make_url(address: str, target: bytes) -> httpcore.URL:
    host, _, port = address.rpartition(':')
    return httpcore.URL(
        scheme=b'http', host=host.encode(), port=int(port), target=target
    )
