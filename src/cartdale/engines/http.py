"""Adapter to an engine that streams OpenAI completions over HTTP."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import TypeVar

import httpx
import trio
from returns.result import Failure, Result, Success
from sseclient import SSEClient

from cartdale.bodies import take_turns
from cartdale.client_transport import HTTPX_NOT_SENT_ERRORS, send_traced
from cartdale.clock import Millis, as_seconds
from cartdale.codec import decode_integer, decode_json, encode_json
from cartdale.engines.types import (
    EngineFailure,
    EngineRefused,
    EngineUnreachable,
    Event,
    Events,
    GenerationRequest,
    GenerationUnknown,
    LinkLost,
    Order,
    StreamStatus,
)
from cartdale.exceptions import UndecodableError
from cartdale.formatting import format_error
from cartdale.model.types import LoadReport
from cartdale.pressure.types import MAX_EVENT
from cartdale.retries.backoffs import parse_retry_after
from cartdale.streams.chunks import decode_chunk

Answer = TypeVar('Answer')

HEADER_GENERATION = 'X-Request-Id'
HEADER_PRIORITY = 'X-Priority'
HEADER_SEED = 'X-Seed'
END_MARK = '[DONE]'
_EVENT_END = b'\n\n'
#: Wait for the end of a body whose last event has come.
_DRAIN_PATIENCE: Millis = 200

_REFUSALS = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@dataclass(frozen=True, slots=True)
class PriorityChange:
    """Carry a new priority."""

    priority: int


class HttpEngine:
    """Reach one engine over a shared HTTP client.

    :param client: client shared by all engines.
    :param address: base URL of the engine.
    :param timeout: longest wait for connecting and control calls.
    """

    def __init__(
        self, client: httpx.AsyncClient, address: str, timeout: Millis
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = as_seconds(timeout)
        self._stream_timeout = httpx.Timeout(None, connect=self._timeout)

    @asynccontextmanager
    async def start(
        self, request: GenerationRequest
    ) -> AsyncIterator[Result[Events, EngineFailure]]:
        """Begin a generation and stream it."""
        outgoing = self._client.build_request(
            'POST',
            f'{self._address}{request.path}',
            content=request.body,
            headers={
                'Content-Type': 'application/json',
                HEADER_GENERATION: request.generation,
                HEADER_PRIORITY: str(request.priority),
                HEADER_SEED: str(request.seed),
            },
            timeout=self._stream_timeout,
        )
        async with self._open(outgoing) as opened:
            yield opened

    @asynccontextmanager
    async def attach(
        self, generation: str, offset: int
    ) -> AsyncIterator[Result[Events, EngineFailure]]:
        """Continue a generation after ``offset`` tokens."""
        outgoing = self._client.build_request(
            'GET',
            f'{self._address}/v1/streams/{generation}',
            params={'offset': offset},
            timeout=self._stream_timeout,
        )
        async with self._open(outgoing) as opened:
            yield opened

    async def status(
        self, generation: str, timeout: Millis
    ) -> Result[StreamStatus, EngineFailure]:
        """Ask what the engine does with a generation."""
        answer = await self._call(
            'GET',
            f'/v1/streams/{generation}/status',
            timeout=as_seconds(timeout),
        )
        return answer.bind(partial(_decode, StreamStatus))

    async def cancel(self, generation: str) -> Result[None, EngineFailure]:
        """End a generation that nobody waits for."""
        answer = await self._call('DELETE', f'/v1/streams/{generation}')
        return answer.map(_to_nothing)

    async def raise_priority(
        self, generation: str, priority: int
    ) -> Result[None, EngineFailure]:
        """Protect a generation that has run long."""
        answer = await self._call(
            'POST',
            f'/v1/streams/{generation}/priority',
            body=encode_json(PriorityChange(priority)),
        )
        return answer.map(_to_nothing)

    async def report(self) -> Result[LoadReport, EngineFailure]:
        """Read the load."""
        answer = await self._call('GET', '/v1/load')
        return answer.bind(partial(_decode, LoadReport))

    async def command(self, order: Order) -> Result[None, EngineFailure]:
        """Give a fenced order."""
        answer = await self._call('POST', '/v1/orders', body=encode_json(order))
        return answer.map(_to_nothing)

    @asynccontextmanager
    async def _open(
        self, outgoing: httpx.Request
    ) -> AsyncIterator[Result[Events, EngineFailure]]:
        try:
            response = await send_traced(self._client, outgoing, stream=True)
        except HTTPX_NOT_SENT_ERRORS as error:
            yield Failure(EngineUnreachable(format_error(error)))
            return
        except httpx.HTTPError as late_error:
            yield Failure(LinkLost(format_error(late_error)))
            return
        try:
            yield _judge(response).map(_read_events)
        finally:
            await response.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout: float | None = None,
    ) -> Result[httpx.Response, EngineFailure]:
        outgoing = self._client.build_request(
            method,
            f'{self._address}{path}',
            content=body,
            timeout=timeout or self._timeout,
        )
        try:
            response = await send_traced(self._client, outgoing)
        except HTTPX_NOT_SENT_ERRORS as error:
            return Failure(EngineUnreachable(format_error(error)))
        except httpx.HTTPError as late_error:
            return Failure(LinkLost(format_error(late_error)))
        return _judge(response)


def _judge(response: httpx.Response) -> Result[httpx.Response, EngineFailure]:
    if response.status_code == HTTPStatus.NOT_FOUND:
        return Failure(GenerationUnknown())
    if response.status_code in _REFUSALS:
        return Failure(
            EngineRefused(response.status_code, find_backoff(response))
        )
    if response.is_error:
        return Failure(LinkLost(f'status {response.status_code}'))
    return Success(response)


def find_backoff(response: httpx.Response) -> Millis:
    """Return how long who turned a request away wants no more of them."""
    if response.status_code != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    return parse_retry_after(response.headers.get('retry-after', ''))


async def _read_events(response: httpx.Response) -> Events:
    pending = bytearray()
    received = take_turns(response.aiter_raw())
    async for raw in received:
        searched = max(len(pending) - len(_EVENT_END), 0)
        pending += raw
        end = pending.rfind(_EVENT_END, searched)
        if end < 0:
            if len(pending) > MAX_EVENT:
                raise httpx.ReadError('an event is too large')
            continue
        complete = bytes(pending[: end + len(_EVENT_END)])
        pending = pending[len(complete) :]
        batch = tuple(_parse_events(complete))
        yield tuple(event for event in batch if event is not None)
        if batch and batch[-1] is None:
            await _drain(received)
            return
    raise httpx.ReadError('the stream ended without its end mark')


async def _drain(received: AsyncIterator[bytes]) -> None:
    """Read the end of the body, so that the connection can be used again."""
    with trio.move_on_after(as_seconds(_DRAIN_PATIENCE)):
        await anext(received, b'')


def _parse_events(raw: bytes) -> Iterator[Event | None]:
    for event in SSEClient(iter((raw,))).events():
        if event.data == END_MARK:
            yield None
            return
        generation, _, offset = (event.id or '').rpartition(':')
        # Readers of the stream take each chunk for one that can be decoded.
        decode_chunk(event.data)
        yield Event(generation, decode_integer(offset), event.data)


def _decode(
    shape: type[Answer], response: httpx.Response
) -> Result[Answer, EngineFailure]:
    try:
        return Success(decode_json(response.content, shape))
    except UndecodableError as error:
        return Failure(LinkLost(error.detail))


def _to_nothing(_: httpx.Response) -> None:
    """Drop an answer that carries nothing."""


#: Errors that a reader of ``Events`` must expect.
STREAM_ERRORS = (httpx.HTTPError, UndecodableError, ValueError)
