"""Messages between the gateway, the relay and the upstreams."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from cartdale.clock import SECOND_MS, Millis
from cartdale.exceptions import CartdaleError
from cartdale.fleet.types import EngineReport, UpstreamEntry
from cartdale.quarantine.identity import Fingerprint
from cartdale.relay.liveness import LifeCheck
from cartdale.relay.send_record import (
    ConfirmedCopy,
    SendPermit,
    StartedBackup,
)
from cartdale.routes.types import Route, ServiceSpec

#: Time for which an upstream may be silent and go on as before.
MAX_SOUND_SILENCE: Millis = 1500
#: Maximum wait for a copy: all of an engine's memory over its link.
COPY_TIMEOUT: Millis = 3 * SECOND_MS

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a request as the caller sent it, independent of the protocol.

    :param target: path and query, unchanged.
    :param key: the caller's credential; empty for none, ``None`` for one that
        holds no key.
    :param deadline: how long the caller waits; 0 if unspecified.
    :param prompt_tokens: tokens to read; 0 for a plain request.
    :param max_tokens: maximum number of tokens to generate.
    :param expected_tokens: the caller's estimate of the tokens to generate,
        correct at the median; 0 for none.
    :param last_event: id of the last event that the caller has from a broken
        stream; empty for a request from the start.
    :param headers: headers forwarded to the upstream unchanged.
    :param shared_parts: names of the parts of the prompt that other requests
        may share, in prompt order; the last part, the request's own, is left
        out.
    """

    request_id: str
    method: str
    host: str
    target: bytes
    key: str | None
    deadline: Millis
    headers: Headers
    body: bytes = b''
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    last_event: bytes = b''
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold a request with the route and limits configured for it.

    :param customer: sender; empty on routes without keys.
    :param priority: 0 is the most urgent.
    :param ends_at: time limit of the caller or the route.
    :param domains: failure domains that it may enter; ``None`` for all.
    :param fingerprint: identifies all submissions of the same request.
    """

    request: CallerRequest
    route: Route
    service: str
    customer: str
    priority: int
    arrived_at: Millis
    ends_at: Millis
    domains: frozenset[str] | None = None
    fingerprint: Fingerprint = Fingerprint(b'')

    @property
    def route_key(self) -> str:
        """Return its service and route, a name that others may get later."""
        return f'{self.service}/{self.route.name}'


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Locate the memory of a moved generation.

    :param address: engine that issued the handle.
    :param handle: handle of the copy at that engine.
    :param grounds: what shows that there is such memory.
    """

    address: str
    handle: str
    grounds: ConfirmedCopy | StartedBackup


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """Send a request to one upstream.

    :param permit: permits this one send.
    :param left: remaining time, in milliseconds.
    :param last_event: id of the last event that the caller has; the upstream
        resumes after it. Empty for a request from the start.
    :param resume: location of a moved generation's memory; without it the
        upstream reads the whole prompt again.
    :param backup: address of the backup engine; empty for none.
    """

    routed: RoutedRequest
    upstream: UpstreamEntry
    permit: SendPermit
    left: Millis
    last_event: bytes = b''
    resume: ResumePoint | None = None
    backup: str = ''


class ExecutionStatus(StrEnum):
    """Whether the request ran, according to the response head."""

    #: The upstream has run it or is running it.
    RAN = 'ran'
    #: The upstream refused it and never runs it.
    NOT_RUN = 'not_run'
    #: Another upstream has taken over the address and did not run it.
    REPLACED = 'replaced'


