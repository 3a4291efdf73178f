"""Connection pool that guards what the client library reads of responses.

The client library reads past informational responses for as long as they come,
and each of them counts as a sign of life for its time-outs. Here the bytes, the
informational responses and the time until the head of the final response are
bounded, and it is read in parts so small that other tasks run in between. The
library also joins a folded field to one line; here its response is refused.

The library drops the error of a failed write, since a response may have
come before it. The system reports the error of a connection only once, so that
the reads after it end as if the response had ended in order. A reset that
follows an end in order is reported to no read at all.
"""

import re
import socket
import ssl
from collections import Counter
from collections.abc import Iterable, Mapping
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any, Final

import httpcore
import trio
from loguru import logger

#: Maximum size of a head, with all informational responses before it, in bytes.
MAX_HEAD: Final = 102400
#: Maximum number of informational responses before a response.
MAX_INFORMATIONAL: Final = 16
#: Bytes that are read at once until the head is complete.
_READ_BYTES: Final = 4096
#: Each head ends with an empty line.
_HEAD_END: Final = re.compile(rb'\n\r?\n')
#: Begins a line that continues the field in the one before.
_FOLD: Final = re.compile(rb'\n[ \t]')
_INFORMATIONAL: Final = re.compile(rb'HTTP/\d\.\d 1')
#: Addresses whose faults are counted apart.
_MAX_ADDRESSES: Final = 1000
#: Counted together once there are more.
_OTHERS: Final = 'others'
_faults_by_address: Counter[str] = Counter()


class EndlessHeadError(httpcore.RemoteProtocolError):
    """Raised when a response has no head within its bounds.

    The request may have run.
    """


class FoldedHeadError(httpcore.RemoteProtocolError):
    """Raised when a field of a head continues in another line.

    Who wrote it may have meant a field of its own, such as the length of the
    body. RFC 9112, section 5.2, has a gateway refuse the response, or join the
    lines, as the client library does. The request may have run.
    """


class UnwrittenRequestError(httpcore.WriteError):
    """Raised when a connection ends whose request was not written whole.

    A response without framing may be cut there. The request may have run.
    """


@dataclass(slots=True)
class _HeadBudget:
    """Bound what is read before the head of one response is complete.

    :param received: what was read.
    :param heads: heads that ended in these bytes.
    :param ends_at: when the head must be complete, in seconds of the loop;
        ``None`` before the first read.
    """

    received: bytearray = field(default_factory=bytearray)
    heads: int = 0
    ends_at: float | None = None

    def check(self, timeout: float | None) -> float | None:
        """Return the time left for the next read, in seconds.

        :param timeout: for the whole head; ``None`` for no bound.
        :raises EndlessHeadError: if nothing is left of the budget.
        """
        size = len(self.received)
        if size >= MAX_HEAD or self.heads > MAX_INFORMATIONAL:
            raise EndlessHeadError(
                f'no response after {size} bytes, {self.heads} heads'
            )
        if timeout is None:
            return None
        if self.ends_at is None:
            self.ends_at = trio.current_time() + timeout
        return max(self.ends_at - trio.current_time(), 0)

    def note(self, received: bytes) -> None:
        """Count what was read."""
        self.received += received
        self.heads += len(_HEAD_END.findall(received))

    def has_fold(self) -> bool:
        """Tell whether a head that was read has a folded field.

        What follows the head of a final response is its body.
        """
        for head in _HEAD_END.split(self.received):
            if _FOLD.search(head):
                return True
            if not _INFORMATIONAL.match(head):
                break
        return False


#: The budget of the request whose head this task reads.
_budget: ContextVar[_HeadBudget | None] = ContextVar('_budget', default=None)


class BoundedPool(httpcore.AsyncConnectionPool):
    """Connection pool whose responses are bounded, and known to be cut.

    :param network_backend: opens the connections.
    :param options: further parameters of the library's pool.
    """

    def __init__(
        self,
        ssl_context: ssl.SSLContext | None = None,
        *,
        network_backend: httpcore.AsyncNetworkBackend | None = None,
        **options: Any,
    ) -> None:
        super().__init__(
            ssl_context,
            network_backend=_BoundedBackend(network_backend),
            **options,
        )

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return its response, with the body unread.

        :raises EndlessHeadError: if the head exceeds its bounds.
        :raises FoldedHeadError: if a field in it is folded.
        """
        budget = _HeadBudget()
        token = _budget.set(budget)
        try:
            response = await super().handle_async_request(request)
        except EndlessHeadError as error:
            _note_fault(request.url, str(error))
            raise
        finally:
            _budget.reset(token)
        if budget.has_fold():
            await response.aclose()
            raise FoldedHeadError('a field continues in another line')
        return response


def was_reset(extensions: Mapping[str, Any]) -> bool:
    """Tell whether a connection was reset after a response on it had ended.

    One that is closed already can't tell, and counts as reset.

    :param extensions: those of the response; without a connection among them
        there is nothing to be reset.
    """
    stream = extensions.get('network_stream')
    return stream is not None and _has_failed(stream)


def count_endless_heads() -> int:
    """Return how many responses had no head within its bounds so far."""
    return _faults_by_address.total()


class _BoundedBackend(httpcore.AsyncNetworkBackend):
    """Open connections that obey the budget of the task that reads."""

    def __init__(self, backend: httpcore.AsyncNetworkBackend | None) -> None:
        self._backend = backend or httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(
            host=host,
            port=port,
            timeout=timeout,
            local_address=local_address,
            socket_options=socket_options,
        )
        return _BoundedStream(stream)


class _BoundedStream(httpcore.AsyncNetworkStream):
    """Connection that obeys the budget of the task that reads.

    It also raises in place of an end that may not be that of a response.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        #: Whether a write failed, whose error is told only once.
        self._write_failed = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes.

        :raises EndlessHeadError: if a head exceeds its bounds.
        :raises UnwrittenRequestError: at the end of the connection, if a write
            failed.
        :raises httpcore.ReadError: at its end, if it was reset since.
        """
        received = await self._read_within_budget(max_bytes, timeout)
        if received:
            return received
        if self._write_failed:
            raise UnwrittenRequestError('the request was not written whole')
        if _has_failed(self):
            raise httpcore.ReadError('the connection was reset after its end')
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes."""
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._write_failed = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Encrypt the connection from here on."""
        stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return _BoundedStream(stream)

    def get_extra_info(self, kind: str) -> Any:
        """Return what the connection tells of itself."""
        return self._stream.get_extra_info(kind)

    async def _read_within_budget(
        self, max_bytes: int, timeout: float | None
    ) -> bytes:
        budget = _budget.get()
        if budget is None:
            return await self._stream.read(max_bytes, timeout)
        left = budget.check(timeout)
        received = await self._stream.read(min(max_bytes, _READ_BYTES), left)
        budget.note(received)
        return received


def _has_failed(stream: httpcore.AsyncNetworkStream) -> bool:
    """Tell whether a connection has an error that nobody was told yet."""
    connection = stream.get_extra_info('socket')
    try:
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError:
        return True
    return bool(error)


def _note_fault(url: httpcore.URL, detail: str) -> None:
    """Count a fault, and log the first one of an address."""
    address = f'{url.host.decode("latin-1")}:{url.port}'
    full = len(_faults_by_address) >= _MAX_ADDRESSES
    if full and address not in _faults_by_address:
        address = _OTHERS
    _faults_by_address[address] += 1
    if _faults_by_address[address] == 1:
        logger.warning('endless response head', address=address, detail=detail)
