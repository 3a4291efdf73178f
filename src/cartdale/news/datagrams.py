"""UDP transport for news datagrams."""

import socket

import trio

from cartdale.news.types import PeerEntry

_LARGEST_DATAGRAM = 65507


class SocketDatagrams:
    """Exchange datagrams over one bound socket.

    :param bound: socket whose address peers send to.
    """

    def __init__(self, bound: socket.socket) -> None:
        bound.setblocking(False)
        self._bound = bound
        self._reader = trio.socket.from_stdlib_socket(bound)

    def send(self, raw: bytes, peer: PeerEntry) -> None:
        """Send a message without blocking.

        :raises OSError: if it can't be sent now, for example because the send
            buffer is full.
        """
        self._bound.sendto(raw, (peer.address, peer.port))

    async def receive(self) -> bytes:
        """Wait for a message.

        :raises OSError: if the network reports the failure of an earlier send
            instead.
        """
        raw, _ = await self._reader.recvfrom(_LARGEST_DATAGRAM)
        return raw
