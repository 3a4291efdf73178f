"""Read one open stream from an engine into a bounded buffer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import trio
from returns.result import Failure, Result, Success

from cartdale.engines.http import STREAM_ERRORS
from cartdale.engines.types import (
    EngineFailure,
    EngineRefused,
    EngineUnreachable,
    Event,
    Events,
    GenerationUnknown,
    LinkLost,
    OpenedEvents,
)
from cartdale.streams.types import (
    GenerationLost,
    LinkBroke,
    NotSent,
    StartRefused,
    StreamCompleted,
)

#: Events buffered for a slow caller; the engine holds the remaining ones.
_READ_AHEAD = 512

Closing = StreamCompleted | LinkBroke | NotSent | StartRefused | GenerationLost


@asynccontextmanager
async def refuse_while_backing_off() -> AsyncIterator[
    Result[Events, EngineFailure]
]:
    """Refuse in place of an engine that is backing off; send nothing."""
    yield Failure(EngineRefused(HTTPStatus.SERVICE_UNAVAILABLE))


class Link:
    """Read one stream until it ends, fails or is dropped."""

    def __init__(self) -> None:
        self._scope = trio.CancelScope()
        self._events: list[Event] = []
        self._arrived = trio.Event()
        self._taken = trio.Event()
        self.closing: Closing | None = None

    async def run(self, opener: OpenedEvents) -> None:
        """Open the stream and read it."""
        with self._scope:
            try:
                await self._read(opener)
            except STREAM_ERRORS:
                self.closing = LinkBroke()
            except Exception:
                self.closing = LinkBroke()
                self._arrived.set()
                raise
        self._arrived.set()

    def drop(self) -> None:
        """Stop reading."""
        self._scope.cancel()

    def take(self) -> tuple[Event, ...]:
        """Return the events that arrived since the last call."""
        events = tuple(self._events)
        self._events.clear()
        self._taken.set()
        if self.closing is None:
            self._arrived = trio.Event()
        return events

    async def wait(self) -> None:
        """Wait until events are available or the stream closed."""
        await self._arrived.wait()

    async def _read(self, opener: OpenedEvents) -> None:
        async with opener as opened:
            self.closing = await self._consume(opened)

    async def _consume(self, opened: Result[Events, EngineFailure]) -> Closing:
        match opened:
            case Success(batches):
                async for batch in batches:
                    self._events.extend(batch)
                    self._arrived.set()
                    await self._wait_for_capacity()
                return StreamCompleted()
            case Failure(failure):
                return _to_closing(failure)
        return LinkBroke()

    async def _wait_for_capacity(self) -> None:
        while len(self._events) > _READ_AHEAD:
            self._taken = trio.Event()
            await self._taken.wait()


def _to_closing(failure: EngineFailure) -> Closing:
    match failure:
        case EngineRefused(backoff=backoff):
            return StartRefused(backoff)
        case EngineUnreachable():
            return NotSent()
        case GenerationUnknown():
            return GenerationLost()
        case LinkLost():
            return LinkBroke()
