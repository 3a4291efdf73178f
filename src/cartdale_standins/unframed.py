"""Front of a stand-in, whose answers have neither a length nor chunks.

They end with their connection, which is reset if the stand-in broke them off,
unless it was told to close it.
"""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import httpcore
import trio

from cartdale.relay.frames import EventFrames

_LOCAL = '127.0.0.1'
_HEAD_END = b'\r\n\r\n'
#: Only answers of upstreams that ran a request are sealed.
_SEAL = b'response-seal'
_LENGTH = b'content-length'
_FRAMING = frozenset((_LENGTH, b'transfer-encoding'))
#: Linger for no time: the peer sees a reset instead of an end.
_RESET = struct.pack('ii', 1, 0)
_LOST = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


@dataclass(frozen=True, slots=True)
class EarlyEnd:
    """Say where and how an answer ends early.

    :param events: events that are passed on before.
    :param inside: whether half of the next event follows, or half of a body
        that has no events.
    :param reset: whether the connection is reset, not closed.
    :param crashes: whether the stand-in ends in the same moment.
    :param lingers: whether it shuts down instead: it closes all its answers,
        and ends so many seconds later. Negative for no.
    :param pause: between two answers that it closes as it shuts down, in
        seconds.
    :param runs_on: whether it goes on with what it no longer passes on.
    :param hangs: seconds from then on in which connections are accepted, and
        nothing is answered.
    """

    events: int = 0
    inside: bool = False
    reset: bool = False
    crashes: bool = False
    lingers: float = -1
    pause: float = 0
    runs_on: bool = False
    hangs: float = 0


#: Stands for no early end.
_NEVER = EarlyEnd()


class UnframedFront:
    """Pass connections on to a stand-in, and unframe its answers.

    :param target: port of the stand-in.
    :param early_ends: how the next answers to requests that ran end early;
        fronts may share it, and each answer takes the first one.
    """

    def __init__(self, target: int, early_ends: list[EarlyEnd]) -> None:
        self._target = target
        self._early_ends = early_ends
        self._bound = socket.socket()
        self._bound.bind((_LOCAL, 0))
        self._bound.listen()
        self.port: int = self._bound.getsockname()[1]
        self._open: set[trio.SocketStream] = set()
        self._down = False
        #: Until when connections are accepted and nothing is answered.
        self._hangs_until: float = 0
        self._nursery: trio.Nursery | None = None
        #: Whether answers that the stand-in breaks off are reset.
        self.resets = True
        #: Ends the stand-in.
        self.crash: Callable[[], None] | None = None

    @property
    def address(self) -> str:
        """Return where the front listens."""
        return f'{_LOCAL}:{self.port}'

    def go_down(self, *, down: bool) -> None:
        """Reset open and new connections, or do so no more."""
        self._down = down
        for stream in tuple(self._open) if down else ():
            _end(stream, reset=True)

    def shut_down(self, seconds: float, pause: float = 0) -> None:
        """Close all answers in order, and end the stand-in some time later.

        :param pause: between two answers, in seconds; 0 to close all at once.
        """
        if not pause:
            self.close_answers()
        if self._nursery is not None:
            self._nursery.start_soon(self._crash_after, seconds, pause)

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def hang(self, seconds: float) -> None:
        """Accept connections for some time, and answer nothing meanwhile."""
        self._hangs_until = trio.current_time() + seconds

    def close_answers(self) -> None:
        """Close all connections in order, as a path may."""
        for stream in tuple(self._open):
            _end(stream, reset=False)

    async def run(self) -> None:
        """Serve until cancelled."""
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self._bound)
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.serve_listeners(self._serve, [listener])

    async def _crash_after(self, seconds: float, pause: float) -> None:
        for stream in tuple(self._open) if pause else ():
            if stream in self._open:
                _end(stream, reset=False)
                await trio.sleep(pause)
        await trio.sleep(seconds)
        if self.crash is not None:
            self.crash()

    async def _serve(self, caller: trio.SocketStream) -> None:
        if self._down:
            _end(caller, reset=True)
            return
        self._open.add(caller)
        reset = True
        with suppress(*_LOST):
            reset = await self._answer(caller)
        self._open.discard(caller)
        _end(caller, reset=reset)

    async def _answer(self, caller: trio.SocketStream) -> bool:
        """Answer one request; return whether its end is a reset."""
        request = await _read_request(caller, self._target)
        await trio.sleep_until(self._hangs_until)
        reset: bool | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_await_close, caller, nursery.cancel_scope)
            with suppress(*_LOST):
                reset = await self._pass_answer(request, caller)
            nursery.cancel_scope.cancel()
        return self.resets if reset is None else reset

    async def _pass_answer(
        self, request: httpcore.Request, caller: trio.SocketStream
    ) -> bool:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.handle_async_request(request)
            await caller.send_all(_write_head(response))
            early = self._take_early_end(response)
            await _Answer(caller, early).pass_on_from(response)
            await response.aclose()
        if early is _NEVER:
            return False
        _end(caller, reset=early.reset)
        self.hang(early.hangs)
        if early.lingers >= 0:
            self.shut_down(early.lingers, early.pause)
        if early.crashes and self.crash is not None:
            self.crash()
        return early.reset

    def _take_early_end(self, response: httpcore.Response) -> EarlyEnd:
        names = {name.lower() for name, _ in response.headers}
        if _SEAL in names and self._early_ends:
            return self._early_ends.pop(0)
        return _NEVER


