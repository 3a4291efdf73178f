"""Cut single instances of a stage from upstreams that others reach.

All instances of a stage share one process, so that a connection is told apart
by the instance whose task opens it.
"""

from collections import defaultdict
from contextvars import ContextVar
from enum import StrEnum
from math import inf
from typing import Any

import httpcore
import pytest
import trio

#: Name of the instance whose task this is; empty outside of instances.
OWN_INSTANCE: ContextVar[str] = ContextVar('OWN_INSTANCE', default='')


class CutWay(StrEnum):
    """What happens to the connections of an instance that is cut."""

    #: Packets are lost: open connections hang, new ones get no answer.
    SILENT = 'silent'
    #: Open connections are reset, new ones refused.
    RESET = 'reset'
    #: Open connections live on, new ones are refused.
    REFUSE = 'refuse'


class NetworkCuts:
    """Cut instances from upstreams, by port.

    :param monkeypatch: restores the network after the test.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._connect = httpcore.TrioBackend.connect_tcp
        self._ways_by_path: dict[tuple[str, int], CutWay] = {}
        self._streams_by_path: defaultdict[
            tuple[str, int], list[_CutStream]
        ] = defaultdict(list)
        self._silenced: list[_CutStream] = []
        self._healed = trio.Event()
        #: Connections that instances tried to open, by instance and port.
        self.attempts: defaultdict[tuple[str, int], int] = defaultdict(int)
        monkeypatch.setattr(
            httpcore.TrioBackend, 'connect_tcp', self._make_connect()
        )

    def cut(self, instance: str, ports: list[int], way: CutWay) -> None:
        """Cut an instance from the upstreams at some ports."""
        for port in ports:
            path = instance, port
            self._ways_by_path[path] = way
            for stream in self._streams_by_path.pop(path, ()):
                stream.apply(way)
                self._silenced.append(stream)

    def heal(self) -> None:
        """Heal all cuts."""
        self._ways_by_path.clear()
        for stream in self._silenced:
            stream.unsilence()
        self._silenced.clear()
        self._healed.set()
        self._healed = trio.Event()

    async def wait_for_heal(self) -> None:
        await self._healed.wait()

    async def check(self, path: tuple[str, int], timeout: float | None) -> None:
        """Let a connection be opened, unless its path is cut."""
        self.attempts[path] += 1
        match self._ways_by_path.get(path):
            case CutWay.SILENT:
                await trio.sleep(inf if timeout is None else timeout)
                raise httpcore.ConnectTimeout
            case CutWay.RESET | CutWay.REFUSE:
                raise httpcore.ConnectError('refused by a cut')

    def add(self, path: tuple[str, int], stream: '_CutStream') -> None:
        """Let later cuts of a path apply to a connection."""
        self._streams_by_path[path].append(stream)

    def _make_connect(self) -> Any:
        connect, cuts = self._connect, self

        async def connect_tcp(
            backend: httpcore.TrioBackend,
            host: str,
            port: int,
            timeout: float | None = None,
            **options: Any,
        ) -> httpcore.AsyncNetworkStream:
            path = OWN_INSTANCE.get(), port
            await cuts.check(path, timeout)
            opened = await connect(backend, host, port, timeout, **options)
            stream = _CutStream(opened, cuts)
            cuts.add(path, stream)
            return stream

        return connect_tcp


class _CutStream(httpcore.AsyncNetworkStream):
    """A connection that a cut may silence or reset."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, cuts: NetworkCuts
    ) -> None:
        self._stream = stream
        self._cuts = cuts
        self._reading = trio.CancelScope()
        self._reset = False
        self._silent = False

    def apply(self, way: CutWay) -> None:
        """Apply a cut to this connection."""
        self._reset = self._reset or way is CutWay.RESET
        self._silent = self._silent or way is CutWay.SILENT
        if self._reset:
            self._reading.cancel()

    def unsilence(self) -> None:
        """Let bytes pass again."""
        self._silent = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        received = b''
        self._reading = trio.CancelScope()
        with self._reading:
            if not self._reset:
                received = await self._stream.read(max_bytes, timeout)
            if self._silent:
                await self._cuts.wait_for_heal()
        if self._reset:
            raise httpcore.ReadError('reset by a cut')
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if self._reset:
            raise httpcore.WriteError('reset by a cut')
        if self._silent:
            await self._cuts.wait_for_heal()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(self, *options: Any) -> httpcore.AsyncNetworkStream:
        return await self._stream.start_tls(*options)

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)
