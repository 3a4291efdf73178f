"""Proxy on the loopback that delays, holds, cuts or resets connections."""

import socket
import struct
from enum import StrEnum

import trio

LOCAL = '127.0.0.1'
_CHUNK = 65536
_DELAY = 0.15
#: Linger for no time: the peer sees a reset instead of an end.
_RESET = struct.pack('ii', 1, 0)


class LinkState(StrEnum):
    """Say what happens to a proxy's connections."""

    NORMAL = 'normal'
    DELAY = 'delay'
    #: Nothing passes either way, and nothing closes.
    SILENCE = 'silence'
    #: Requests pass, answers don't.
    ONE_WAY = 'one_way'
    #: Open connections are reset, and so are new ones.
    RESET = 'reset'


class FaultProxy:
    """Pass connections on to one port, as its state lets them."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._bound = socket.socket()
        self._bound.bind((LOCAL, 0))
        self._bound.listen()
        self.port: int = self._bound.getsockname()[1]
        self._state = LinkState.NORMAL
        self._changed = trio.Event()
        self._open: set[trio.SocketStream] = set()
        self._down = False

    @property
    def address(self) -> str:
        """Return where the proxy listens."""
        return f'{LOCAL}:{self.port}'

    def set(self, state: LinkState) -> None:
        """Change what happens to connections."""
        self._state = state
        self._changed.set()
        self._changed = trio.Event()
        if state is LinkState.RESET:
            for stream in tuple(self._open):
                _abort(stream)

    def go_down(self, *, down: bool) -> None:
        """Refuse connections whatever the state, or no more."""
        self._down = down
        if down:
            for stream in tuple(self._open):
                _abort(stream)

    async def run(self) -> None:
        """Serve, for ever."""
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self._bound)
        )
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, caller: trio.SocketStream) -> None:
        self._open.add(caller)
        try:
            if self._down or self._state is LinkState.RESET:
                _abort(caller)
                return
            await self._join(caller)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # Whoever broke the link, the other end sees it broken too.
            _abort(caller)
        finally:
            self._open.discard(caller)

    async def _join(self, caller: trio.SocketStream) -> None:
        target = await trio.open_tcp_stream(LOCAL, self._target)
        self._open.add(target)
        try:
            async with caller, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, caller, target, False)
                nursery.start_soon(self._pump, target, caller, True)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            _abort(caller)
            _abort(target)
        finally:
            self._open.discard(target)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, answers: bool
    ) -> None:
        async for chunk in source:
            await self._wait_until_passable(answers)
            await sink.send_all(chunk)
        await self._wait_until_passable(answers)
        await sink.send_eof()

    async def _wait_until_passable(self, answers: bool) -> None:
        while self._state is LinkState.SILENCE or (
            answers and self._state is LinkState.ONE_WAY
        ):
            await self._changed.wait()
        if self._state is LinkState.DELAY:
            await trio.sleep(_DELAY)


def _abort(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except (OSError, trio.ClosedResourceError):
        return
    stream.socket.close()
