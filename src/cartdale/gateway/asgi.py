"""Shapes of ASGI, and an answer written as its events."""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from cartdale.clock import Clock, Millis
from cartdale.relay.types import Headers

#: Names the kind of a scope or event.
TYPE: Final = 'type'

#: Events and scopes have the shapes that the ASGI specification gives.
AsgiEvent = dict[str, Any]
Receive = Callable[[], Awaitable[AsgiEvent]]
Send = Callable[[AsgiEvent], Awaitable[None]]


class AsgiSink:
    """Write an answer as ASGI events.

    :param leaving: tells whether the connection is to be closed after it.
    """

    def __init__(
        self, send: Send, leaving: Callable[[], bool], clock: Clock
    ) -> None:
        self._send = send
        self._leaving = leaving
        self._clock = clock
        self._made_at = clock.now()
        #: Whether the answer is written; the server then closes the exchange
        #: as if the caller had left.
        self.finished = False
        #: From the request's arrival to the head, in milliseconds.
        self.started_after: Millis = 0

    async def start(
        self, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Write the head.

        :param length: size of the body in bytes, if it is known.
        """
        self.started_after = self._clock.now() - self._made_at
        written = list(headers)
        if length is not None:
            written.append((b'content-length', str(length).encode()))
        if self._leaving():
            written.append((b'connection', b'close'))
        event = {
            TYPE: 'http.response.start',
            'status': status,
            'headers': written,
        }
        await self._send(event)

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body."""
        event = {
            TYPE: 'http.response.body',
            'body': chunk,
            'more_body': True,
        }
        await self._send(event)

    async def finish(self) -> None:
        """Mark the body as whole."""
        self.finished = True
        await self._send({TYPE: 'http.response.body', 'body': b''})


async def takes_request(scope: AsgiEvent, receive: Receive, send: Send) -> bool:
    """Tell whether a connection carries a request; serve its lifespan else."""
    if scope[TYPE] == 'lifespan':
        await _live(receive, send)
    return bool(scope[TYPE] == 'http')


async def answer_at_once(
    send: Send, status: int, headers: Headers = (), body: bytes = b''
) -> None:
    """Write an answer that is known as a whole."""
    length = (b'content-length', str(len(body)).encode())
    start = {
        TYPE: 'http.response.start',
        'status': status,
        'headers': [*headers, length],
    }
    await send(start)
    await send({TYPE: 'http.response.body', 'body': body})


async def _live(receive: Receive, send: Send) -> None:
    """Answer the server's events of start and stop."""
    while True:
        event = await receive()
        await send({TYPE: f'{event["type"]}.complete'})
        if event[TYPE] == 'lifespan.shutdown':
            return
