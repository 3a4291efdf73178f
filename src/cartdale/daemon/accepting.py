"""Accept connections at once, and read them as there is processor time.

What was read goes first: a connection is read only when no other task has
anything to do. Without that, an instance that gets more connections than it
can serve reads them all and answers most too late, while those that it has not
accepted yet wait unseen in the system's queue.
"""

import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.daemon.spare_time import wait_for_spare_time

#: How long a connection may stay unread while more come than can be read.
#: Callers leave after a second or a third of their time, and some have little;
#: one that is closed unread leaves its caller the time for another instance.
MAX_UNREAD: Millis = 150
#: How long it may stay unread before that: many that come at once are read
#: later rather than turned away.
MAX_BURST: Millis = 500
#: Wait after a connection could not be accepted, as without descriptors.
_FAILED_WAIT: Millis = 100
#: Connections that wait at a time; the oldest one gives way.
_MAX_WAITING = 512

ServeStream = Callable[[trio.SocketStream], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _Unread:
    """A connection of which nothing was read."""

    connection: socket.socket
    accepted_at: Millis


class ConnectionQueue:
    """Hold accepted connections until there is time to read them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: deque[_Unread] = deque()
        self._arrived = trio.Event()
        #: Whether more come than can be read.
        self._overloaded = False
        self._closed_at: Millis = 0
        self._read_at: Millis = 0
        self._logged = 0
        self._logged_at: Millis = 0
        #: Connections that were closed unread since the start.
        self.closed = 0

    async def accept(self, listener: socket.socket) -> None:
        """Accept all connections as they come, for ever."""
        while True:
            await trio.lowlevel.wait_readable(listener)
            try:
                self._accept_all(listener)
            except OSError as error:
                logger.warning('connection not accepted', errno=error.errno)
                await trio.sleep(as_seconds(_FAILED_WAIT))

    async def serve(
        self, serve_stream: ServeStream, nursery: trio.Nursery
    ) -> None:
        """Pass connections on as there is time, for ever.

        However busy the loop is, one is read now and then: all instances may
        be as busy.
        """
        while True:
            if not self._waiting:
                self._arrived = trio.Event()
                await self._arrived.wait()
                self._update_overload()
            spare = await self._wait_for_spare_time()
            now = self._clock.now()
            if not self._waiting:
                continue
            if spare or now >= self._read_at + MAX_UNREAD:
                self._read_at = now
                nursery.start_soon(serve_stream, self._pop())
            self._close_expired(now)

    def close_waiting(self) -> None:
        """Close all connections that are unread."""
        while self._waiting:
            self._close_oldest()

    async def _wait_for_spare_time(self) -> bool:
        """Return whether there is time before the oldest one expires."""
        waited = self._clock.now() - self._waiting[0].accepted_at
        left = self._limit() - waited
        with trio.move_on_after(as_seconds(max(left, 0))):
            await wait_for_spare_time()
            return True
        return False

    def _pop(self) -> trio.SocketStream:
        """Return the next connection to read.

        While more come than can be read the newest goes first: the callers of
        the others have less time left, and are better served elsewhere.
        """
        if self._overloaded:
            connection = self._waiting.pop().connection
        else:
            connection = self._waiting.popleft().connection
        return trio.SocketStream(trio.socket.from_stdlib_socket(connection))

    def _limit(self) -> Millis:
        return MAX_UNREAD if self._overloaded else MAX_BURST

    def _update_overload(self) -> None:
        """End it once the queue was empty and none was closed lately."""
        if self._clock.now() > self._closed_at + SECOND_MS:
            self._overloaded = False

    def _accept_all(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            connection.setblocking(False)
            self._waiting.append(_Unread(connection, self._clock.now()))
            self._arrived.set()
            if len(self._waiting) > _MAX_WAITING:
                self._close_oldest()

    def _close_expired(self, now: Millis) -> None:
        while self._waiting:
            if now < self._waiting[0].accepted_at + self._limit():
                break
            self._close_oldest()
            self._overloaded = True
            self._closed_at = now
        if self.closed > self._logged and now >= self._logged_at + SECOND_MS:
            logger.warning(
                'connections closed unread',
                closed=self.closed - self._logged,
                waiting=len(self._waiting),
            )
            self._logged = self.closed
            self._logged_at = now

    def _close_oldest(self) -> None:
        self._waiting.popleft().connection.close()
        self.closed += 1
