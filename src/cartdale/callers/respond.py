"""Turn answers and problems into HTTP responses."""

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
_END = b'data: [DONE]\n\n'


@dataclass(frozen=True, slots=True)
class WholeChoice:
    """Carry the text of a whole completion."""

    index: int
    text: str
    finish_reason: str


@dataclass(frozen=True, slots=True)
class WholeMessage:
    """Carry the text of a whole chat answer."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class WholeChatChoice:
    """Carry one chat alternative."""

    index: int
    message: WholeMessage
    finish_reason: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Count tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class WholeCompletion:
    """Answer a request that does not stream."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[WholeChoice | WholeChatChoice, ...]
    usage: Usage


def make_problem_response(problem: Problem) -> Response:
    """Answer with an RFC 9457 problem document."""
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
    """Answer with a data class as JSON."""
    return Response(encode_json(message), content_type=JSON_TYPE)


def stream_answer(delivery: Delivery, first: Batch) -> Response:
    """Answer with server-sent events."""
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
            yield b''.join(_format(chunk) for chunk in batch)
            batch = await delivery.next_batch()
    finally:
        delivery.close()
    match batch:
        case Completed():
            yield _END
        case Broken(problem=problem):
            yield _format_problem(describe(problem))
        case _:
            assert_never(batch)


async def collect_answer(
    delivery: Delivery, first: Batch, clock: Clock
) -> Response:
    """Answer with the whole completion at once."""
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
    whole = WholeCompletion(
        id=delivery.state.generation,
        object=kind.removesuffix('.chunk'),
        created=clock.wall_time() // SECOND_MS,
        model=model,
        choices=(_choose_shape(kind, ''.join(texts)),),
        usage=Usage(prompt_tokens, len(texts), prompt_tokens + len(texts)),
    )
    return make_json_response(whole)


def _choose_shape(kind: str, text: str) -> WholeChoice | WholeChatChoice:
    if kind.startswith('chat'):
        message = WholeMessage('assistant', text)
        return WholeChatChoice(0, message, 'stop')
    return WholeChoice(0, text, 'stop')


def _format(chunk: Chunk) -> bytes:
    return f'id: {chunk.position}\ndata: {chunk.payload}\n\n'.encode()


def _format_problem(document: ProblemDocument) -> bytes:
    text = encode_json(document).decode()
    return f'event: problem\ndata: {text}\n\n'.encode()
