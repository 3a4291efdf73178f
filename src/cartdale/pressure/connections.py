"""Connections to upstreams that may read slowly.

A connection is closed as dead if its peer acknowledges nothing for a while. The
system counts a peer that is alive and does not read, as soon as its window is
full, in the same way.
"""

import socket
from collections.abc import Iterable
from typing import Any

import httpcore
import trio
from loguru import logger

from cartdale.clock import SECOND_MS

#: What a receiver takes whether it reads or not: the least usual window.
_ALWAYS_TAKEN = 65535
_TIMEOUT_OPTION = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


class PatientBackend(httpcore.AsyncNetworkBackend):
    """Open connections that bear a peer that reads a body slowly."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(
            host=host,
            port=port,
            timeout=timeout,
            local_address=local_address,
            socket_options=socket_options,
        )
        return PatientStream(stream, f'{host}:{port}')


class PatientStream(httpcore.AsyncNetworkStream):
    """Bear a peer that reads slowly while it may have a body to read.

    Beyond that, the connection's own bound holds: a peer that has sent
    something of its response has read the request.

    :param address: ``IP:PORT`` of the peer.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, address: str
    ) -> None:
        self._stream = stream
        self._address = address
        #: The connection's bound; ``None`` while it is in force.
        self._bound: int | None = None
        self._sent = 0
        #: When the body began to be sent, in seconds of the loop.
        self._began_at = trio.current_time()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes."""
        received = await self._stream.read(max_bytes, timeout)
        if self._bound is not None:
            self._note_read(self._bound)
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes, however long the peer takes to read them."""
        if len(buffer) > _ALWAYS_TAKEN and self._bound is None:
            self._bound = self._socket.getsockopt(*_TIMEOUT_OPTION)
            self._set_bound(0)
            self._sent = len(buffer)
            self._began_at = trio.current_time()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, kind: str) -> Any:
        """Return what the connection tells of itself."""
        return self._stream.get_extra_info(kind)

    def _note_read(self, bound: int) -> None:
        """Note that the peer has read the body."""
        self._set_bound(bound)
        self._bound = None
        took = int((trio.current_time() - self._began_at) * SECOND_MS)
        if took >= bound:
            logger.info(
                'upstream slow to read or answer',
                address=self._address,
                size=self._sent,
                took=took,
            )

    @property
    def _socket(self) -> Any:
        return self._stream.get_extra_info('socket')

    def _set_bound(self, bound: int) -> None:
        self._socket.setsockopt(*_TIMEOUT_OPTION, bound)
