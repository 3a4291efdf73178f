"""Connections of a listener, each ended by the task that reads it.

Only that task knows whether it has taken a request from the socket. Were
another one to close a connection at rest, a request could run whose response
finds a closed socket.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from math import inf
from typing import Any, cast

import h11
import trio
from h2.connection import H2Connection
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import (
    AppWrapper,
    ASGIReceiveCallable,
    ASGIReceiveEvent,
    ASGISendCallable,
    ASGISendEvent,
    ConnectionState,
    HTTPResponseStartEvent,
    Scope,
)

from cartdale.asgi import REQUEST_LINE, RequestLine
from cartdale.daemon.http2 import LimitedConnection, OpenStreams
from cartdale.daemon.request_counts import RequestCounts, ResponseNote

#: At a stop, a connection without a request in progress ends after this time.
_UNUSED_SECONDS = 1
#: At a stop, a connection of HTTP/2 without a request for so long is told.
_REST_SECONDS = 0.05
#: At a stop, a connection answers so many requests that were sent before the
#: response ahead of them, so that a flood doesn't hold up the stop.
_SENT_AHEAD = 32
_LAST_EVENTS = frozenset(('http.disconnect', 'websocket.disconnect'))


class ConnectionConfig(Config):
    """Hypercorn's settings, and those that it lacks."""

    #: Longest wait for the rest of a head whose first bytes came, in seconds.
    head_timeout: float = 10
    #: Whether a caller may begin with HTTP/2.
    serves_http2 = True


@dataclass(frozen=True, slots=True)
class Stop:
    """What the connections of a listener are told of a planned stop.

    :param leaving: set as it begins; callers are asked to go elsewhere.
    :param stopping: set when connections at rest are to be closed.
    """

    leaving: trio.Event
    stopping: trio.Event


