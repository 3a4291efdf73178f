"""Direct connections to upstreams."""

import httpcore

from cartdale.clock import Millis
from cartdale.detours.guard import UnwritableError
from cartdale.detours.ports import RequestHandler, SendObserver
from cartdale.detours.types import UpstreamRequest
from cartdale.formatting import format_error
from cartdale.statuses import check_final
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    MAX_CONNECT_WAIT,
    MIN_CONNECT_WAIT,
    SendTrace,
    find_unwritable,
    make_timeouts,
)

#: Maximum wait if another instance may carry the request instead.
SHORT_CONNECT_WAIT: Millis = MIN_CONNECT_WAIT


class DirectTransport:
    """Send each request over a new connection.

    :param pool: makes the connections.
    """

    def __init__(self, pool: RequestHandler) -> None:
        self._pool = pool

    async def send(
        self,
        request: UpstreamRequest,
        observer: SendObserver | None = None,
        connect_wait: Millis = MAX_CONNECT_WAIT,
        *,
        through: str = '',
    ) -> httpcore.Response:
        """Send a request and return its response, with the body unread.

        :param through: without effect: there is no other instance.
        :raises httpcore.ConnectError: or another error of
            ``HTTPCORE_NOT_SENT_ERRORS`` if nothing was sent.
        :raises httpcore.RemoteProtocolError: if it is answered with what is no
            status of a final response.
        :raises UnwritableError: if the request can be sent to nobody.
        """
        outgoing = _make_outgoing(request)
        timeouts = make_timeouts(request.timeout, connect_wait)
        outgoing.extensions.update(timeouts)
        response = await send_observed(self._pool, outgoing, observer)
        try:
            check_final(response)
        except httpcore.RemoteProtocolError:
            await response.aclose()
            raise
        return response


async def send_observed(
    pool: RequestHandler,
    request: httpcore.Request,
    observer: SendObserver | None,
) -> httpcore.Response:
    """Send a request over a new connection.

    An error that stands for a request which was not sent is passed on only if
    the request was not about to leave.

    :raises httpcore.ConnectError: or another error of
        ``HTTPCORE_NOT_SENT_ERRORS`` if nothing was sent.
    :raises UnwritableError: if the request can be sent to nobody.
    """
    try:
        return await _send_observed(pool, request, observer)
    except httpcore.LocalProtocolError as error:
        part = find_unwritable(request)
        if not part:
            raise
        if observer is not None:
            observer.retract()
        raise UnwritableError(part) from error


async def _send_observed(
    pool: RequestHandler,
    request: httpcore.Request,
    observer: SendObserver | None,
) -> httpcore.Response:
    if observer is None:
        return await pool.handle_async_request(request)
    trace = SendTrace(observer)
    request.extensions['trace'] = trace
    try:
        return await pool.handle_async_request(request)
    except HTTPCORE_NOT_SENT_ERRORS as error:
        if trace.began:
            raise httpcore.WriteError(format_error(error)) from error
        raise


def check_writable(request: UpstreamRequest) -> None:
    """Check that a request can be written, before others are asked to.

    :raises UnwritableError: if it can't.
    """
    part = find_unwritable(_make_outgoing(request))
    if part:
        raise UnwritableError(part)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _make_outgoing(request: UpstreamRequest) -> httpcore.Request:
    return httpcore.Request(
        request.method,
        _make_url(request),
        headers=request.headers,
        content=request.body,
    )


def _make_url(request: UpstreamRequest) -> httpcore.URL:
    host, port = split_address(request.address)
    return httpcore.URL(
        scheme=b'http', host=host.encode(), port=port, target=request.target
    )
