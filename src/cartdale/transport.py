"""Tell failures before sending from failures after it."""

import socket
from collections.abc import (
    Awaitable,
    Callable,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import AbstractAsyncContextManager, contextmanager
from typing import Any, Final

import h11
import httpcore
import trio

from cartdale.bodies import read_bounded
from cartdale.clock import Millis, as_seconds
from cartdale.statuses import check_final

#: Maximum wait for a connection if there is no other way: it is established in
#: a few milliseconds, or its SYN was dropped and is sent again after a second.
MAX_CONNECT_WAIT: Millis = 1500
#: A connection is waited for at least so long, however soon a response is due:
#: a path counts as blocked after that.
MIN_CONNECT_WAIT: Millis = 250
#: Lets listeners have the port that the system gave to an outgoing connection:
#: instances on one host would otherwise keep each other from starting.
SHARE_PORT: Final = (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
#: Maximum size of an answer of the store or of another instance, in bytes.
MAX_ANSWER: Final = 16777216
#: Time-outs of a read within which an answer is whole.
_READS = 2
#: Headers that delimit a body.
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
_HOST: Final = b'host'
_Fields = Sequence[tuple[bytes, bytes]]
#: httpcore response extension: name of the instance that carried a response.
CARRIER_EXTENSION = 'cartdale.carrier'
#: httpcore trace event: the connection is open and the request is sent next.
_BEFORE_SENDING = 'http11.send_request_headers.started'


class SendTrace:
    """Trace callback of httpcore that notes when a request may leave.

    :param before_sending: called just before that; raises to withhold it.
    """

    def __init__(
        self, before_sending: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        self._before_sending = before_sending
        #: Whether the request may have left.
        self.began = False

    async def __call__(self, event: str, _: Mapping[str, Any]) -> None:
        """Handle a trace event of the connection; httpcore awaits each."""
        if event != _BEFORE_SENDING:
            return
        if self._before_sending is not None:
            await self._before_sending()
        self.began = True


class PathUnclearError(httpcore.ConnectError):
    """Raised when an upstream was not reached, perhaps for want of a path.

    Nothing was sent. No other instance could tell whether the upstream is at
    fault or the path from this instance.
    """


class CarriedTimeoutError(httpcore.ReadTimeout):
    """Raised when an upstream does not respond in time over an intermediary.

    :param carrier: name of the intermediary.
    """

    def __init__(self, detail: str, carrier: str) -> None:
        super().__init__(detail)
        self.carrier = carrier


class IntermediaryError(Exception):
    """Raised when an instance failed that carried a request.

    The request may have run. Nothing is known of the upstream.
    """


class IntermediaryLostError(IntermediaryError, httpcore.ReadTimeout):
    """Raised when the connection to an intermediary broke or timed out."""


class IntermediaryReplyError(IntermediaryError, httpcore.RemoteProtocolError):
    """Raised when an intermediary answered without a sound reply."""


#: Failures before a request left this process: it certainly had no effect.
HTTPCORE_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


def is_refusal(error: Exception) -> bool:
    """Tell whether a connection was refused, not left without an answer."""
    return not isinstance(error, httpcore.TimeoutException)


def find_carrier(response: httpcore.Response) -> str:
    """Return the instance that carried a response; empty for none."""
    carrier: str = response.extensions.get(CARRIER_EXTENSION, '')
    return carrier


def find_unwritable(request: httpcore.Request) -> str:
    """Return the part of a head that can't be written; empty for none.

    That part's text is left out: it may be of any length, or secret.
    """
    target = request.url.target
    if _fits_head(request.method, target, request.headers):
        return ''
    for name, value in request.headers:
        if not _fits_head(request.method, b'*', ((name, value),)):
            return name.decode('latin-1')
    return 'target'


def _fits_head(method: bytes, target: bytes, headers: _Fields) -> bool:
    """Tell whether a head can be written, with a host added if it lacks one."""
    named = any(name.lower() == _HOST for name, _ in headers)
    listed = list(headers) if named else [(_HOST, b''), *headers]
    try:
        h11.Request(method=method, target=target, headers=listed)
    except h11.LocalProtocolError:
        return False
    return True


def is_framed(response: httpcore.Response) -> bool:
    """Tell whether a body is delimited; otherwise it ends as its connection."""
    names = {name.lower() for name, _ in response.headers}
    return not _FRAMING_HEADERS.isdisjoint(names)


def find_longest(timeout: Millis) -> Millis:
    """Return the time for a call and its answer.

    :param timeout: of each read; 0 for no bound.
    """
    return MAX_CONNECT_WAIT + _READS * timeout if timeout else 0


@contextmanager
def bound_answer(longest: Millis) -> Iterator[None]:
    """Bound a call and its answer, whose time-outs are those of each read.

    :param longest: time for all of it; 0 for no bound.
    :raises httpcore.ReadTimeout: if the answer is not whole in time.
    """
    if not longest:
        yield
        return
    scope = trio.move_on_after(as_seconds(longest))
    with scope:
        yield
    if scope.cancelled_caught:
        raise httpcore.ReadTimeout('the answer is not whole in time')


async def read_answer(
    opened: AbstractAsyncContextManager[httpcore.Response], longest: Millis
) -> httpcore.Response:
    """Return the answer to a call, read whole.

    :param opened: sends the call.
    :param longest: time for all of it.
    :raises httpcore.ReadTimeout: if the answer is not whole in time.
    :raises httpcore.RemoteProtocolError: if it is larger than ``MAX_ANSWER``,
        or its status is not that of a final response.
    """
    with bound_answer(longest):
        async with opened as response:
            check_final(response)
            return await read_bounded(response, MAX_ANSWER)


def make_connect_error(
    detail: str, *, refused: bool
) -> httpcore.ConnectError | httpcore.ConnectTimeout:
    """Return the error of a connection that was not opened.

    :param refused: whether it was refused, not left without an answer.
    """
    if refused:
        return httpcore.ConnectError(detail)
    return httpcore.ConnectTimeout(detail)


def make_timeouts(
    timeout: Millis, connect_wait: Millis = MAX_CONNECT_WAIT
) -> dict[str, Any]:
    """Return the request extensions that set its timeouts.

    :param timeout: maximum wait for bytes; 0 for no bound.
    :param connect_wait: maximum wait for a connection.
    """
    seconds = as_seconds(timeout) if timeout else None
    longest = max(timeout, MIN_CONNECT_WAIT) if timeout else connect_wait
    connect = as_seconds(min(longest, connect_wait))
    return {'timeout': {'connect': connect, 'read': seconds, 'write': seconds}}


#: What is raised once a request may have had an effect.
HTTPCORE_UNKNOWN_OUTCOME_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
