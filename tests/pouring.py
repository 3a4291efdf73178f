"""Peers that send bytes for as long as their connection stands."""

from contextlib import suppress
from dataclasses import dataclass

import trio

from tests.platform_stage import LOCAL

INFORMATIONAL = b'HTTP/1.1 103 Early Hints\r\n\r\n'
#: Sent at once while nothing is waited for between.
_BLOCK = 65536
#: Far longer than any test.
_LONGEST_SECONDS = 60


@dataclass
class PouringServer:
    """Answer each request with a prefix and then pieces without an end.

    :param prefix: sent first.
    :param piece: sent again and again.
    :param pause: between two sends, in seconds; 0 to send as fast as it is
        read.
    :param path: of the requests that are answered so; others are answered by
        ``whole``.
    """

    piece: bytes
    prefix: bytes = b''
    pause: float = 0
    path: bytes = b''
    whole: bytes = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
    port: int = 0
    #: Connections on which it poured.
    poured: int = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host=LOCAL)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with stream:
                head = await _read_head(stream)
                if self.path not in head.split(b'\r\n')[0]:
                    await stream.send_all(self.whole)
                    return
                self.poured += 1
                await self._pour(stream, head)

    async def _pour(self, stream: trio.SocketStream, head: bytes) -> None:
        name = find_request_id(head)
        await stream.send_all(self.prefix.replace(b'%(id)s', name))
        piece = self.piece
        if not self.pause:
            piece *= max(_BLOCK // len(piece), 1)
        with trio.move_on_after(_LONGEST_SECONDS):
            while True:
                await stream.send_all(piece)
                await trio.sleep(self.pause)


def find_request_id(head: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name.lower() == b'request-id':
            return text.strip()
    return b''


async def _read_head(stream: trio.SocketStream) -> bytes:
    received = b''
    while b'\r\n\r\n' not in received:
        part = await stream.receive_some(_BLOCK)
        if not part:
            break
        received += part
    return received


@dataclass
class LoopTicker:
    """Measure how long a loop is held.

    :param longest: time for which no other task ran, in seconds.
    """

    longest: float = 0

    async def run(self) -> None:
        last = trio.current_time()
        while True:
            await trio.lowlevel.checkpoint()
            now = trio.current_time()
            self.longest = max(self.longest, now - last)
            last = now


def chunk(text: bytes) -> bytes:
    """Return a text as a chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(text), text)
