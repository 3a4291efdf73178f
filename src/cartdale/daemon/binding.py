"""Bind the sockets of an instance, trying again while that fails."""

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from loguru import logger

from cartdale.clock import (
    MINUTE_MS,
    SECOND_MS,
    Millis,
    SystemClock,
    as_seconds,
)
from cartdale.failures import EXHAUSTED_ERRORS
from cartdale.formatting import format_error

#: Between attempts to bind a port that another process holds for a while.
RETRY_INTERVAL: Final[Millis] = 100
#: Between attempts that fail for a reason which hardly passes by itself.
SLOW_RETRY_INTERVAL: Final[Millis] = 5 * SECOND_MS
#: First and longest time between two log lines about one port.
_FIRST_LOG_INTERVAL: Millis = SECOND_MS
_MAX_LOG_INTERVAL: Millis = MINUTE_MS
#: Held by another socket, no such address yet, or too few resources.
_PASSING_ERRORS = EXHAUSTED_ERRORS | {errno.EADDRINUSE}
#: All but `OSError` are raised for text that can't be an address, or a number
#: that can't be a port.
BIND_ERRORS: Final = (OSError, ValueError, TypeError, OverflowError)


@dataclass(frozen=True, slots=True)
class Place:
    """Name what a socket is bound for, and where.

    :param purpose: what arrives there, for log lines.
    """

    purpose: str
    address: str
    port: int


class RetryLog:
    """Log the failures at a port, less and less often.

    :param event: what fails.
    """

    def __init__(self, event: str, place: Place) -> None:
        self._event = event
        self._place = place
        self._began: Millis | None = None
        self._next: Millis = 0
        self._interval = _FIRST_LOG_INTERVAL

    def log_failure(self, error: Exception, now: Millis) -> None:
        """Log a failed attempt, if it is time for a line."""
        if self._began is not None and now < self._next:
            return
        self._next = now + self._interval
        self._interval = min(2 * self._interval, _MAX_LOG_INTERVAL)
        fields = {**self._describe(now), 'detail': format_error(error)}
        logger.warning(self._event, **fields)

    def log_success(self, event: str, now: Millis) -> None:
        """Log that an attempt succeeded, if any failed."""
        if self._began is not None:
            logger.info(event, **self._describe(now))

    def _describe(self, now: Millis) -> dict[str, str | int]:
        """Return the port, and how long ago the first attempt failed."""
        if self._began is None:
            self._began = now
        return {
            'purpose': self._place.purpose,
            'address': self._place.address,
            'port': self._place.port,
            'waited_ms': now - self._began,
        }


async def bind_with_retries(
    bind: Callable[[], socket.socket], place: Place
) -> socket.socket:
    """Bind a socket, for as long as it takes.

    :param bind: tries once; raises one of ``BIND_ERRORS``.
    """
    clock = SystemClock()
    log = RetryLog('port missing', place)
    while True:
        now = clock.now()
        try:
            bound = bind()
        except BIND_ERRORS as error:
            log.log_failure(error, now)
            await trio.sleep(as_seconds(_choose_pause(error)))
            continue
        log.log_success('port bound', now)
        return bound


def bind_socket(
    place: Place, kind: socket.SocketKind, backlog: int = 0
) -> socket.socket:
    """Bind a socket once.

    :param backlog: connections that may wait to be accepted; with 0 the socket
        doesn't listen.
    :raises OSError: if the port is taken or the address is not this machine's.
    :raises ValueError, TypeError, OverflowError: if the address or the port
        can't be one.
    """
    family = socket.AF_INET6 if ':' in place.address else socket.AF_INET
    bound = socket.socket(family, kind)
    try:
        if kind is socket.SOCK_STREAM:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((place.address, place.port))
        if backlog:
            bound.listen(backlog)
    except BaseException:
        bound.close()
        raise
    return bound


def _choose_pause(error: Exception) -> Millis:
    passing = isinstance(error, OSError) and error.errno in _PASSING_ERRORS
    return RETRY_INTERVAL if passing else SLOW_RETRY_INTERVAL
