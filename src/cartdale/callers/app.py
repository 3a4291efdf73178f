"""Serve callers over HTTP: completions, chats and plain services."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger
from quart import Response, request
from quart_trio import QuartTrio
from returns.result import Failure, Result, Success
from werkzeug.exceptions import HTTPException

from cartdale.callers.read import (
    GenerationCall,
    digest_body,
    identify_caller,
    make_delivery_request,
    make_generation_id,
    read_generation,
)
from cartdale.callers.respond import (
    answer_json,
    answer_problem,
    collect_answer,
    stream_answer,
)
from cartdale.callers.types import Caller, Directory
from cartdale.invariants import RIGHT_CALLER, check
from cartdale.problems.types import (
    BadRequest,
    NotRun,
    NotRunReason,
    Problem,
)
from cartdale.streams.driver import Batch, Broken, Delivery, DeliveryPorts
from cartdale.streams.position import Position

#: Largest request body, in bytes, and longest time to receive it, seconds.
BODY_LIMIT = 1048576
BODY_SECONDS = 30

HEADER_RESUME = 'Last-Event-ID'


@dataclass(frozen=True, slots=True)
class Health:
    """Answer a health check."""

    status: str


@dataclass(frozen=True, slots=True)
class ListedModel:
    """Name one service that a caller may use as a model."""

    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'cartdale'


@dataclass(frozen=True, slots=True)
class ListedModels:
    """Answer the list of models."""

    data: tuple[ListedModel, ...]
    object: str = 'list'


@dataclass(frozen=True, slots=True)
class CallerPorts:
    """Bundle what the callers' interface uses of its instance.

    :param directory: reads the directory that is in force.
    :param ready: tells whether the balancer may send requests here.
    """

    delivery: DeliveryPorts
    directory: Callable[[], Directory]
    ready: Callable[[], bool]
    leaving: Callable[[], bool]


class CallerApp:
    """Answer callers."""

    def __init__(self, ports: CallerPorts) -> None:
        self._ports = ports

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('callers')
        app.config['MAX_CONTENT_LENGTH'] = BODY_LIMIT
        app.config['BODY_TIMEOUT'] = BODY_SECONDS
        for path, view, method in (
            ('/v1/completions', self._complete, 'POST'),
            ('/v1/chat/completions', self._complete, 'POST'),
            ('/v1/models', self._list_models, 'GET'),
            ('/healthz', self._health, 'GET'),
            ('/readyz', self._readiness, 'GET'),
        ):
            app.add_url_rule(path, path, view, methods=[method])
        app.register_error_handler(HTTPException, _answer_http_error)
        return app

    async def _complete(self) -> Response:
        return await self._admit(self._generate)

    async def _admit(
        self, serve: Callable[[Caller], Awaitable[Response]]
    ) -> Response:
        caller = identify_caller(
            self._ports.directory(), request.headers.get('Authorization', '')
        )
        if isinstance(caller, Failure):
            return answer_problem(caller.failure())
        if self._ports.leaving():
            return answer_problem(NotRun(NotRunReason.LEAVING, 0))
        return await serve(caller.unwrap())

    async def _generate(self, caller: Caller) -> Response:
        raw = await read_body()
        read = read_generation(
            self._ports.directory(), caller, request.path, raw
        )
        if isinstance(read, Failure):
            return answer_problem(read.failure())
        call = read.unwrap()
        position = self._read_position(call)
        if isinstance(position, Failure):
            return answer_problem(position.failure())
        return await self._deliver(call, position.unwrap())

    def _read_position(
        self, call: GenerationCall
    ) -> Result[Position | None, Problem]:
        text = request.headers.get(HEADER_RESUME, '')
        if not text:
            return Success(None)
        position = self._ports.delivery.sealer.open(text)
        expected = 'the id of an event of this answer'
        if position is None:
            return Failure(BadRequest(HEADER_RESUME, expected))
        origin = position.origin
        if origin.customer != call.caller.name:
            return Failure(BadRequest(HEADER_RESUME, expected))
        if origin.body_digest != digest_body(call.raw):
            return Failure(
                BadRequest(HEADER_RESUME, 'the same body as at first')
            )
        return Success(position)

    async def _deliver(
        self, call: GenerationCall, position: Position | None
    ) -> Response:
        generation = make_generation_id()
        if position is not None:
            generation = position.origin.generation
            check(
                RIGHT_CALLER,
                holds=position.origin.customer == call.caller.name,
                detail=f'{generation} for {call.caller.name}',
            )
        asked = make_delivery_request(
            call, generation, position, self._ports.delivery.clock.now()
        )
        delivery = Delivery(self._ports.delivery, asked)
        with logger.contextualize(request=generation):
            return await self._answer(call, delivery)

    async def _answer(
        self, call: GenerationCall, delivery: Delivery
    ) -> Response:
        handed_over = False
        try:
            first = await _begin(delivery)
            if call.body.stream and isinstance(first, tuple):
                handed_over = True
                return stream_answer(delivery, first)
            return await collect_answer(
                delivery, first, self._ports.delivery.clock
            )
        finally:
            if not handed_over:
                delivery.close()

    async def _list_models(self) -> Response:
        return await self._admit(self._list_models_of)

    async def _list_models_of(self, caller: Caller) -> Response:
        listed = tuple(ListedModel(name) for name in caller.customer.services)
        return answer_json(ListedModels(listed))

    async def _health(self) -> Response:
        return answer_json(Health('alive'))

    async def _readiness(self) -> Response:
        if self._ports.ready():
            return answer_json(Health('ready'))
        response = answer_json(Health('not ready'))
        response.status_code = HTTPStatus.SERVICE_UNAVAILABLE
        return response


async def _begin(delivery: Delivery) -> Batch:
    refusal = await delivery.start()
    if refusal is not None:
        return Broken(refusal)
    return await delivery.next_batch()


async def read_body() -> bytes:
    """Return the body of the current request."""
    raw = await request.get_data()
    return raw.encode() if isinstance(raw, str) else raw


async def _answer_http_error(error: HTTPException) -> Response:
    name = error.name
    return answer_problem(BadRequest('request', f'another request ({name})'))
