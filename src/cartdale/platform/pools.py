"""Connection pools for the platform's store and upstreams."""

import socket

import httpcore

from cartdale.bounded_pool import BoundedPool
from cartdale.clock import SECOND_MS, Millis
from cartdale.transport import SHARE_PORT

#: Time after which unacknowledged bytes or unanswered keep-alive probes close a
#: connection: an established connection may go silent for good while new ones
#: can be opened.
_DEAD_LINK_TIMEOUT: Millis = 2 * SECOND_MS
_PROBE_SECONDS = 1
_PROBES = 2

_SOCKET_OPTIONS = (
    SHARE_PORT,
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _DEAD_LINK_TIMEOUT),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
)


def make_pool(
    max_idle: int | None = None,
    backend: httpcore.AsyncNetworkBackend | None = None,
) -> httpcore.AsyncConnectionPool:
    """Return a pool whose connections detect a dead link.

    :param max_idle: maximum number of idle connections kept for reuse;
        ``None`` for no bound.
    :param backend: opens the connections.
    """
    return BoundedPool(
        max_connections=None,
        max_keepalive_connections=max_idle,
        socket_options=_SOCKET_OPTIONS,
        network_backend=backend,
    )
