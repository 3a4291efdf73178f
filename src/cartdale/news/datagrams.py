"""UDP transport for news datagrams."""

import errno
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from cartdale.news.types import PeerEntry

_LARGEST_DATAGRAM = 65507
#: Most messages that are read at once, so that other tasks get their turn.
_MAX_READ_AT_ONCE = 32


class SocketDatagrams:
    """Exchange datagrams over one bound socket.

    :param bound: socket whose address peers send to; ``None`` if it could not
        be bound yet.
    :param bind: binds one later. Until then nothing is sent either: who hears
        nothing must not hold a role for others.
    """

    def __init__(
        self,
        bound: socket.socket | None,
        bind: Callable[[], Awaitable[socket.socket]] = trio.sleep_forever,
    ) -> None:
        self._bound = bound
        self._bind = bind
        if bound is not None:
            bound.setblocking(False)
        #: Messages that were read and not yet returned.
        self._received: deque[bytes] = deque()

    @property
    def is_bound(self) -> bool:
        """Return whether messages of peers arrive."""
        return self._bound is not None

    def send(self, raw: bytes, peer: PeerEntry) -> None:
        """Send a message without blocking.

        :raises OSError: if it can't be sent now, for example because the send
            buffer is full, or if the peer's address can't be one.
        """
        if self._bound is None:
            return
        try:
            # A name would be looked up, which blocks the loop.
            socket.inet_pton(socket.AF_INET, peer.address)
            self._bound.sendto(raw, (peer.address, peer.port))
        except (OverflowError, ValueError) as error:
            raise OSError(errno.EINVAL, 'not an address') from error

    async def receive(self) -> bytes:
        """Wait for a message.

        :raises OSError: if the network reports the failure of an earlier send
            instead.
        """
        if self._bound is None:
            self._bound = await self._bind()
            self._bound.setblocking(False)
        while not self._received:
            await trio.lowlevel.wait_readable(self._bound)
            self._read_waiting(self._bound)
        return self._received.popleft()

    def _read_waiting(self, bound: socket.socket) -> None:
        """Read all messages that wait, in one turn of the loop."""
        with suppress(BlockingIOError):
            for _ in range(_MAX_READ_AT_ONCE):
                self._received.append(bound.recv(_LARGEST_DATAGRAM))
