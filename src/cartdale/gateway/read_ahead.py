"""Write a response to a caller who may read it slowly.

What the caller has not read yet is held here, as far as the account of the
instance bears it, so that its upstream is read meanwhile.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.gateway.sink import AsgiSink, Streaming
from cartdale.pressure.driver import Account
from cartdale.pressure.types import HeldBytes
from cartdale.problems.types import Problem
from cartdale.relay.stream import StreamEnd
from cartdale.relay.types import Headers

#: Bytes sent at once: so small that a slow caller is seen to read.
_PIECE = 16384
#: The system takes responses of this size at once, whoever reads.
_AT_ONCE = 4096


class ReadAheadSink:
    """Writer of one response, ahead of its caller.

    :param sink: sends what is due.
    """

    def __init__(
        self, sink: AsgiSink, account: Account, request_id: str, clock: Clock
    ) -> None:
        self._sink = sink
        self._account = account
        self._request_id = request_id
        self._clock = clock
        #: Writes the stream that is carried; ``None`` while there is none.
        self._writer: _Writer | None = None

    @property
    def started(self) -> bool:
        """Tell whether the head was sent."""
        return self._sink.started

    @property
    def finished(self) -> bool:
        """Tell whether the response is complete."""
        return self._sink.finished

    @property
    def started_after(self) -> Millis:
        """Return the time from the request's arrival to the head."""
        return self._sink.started_after

    async def start(
        self, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Write the head."""
        await self._sink.start(status, headers, length)

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body; wait while there is no room for it."""
        if self._writer is None:
            await self._sink.write(chunk)
            return
        await self._writer.take(chunk)

    async def finish(self) -> None:
        """Take the end of the body; it is sent after all that waits."""
        if self._writer is None:
            await self._sink.finish()
            return
        self._writer.end()

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        if len(body) <= _AT_ONCE:
            await self._sink.answer(status, headers, body)
            return
        await self._sink.start(status, headers, len(body))
        if self._writer is not None:
            self._writer.take_whole(body)
            return
        with self._open_writer() as writer:
            writer.take_whole(body)
            await writer.drain()

    async def carry(
        self, stream: Streaming, ends_at: Millis
    ) -> Result[StreamEnd, Problem]:
        """Return how a stream ended, once its caller was sent all of it.

        :param ends_at: time limit of the request.
        """
        with self._open_writer() as writer:
            self._writer = writer
            streamed = await stream()
            self._writer = None
            if isinstance(streamed, Failure):
                return streamed
            left = as_seconds(max(ends_at - self._clock.now(), 0))
            with trio.move_on_after(left):
                await writer.drain()
                return streamed
            writer.give_up()
        return Success(StreamEnd.CUT)

    @contextmanager
    def _open_writer(self) -> Iterator['_Writer']:
        """Account for the response; the context ends early if it gives way."""
        account = self._account
        scope = trio.CancelScope()
        opened = account.open_response(self._request_id, scope.cancel)
        with opened as held, scope:
            with _Writer(self._sink, account, held) as writer:
                yield writer


class _Writer:
    """Send what waits, piece by piece, in a task of its own.

    The server shields what it sends from cancellation, so that the task ends
    with the current piece, or when the server closes the connection.
    """

    def __init__(
        self, sink: AsgiSink, account: Account, held: HeldBytes
    ) -> None:
        self._sink = sink
        self._account = account
        self._held = held
        self._waiting = bytearray()
        self._ended = False
        self._stopped = False
        self._failure: Exception | None = None
        #: Where the task waits for something to do; empty while it works.
        self._pause = trio.lowlevel.ParkingLot()
        #: Set while all that was taken has been sent.
        self._idle = trio.Event()

    def __enter__(self) -> '_Writer':
        """Start."""
        self._account.start_writer(self._run)
        return self

    def __exit__(self, *error: object) -> None:
        """Stop, and drop what still waits: it counts no longer as held."""
        self._stopped = True
        self._waiting.clear()
        self._pause.unpark()

    async def take(self, chunk: bytes) -> None:
        """Take bytes; wait while there is no room for them."""
        await self._account.hold_response(self._held, len(chunk))
        self._raise_failure()
        self._append(chunk)

    def take_whole(self, body: bytes) -> None:
        """Take bytes that are held already, and the end."""
        self._account.hold_whole(self._held, len(body))
        self._append(body)
        self.end()

    def end(self) -> None:
        """Take the end, which is sent after all that waits."""
        self._ended = True
        self._wake()

    def give_up(self) -> None:
        """Note that the caller did not read in its time."""
        self._account.note_unfinished(self._held)

    async def drain(self) -> None:
        """Return once all that was taken has been sent."""
        self._raise_failure()
        while self._waiting or not self._idle.is_set():
            await self._idle.wait()
            self._raise_failure()

    def _append(self, chunk: bytes) -> None:
        self._waiting += chunk
        self._wake()

    def _wake(self) -> None:
        # Once sending has failed, nobody would set another event.
        if self._idle.is_set() and self._failure is None:
            self._idle = trio.Event()
        self._pause.unpark()

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise self._failure

    async def _run(self) -> None:
        try:
            await self._send_all()
        except Exception as error:
            # Raised again where the request is handled, which logs it.
            self._failure = error
            if self._stopped:
                logger.warning(
                    'response not sent',
                    request=self._held.request_id,
                    error=type(error).__name__,
                    detail=str(error),
                )
            self._waiting.clear()
            self._account.release_response(self._held, self._held.count)
        self._idle.set()

    async def _send_all(self) -> None:
        while not self._stopped:
            if self._waiting:
                await self._send_piece()
                continue
            if self._ended:
                await self._sink.finish()
                return
            self._idle.set()
            await self._pause.park()

    async def _send_piece(self) -> None:
        piece = bytes(self._waiting[:_PIECE])
        del self._waiting[: len(piece)]  # noqa: WPS420
        await self._sink.write(piece)
        self._account.release_response(self._held, len(piece))
