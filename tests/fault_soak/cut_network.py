"""A network that loses paths to upstreams when a file says so.

The file holds the way of a cut and the ports of the upstreams that are cut off.
"""

import json
from math import inf
from pathlib import Path
from typing import Any

import httpcore
import trio

SILENT = 'silent'
RESET = 'reset'
#: Between looks at the file while a connection is read.
_LOOK_SECONDS = 0.05


class Cuts:
    """Read which paths are cut.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path

    def find(self, port: int) -> str:
        """Return the way in which the path to a port is cut; empty for none."""
        try:
            cut = json.loads(self._path.read_text())
        except (OSError, ValueError):
            return ''
        return cut['way'] if port in cut['ports'] else ''


class CutStream(httpcore.AsyncNetworkStream):
    """A connection that a cut silences or resets."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, cuts: Cuts, port: int
    ) -> None:
        self._stream = stream
        self._cuts = cuts
        self._port = port

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        with trio.move_on_after(inf if timeout is None else timeout):
            while True:
                await self._pass()
                with trio.move_on_after(_LOOK_SECONDS):
                    return await self._stream.read(max_bytes)
        raise httpcore.ReadTimeout('nothing to read')

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        with trio.move_on_after(inf if timeout is None else timeout):
            await self._pass()
            await self._stream.write(buffer)
            return
        raise httpcore.WriteTimeout('nothing can be written')

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(self, *options: Any) -> httpcore.AsyncNetworkStream:
        return await self._stream.start_tls(*options)

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)

    async def _pass(self) -> None:
        """Wait while the path is silent."""
        while self._cuts.find(self._port) == SILENT:
            await trio.sleep(_LOOK_SECONDS)
        if self._cuts.find(self._port) == RESET:
            raise httpcore.ReadError('reset by a cut')


def install(cuts: Cuts) -> None:
    """Let new connections obey the cuts."""
    connect = httpcore.TrioBackend.connect_tcp

    async def connect_tcp(
        backend: httpcore.TrioBackend,
        host: str,
        port: int,
        timeout: float | None = None,
        **options: Any,
    ) -> httpcore.AsyncNetworkStream:
        way = cuts.find(port)
        if way == SILENT:
            await trio.sleep(inf if timeout is None else timeout)
            raise httpcore.ConnectTimeout
        if way:
            raise httpcore.ConnectError('refused by a cut')
        opened = await connect(backend, host, port, timeout, **options)
        return CutStream(opened, cuts, port)

    httpcore.TrioBackend.connect_tcp = connect_tcp
