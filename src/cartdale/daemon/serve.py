"""Serve one HTTP application on one listener."""

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from functools import partial
from ssl import CERT_REQUIRED, SSLContext
from typing import Any

import trio
from hypercorn.trio.lifespan import Lifespan
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState
from hypercorn.utils import wrap_app
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, SystemClock, as_seconds
from cartdale.daemon.binding import (
    BIND_ERRORS,
    RETRY_INTERVAL,
    Place,
    RetryLog,
    bind_socket,
    bind_with_retries,
)
from cartdale.daemon.connections import Connection, ConnectionConfig, Stop
from cartdale.failures import is_exhaustion, log_failure
from cartdale.settings.types import Listener

_KEEP_ALIVE_SECONDS = 60
_HANDSHAKE_SECONDS = 10
_BACKLOG = 512
_HEADER_LIMIT = 16384
#: Events that wait for an application which does not read.
_QUEUE = 32
#: A request that was sent as its connection was opened, or after the response
#: before it, takes a round trip and the delays of two loaded processes.
_SHORTEST_WAIT: Millis = SECOND_MS // 4
#: Before a listener that failed listens again.
_PAUSE_AFTER_FAILURE: Millis = SECOND_MS
#: Between looks at whether all that was read is answered, in seconds.
_ANSWERED_EVERY = 0.01
#: At a stop, connections that wait are accepted up to this number, so that a
#: flood doesn't hold up the stop, and for this time if they can't be had yet.
_LAST_CONNECTIONS = 2 * _BACKLOG
_LAST_ACCEPTS: Millis = SECOND_MS


#: A framework's application or a plain ASGI callable: both are called.
Application = Callable[..., Awaitable[None]]


class PatientListener(trio.abc.Listener[trio.SocketStream]):
    """Accept connections; wait while the process can't have more.

    :param log: of failures to accept.
    """

    def __init__(self, listener: trio.SocketListener, log: RetryLog) -> None:
        self._listener = listener
        self._log = log

    async def accept(self) -> trio.SocketStream:
        """Wait for a connection."""
        while True:
            try:
                return await self._listener.accept()
            except OSError as error:
                if not is_exhaustion(error):
                    raise
                self._log.log_failure(error, SystemClock().now())
            await trio.sleep(as_seconds(RETRY_INTERVAL))

    async def aclose(self) -> None:
        """Close the listener."""
        await self._listener.aclose()


