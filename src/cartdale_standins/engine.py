"""Engine stand-in: the engine model behind an OpenAI completion stream."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import TypeVar

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from cartdale.clock import Clock, Millis, SystemClock, as_seconds
from cartdale.codec import decode_json, encode_json
from cartdale.engines.http import (
    END_MARK,
    HEADER_GENERATION,
    HEADER_PRIORITY,
    HEADER_SEED,
    PriorityChange,
)
from cartdale.engines.types import Order, StreamPhase, StreamStatus
from cartdale.model.text import choose_length, count_tokens, make_token
from cartdale.model.types import Hardware, Job
from cartdale_standins.driver import EngineDriver, Record

SSE_TYPE = 'text/event-stream'
_RECHECK: Millis = 500
_PREFIX_CHARACTERS = 256

Shape = TypeVar('Shape')


@dataclass(frozen=True, slots=True)
class EngineFaults:
    """Switch the stand-in's failures.

    :param stall_links: streams stop delivering without closing.
    :param cut_links: streams are closed in the middle.
    :param frozen: the engine produces nothing at all.
    :param refuse: answer 503 to new work.
    :param refuse_links: status that answers a reader who would continue a
        stream; 0 to let it.
    :param rest: for how many seconds that should stay away, as the header says
        it; empty for not to say.
    :param forget: drop all generations, like a restart.
    """

    stall_links: bool = False
    cut_links: bool = False
    frozen: bool = False
    refuse: bool = False
    refuse_links: int = 0
    rest: str = ''
    forget: bool = False


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """Carry the fields that the stand-in reads of a completion request."""

    model: str = ''
    prompt: str = ''
    messages: tuple['ChatMessage', ...] = ()
    max_tokens: int = 0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """Carry one chat message."""

    role: str
    content: str


class EngineStandIn:
    """Serve an engine model over HTTP.

    :param hardware: speeds and sizes of the engine.
    :param checks_fence: whether orders with an old fence are refused.
    """

    def __init__(
        self,
        hardware: Hardware,
        *,
        checks_fence: bool = True,
        clock: Clock | None = None,
    ) -> None:
        self._checks_fence = checks_fence
        self._driver = EngineDriver(hardware, clock or SystemClock())
        self.faults = EngineFaults()
        self.orders: list[Order] = []
        self.started_by_generation: dict[str, int] = {}
        #: When new work was refused, in seconds of the loop's clock.
        self.refused_at: list[float] = []
        #: Prompts that end the engine as it begins them; it starts again.
        self.crashing_prompts: set[str] = set()

    @property
    def driver(self) -> EngineDriver:
        """Return what moves the model."""
        return self._driver

    def make_app(self) -> QuartTrio:
        """Build the HTTP application; ``run`` drives the model beside it."""
        app = QuartTrio('engine')
        stream = '/v1/streams/<generation>'
        for path, view, method in (
            ('/v1/completions', self._complete, 'POST'),
            ('/v1/chat/completions', self._complete, 'POST'),
            (stream, self._attach, 'GET'),
            (stream, self._cancel, 'DELETE'),
            (f'{stream}/status', self._status, 'GET'),
            (f'{stream}/priority', self._prioritise, 'POST'),
            ('/v1/load', self._load, 'GET'),
            ('/v1/cache-events', self._cache_events, 'GET'),
            ('/v1/orders', self._order, 'POST'),
            ('/standin/faults', self._set_faults, 'POST'),
            ('/standin/started', self._show_started, 'GET'),
        ):
            app.add_url_rule(path, f'{method} {path}', view, methods=[method])
        return app

    def restart(self) -> None:
        """Lose all generations, as an engine that ends and starts again."""
        for generation in tuple(self._driver.records_by_generation):
            self._driver.model.cancel(generation)
        self._driver.records_by_generation.clear()

    async def _complete(self) -> Response:
        body = await _body(CompletionBody)
        generation = request.headers.get(HEADER_GENERATION, '')
        if self.faults.refuse:
            self.refused_at.append(trio.current_time())
            response = Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
            if self.faults.rest:
                response.headers['Retry-After'] = self.faults.rest
            return response
        if generation in self._driver.records_by_generation:
            return Response(status=HTTPStatus.CONFLICT)
        chat = bool(body.messages)
        prompt = _prompt_of(body)
        seed = int(request.headers.get(HEADER_SEED, '0'))
        length = choose_length(prompt, seed, body.max_tokens)
        record = Record(prompt, seed, length, chat)
        job = Job(
            generation=generation,
            prompt_tokens=count_tokens(prompt),
            output_tokens=length,
            priority=int(request.headers.get(HEADER_PRIORITY, '0')),
            prefix=prompt[:_PREFIX_CHARACTERS],
            prefix_tokens=count_tokens(prompt[:_PREFIX_CHARACTERS]),
        )
        if not self._driver.accept(job):
            return Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        self._driver.records_by_generation[generation] = record
        started = self.started_by_generation.get(generation, 0)
        self.started_by_generation[generation] = started + 1
        if prompt in self.crashing_prompts:
            self.restart()
        return self._stream(generation, record, 0)

    async def _attach(self, generation: str) -> Response:
        if self.faults.refuse_links:
            return Response(status=self.faults.refuse_links)
        record = self._driver.records_by_generation.get(generation)
        if record is None:
            return Response(status=HTTPStatus.NOT_FOUND)
        offset = int(request.args.get('offset', '0'))
        return self._stream(generation, record, offset)

    def _stream(self, generation: str, record: Record, offset: int) -> Response:
        response = Response(
            self._follow(generation, record, offset), content_type=SSE_TYPE
        )
        response.timeout = None
        return response

    async def _follow(
        self, generation: str, record: Record, offset: int
    ) -> AsyncIterator[bytes]:
        record.readers += 1
        try:
            while offset < record.length:
                self._check_link(generation)
                produced = record.produced
                if produced <= offset or self.faults.stall_links:
                    await _wait(record)
                    continue
                yield b''.join(
                    _format_chunk(generation, record, position)
                    for position in range(offset, produced)
                )
                offset = produced
        finally:
            record.readers -= 1
        yield f'data: {END_MARK}\n\n'.encode()

    def _check_link(self, generation: str) -> None:
        forgotten = generation not in self._driver.records_by_generation
        if forgotten or self.faults.cut_links:
            raise trio.BrokenResourceError

    async def _status(self, generation: str) -> Response:
        record = self._driver.records_by_generation.get(generation)
        if record is None:
            return Response(status=HTTPStatus.NOT_FOUND)
        phase = StreamPhase.ENDED
        if record.produced < record.length:
            phase = StreamPhase(self._driver.model.describe(generation))
        return _answer(StreamStatus(phase, record.produced, record.readers))

    async def _cancel(self, generation: str) -> Response:
        self._driver.model.cancel(generation)
        self._driver.records_by_generation.pop(generation, None)
        return Response(status=HTTPStatus.NO_CONTENT)

    async def _prioritise(self, generation: str) -> Response:
        change = await _body(PriorityChange)
        self._driver.model.set_priority(generation, change.priority)
        return Response(status=HTTPStatus.NO_CONTENT)

    async def _load(self) -> Response:
        return _answer(self._driver.lagged)

    async def _cache_events(self) -> Response:
        after = int(request.args.get('after', '0'))
        fresh = [event for event in self._driver.events if event.number > after]
        return _answer(fresh)

    async def _order(self) -> Response:
        order = await _body(Order)
        newest = max((given.fence for given in self.orders), default=0)
        if self._checks_fence and order.fence < newest:
            return Response(status=HTTPStatus.CONFLICT)
        self.orders.append(order)
        return Response(status=HTTPStatus.NO_CONTENT)

    async def _set_faults(self) -> Response:
        self.faults = await _body(EngineFaults)
        self._driver.frozen = self.faults.frozen
        if self.faults.forget:
            self.restart()
            self.faults = replace(self.faults, forget=False)
        return _answer(self.faults)

    async def _show_started(self) -> Response:
        return _answer(self.started_by_generation)


async def _wait(record: Record) -> None:
    changed = record.changed
    with trio.move_on_after(as_seconds(_RECHECK)):
        await changed.wait()


def _prompt_of(body: CompletionBody) -> str:
    if not body.messages:
        return body.prompt
    return '\n'.join(
        f'{message.role}: {message.content}' for message in body.messages
    )


def _format_chunk(generation: str, record: Record, position: int) -> bytes:
    token = make_token(record.prompt, record.seed, position)
    last = position + 1 == record.length
    reason = 'stop' if last else None
    choice: dict[str, object] = {'index': 0, 'finish_reason': reason}
    kind = 'text_completion'
    if record.chat:
        kind = 'chat.completion.chunk'
        choice['delta'] = {'role': 'assistant', 'content': token}
    else:
        choice['text'] = token
    payload = msgspec.json.encode(
        {
            'id': generation,
            'object': kind,
            'created': 0,
            'model': 'stand-in',
            'choices': [choice],
        },
    ).decode()
    return f'id: {generation}:{position + 1}\ndata: {payload}\n\n'.encode()


async def _body(shape: type[Shape]) -> Shape:
    return decode_json(await request.get_data(), shape)


def _answer(message: object) -> Response:
    return Response(encode_json(message), content_type='application/json')
