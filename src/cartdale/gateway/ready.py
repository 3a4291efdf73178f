"""Readiness endpoint for the load balancer."""

from collections.abc import Callable
from http import HTTPStatus

from cartdale.asgi import (
    AsgiEvent,
    Receive,
    Send,
    accept_http_request,
    send_response,
)


class ReadyApp:
    """ASGI application that responds 200 while new connections are accepted.

    :param path: path that the load balancer polls; others get 404.
    :param ready: returns whether the instance accepts new connections.
    """

    def __init__(self, path: str, ready: Callable[[], bool]) -> None:
        self._path = path
        self._ready = ready

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        status = HTTPStatus.NOT_FOUND
        if scope['path'] == self._path:
            ready = self._ready()
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await send_response(send, int(status))
