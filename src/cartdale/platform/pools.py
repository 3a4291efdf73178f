"""Make connections to the platform's store and upstreams."""

import socket
from typing import Any

import httpcore

from cartdale.clock import SECOND_MS, Millis, as_seconds

#: A connection comes up in a few milliseconds, or its opening packet was
#: dropped and is sent again after a second.
_CONNECT_TIMEOUT: Millis = 1500
#: Unacknowledged bytes and unanswered probes end a connection after so long:
#: a connection may fall silent for good while new ones come up.
_DEAD_LINK: Millis = 2 * SECOND_MS
_PROBE_SECONDS = 1
_PROBES = 2

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _DEAD_LINK),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
)


def make_pool(most_kept: int | None = None) -> httpcore.AsyncConnectionPool:
    """Make a pool whose connections notice a dead link.

    :param most_kept: connections that are kept after their answer; ``None``
        for no bound.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=None,
        max_keepalive_connections=most_kept,
        socket_options=_SOCKET_OPTIONS,
    )


def limit_time(timeout: Millis | None) -> dict[str, Any]:
    """Return the extensions of a request that bound its waits.

    :param timeout: longest wait for bytes; ``None`` for no bound.
    """
    longest = None if timeout is None else as_seconds(timeout)
    connect = as_seconds(min(timeout or _CONNECT_TIMEOUT, _CONNECT_TIMEOUT))
    return {'timeout': {'connect': connect, 'read': longest, 'write': longest}}
