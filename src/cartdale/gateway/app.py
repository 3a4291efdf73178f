"""Serve callers' requests over HTTP.

This is a bare ASGI application: a framework would cost more per event than
forwarding the event does.
"""

from http import HTTPStatus

from cartdale.asgi import (
    AsgiEvent,
    Receive,
    Send,
    accept_http_request,
    send_response,
)
from cartdale.failures import log_failure
from cartdale.gateway.exchange import FAILED_WAIT, Exchange
from cartdale.gateway.ports import GatewayPorts
from cartdale.supervision import contain


class GatewayApp:
    """ASGI application that serves callers' requests."""

    def __init__(self, ports: GatewayPorts) -> None:
        self._ports = ports
        #: Requests in progress; those that were logged as cut are left out.
        self._running: set[Exchange] = set()

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        try:
            exchange = Exchange(self._ports, scope, receive, send)
        except Exception as error:
            log_failure('request failed', error, request='')
            await self._refuse_unread(send)
            return
        self._running.add(exchange)
        try:
            await exchange.answer()
        except BaseException as error:
            await self._end_failed(exchange, error)
            raise
        finally:
            self._running.discard(exchange)

    def log_cuts(self) -> None:
        """Log that all requests in progress are cut, just before they are.

        Their own ends may take long, as of writes that nobody reads.
        """
        for exchange in tuple(self._running):
            exchange.log_cut()
        self._running.clear()

    async def _end_failed(
        self, exchange: Exchange, error: BaseException
    ) -> None:
        """Log why a request ended, and answer it if the error is our own."""
        failure = _find_failure(error)
        if failure is None:
            if exchange in self._running:
                exchange.log_cut()
            return
        log_failure('request failed', failure, request=exchange.request_id)
        with contain('answers to failed requests', request=exchange.request_id):
            await exchange.answer_failure()

    async def _refuse_unread(self, send: Send) -> None:
        """Refuse a request whose head can't be read: it did not run."""
        status = HTTPStatus.SERVICE_UNAVAILABLE
        headers = self._ports.wire.write_refusal(status, FAILED_WAIT)
        await send_response(send, status, headers)


def _find_failure(error: BaseException) -> Exception | None:
    """Return what of an error is no cancellation; ``None`` for nothing."""
    match error:
        case Exception():
            return error
        case BaseExceptionGroup():
            return error.subgroup(Exception)
        case _:
            return None
