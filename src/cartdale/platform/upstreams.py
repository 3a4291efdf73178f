"""Adapter to the platform's upstreams: plain services and engines.

Every request goes over a connection of its own: an upstream may send late
answers, forget idle connections and reset old ones, and a new connection
costs less than telling these apart.
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
from cartdale.platform.pools import limit_time, make_pool
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

#: Tells that a connection is up and the request is sent next.
_BEFORE_SENDING = 'http11.send_request_headers.started'
#: Longest wait for a report.
_REPORT_TIMEOUT: Millis = 500


class _WithheldError(Exception):
    """Stop a request before anything of it is sent."""


class _SendGuard:
    """Stop a request just before it is sent, if it must not be any more."""

    def __init__(
        self, advisories: AdvisoryRecorder, call: UpstreamCall
    ) -> None:
        self._advisories = advisories
        self._call = call
        #: When it was sent, in monotonic milliseconds.
        self.sent_at: Millis = 0

    async def __call__(self, event: str, _: Mapping[str, Any]) -> None:
        """Take an event of the connection; httpcore awaits each."""
        if event != _BEFORE_SENDING:
            return
        resumes = self._call.resume is not None
        if self._advisories.must_withhold(
            self._call.upstream.upstream, resumes=resumes
        ):
            raise _WithheldError
        self.sent_at = self._advisories.now()


class PlatformUpstreams:
    """Reach upstreams over HTTP.

    :param advisories: takes what upstreams say of themselves.
    """

    def __init__(self, advisories: AdvisoryRecorder) -> None:
        self._advisories = advisories
        self._pool = make_pool(most_kept=0)

    @asynccontextmanager
    async def open(
        self, call: UpstreamCall
    ) -> AsyncIterator[Result[OpenedResponse, SendFailure]]:
        """Send a request and read the head of its answer."""
        request = call.routed.request
        guard = _SendGuard(self._advisories, call)
        outgoing = httpcore.Request(
            request.method,
            _make_url(call.upstream.address, request.target),
            headers=write_headers(call),
            content=request.body,
            extensions={**limit_time(None), 'trace': guard},
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
            # It may be another's answer, which says nothing by its silence.
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
        order = CopyRequest(copy.request_id, copy.target, copy.last)
        answer = await self._ask(
            'POST',
            copy.source,
            PATH_MOVE,
            msgspec.json.encode(order),
            copy.timeout,
        )
        match answer:
            case Success(response):
                return read_copy(response)
            case Failure(NotSent()):
                return Failure(CopyFailed(CopyFault.UNREACHABLE))
        return Failure(CopyFailed(CopyFault.NO_ANSWER))

    async def release_copy(self, address: str, handle: str) -> None:
        """Free a copy that is not needed."""
        await self._ask(
            'DELETE', address, f'{PATH_HANDLE}{handle}', b'', _REPORT_TIMEOUT
        )

    async def report(self, address: str) -> Result[EngineReport, SendFailure]:
        """Read what an engine holds."""
        answer = await self._ask(
            'GET', address, PATH_REPORT, b'', _REPORT_TIMEOUT
        )
        return answer.bind(read_report)

    async def is_gone(
        self, upstream: UpstreamEntry, spec: ServiceSpec | None
    ) -> bool:
        """Tell whether an upstream ended, or started anew since its entry.

        One that can't be reached, or that closes without a word, counts as
        ended. An answer of any kind shows that it lives, and an engine's also
        when it was born; so does a connection that is kept: a plain service
        lets the question wait while all its slots are taken.
        """
        plain = spec is not None and spec.engine is None
        path = spec.health_path if spec is not None and plain else PATH_REPORT
        asked_at = self._advisories.now()
        answer = await self._ask(
            'GET', upstream.address, path, b'', _REPORT_TIMEOUT
        )
        match answer:
            case Failure(LinkBroke(timed_out=timed_out)):
                return not timed_out
            case Failure(NotSent()):
                return True
        if plain:
            answer.map(partial(self._hear_health, upstream.upstream, asked_at))
            return False
        born = answer.bind(read_report).map(_read_born).value_or(0)
        return bool(born and upstream.born and born != upstream.born)

    def _hear_health(
        self, upstream: str, asked_at: Millis, response: httpcore.Response
    ) -> None:
        """Take what a health answer says, if this upstream gave it."""
        named = {name.lower(): value for name, value in response.headers}
        if named.get(HEADER_INSTANCE.encode()) == upstream.encode():
            # Whether these answers name limits at all is not known.
            advisory = read_advisory(response).without_absence()
            self._advisories.record(upstream, advisory, '', asked_at)

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
                extensions=limit_time(timeout),
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
