"""Answer the balancer's question whether to send connections here."""

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
    """Answer 200 on one path while the instance takes new connections.

    :param path: where the balancer asks.
    :param ready: tells whether it does.
    """

    def __init__(self, path: str, ready: Callable[[], bool]) -> None:
        self._path = path
        self._ready = ready

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Answer one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        status = HTTPStatus.NOT_FOUND
        if scope['path'] == self._path:
            ready = self._ready()
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await send_response(send, int(status))