class _Answer:
    """Pass one answer on to where it ends early.

    :param early: where that is.
    """

    def __init__(self, caller: trio.SocketStream, early: EarlyEnd) -> None:
        self._caller = caller
        self._early = early
        self._frames = EventFrames()
        self._events = 0

    async def pass_on_from(self, response: httpcore.Response) -> None:
        """Pass on the body of the stand-in's answer."""
        more = await self._pass(b'')
        async for part in response.aiter_stream():
            if more:
                more = await self._pass(part)
            elif self._early.runs_on:
                # The rest is read, so that the stand-in goes on, and dropped.
                await self._caller.send_eof()
            else:
                return

    async def _pass(self, part: bytes) -> bool:
        """Pass a part on; return whether more of the answer follows."""
        if self._early is _NEVER:
            await self._caller.send_all(part)
            return True
        for event in self._frames.feed(part):
            if self._events == self._early.events:
                return await self._end(event)
            await self._caller.send_all(event)
            self._events += 1
        if self._events == self._early.events:
            return await self._end(self._frames.pending)
        return True

    async def _end(self, following: bytes) -> bool:
        """Pass on what precedes the end, given the bytes that follow."""
        if self._early.inside:
            await self._caller.send_all(following[: len(following) // 2])
        return self._early.inside and not following


async def _read_request(
    caller: trio.SocketStream, target: int
) -> httpcore.Request:
    """Read a request, and return it for the stand-in at a port."""
    received = b''
    while _HEAD_END not in received:
        received += await _receive(caller)
    head, _, body = received.partition(_HEAD_END)
    first, _, rest = head.partition(b'\r\n')
    headers = _parse_headers(rest)
    while len(body) < int(headers.get(_LENGTH, b'0')):
        body += await _receive(caller)
    method, path, _ = first.split(b' ')
    url = httpcore.URL(
        scheme=b'http', host=_LOCAL.encode(), port=target, target=path
    )
    return httpcore.Request(method, url, headers=headers, content=body)


def _parse_headers(lines: bytes) -> dict[bytes | str, bytes | str]:
    headers: dict[bytes | str, bytes | str] = {}
    for line in lines.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        headers[name.lower()] = text
    return headers


async def _receive(stream: trio.SocketStream) -> bytes:
    received = bytes(await stream.receive_some())
    if not received:
        raise trio.BrokenResourceError('it closed too early')
    return received


async def _await_close(
    caller: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """Cancel an answer once its caller has closed the connection."""
    with suppress(*_LOST):
        await caller.receive_some()
    scope.cancel()


def _write_head(response: httpcore.Response) -> bytes:
    """Return the head of an answer that ends with its connection."""
    lines = [f'HTTP/1.1 {response.status} '.encode()]
    lines.extend(
        b': '.join(header)
        for header in response.headers
        if header[0].lower() not in _FRAMING
    )
    return b'\r\n'.join(lines) + _HEAD_END


def _end(stream: trio.SocketStream, *, reset: bool) -> None:
    """Close or reset a connection, without waiting for anything."""
    if stream.socket.fileno() < 0:
        return
    if reset:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    stream.socket.close()
