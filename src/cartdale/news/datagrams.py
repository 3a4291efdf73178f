"""Datagrams of news over UDP."""

import socket

import trio

from cartdale.news.types import PeerEntry

_LARGEST_DATAGRAM = 65507


class SocketDatagrams:
    """Exchange datagrams over one bound socket.

    :param bound: where peers send to.
    """

    def __init__(self, bound: socket.socket) -> None:
        bound.setblocking(False)
        self._bound = bound
        self._reader = trio.socket.from_stdlib_socket(bound)

    def send(self, raw: bytes, peer: PeerEntry) -> None:
        """Send a message without waiting.

        :raises OSError: when it can't be sent now; a full buffer included.
        """
        self._bound.sendto(raw, (peer.address, peer.port))

    async def receive(self) -> bytes:
        """Wait for a message.

        :raises OSError: when the network told of a failed one instead.
        """
        raw, _ = await self._reader.recvfrom(_LARGEST_DATAGRAM)
        return raw