class BoundListener:
    """Own a bound socket, so that port 0 becomes a known port.

    A port that is taken is no error: serving waits for it.

    :param purpose: who connects there, for log lines.
    :param http2: whether a caller may begin with HTTP/2.
    """

    def __init__(
        self, listener: Listener, purpose: str = '', *, http2: bool = True
    ) -> None:
        self._listener = listener
        self._place = Place(purpose, listener.address, listener.port)
        self._exhausted = RetryLog('connection not accepted', self._place)
        self._socket: socket.socket | None = None
        self._tls: SSLContext | None = None
        #: Set by the owner as a stop begins: callers are asked to go elsewhere.
        self.leaving = trio.Event()
        self._connections: set[Connection] = set()
        self._reads = True
        #: Whether connections could have arrived yet.
        self.was_bound = False
        with suppress(*BIND_ERRORS):
            self._keep(self._bind())
        self._config = self._configure(http2=http2)

    @property
    def port(self) -> int:
        """Return the port; 0 while the system has not picked one."""
        return self._place.port

    @property
    def is_bound(self) -> bool:
        """Return whether connections arrive now."""
        return self._socket is not None

    async def bind(self) -> socket.socket:
        """Return the socket, bound for as long as that takes."""
        if self._socket is None:
            bound = await bind_with_retries(self._bind, self._place)
            self._keep(bound)
            return bound
        return self._socket

    def close(self) -> None:
        """Let others have the port."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def serve(self, app: Application, stopping: trio.Event) -> None:
        """Serve until ``stopping`` is set and all connections have ended.

        Connections at rest end then; each request that was read is answered.
        It waits for a port that is taken, and may be called again.
        """
        served = wrap_app(app, self._config.wsgi_max_body_size, 'asgi')
        state: LifespanState = {}
        lifespan = Lifespan(served, self._config, state)
        async with trio.open_nursery() as nursery:
            await nursery.start(lifespan.handle_lifespan)
            await lifespan.wait_for_startup()
            await self._serve_connections(served, state, stopping)
            await lifespan.wait_for_shutdown()
            nursery.cancel_scope.cancel()

    async def end_reading(self) -> None:
        """Read no further requests, just before those that run are cut.

        It waits until all but streams in progress have a response.
        """
        self._reads = False
        for connection in self._connections:
            connection.end_reading()
        while not all(each.has_answered for each in self._connections):
            await trio.sleep(_ANSWERED_EVERY)

    def limit(
        self, header_bytes: int, header_timeout: Millis, idle_timeout: Millis
    ) -> None:
        """Bound new connections' headers and all connections' rests.

        Shorter times than what a request may take to arrive are raised to that.

        :param header_timeout: for the rest of a head whose first bytes came.
        """
        self._config.h11_max_incomplete_size = header_bytes
        self._config.head_timeout = as_seconds(
            max(header_timeout, _SHORTEST_WAIT)
        )
        self._config.keep_alive_timeout = as_seconds(
            max(idle_timeout, _SHORTEST_WAIT)
        )

    async def _serve_connections(
        self, app: AppWrapper, state: LifespanState, stopping: trio.Event
    ) -> None:
        """Accept connections until told to stop; wait for their ends."""
        stop = Stop(self.leaving, stopping)
        serve = partial(self._serve_connection, app, state, stop)
        async with trio.open_nursery() as connections:
            start = partial(connections.start_soon, serve)
            try:
                async with trio.open_nursery() as accepting:
                    accepting.start_soon(self._accept, start)
                    await stopping.wait()
                    self.leaving.set()
                    accepting.cancel_scope.cancel()
                await self._accept_waiting(start)
            finally:
                self.close()

    async def _accept(self, start: Callable[[Any], None]) -> None:
        """Accept connections for ever; listen again after a failure."""
        while True:
            listener = self._open(await self.bind())
            try:
                while True:
                    start(self._wrap(await listener.accept()))
            except (OSError, trio.ClosedResourceError) as error:
                log_failure(
                    'listener failed',
                    error,
                    purpose=self._place.purpose,
                    port=self.port,
                )
            self.close()
            await trio.sleep(as_seconds(_PAUSE_AFTER_FAILURE))

    async def _accept_waiting(self, start: Callable[[Any], None]) -> None:
        """Accept what waits as the listener is to be closed.

        Its callers may have sent their requests. No other task runs between
        the last attempt, which finds nothing, and the end of this method.
        """
        bound = self._socket
        if bound is None:
            return
        bound.setblocking(False)
        limit = trio.move_on_after(as_seconds(_LAST_ACCEPTS))
        with limit, suppress(BlockingIOError):
            for _ in range(_LAST_CONNECTIONS):
                stream = await self._accept_now(bound)
                if stream is not None:
                    start(self._wrap(stream))

    async def _accept_now(
        self, bound: socket.socket
    ) -> trio.SocketStream | None:
        """Accept a connection that waits; ``None`` if that failed.

        :raises BlockingIOError: if none waits.
        """
        try:
            accepted, _ = bound.accept()
        except BlockingIOError:
            raise
        except OSError as error:
            # Any other error is that of a connection which has ended.
            if is_exhaustion(error):
                self._exhausted.log_failure(error, SystemClock().now())
                await trio.sleep(as_seconds(RETRY_INTERVAL))
            return None
        return trio.SocketStream(trio.socket.from_stdlib_socket(accepted))

    async def _serve_connection(
        self,
        app: AppWrapper,
        state: LifespanState,
        stop: Stop,
        stream: Any,
    ) -> None:
        """Serve one connection; its failure ends no other."""
        own_state = ConnectionState(state.copy())
        connection = Connection(app, self._config, stop, own_state, stream)
        if not self._reads:
            connection.end_reading()
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_close_when_cancelled, stream)
                await connection
                nursery.cancel_scope.cancel()
        except Exception as error:
            logger.error('connection failed', error=_name_errors(error))
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(stream)

    def _bind(self) -> socket.socket:
        return bind_socket(self._place, socket.SOCK_STREAM, _BACKLOG)

    def _keep(self, bound: socket.socket) -> None:
        port: int = bound.getsockname()[1]
        self._place = replace(self._place, port=port)
        self._socket = bound
        self.was_bound = True

    def _open(self, bound: socket.socket) -> PatientListener:
        self._tls = self._config.create_ssl_context()
        return PatientListener(
            trio.SocketListener(trio.socket.from_stdlib_socket(bound)),
            self._exhausted,
        )

    def _wrap(
        self, stream: trio.SocketStream
    ) -> trio.SocketStream | trio.SSLStream[trio.SocketStream]:
        if self._tls is None:
            return stream
        return trio.SSLStream(
            stream, self._tls, server_side=True, https_compatible=True
        )

    def _configure(self, *, http2: bool) -> ConnectionConfig:
        config = ConnectionConfig()
        config.serves_http2 = http2
        if not http2:
            config.alpn_protocols = ['http/1.1']
        config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
        config.ssl_handshake_timeout = _HANDSHAKE_SECONDS
        config.h11_max_incomplete_size = _HEADER_LIMIT
        config.include_server_header = False
        config.include_date_header = False
        config.max_app_queue_size = _QUEUE
        config.accesslog = None
        config.errorlog = None
        tls = self._listener.tls
        if tls is not None:
            config.certfile = tls.certificate
            config.keyfile = tls.key
            if tls.authority:
                config.ca_certs = tls.authority
                config.verify_mode = CERT_REQUIRED
        return config


async def _close_when_cancelled(stream: trio.abc.AsyncResource) -> None:
    """Close a connection as its server ends.

    Writes are shielded, and would wait for a caller who does not read.
    """
    try:
        await trio.sleep_forever()
    finally:
        await trio.aclose_forcefully(stream)


def _name_errors(error: Exception) -> str:
    """Return the types of an error, or of all in a group."""
    if isinstance(error, ExceptionGroup):
        return ' '.join(_name_errors(each) for each in error.exceptions)
    return type(error).__name__
