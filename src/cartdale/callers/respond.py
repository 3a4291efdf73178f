"""Build HTTP responses from generated chunks and problems."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import assert_never

from quart import Response

from cartdale.clock import SECOND_MS, Clock
from cartdale.codec import encode_json
from cartdale.problems.types import Problem, ProblemDocument, describe
from cartdale.streams.answers import Batch, Broken, Chunk, Completed
from cartdale.streams.chunks import decode_chunk, read_text
from cartdale.streams.driver import Delivery

JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
STREAM_TYPE = 'text/event-stream'
_DONE_EVENT = b'data: [DONE]\n\n'


@dataclass(frozen=True, slots=True)
class CompletionChoice:
    """Text completion inside a non-streaming response."""

    index: int
    text: str
    finish_reason: str


@dataclass(frozen=True, slots=True)
class AssistantMessage:
    """Assistant message inside a non-streaming response."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class ChatChoice:
    """Chat completion inside a non-streaming response."""

    index: int
    message: AssistantMessage
    finish_reason: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a request and its response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class Completion:
    """Body of the response to a request without streaming."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[CompletionChoice | ChatChoice, ...]
    usage: Usage


def make_problem_response(problem: Problem) -> Response:
    """Return a response with an RFC 9457 problem document."""
    document = describe(problem)
    response = Response(
        encode_json(document),
        status=document.status,
        content_type=PROBLEM_TYPE,
    )
    if document.retry_after:
        response.headers['Retry-After'] = str(document.retry_after)
    return response


def make_json_response(message: object) -> Response:
    """Return a response with a data class encoded as JSON."""
    return Response(encode_json(message), content_type=JSON_TYPE)


def stream_response(delivery: Delivery, first: Batch) -> Response:
    """Return a response that streams server-sent events."""
    response = Response(
        _stream(delivery, first),
        content_type=STREAM_TYPE,
        headers={'Cache-Control': 'no-store'},
    )
    response.timeout = None
    return response


async def _stream(delivery: Delivery, first: Batch) -> AsyncIterator[bytes]:
    batch = first
    try:
        while isinstance(batch, tuple):
            yield b''.join(_format_chunk(chunk) for chunk in batch)
            batch = await delivery.next_batch()
    finally:
        delivery.close()
    match batch:
        case Completed():
            yield _DONE_EVENT
        case Broken(problem=problem):
            yield _format_problem(describe(problem))
        case _:
            assert_never(batch)


async def collect_response(
    delivery: Delivery, first: Batch, clock: Clock
) -> Response:
    """Wait for the complete generation and return it as one JSON body."""
    texts: list[str] = []
    batch = first
    model = ''
    kind = ''
    while isinstance(batch, tuple):
        for chunk in batch:
            texts.append(read_text(chunk.payload))
        decoded = decode_chunk(batch[-1].payload)
        model, kind = decoded.model, decoded.object
        batch = await delivery.next_batch()
    if isinstance(batch, Broken):
        return make_problem_response(batch.problem)
    prompt_tokens = delivery.request.work.prompt_tokens
    completion = Completion(
        id=delivery.state.generation,
        object=kind.removesuffix('.chunk'),
        created=clock.wall_time() // SECOND_MS,
        model=model,
        choices=(_make_choice(kind, ''.join(texts)),),
        usage=Usage(prompt_tokens, len(texts), prompt_tokens + len(texts)),
    )
    return make_json_response(completion)


def _make_choice(kind: str, text: str) -> CompletionChoice | ChatChoice:
    if kind.startswith('chat'):
        message = AssistantMessage('assistant', text)
        return ChatChoice(0, message, 'stop')
    return CompletionChoice(0, text, 'stop')


def _format_chunk(chunk: Chunk) -> bytes:
    return f'id: {chunk.position}\ndata: {chunk.payload}\n\n'.encode()


def _format_problem(document: ProblemDocument) -> bytes:
    text = encode_json(document).decode()
    return f'event: problem\ndata: {text}\n\n'.encode()
