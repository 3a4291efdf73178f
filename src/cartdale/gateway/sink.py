"""Write a response to a caller as ASGI events."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, nullcontext
from typing import Final

import trio
from returns.result import Result

from cartdale.asgi import TYPE, Send
from cartdale.clock import Clock, Millis
from cartdale.pressure.driver import Account
from cartdale.problems.types import Problem
from cartdale.relay.stream import StreamEnd
from cartdale.relay.types import Headers

#: Smaller parts are not counted as held: there is one for each response.
_COUNTED_FROM: Final = 8192
#: Streams a response to a sink, and returns how that ended.
Streaming = Callable[[], Awaitable[Result[StreamEnd, Problem]]]


class AsgiSink:
    """Writer of one response as ASGI events.

    :param leaving: returns whether to close the connection after the response.
    :param account: counts what is written as held; ``None`` if nothing bounds
        that, or if it is counted elsewhere.
    """

    def __init__(
        self,
        send: Send,
        leaving: Callable[[], bool],
        clock: Clock,
        account: Account | None = None,
    ) -> None:
        self._send = send
        self._account = account
        self._leaving = leaving
        self._clock = clock
        self._created_at = clock.now()
        #: Whether the head is being sent, or was.
        self.started = False
        #: Whether the response is complete; the server then signals a
        #: disconnect, as if the caller had left.
        self.finished = False
        #: Time from the request's arrival to the head, in milliseconds.
        self.started_after: Millis = 0

    async def start(
        self, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Write the head.

        :param length: size of the body in bytes, if known.
        """
        self.started_after = self._clock.now() - self._created_at
        response_headers = list(headers)
        if length is not None:
            response_headers.append((b'content-length', str(length).encode()))
        if self._leaving():
            response_headers.append((b'connection', b'close'))
        event = {
            TYPE: 'http.response.start',
            'status': status,
            'headers': response_headers,
        }
        # The end of a stop answers what it cancels, unless that has started.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.started = True
        await self._send(event)

    async def carry(
        self, stream: Streaming, ends_at: Millis
    ) -> Result[StreamEnd, Problem]:
        """Return how a stream ended, once its caller was sent all of it.

        :param ends_at: time limit of the request.
        """
        return await stream()

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
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
        with self._hold_written(len(chunk)):
            await self._send(event)

    async def finish(self) -> None:
        """Mark the body as complete."""
        self.finished = True
        await self._send({TYPE: 'http.response.body', 'body': b''})

    def _hold_written(self, size: int) -> AbstractContextManager[None]:
        if self._account is None or size < _COUNTED_FROM:
            return nullcontext()
        return self._account.hold_written(size)
