"""Messages between an instance and an engine, free of the wire format."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from cartdale.clock import Millis
from cartdale.model.types import LoadReport


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """Ask an engine for one generation.

    :param path: ``/v1/completions`` or ``/v1/chat/completions``.
    :param body: the caller's JSON object, unchanged.
    :param seed: sampling seed, so that a repeat can be compared.
    """

    generation: str
    path: str
    body: bytes
    seed: int
    priority: int


@dataclass(frozen=True, slots=True)
class Event:
    """Carry one streamed chunk.

    :param generation: the generation that the engine says it belongs to.
    :param offset: number of tokens up to and with this chunk.
    :param payload: the chunk as the engine sent it.
    """

    generation: str
    offset: int
    payload: str


@dataclass(frozen=True, slots=True)
class EngineRefused:
    """The engine refused before running anything.

    :param backoff: how long it wants no requests; 0 when it does not say.
    """

    status: int
    backoff: Millis = 0


@dataclass(frozen=True, slots=True)
class EngineUnreachable:
    """Nothing of the request was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection failed after something was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class GenerationUnknown:
    """The engine does not know this generation."""


class StreamPhase(StrEnum):
    """Say what an engine does with a generation."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class StreamStatus:
    """Answer a status query.

    :param produced: tokens produced so far.
    :param readers: open streams on this generation.
    """

    phase: StreamPhase
    produced: int
    readers: int = 0


@dataclass(frozen=True, slots=True)
class Order:
    """Command an engine; ``fence`` must not be smaller than any before."""

    fence: int
    verb: str
    subject: str
    version: str = ''


EngineFailure = EngineRefused | EngineUnreachable | LinkLost | GenerationUnknown
#: Batches of events, as many as arrived together.
Events = AsyncIterator[tuple[Event, ...]]
OpenedEvents = AbstractAsyncContextManager[Result[Events, EngineFailure]]


class Engine(Protocol):
    """Reach one engine."""

    def start(self, request: GenerationRequest) -> OpenedEvents:
        """Begin a generation and stream it."""

    def attach(self, generation: str, offset: int) -> OpenedEvents:
        """Continue a generation after ``offset`` tokens."""

    async def status(
        self, generation: str, timeout: Millis
    ) -> Result[StreamStatus, EngineFailure]:
        """Ask what the engine does with a generation."""

    async def cancel(self, generation: str) -> Result[None, EngineFailure]:
        """End a generation that nobody waits for."""

    async def raise_priority(
        self, generation: str, priority: int
    ) -> Result[None, EngineFailure]:
        """Protect a generation that has run long."""

    async def report(self) -> Result[LoadReport, EngineFailure]:
        """Read the load."""

    async def command(self, order: Order) -> Result[None, EngineFailure]:
        """Give a fenced order."""
