"""Direct connections to upstreams."""

from collections.abc import Mapping
from typing import Any

import httpcore

from cartdale.clock import Millis
from cartdale.detours.ports import RequestHandler
from cartdale.detours.types import BeforeSending, UpstreamRequest
from cartdale.transport import MAX_CONNECT_WAIT, make_timeouts

#: Maximum wait if another instance may carry the request instead.
SHORT_CONNECT_WAIT: Millis = 250
#: httpcore trace event: the connection is open and the request is sent next.
_BEFORE_SENDING = 'http11.send_request_headers.started'


class DirectTransport:
    """Send each request over a new connection.

    :param pool: makes the connections.
    """

    def __init__(self, pool: RequestHandler) -> None:
        self._pool = pool

    async def send(
        self,
        request: UpstreamRequest,
        before_sending: BeforeSending | None = None,
        connect_wait: Millis = MAX_CONNECT_WAIT,
    ) -> httpcore.Response:
        """Send a request and return its response, with the body unread.

        :raises httpcore.ConnectError: or another error of
            ``HTTPCORE_NOT_SENT_ERRORS`` if nothing was sent.
        """
        outgoing = httpcore.Request(
            request.method,
            _make_url(request),
            headers=request.headers,
            content=request.body,
            extensions=make_extensions(
                request.timeout, connect_wait, before_sending
            ),
        )
        return await self._pool.handle_async_request(outgoing)


class _SendTrace:
    """Trace callback of httpcore that calls back just before sending."""

    def __init__(self, before_sending: BeforeSending) -> None:
        self._before_sending = before_sending

    async def __call__(self, event: str, _: Mapping[str, Any]) -> None:
        """Handle a trace event of the connection; httpcore awaits each."""
        if event == _BEFORE_SENDING:
            await self._before_sending()


def make_extensions(
    timeout: Millis, connect_wait: Millis, before_sending: BeforeSending | None
) -> dict[str, Any]:
    """Return the request extensions that set timeouts and a callback.

    :param timeout: maximum wait for bytes; 0 for no bound.
    """
    extensions = make_timeouts(timeout, connect_wait)
    if before_sending is not None:
        extensions['trace'] = _SendTrace(before_sending)
    return extensions


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _make_url(request: UpstreamRequest) -> httpcore.URL:
    host, port = split_address(request.address)
    return httpcore.URL(
        scheme=b'http', host=host.encode(), port=port, target=request.target
    )
