"""Connection pools for the platform's store and upstreams."""

import socket
from typing import Any

import httpcore

from cartdale.clock import SECOND_MS, Millis, as_seconds

#: A connection is established in a few milliseconds, or its SYN was dropped and
#: is retransmitted after a second.
_CONNECT_TIMEOUT: Millis = 1500
#: Time after which unacknowledged bytes or unanswered keep-alive probes close a
#: connection: an established connection may go silent for good while new ones
#: can be opened.
_DEAD_LINK_TIMEOUT: Millis = 2 * SECOND_MS
_PROBE_SECONDS = 1
_PROBES = 2

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _DEAD_LINK_TIMEOUT),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
)


def make_pool(max_idle: int | None = None) -> httpcore.AsyncConnectionPool:
    """Return a pool whose connections detect a dead link.

    :param max_idle: maximum number of idle connections kept for reuse;
        ``None`` for no bound.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=None,
        max_keepalive_connections=max_idle,
        socket_options=_SOCKET_OPTIONS,
    )


def make_timeouts(timeout: Millis | None) -> dict[str, Any]:
    """Return the request extensions that set its timeouts.

    :param timeout: maximum wait for bytes; ``None`` for no bound.
    """
    seconds = None if timeout is None else as_seconds(timeout)
    connect = as_seconds(min(timeout or _CONNECT_TIMEOUT, _CONNECT_TIMEOUT))
    return {'timeout': {'connect': connect, 'read': seconds, 'write': seconds}}
