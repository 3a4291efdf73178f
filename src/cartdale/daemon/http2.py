"""State of a connection of HTTP/2: which streams are served, and told so.

A GOAWAY says up to which stream they are (RFC 9113, 6.8). It is sent once no
stream is in progress: common client libraries fail all of a connection that was
told. Until then the application decides about further streams, and those beyond
a bound are reset as not processed.
"""

from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from h2.connection import ConnectionState, H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    RequestReceived,
    StreamEnded,
)
from h2.exceptions import ProtocolError
from hypercorn.protocol.events import Event as StreamEvent
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.protocol.ws_stream import WSStream
from hyperframe.frame import GoAwayFrame

#: Says that any stream may still be served.
_HIGHEST_STREAM = 0x7FFFFFFF
#: Frames of a connection beside requests and bodies: at once, and for each time
#: that something is sent.
_MAX_FRAMES = 500
_FRAMES_PER_WRITE = 4
#: Bytes of a head or another frame that is not complete.
_MAX_SILENT = 131072
#: Received bytes that are looked through at once.
_SLICE_BYTES = 1024
#: What requests and their bodies consist of.
_REQUEST_EVENTS = (RequestReceived, DataReceived, StreamEnded)
#: Streams that the application is handed once connections at rest are closed,
#: so that a flood doesn't hold up a stop.
OPENED_SINCE = 32


class _EndedStream(HTTPStream):
    """A stream whose response ended before its request."""

    def __init__(self) -> None:
        """Leave out what answers a request."""

    async def handle(self, event: StreamEvent) -> None:
        """Pass over the rest of the request."""


class OpenStreams(dict[int, HTTPStream | WSStream]):
    """Streams of a connection by id, for events of ended ones as well."""

    def __missing__(self, stream_id: int) -> HTTPStream:
        """Return a stream that passes over what comes."""
        return _EndedStream()


@dataclass(slots=True)
class _FloodBudget:
    """Bound what a caller sends beside requests and their bodies.

    Frames such as WINDOW_UPDATE answer what was sent to it.

    :param frames: that are left.
    :param silent: bytes since the last frame that is complete: parts of a head
        may come in frames without an end.
    """

    frames: int = _MAX_FRAMES
    silent: int = 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether nothing is left."""
        return self.frames < 0 or self.silent > _MAX_SILENT

    def note(self, size: int, events: list[Event]) -> None:
        """Count what was received."""
        self.silent = 0 if events else self.silent + size
        self.frames -= sum(
            not isinstance(event, _REQUEST_EVENTS) for event in events
        )

    def note_sent(self) -> None:
        """Allow for answers to what is sent."""
        self.frames = min(self.frames + _FRAMES_PER_WRITE, _MAX_FRAMES)


class LimitedConnection:
    """State of an HTTP/2 connection that may refuse further streams.

    The library's own way to announce an end allows nothing more to be sent, so
    the frames are added to what it sends.

    :param connection: the library's state; all else is left to it.
    """

    def __init__(self, connection: H2Connection) -> None:
        self._connection = connection
        #: The last stream that is served.
        self._last_stream = _HIGHEST_STREAM
        #: The last stream before the stop; ``None`` until it begins.
        self._last_before: int | None = None
        #: Streams that were opened since.
        self._opened_since = 0
        #: Streams that were reset as not processed.
        self._reset: set[int] = set()
        self._unsent = b''
        self._flood = _FloodBudget()

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the library's state."""
        return getattr(self._connection, name)

    @property
    def has_streams(self) -> bool:
        """Return whether any stream was opened."""
        return self.newest_stream > 0

    @property
    def newest_stream(self) -> int:
        """Return the id of the last stream that was opened; 0 for none."""
        newest: int = self._connection.highest_inbound_stream_id
        return newest

    @property
    def is_resting(self) -> bool:
        """Return whether no stream is in progress."""
        return not self._connection.open_inbound_streams

    def has_rested(self, newest: int) -> bool:
        """Tell whether no request is in progress, and none was since a look.

        :param newest: the last stream at that look; 0 for none.
        """
        return bool(newest) and self.is_resting and self.newest_stream == newest

    def bound_further(self) -> None:
        """Bound the number of streams that are opened from now on."""
        if self._last_before is None:
            self._last_before = self.newest_stream

    def refuse_further(self) -> None:
        """Refuse streams that were not received yet."""
        if self._last_stream == _HIGHEST_STREAM:
            self._last_stream = self.newest_stream
            self._add_goaway(self._last_stream)

    def close_connection(self) -> None:
        """Pass over that the server wants no more, which ends in a stop."""

    def data_to_send(self) -> bytes:
        """Return the bytes to send, and take them to be sent."""
        raw = self._connection.data_to_send() + self._unsent
        self._unsent = b''
        if raw:
            self._flood.note_sent()
        return raw

    def receive_data(self, raw: bytes) -> list[Event]:
        """Return the events of received bytes, but for refused streams.

        Their callers know from the last GOAWAY that they are not served;
        some libraries fail at any frame that follows it.

        :raises ProtocolError: also if a caller sends too much that is neither
            a request nor its body.
        """
        passed: list[Event] = []
        for start in range(0, len(raw), _SLICE_BYTES):
            part = raw[start : start + _SLICE_BYTES]
            events = self._connection.receive_data(part)
            self._flood.note(len(part), events)
            if self._flood.is_exceeded:
                self._connection.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
                raise ProtocolError('too many frames beside requests')
            passed.extend(event for event in events if self._passes(event))
        return passed

    def _passes(self, event: Event) -> bool:
        if self._is_last_word(event):
            self._connection.state_machine.state = ConnectionState.SERVER_OPEN
            return False
        if isinstance(event, RequestReceived):
            self._bound_opened(event)
        return not self._refuses(event)

    def _is_last_word(self, event: Event) -> bool:
        """Tell whether the caller opens no more, and waits for responses.

        The library would not let them be sent.
        """
        match event:
            case ConnectionTerminated(error_code=ErrorCodes.NO_ERROR):
                return self.has_streams and not self.is_resting
        return False

    def _bound_opened(self, event: RequestReceived) -> None:
        """Count a stream; reset it if too many were opened since the stop."""
        stream_id = event.stream_id
        if self._last_before is None or stream_id is None:
            return
        if not self._last_before < stream_id <= self._last_stream:
            return
        self._opened_since += 1
        if self._opened_since > OPENED_SINCE:
            self._reset.add(stream_id)
            with suppress(ProtocolError):
                self._connection.reset_stream(
                    stream_id, ErrorCodes.REFUSED_STREAM
                )

    def _refuses(self, event: Event) -> bool:
        stream_id: int = getattr(event, 'stream_id', 0) or 0
        is_refused = stream_id > self._last_stream or stream_id in self._reset
        if is_refused and isinstance(event, DataReceived):
            self._connection.acknowledge_received_data(
                event.flow_controlled_length, stream_id
            )
        return is_refused

    def _add_goaway(self, last_stream: int) -> None:
        frame = GoAwayFrame(0, last_stream, ErrorCodes.NO_ERROR)
        self._unsent += frame.serialize()
