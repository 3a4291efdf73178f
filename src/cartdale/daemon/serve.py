"""Serve one HTTP application on one listener."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial
from ssl import CERT_REQUIRED
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from cartdale.clock import SECOND_MS, Millis
from cartdale.daemon.accepting import ConnectionQueue
from cartdale.settings.types import Listener

#: Streams in progress are never cut; they end by themselves.
_GRACEFUL_SECONDS = 86400
_KEEP_ALIVE_SECONDS = 60
_BACKLOG = 512
_HEADER_LIMIT = 16384
#: Events that wait for an application which does not read.
_QUEUE = 32


#: A framework's application or a plain ASGI callable: both are called.
Application = Callable[..., Awaitable[None]]


class BoundListener:
    """Own a bound socket, so that port 0 becomes a known port."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        family = socket.AF_INET6 if ':' in listener.address else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((listener.address, listener.port))
        self._socket.listen(_BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        self._config = self._configure()

    async def serve(self, app: Application, stopping: trio.Event) -> None:
        """Serve until ``stopping`` is set and all answers have ended."""
        shutdown: Callable[..., Awaitable[Any]] = stopping.wait
        served: Any = app
        await serve(
            served, self._config, mode='asgi', shutdown_trigger=shutdown
        )

    async def serve_queued(
        self, app: Application, stopping: trio.Event, queue: ConnectionQueue
    ) -> None:
        """Serve as `serve` does, and read connections as the queue tells.

        This replaces the server's own loop, which reads whatever it accepts.
        """
        context = WorkerContext(None)
        serve_stream = partial(self._serve_stream, app, context)
        listener = self._config.create_sockets().insecure_sockets[0]
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(queue.accept, listener)
                accepting.start_soon(queue.serve, serve_stream, connections)
                await stopping.wait()
                accepting.cancel_scope.cancel()
            listener.close()
            queue.close_waiting()
            await context.terminated.set()

    def limit(self, header_bytes: int, idle_timeout: Millis) -> None:
        """Bound new connections' headers and all connections' rests."""
        self._config.h11_max_incomplete_size = header_bytes
        self._config.keep_alive_timeout = idle_timeout / SECOND_MS

    async def _serve_stream(
        self, app: Any, context: WorkerContext, stream: Any
    ) -> None:
        wrapped = wrap_app(app, self._config.wsgi_max_body_size, 'asgi')
        state = ConnectionState({})
        server = TCPServer(wrapped, self._config, context, state, stream)
        await server.run()

    def _configure(self) -> Config:
        config = Config()
        config.bind = [f'fd://{self._socket.detach()}']
        config.graceful_timeout = _GRACEFUL_SECONDS
        config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
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
