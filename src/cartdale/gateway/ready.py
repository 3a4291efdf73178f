"""Answer the balancer's question whether to send connections here."""

from collections.abc import Callable
from http import HTTPStatus

from cartdale.gateway.asgi import TYPE, AsgiEvent, Receive, Send, live


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
        if scope[TYPE] == 'lifespan':
            await live(receive, send)
            return
        if scope[TYPE] != 'http':
            return
        status = HTTPStatus.NOT_FOUND
        if scope['path'] == self._path:
            ready = self._ready()
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        start = {
            TYPE: 'http.response.start',
            'status': int(status),
            'headers': [(b'content-length', b'0')],
        }
        await send(start)
        await send({TYPE: 'http.response.body', 'body': b''})