def _never_reset() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class OpenedResponse:
    """Hold the head of a response and read its body.

    :param headers: headers forwarded to the caller unchanged.
    :param framed: whether the body is delimited; otherwise it ends with its
        connection.
    :param backoff: back-off that the upstream requests from this instance.
    :param carrier: instance that carries the response; empty for none.
    :param chunks: raises ``LinkBrokeError`` unless the body is complete.
    :param denies_run: whether the status promises that the request did not run,
        though it did: callers would send it again.
    :param was_reset: tells whether its connection was reset since its end;
        never of one that another instance carries, which is not known here.
    """

    status: int
    headers: Headers
    execution: ExecutionStatus
    chunks: AsyncIterator[bytes]
    framed: bool = True
    backoff: Millis = 0
    carrier: str = ''
    denies_run: bool = False
    was_reset: Callable[[], bool] = _never_reset


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """Hold a complete response of an upstream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing of the request was sent.

    :param confirmed: whether the upstream is at fault; otherwise perhaps only
        the path from this instance is.
    :param refused: whether a connection was refused, not left without an
        answer.
    """

    detail: str
    confirmed: bool = True
    refused: bool = True


@dataclass(frozen=True, slots=True)
class SendWithheld:
    """Nothing was sent: the upstream is leaving or backing off."""


@dataclass(frozen=True, slots=True)
class Unwritable:
    """Nothing was sent: the request's head can't be written.

    :param part: the header at fault; ``target`` for the path and query.
    """

    part: str


@dataclass(frozen=True, slots=True)
class LinkBroke:
    """The request may have run; no complete response was received.

    :param timed_out: whether the read timed out on an intact connection.
    :param by_intermediary: whether the instance failed that carried it.
    :param carrier: instance over which the read timed out; empty for none.
    """

    detail: str
    timed_out: bool = False
    by_intermediary: bool = False
    carrier: str = ''


SendFailure = NotSent | SendWithheld | Unwritable | LinkBroke
Opened = AbstractAsyncContextManager[Result[OpenedResponse, SendFailure]]


class LinkBrokeError(CartdaleError):
    """Raised when a response body ends before it is complete.

    :param detail: the transport's error.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


@dataclass(frozen=True, slots=True)
class MemoryCopy:
    """Request that an engine copies a generation's memory to another.

    :param last: whether the generation stops first.
    :param timeout: maximum wait for the response.
    """

    request_id: str
    source: str
    target: str
    last: bool
    timeout: Millis = COPY_TIMEOUT


@dataclass(frozen=True, slots=True)
class Copied:
    """The copy is complete.

    :param handle: handle of the copy.
    :param events: events generated so far.
    """

    handle: str
    events: int


class CopyFault(StrEnum):
    """Reason why a copy failed."""

    #: The engine does not run the generation.
    UNKNOWN_RUN = 'unknown_run'
    #: Another copy of it is in progress.
    BUSY = 'busy'
    #: The target has no capacity or can't be reached.
    NO_ROOM = 'no_room'
    #: The engine can't be reached: no request was sent.
    UNREACHABLE = 'unreachable'
    #: The connection or its response broke. An engine that lives may close
    #: connections beyond a number.
    BROKEN = 'broken'
    #: No response was received in time.
    NO_ANSWER = 'no_answer'


@dataclass(frozen=True, slots=True)
class CopyFailed:
    """The copy failed, or its outcome is unknown.

    :param handle: handle of the memory that a stopped source keeps.
    """

    fault: CopyFault
    handle: str = ''


class UpstreamPort(Protocol):
    """Send requests to upstreams."""

    def open(self, call: UpstreamCall) -> Opened:
        """Send a request and read the head of its response."""

    async def copy(self, copy: MemoryCopy) -> Result[Copied, CopyFailed]:
        """Copy a generation's memory."""

    async def release_copy(self, address: str, handle: str) -> None:
        """Free an unused copy."""

    async def report(self, address: str) -> Result[EngineReport, SendFailure]:
        """Fetch the report of an engine."""

    async def check_life(
        self,
        upstream: UpstreamEntry,
        spec: ServiceSpec | None,
        through: str = '',
        patience: Millis = 0,
    ) -> LifeCheck:
        """Check whether an upstream ended or restarted since its entry.

        :param spec: its service in the configuration.
        :param through: instance to ask through first; empty for the direct
            path.
        :param patience: time that a plain service may let the question wait
            for a slot; 0 for no longer than an idle one takes.
        """


class ResponseSink(Protocol):
    """Write a response to the caller."""

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head."""

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body."""

    async def finish(self) -> None:
        """Mark the body as complete."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
