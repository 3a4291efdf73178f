"""Write an answer to a caller as the events of ASGI."""

from collections.abc import Callable

from cartdale.asgi import TYPE, Send
from cartdale.clock import Clock, Millis
from cartdale.relay.types import Headers


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

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write an answer that is known as a whole."""
        await self.start(status, headers, len(body))
        await self.write(body)
        await self.finish()

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
