"""A caller that sends requests on one HTTP/2 connection."""

from math import inf
from typing import Any

import trio
from h2.config import H2Configuration
from h2.connection import ConnectionState, H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    ResponseReceived,
    StreamEnded,
    StreamReset,
)

from tests.fault_soak.checks import Asked
from tests.fault_soak.wire import RECEIVED, was_reset

_SCHEME = ((':method', 'POST'), (':scheme', 'http'), (':path', '/draft/'))


class _Connection(H2Connection):
    """Go on with open streams once the other side accepts no more."""

    def _receive_goaway_frame(self, frame: Any) -> tuple[list, list[Event]]:
        received = super()._receive_goaway_frame(frame)
        self.state_machine.state = ConnectionState.CLIENT_OPEN
        return received


class Http2Caller:
    """Ask on one connection.

    :param stream: the connection, without TLS.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.is_closed = False
        self._stream = stream
        self._lock = trio.Lock()
        self._wire = _Connection(H2Configuration(client_side=True))
        self._wire.initiate_connection()
        self._asked_by_number: dict[int, Asked] = {}
        self._ended_by_number: dict[int, trio.Event] = {}
        #: Streams that their instance says it has not taken.
        self._unread: set[int] = set()
        #: The last stream that a GOAWAY says is served.
        self._last_served: float = inf

    async def ask(self, asked: Asked, headers: dict[str, str]) -> bool:
        """Ask and wait for the end; tell whether the request was read.

        Its task may begin after a GOAWAY that came once it was started.
        """
        number = self._wire.get_next_available_stream_id()
        if number > self._last_served:
            return False
        lines = dict(headers)
        host = (':authority', lines.pop('Host'))
        more = [(name.lower(), text) for name, text in lines.items()]
        self._wire.send_headers(number, [*_SCHEME, host, *more], True)
        self._asked_by_number[number] = asked
        self._ended_by_number[number] = trio.Event()
        asked.at = trio.current_time()
        try:
            await self._flush()
        except trio.BrokenResourceError:
            self._end(number, unread=True)
        await self._ended_by_number[number].wait()
        return number not in self._unread

    async def wait_idle(self) -> None:
        """Wait until all requests have ended."""
        for ended in tuple(self._ended_by_number.values()):
            await ended.wait()

    async def read(self) -> None:
        """Read until the connection ends."""
        unread = False
        try:
            await self._read()
        except trio.BrokenResourceError:
            unread = True
        self.is_closed = True
        unread = unread or await was_reset(self._stream)
        for number, ended in self._ended_by_number.items():
            if not ended.is_set():
                self._end(number, unread=unread)

    async def _read(self) -> None:
        while True:
            raw = await self._stream.receive_some(RECEIVED)
            if not raw:
                return
            for event in self._wire.receive_data(raw):
                self._take(event)
            await self._flush()

    def _take(self, event: Event) -> None:
        match event:
            case ResponseReceived(stream_id=number):
                status = dict(event.headers)[b':status']
                self._asked_by_number[number].status = int(status)
            case DataReceived(stream_id=number):
                self._asked_by_number[number].body += event.data
                size = event.flow_controlled_length
                self._wire.acknowledge_received_data(size, number)
            case StreamEnded(stream_id=number):
                self._asked_by_number[number].whole = True
                self._end(number, unread=False)
            case StreamReset(stream_id=number):
                refused = event.error_code is ErrorCodes.REFUSED_STREAM
                self._end(number, unread=refused)
            case ConnectionTerminated():
                self.is_closed = True
                self._end_after(event.last_stream_id)

    def _end_after(self, last: int) -> None:
        """End the requests that their instance will not read."""
        self._last_served = last
        for number in self._asked_by_number:
            if number > last:
                self._end(number, unread=True)

    def _end(self, number: int, *, unread: bool) -> None:
        if unread:
            self._unread.add(number)
        self._ended_by_number[number].set()

    async def _flush(self) -> None:
        async with self._lock:
            raw = self._wire.data_to_send()
            if raw:
                await self._stream.send_all(raw)
