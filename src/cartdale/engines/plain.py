"""Adapter to plain services over HTTP."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType

import httpx
import trio
from returns.result import Failure, Result, Success

from cartdale.client_transport import HTTPX_NOT_SENT_ERRORS, send_traced
from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.engines.http import find_backoff
from cartdale.engines.types import (
    EngineFailure,
    EngineRefused,
    EngineUnreachable,
    LinkLost,
)
from cartdale.formatting import format_error
from cartdale.relay.end_proof import PLAIN_SETTLES

HEADER_FENCE = 'X-Fence'
HEADER_KEY = 'Idempotency-Key'
#: Statuses by which a plain service says that it did not run a request.
_REFUSALS = frozenset(
    (
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
#: Longest wait for a connection that only shows whether there is one.
_CONNECT_TIMEOUT: Millis = SECOND_MS // 2
#: One that is still open after so long is served.
_CLOSED_WITHIN: Millis = 50
_PORTS_BY_SCHEME = MappingProxyType({'http': 80, 'https': 443})
#: Headers that delimit a body.
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_PASSED_ON = ('content-type', 'accept')


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """Carry a call to a plain service.

    :param path: path and query behind the service's name.
    :param fence: epoch for services that check it; 0 for none.
    """

    method: str
    path: str
    body: bytes
    headers_by_name: Mapping[str, str]
    key: str = ''
    fence: int = 0


@dataclass(frozen=True, slots=True)
class PlainResponse:
    """Carry the answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService:
    """Call one upstream of a plain service.

    :param client: client shared by all upstreams.
    :param timeout: longest wait for the whole answer.
    """

    def __init__(
        self, client: httpx.AsyncClient, address: str, timeout: Millis
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = as_seconds(timeout)

    async def call(
        self, asked: PlainRequest
    ) -> Result[PlainResponse, EngineFailure]:
        """Make one attempt."""
        outgoing = self._client.build_request(
            asked.method,
            f'{self._address}/{asked.path}',
            content=asked.body,
            headers=_select_headers(asked),
            timeout=self._timeout,
        )
        try:
            response = await send_traced(self._client, outgoing)
        except HTTPX_NOT_SENT_ERRORS as error:
            return Failure(EngineUnreachable(format_error(error)))
        except httpx.HTTPError as late_error:
            return Failure(LinkLost(format_error(late_error)))
        if response.status_code in _REFUSALS:
            backoff = find_backoff(response)
            return Failure(EngineRefused(response.status_code, backoff))
        if _is_unframed(response) and not await self._serves_on():
            return Failure(LinkLost('ended without proof of its end'))
        return Success(
            PlainResponse(
                response.status_code,
                response.headers.get('content-type', ''),
                response.content,
            ),
        )

    async def is_unreachable(self) -> bool:
        """Tell whether the service takes no connections, or ends each."""
        url = httpx.URL(self._address)
        port = url.port or _PORTS_BY_SCHEME[url.scheme]
        try:
            with trio.fail_after(as_seconds(_CONNECT_TIMEOUT)):
                stream = await trio.open_tcp_stream(url.host, port)
        except (OSError, trio.TooSlowError):
            return True
        async with stream:
            with trio.move_on_after(as_seconds(_CLOSED_WITHIN)):
                return await _is_closed(stream)
        return False

    async def _serves_on(self) -> bool:
        """Tell whether the service takes connections, and some time later too.

        One that shuts down closes its answers before its process ends.
        """
        if await self.is_unreachable():
            return False
        await trio.sleep(as_seconds(PLAIN_SETTLES))
        return not await self.is_unreachable()


def _is_unframed(response: httpx.Response) -> bool:
    """Tell whether a body ends with its connection, as a part of it would."""
    if response.status_code in _WITHOUT_BODY:
        return False
    return _FRAMING_HEADERS.isdisjoint(response.headers)


async def _is_closed(stream: trio.SocketStream) -> bool:
    """Wait until the other end closes or says something."""
    try:
        return not await stream.receive_some(1)
    except trio.BrokenResourceError:
        return True


def _select_headers(asked: PlainRequest) -> dict[str, str]:
    headers = {
        name: value
        for name, value in asked.headers_by_name.items()
        if name.lower() in _PASSED_ON
    }
    if asked.key:
        headers[HEADER_KEY] = asked.key
    if asked.fence:
        headers[HEADER_FENCE] = str(asked.fence)
    return headers