class _Http1Connection(h11.Connection):
    """Read HTTP/1.1 requests, and pass over wishes for another protocol.

    Requests are read one after another, so that each one's line may be kept in
    the state of the connection, which its scope gets a copy of.

    :param config: of the connection's listener.
    :param state: of the connection.
    """

    def __init__(
        self, config: ConnectionConfig, state: ConnectionState
    ) -> None:
        super().__init__(
            h11.SERVER, max_incomplete_event_size=config.h11_max_incomplete_size
        )
        self._serves_http2 = config.serves_http2
        self._state = state

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event, a request without its upgrade."""
        event = super().next_event()
        if not isinstance(event, h11.Request):
            return event
        self._state.pop(REQUEST_LINE, None)
        if event.http_version == b'2.0' and not self._serves_http2:
            raise h11.RemoteProtocolError(
                'HTTP/2 is not served here',
                error_status_hint=HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            )
        if event.http_version != b'2.0':
            method = event.method.decode('ascii')
            self._state[REQUEST_LINE] = RequestLine(method, event.target)
        return _without_upgrade(event)


def _without_upgrade(request: h11.Request) -> h11.Request:
    kept = [each for each in request.headers if each[0] != b'upgrade']
    if len(kept) == len(request.headers):
        return request
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=kept,
        http_version=request.http_version,
    )


class _Inbox:
    """Events of one request for its application.

    Their queue is bounded, and whoever adds to a full one waits: the reader of
    the connection, and the application itself where its last event ends the
    request, which it is told of.
    """

    def __init__(self, receive: ASGIReceiveCallable) -> None:
        self._receive = receive
        self._lock = trio.Lock()
        #: The event that ends the request, once it was received.
        self._last: ASGIReceiveEvent | None = None

    async def receive(self) -> ASGIReceiveEvent:
        """Receive the next event; the last one as often as it is asked for."""
        async with self._lock:
            if self._last is not None:
                return self._last
            event = await self._receive()
            if event['type'] in _LAST_EVENTS:
                self._last = event
            return event

    async def discard_rest(self) -> None:
        """Empty the queue of an application that has responded."""
        while self._last is None:
            await self.receive()


def _ends_response(event: ASGISendEvent) -> bool:
    is_body = event['type'] == 'http.response.body'
    return is_body and not event.get('more_body', False)


def _begins_stream(event: ASGISendEvent) -> bool:
    """Tell whether a response begins whose length is not known."""
    if event['type'] != 'http.response.start':
        return False
    names = {name.lower() for name, _ in event['headers']}
    return b'content-length' not in names


def _without_close(event: ASGISendEvent) -> ASGISendEvent:
    """Return the start of a response without its wish to close."""
    start = cast(HTTPResponseStartEvent, event)
    headers = [
        (name, text)
        for name, text in start['headers']
        if (name.lower(), text.lower()) != (b'connection', b'close')
    ]
    return {**start, 'headers': headers}


def _get_http1(wrapper: ProtocolWrapper) -> h11.Connection | None:
    """Return the state of HTTP/1.1; ``None`` if another is spoken."""
    protocol = wrapper.protocol
    if not isinstance(protocol, H11Protocol):
        return None
    connection = protocol.connection
    return connection if isinstance(connection, h11.Connection) else None


def _has_partial_head(wrapper: ProtocolWrapper) -> bool:
    """Tell whether bytes were taken that are no request yet."""
    connection = _get_http1(wrapper)
    return connection is not None and bool(connection.trailing_data[0])


class Connection(TCPServer):
    """One connection of a listener.

    :param stop: what it is told of a planned stop.
    """

    def __init__(
        self,
        app: AppWrapper,
        config: ConnectionConfig,
        stop: Stop,
        state: ConnectionState,
        stream: trio.SSLStream[trio.SocketStream],
    ) -> None:
        # The protocols are not told of a stop: they would end the connection
        # without regard to a request that the reader has taken.
        context = WorkerContext(None)
        counted = cast(AppWrapper, self._count_running)
        super().__init__(counted, config, context, state, stream)
        self._application = app
        self._requests = RequestCounts()
        #: Whether nothing more is to be read.
        self._has_read_last = False
        #: Whether all that was read then has a response.
        self.has_answered = False
        #: Requests that were sent ahead of responses since a stop began.
        self._sent_ahead = 0
        #: How often the reader began to wait for bytes.
        self._receives = 0
        self._head_timeout = config.head_timeout
        self._leaving = stop.leaving
        self._stopping = stop.stopping
        #: State of HTTP/2, once the caller speaks that.
        self._http2: LimitedConnection | None = None
        #: Holds what tells its caller of a stop.
        self._announcing = trio.CancelScope()
        #: Whether no request is in progress.
        self._resting = True
        #: Whether the head of the next request has begun to arrive.
        self._has_begun_head = False
        #: Whether the reader waits for bytes.
        self._is_receiving = False
        #: Holds all that the reader does.
        self._reading = trio.CancelScope()
        #: Holds the reader's wait for bytes, and its end on the loop's clock.
        self._waiting = trio.CancelScope()
        self._wait_ends_at = trio.current_time() + config.keep_alive_timeout

    def end_reading(self) -> None:
        """Read nothing more, since what runs here is about to be cut.

        What was read is answered. A caller of HTTP/2 is told what was not.
        """
        self._has_read_last = True
        if self._is_receiving:
            self._waiting.cancel()

    async def protocol_send(self, event: Event) -> None:
        """Write what the protocol sends; leave rests and ends to the reader.

        The application's task calls this, which may be cancelled: what the
        reader has to know is noted without waiting.
        """
        match event:
            case Updated():
                self._note_rest(resting=event.idle)
            case Closed():
                self._reading.cancel()
            case RawData(data=raw):
                self._limit_http2()
                await self._write(raw)

    async def _write(self, raw: bytes) -> None:
        """Write bytes, whole whatever ends their sender.

        The protocol counts them as sent, so that a sender which is cancelled
        still waits for its turn.

        Once that fails, nothing that is read can be answered. The reader may
        wait for the end of a response, which its application gives up.
        """
        try:
            with trio.CancelScope(shield=True):
                async with self.send_lock:
                    await self.stream.send_all(raw)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Applications are told before the reader ends, whose task may be
            # this one; a full queue of events must not hold up its sender.
            with trio.move_on_after(_UNUSED_SECONDS, shield=True):
                await self.protocol.handle(Closed())
            self._reading.cancel()

    async def _count_running(
        self,
        scope: Scope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
        *spawners: Callable[..., Any],
    ) -> None:
        """Call the application, and count it while it runs."""
        inbox = _Inbox(receive)
        with self._requests.count() as response:
            try:
                await self._application(
                    scope,
                    inbox.receive,
                    partial(self._send_event, send, inbox, response),
                    *spawners,
                )
            finally:
                self._task_group.spawn(inbox.discard_rest)

    async def _send_event(
        self,
        send: ASGISendCallable,
        inbox: _Inbox,
        response: ResponseNote,
        event: ASGISendEvent,
    ) -> None:
        """Send an event; after the last one the application need not read."""
        if _ends_response(event):
            self._task_group.spawn(inbox.discard_rest)
        if event['type'] == 'http.response.start' and self._stays_open():
            event = _without_close(event)
        await send(event)
        if _ends_response(event) or _begins_stream(event):
            response.note()

    def _stays_open(self) -> bool:
        """Tell whether a response is to be followed by another at a stop.

        That is so if bytes of the next request were taken: it is answered.
        """
        if not self._leaving.is_set() or self._sent_ahead >= _SENT_AHEAD:
            return False
        connection = _get_http1(self.protocol)
        if connection is None or connection.their_state is not h11.DONE:
            return False
        is_followed = bool(connection.trailing_data[0].strip())
        self._sent_ahead += is_followed
        return is_followed

    def _note_rest(self, *, resting: bool) -> None:
        """Bound the reader's wait while no request is in progress."""
        self._resting = resting
        self._has_begun_head = False
        ends_at = inf
        if resting:
            keep_alive = self.config.keep_alive_timeout
            ends_at = trio.current_time() + keep_alive
            if self._stopping.is_set():
                ends_at = self._end_rest_at()
                self._task_group.spawn(self._refuse_further)
        self._bound_wait(ends_at)

    def _end_rest_at(self) -> float:
        """Return when a rest ends at a stop, on the loop's clock.

        Streams of HTTP/2 that cross the last GOAWAY are refused until then.
        """
        if self._http2 is None:
            return -inf
        return trio.current_time() + _UNUSED_SECONDS

    def _bound_wait(self, ends_at: float) -> None:
        self._wait_ends_at = ends_at
        self._waiting.deadline = ends_at

    async def _read_data(self) -> None:
        self._limit_http1()
        with self._reading:
            await self._read_until_end()
        self._announcing.cancel()
        await self.idle_task.stop()
        await self.protocol.handle(Closed())
        await self._release_senders()

    async def _announce_stop(self, http2: LimitedConnection) -> None:
        """Tell a caller of HTTP/2 of a stop once its requests have ended.

        Some libraries fail the requests in progress at any GOAWAY, and those
        that they are about to send.
        """
        with self._announcing:
            await self._leaving.wait()
            newest = 0
            while not http2.has_rested(newest):
                newest = http2.newest_stream
                await self._await_rest(http2)
            await self._refuse_further()

    async def _await_rest(self, http2: LimitedConnection) -> None:
        """Wait a moment; bound further streams once connections are closed."""
        if not self._stopping.is_set():
            with trio.move_on_after(_REST_SECONDS):
                await self._stopping.wait()
            return
        http2.bound_further()
        await trio.sleep(_REST_SECONDS)

    async def _refuse_further(self) -> None:
        if self._http2 is not None:
            self._http2.refuse_further()
            await self._write(self._http2.data_to_send())

    def _limit_http2(self) -> None:
        """Have further streams refused, once HTTP/2 is spoken."""
        protocol = self.protocol.protocol
        if self._http2 is None and isinstance(protocol, H2Protocol):
            http2 = LimitedConnection(protocol.connection)
            self._http2 = http2
            protocol.connection = cast(H2Connection, http2)
            self._task_group.spawn(self._announce_stop, http2)
            protocol.streams = OpenStreams(protocol.streams)

    def _limit_http1(self) -> None:
        """Read HTTP/1.1 without upgrades, unless TLS has chosen another."""
        protocol = self.protocol.protocol
        if isinstance(protocol, H11Protocol):
            config = cast(ConnectionConfig, self.config)
            protocol.connection = _Http1Connection(
                config, protocol.connection_state
            )

    async def _release_senders(self) -> None:
        """End waits for a write of HTTP/2, which stops with the connection."""
        protocol = self.protocol.protocol
        if isinstance(protocol, H2Protocol):
            for buffered in tuple(protocol.stream_buffers.values()):
                await buffered.close()

    async def _read_until_end(self) -> None:
        raw = await self._receive()
        while raw is not None:
            await self.protocol.handle(RawData(raw))
            if not raw:
                return
            self._bound_head()
            raw = await self._receive()
        if self._has_read_last:
            await self._requests.await_responses()
        with trio.move_on_after(_UNUSED_SECONDS):
            await self._refuse_further()
        self.has_answered = True
        if self._has_read_last:
            await self._requests.await_ends()

    async def _receive(self) -> bytes | None:
        """Return what arrives; ``None`` once the connection is to be closed.

        Bytes that were taken from the socket are returned even if the wait ends
        at the same moment.
        """
        if self._has_read_last:
            return None
        self._waiting = trio.CancelScope(deadline=self._wait_ends_at)
        self._is_receiving = True
        self._receives += 1
        with self._waiting:
            try:
                return bytes(await self.stream.receive_some(MAX_RECV))
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                return None
            finally:
                self._is_receiving = False
        return None

    async def _idle_timeout(self) -> None:
        """End the rest at a stop; its time is bounded by the reader's wait.

        The first request of a new connection may wait to be read.
        """
        await self._end_stalled_until_stop()
        is_used = self._resting and self._requests.begun > 0
        if is_used and not _has_partial_head(self.protocol):
            self._bound_wait(self._end_rest_at())
        while True:
            await self._wait_until_unused()
            self._end_unused()

    def _end_unused(self) -> None:
        """End the reader's wait for bytes, or what keeps it from waiting."""
        if self._is_receiving:
            self._bound_wait(-inf)
        else:
            self._reading.cancel()

    async def _end_stalled_until_stop(self) -> None:
        """Until a stop, end a reader that stays where it can't go on.

        That is one which, for an idle time, neither waited for bytes nor had a
        request in progress; protocols may leave it so.
        """
        interval = max(self.config.keep_alive_timeout, _UNUSED_SECONDS)
        seen: tuple[int, int] | None = None
        while not self._stopping.is_set():
            counts = (self._requests.begun, self._receives)
            is_stalled = not (self._requests.running or self._is_receiving)
            if is_stalled and seen == counts:
                self._reading.cancel()
            seen = counts if is_stalled else None
            with trio.move_on_after(interval):
                await self._stopping.wait()

    async def _wait_until_unused(self) -> None:
        """Wait until no request was answered or began for a while.

        HTTP/2 never calls a connection at rest without a request.
        """
        begun, counts = -1, self._requests
        while counts.running or self._has_begun_head or begun != counts.begun:
            begun = counts.begun
            await trio.sleep(_UNUSED_SECONDS)

    def _bound_head(self) -> None:
        """Bound the wait for the rest of a head that has begun to arrive."""
        if self._has_begun_head or not self._resting:
            return
        if _has_partial_head(self.protocol):
            self._has_begun_head = True
            self._bound_wait(trio.current_time() + self._head_timeout)
