"""HTTP application for callers: completions, chats, plain services."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

from loguru import logger
from quart import Response, request
from quart_trio import QuartTrio
from returns.result import Failure
from werkzeug.exceptions import HTTPException

from cartdale.callers.generations import GenerationGateway
from cartdale.callers.keyed import HEADER_KEY
from cartdale.callers.plain import PlainCall, PlainGateway
from cartdale.callers.read import (
    HEADER_RESUME,
    identify_caller,
    read_generation,
    read_position,
)
from cartdale.callers.respond import make_json_response, make_problem_response
from cartdale.callers.types import Caller, Directory
from cartdale.clock import Millis
from cartdale.declarations.types import UpstreamKind
from cartdale.engines.plain import PlainRequest
from cartdale.limits.driver import Limiter
from cartdale.limits.rates import CUSTOMER_ACCOUNT, SERVICE_ACCOUNT
from cartdale.problems.types import (
    BadRequest,
    Limited,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    Problem,
    Unauthorised,
)
from cartdale.streams.ports import DeliveryPorts

#: Maximum request body in bytes, and maximum time to receive it in seconds.
BODY_LIMIT = 1048576
BODY_SECONDS = 30
_NOT_READY_RETRY: Millis = 1000


@dataclass(frozen=True, slots=True)
class Health:
    """Body of the response to a health check."""

    status: str


@dataclass(frozen=True, slots=True)
class ListedModel:
    """Service that a caller may use as a model."""

    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'cartdale'


@dataclass(frozen=True, slots=True)
class ListedModels:
    """Body of the response that lists the models."""

    data: tuple[ListedModel, ...]
    object: str = 'list'


@dataclass(frozen=True, slots=True)
class CallerPorts:
    """Dependencies of the callers' interface on the instance.

    :param directory: returns the directory in force.
    :param ready: returns whether the load balancer may send requests here.
    """

    delivery: DeliveryPorts
    generations: GenerationGateway
    plain: PlainGateway
    limiter: Limiter
    directory: Callable[[], Directory]
    ready: Callable[[], bool]
    leaving: Callable[[], bool]


class CallerApp:
    """Serve the HTTP interface for callers."""

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
        app.add_url_rule(
            '/services/<service>/<path:path>',
            'services',
            self._call_plain,
            methods=['GET', 'POST', 'PUT', 'DELETE'],
        )
        app.register_error_handler(HTTPException, _handle_http_error)
        app.register_error_handler(Exception, _handle_exception)
        return app

    async def _complete(self) -> Response:
        return await self._admit(self._generate)

    async def _call_plain(self, service: str, path: str) -> Response:
        return await self._admit(partial(self._forward, service, path))

    async def _admit(
        self, serve: Callable[[Caller], Awaitable[Response]]
    ) -> Response:
        if self._ports.leaving():
            return make_problem_response(NotRun(NotRunReason.LEAVING, 0))
        if not self._ports.ready():
            # API keys cannot be checked before a configuration is in force.
            refusal = NotRun(NotRunReason.NOT_READY, _NOT_READY_RETRY)
            return make_problem_response(refusal)
        caller = identify_caller(
            self._ports.directory(), request.headers.get('Authorization', '')
        )
        if isinstance(caller, Failure):
            return make_problem_response(caller.failure())
        return await serve(caller.unwrap())

    async def _charge(self, caller: Caller, service: str) -> Problem | None:
        for account in (
            f'{CUSTOMER_ACCOUNT}{caller.name}',
            f'{SERVICE_ACCOUNT}{service}',
        ):
            loan = await self._ports.limiter.admit(account)
            if not loan.credits:
                return Limited(account, loan.retry_after)
        return None

    async def _forward(
        self, service_name: str, path: str, caller: Caller
    ) -> Response:
        service = self._ports.directory().services_by_name.get(service_name)
        permitted = service_name in caller.customer.services
        if service is None or not permitted:
            return make_problem_response(Unauthorised())
        if service.kind is not UpstreamKind.PLAIN:
            return make_problem_response(BadRequest('path', 'a plain service'))
        limited = await self._charge(caller, service_name)
        if limited is not None:
            return make_problem_response(limited)
        query = request.query_string.decode()
        plain_request = PlainRequest(
            method=request.method,
            path=f'{path}?{query}' if query else path,
            body=await read_body(),
            headers_by_name=dict(request.headers),
            key=request.headers.get(HEADER_KEY, ''),
        )
        return await self._ports.plain.serve(
            PlainCall(caller, service_name, service, plain_request)
        )

    async def _generate(self, caller: Caller) -> Response:
        raw = await read_body()
        read = read_generation(
            self._ports.directory(), caller, request.path, raw
        )
        if isinstance(read, Failure):
            return make_problem_response(read.failure())
        call = read.unwrap()
        position = read_position(
            self._ports.delivery.position_signer,
            request.headers.get(HEADER_RESUME, ''),
            call,
        )
        if isinstance(position, Failure):
            return make_problem_response(position.failure())
        resume_position = position.unwrap()
        if resume_position is not None:
            return await self._ports.generations.resume(call, resume_position)
        limited = await self._charge(caller, call.service_name)
        if limited is not None:
            return make_problem_response(limited)
        return await self._ports.generations.serve(
            call, request.headers.get(HEADER_KEY, '')
        )

    async def _list_models(self) -> Response:
        return await self._admit(self._list_caller_models)

    async def _list_caller_models(self, caller: Caller) -> Response:
        listed = tuple(ListedModel(name) for name in caller.customer.services)
        return make_json_response(ListedModels(listed))

    async def _health(self) -> Response:
        return make_json_response(Health('alive'))

    async def _readiness(self) -> Response:
        if self._ports.ready():
            return make_json_response(Health('ready'))
        response = make_json_response(Health('not ready'))
        response.status_code = HTTPStatus.SERVICE_UNAVAILABLE
        return response


async def read_body() -> bytes:
    """Return the body of the current request."""
    raw = await request.get_data()
    return raw.encode() if isinstance(raw, str) else raw


async def _handle_http_error(error: HTTPException) -> Response:
    name = error.name
    return make_problem_response(
        BadRequest('request', f'another request ({name})')
    )


async def _handle_exception(error: Exception) -> Response:
    logger.opt(exception=error).error('a request failed')
    return make_problem_response(OutcomeUnknown('an error of this instance'))
