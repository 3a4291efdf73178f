"""Messages between the gateway, the relay and the upstreams."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from cartdale.clock import SECOND_MS, Millis
from cartdale.exceptions import CartdaleError
from cartdale.fleet.types import EngineReport, UpstreamEntry
from cartdale.quarantine.identity import Identity
from cartdale.routes.types import Route, ServiceSpec

#: Longest wait for a copy: all of an engine's memory over its link.
COPY_TIMEOUT: Millis = 3 * SECOND_MS

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a request as the caller sent it, free of wire names.

    :param target: path and query, unchanged.
    :param key: the caller's credential; empty for none.
    :param deadline: how long the caller waits; 0 when it did not say.
    :param prompt_tokens: tokens to read; 0 for a plain request.
    :param max_tokens: the most tokens to make.
    :param expected_tokens: the caller's estimate of the tokens to make,
        right at the median; 0 when it gave none.
    :param last_event: id of the last event that the caller has from a stream
        that broke; empty for a request from the start.
    :param headers: those that an upstream gets as they are.
    """

    request_id: str
    method: str
    host: str
    target: bytes
    key: str
    deadline: Millis
    headers: Headers
    body: bytes = b''
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    last_event: bytes = b''

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold a request with what the configuration says of it.

    :param customer: who sent it; empty on routes without keys.
    :param priority: 0 is the most urgent.
    :param ends_at: when the caller or the route gives it up.
    :param domains: failure domains that it may enter; ``None`` for all.
    :param identity: what it has in common with other submissions of the same
        request.
    """

    request: CallerRequest
    route: Route
    service: str
    customer: str
    priority: int
    arrived_at: Millis
    ends_at: Millis
    domains: frozenset[str] | None = None
    identity: Identity = b''


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Say where the memory of a moved generation lies.

    :param address: engine that names the copy.
    :param handle: the copy's name there.
    """

    address: str
    handle: str


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """Send a request to one upstream.

    :param left: time that remains, in milliseconds.
    :param last_event: id of the last event that the caller has; the upstream
        goes on after it. Empty for a request from the start.
    :param resume: where the memory of a moved generation lies; without it
        the upstream reads everything anew.
    :param backup: address of the engine to keep up to date; empty for none.
    """

    routed: RoutedRequest
    upstream: UpstreamEntry
    left: Millis
    last_event: bytes = b''
    resume: ResumePoint | None = None
    backup: str = ''


class ExecutionStatus(StrEnum):
    """Say what an answer's head tells of the request."""

    #: The upstream ran it, or runs it.
    RAN = 'ran'
    #: The upstream turned it away and never runs it.
    NOT_RUN = 'not_run'
    #: Another upstream has the address; it did not run the request.
    REPLACED = 'replaced'


@dataclass(frozen=True, slots=True)
class OpenedResponse:
    """Hold the head of an answer and read its body.

    :param headers: those that the caller gets as they are.
    :param framed: whether the body says by itself where it ends; else it ends
        with its connection.
    :param backoff: how long the upstream wants nothing from this instance.
    :param chunks: raises ``LinkBrokeError`` unless the body ends whole.
    """

    status: int
    headers: Headers
    execution: ExecutionStatus
    chunks: AsyncIterator[bytes]
    framed: bool = True
    backoff: Millis = 0


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """Hold an upstream's answer that is whole."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing of the request was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class SendWithheld:
    """Nothing was sent: the upstream wants nothing any more, or for now."""


@dataclass(frozen=True, slots=True)
class LinkBroke:
    """The request may have run; no whole answer came.

    :param timed_out: whether nothing came in time, though nothing broke.
    """

    detail: str
    timed_out: bool = False


SendFailure = NotSent | SendWithheld | LinkBroke
Opened = AbstractAsyncContextManager[Result[OpenedResponse, SendFailure]]


class LinkBrokeError(CartdaleError):
    """Signal that an answer's body ended before it was whole.

    :param detail: what the transport saw.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


@dataclass(frozen=True, slots=True)
class MemoryCopy:
    """Ask an engine to copy a generation's memory to another.

    :param last: whether the generation stops first.
    :param timeout: longest wait for the answer.
    """

    request_id: str
    source: str
    target: str
    last: bool
    timeout: Millis = COPY_TIMEOUT


@dataclass(frozen=True, slots=True)
class Copied:
    """The copy is done.

    :param handle: the copy's name.
    :param events: events made so far.
    """

    handle: str
    events: int


class CopyFault(StrEnum):
    """Say why a copy was not made."""

    #: The engine does not run such a generation.
    UNKNOWN_RUN = 'unknown_run'
    #: Another copy of it is under way.
    BUSY = 'busy'
    #: The target has no room or can't be reached.
    NO_ROOM = 'no_room'
    #: The engine can't be reached: nothing was asked of it.
    UNREACHABLE = 'unreachable'
    #: No answer came.
    NO_ANSWER = 'no_answer'


@dataclass(frozen=True, slots=True)
class CopyFailed:
    """The copy was not made, or nobody knows.

    :param handle: names the memory that a stopped source keeps.
    """

    fault: CopyFault
    handle: str = ''


class UpstreamPort(Protocol):
    """Reach upstreams."""

    def open(self, call: UpstreamCall) -> Opened:
        """Send a request and read the head of its answer."""

    async def copy(self, copy: MemoryCopy) -> Result[Copied, CopyFailed]:
        """Copy a generation's memory."""

    async def release_copy(self, address: str, handle: str) -> None:
        """Free a copy that is not needed."""

    async def report(self, address: str) -> Result[EngineReport, SendFailure]:
        """Read what an engine holds."""

    async def is_gone(
        self, upstream: UpstreamEntry, spec: ServiceSpec | None
    ) -> bool:
        """Tell whether an upstream ended, or started anew since its entry.

        :param spec: its service, as the configuration describes it.
        """


class ResponseSink(Protocol):
    """Write an answer to the caller."""

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head."""

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body."""

    async def finish(self) -> None:
        """Mark the body as whole."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write an answer that is known as a whole."""
