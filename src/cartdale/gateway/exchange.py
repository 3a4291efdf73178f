"""Handle one request: route it, forward it and write the response."""

from contextlib import AbstractContextManager, nullcontext, suppress
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from math import inf

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.asgi import (
    TYPE,
    AsgiEvent,
    Header,
    Receive,
    Send,
    discard_body,
    read_announced_size,
    read_request_line,
)
from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.codec import encode_json
from cartdale.formatting import Plain, format_log_fields
from cartdale.gateway.body import Unread, read_body
from cartdale.gateway.ports import GatewayPorts
from cartdale.gateway.read_ahead import ReadAheadSink
from cartdale.gateway.sink import AsgiSink
from cartdale.pressure.driver import BodyIntake
from cartdale.pressure.types import RefuseBody
from cartdale.problems.types import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    Problem,
    ProblemDocument,
    describe,
)
from cartdale.quarantine.identity import (
    Fingerprint,
    identify,
    identify_parts,
)
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.plain import PlainForwarder
from cartdale.relay.stream import StreamEnd, StreamForwarder
from cartdale.relay.types import CallerRequest, RoutedRequest
from cartdale.relay.waiting import MIN_RETRY_AFTER
from cartdale.routes.match import (
    find_regions,
    find_route,
    identify_customer,
    pick_service,
    rank_request,
)
from cartdale.routes.types import Customer, Route, RouteKind
from cartdale.switches import Mechanism

#: ``Retry-After`` of an instance that is not ready yet.
_NOT_READY_WAIT: Millis = 500
#: ``Retry-After`` of an instance that is fetching a newer configuration.
_NOT_CURRENT_WAIT: Millis = SECOND_MS
#: ``Retry-After`` of an instance that failed on an unexpected error.
FAILED_WAIT: Millis = SECOND_MS
_FAILED = NotRun(NotRunReason.FAILED, FAILED_WAIT)
_STOPPED = NotRun(NotRunReason.LEAVING, MIN_RETRY_AFTER)


class _Refused(Exception):
    """Raised while routing a request that is refused with a status."""

    def __init__(self, status: HTTPStatus, reason: str = '') -> None:
        super().__init__(status, reason)
        self.status = status
        self.reason = reason


class Exchange:
    """One request and its response.

    :param scope: the request's head as an ASGI connection scope.
    """

    def __init__(
        self,
        ports: GatewayPorts,
        scope: AsgiEvent,
        receive: Receive,
        send: Send,
    ) -> None:
        self._ports = ports
        self._receive = receive
        self._arrived_at = ports.clock.now()
        self._routed: RoutedRequest | None = None
        self._forwarder: PlainForwarder | StreamForwarder | None = None
        line = read_request_line(scope)
        self._request = ports.wire.read_request(
            line.method, line.target, tuple(scope['headers'])
        )
        self._headers: tuple[Header, ...] = tuple(scope['headers'])
        self._sink = _make_sink(ports, send, self.request_id)

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self._request.request_id

    async def answer(self) -> None:
        """Read the request, forward it and write the response."""
        stop = self._ports.relay.stop
        if await stop.bound_answer(self._sink, self._answer):
            await self.answer_failure('this instance stopped', _STOPPED)

    async def answer_failure(
        self, detail: str = 'this instance failed', not_run: NotRun = _FAILED
    ) -> None:
        """Answer what this instance can't finish, if no response was begun.

        What may have been sent may have run, whatever the reason.

        :param detail: told if it may have run.
        :param not_run: told otherwise.
        """
        if self._sink.started:
            return
        if self._forwarder is not None and self._forwarder.sends.runs:
            await self._refuse(OutcomeUnknown(detail))
            return
        await self._refuse(not_run)

    def log_cut(self) -> None:
        """Log that the request was ended before its response was complete."""
        if self._sink.finished:
            return
        logger.warning(
            'request cut',
            request=self.request_id,
            held=self._ports.clock.now() - self._arrived_at,
            leaving=self._ports.leaving(),
            **_describe_routed(self._routed),
        )

    async def _answer(self) -> None:
        opened = _open_intake(self._ports, self.request_id, self._headers)
        with opened as intake:
            body = await self._read_body(intake)
            if body is None:
                return
            self._request = replace(self._request, body=body)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_disconnect, nursery.cancel_scope)
                await self._answer_read()
                nursery.cancel_scope.cancel()

    async def _answer_read(self) -> None:
        """Forward the request, whose body was read, and write the response."""
        try:
            routed = await self._route_by_newest()
        except _Refused as refused:
            await self._refuse_with_status(refused.status, refused.reason)
            return
        if isinstance(routed, NotRun):
            await self._refuse(routed)
            return
        self._routed = routed
        await self._forward(routed)

    async def _read_body(self, intake: BodyIntake | None) -> bytes | None:
        """Return the body; ``None`` if the caller left or was refused."""
        limit = self._ports.table().limits.body_bytes
        match await read_body(self._receive, limit, intake):
            case bytes(body):
                return body
            case Unread.TOO_LARGE:
                await self._refuse_size()
            case RefuseBody(retry_after=wait):
                await self._refuse_unread(wait)
        return None

    async def _route_by_newest(self) -> RoutedRequest | NotRun:
        """Route the request, if need be by a configuration on its way.

        A route or key that the one in force lacks may be in a newer one that
        peers report.
        """
        if self._is_behind():
            with suppress(_Refused):
                return self._route()
            passed = self._ports.clock.now() - self._arrived_at
            with trio.move_on_after(_find_seconds_left(self._request, passed)):
                await self._ports.wait_for_newest()
        try:
            return self._route()
        except _Refused:
            if self._is_behind():
                return NotRun(NotRunReason.NOT_CURRENT, _NOT_CURRENT_WAIT)
            raise

    def _is_behind(self) -> bool:
        return self._ports.newest() > self._ports.table().version

    def _route(self) -> RoutedRequest | NotRun:
        table = self._ports.table()
        if not table.version:
            return NotRun(NotRunReason.NOT_READY, _NOT_READY_WAIT)
        request = self._request
        route = find_route(table, request.host, request.path)
        if route is None:
            raise _Refused(HTTPStatus.NOT_FOUND)
        expects_customers = self._ports.expects_customers()
        identified = identify_customer(
            table, route, request.key, expects_customers=expects_customers
        )
        if isinstance(identified, Failure):
            reason = identified.failure().value
            raise _Refused(HTTPStatus.UNAUTHORIZED, reason)
        return self._make_routed(route, identified.unwrap())

    def _make_routed(
        self, route: Route, customer: Customer | None
    ) -> RoutedRequest:
        timeout = route.timeout
        if self._request.deadline:
            timeout = min(timeout, self._request.deadline)
        request = self._request
        customer_name = customer.name if customer else ''
        return RoutedRequest(
            request=request,
            route=route,
            service=pick_service(route, self._ports.generator),
            customer=customer_name,
            priority=self._rank(route, customer),
            arrived_at=self._arrived_at,
            ends_at=self._arrived_at + timeout,
            domains=self._ports.region_map.find_domains(
                find_regions(route, customer)
            ),
            fingerprint=_compute_fingerprint(request, customer_name),
        )

    def _rank(self, route: Route, customer: Customer | None) -> int:
        switches = self._ports.relay.fleet.switches
        if not switches.is_enabled(Mechanism.URGENCY):
            return 0
        return rank_request(route, customer)

    async def _watch_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when the caller disconnects."""
        while True:
            event = await self._receive()
            if self._sink.finished:
                return
            if event[TYPE] == 'http.disconnect':
                logger.info(
                    'caller left',
                    request=self._request.request_id,
                    held=self._ports.clock.now() - self._arrived_at,
                    leaving=self._ports.leaving(),
                    **_describe_routed(self._routed),
                )
                scope.cancel()
                return

    async def _forward(self, routed: RoutedRequest) -> None:
        if routed.route.kind is RouteKind.STREAM:
            await self._forward_stream(routed)
            return
        forwarder = PlainForwarder(self._ports.relay, routed)
        self._forwarder = forwarder
        match await forwarder.forward():
            case Success(response):
                self._ports.metrics.record_response(
                    routed.route, response.status
                )
                await self._sink.answer(
                    response.status, response.headers, response.body
                )
            case Failure(problem):
                await self._refuse(problem)

    async def _forward_stream(self, routed: RoutedRequest) -> None:
        relay = self._ports.relay
        spec = self._ports.table().services_by_name.get(routed.service)
        engine = spec.engine if spec else None
        event_tokens = engine.event_tokens if engine else 1
        generation = RunningGeneration(relay, routed, event_tokens)
        forwarder = StreamForwarder(relay, routed, self._sink, generation)
        self._forwarder = forwarder
        stream = partial(self._stream, forwarder, generation)
        match await self._sink.carry(stream, routed.ends_at):
            case Success(end):
                if end is StreamEnd.WHOLE:
                    tokens = generation.events * event_tokens
                    relay.lengths.note(routed, tokens)
                self._record_stream(end, generation, forwarder)
            case Failure(problem):
                await self._refuse(problem)

    async def _stream(
        self, forwarder: StreamForwarder, generation: RunningGeneration
    ) -> Result[StreamEnd, Problem]:
        self._ports.mover.add(generation)
        try:
            return await forwarder.forward()
        finally:
            self._ports.mover.remove(generation)

    def _record_stream(
        self,
        end: StreamEnd,
        generation: RunningGeneration,
        forwarder: StreamForwarder,
    ) -> None:
        first, gap = self._sink.started_after, forwarder.longest_gap
        first_event = max(forwarder.first_at - self._arrived_at, 0)
        self._ports.metrics.record_stream(end, generation.moves, first, gap)
        logger.info(
            'stream ended',
            request=self._request.request_id,
            end=end,
            events=generation.events,
            moves=generation.moves,
            first_after=first,
            first_event=first_event,
            longest_gap=gap,
            **forwarder.describe_end(),
        )

    async def _refuse_size(self) -> None:
        """Refuse a body over the limit, which a newer one may have raised."""
        if self._is_behind():
            wait = NotRun(NotRunReason.NOT_CURRENT, _NOT_CURRENT_WAIT)
            await self._refuse(wait)
            return
        await self._refuse_with_status(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    async def _refuse_unread(self, wait: Millis) -> None:
        """Refuse a body that is still on its way, and read past it."""
        problem = NotRun(NotRunReason.HELD_BYTES, wait)
        document = self._note_refusal(problem)
        body = encode_json(document)
        headers = self._ports.wire.write_refusal(document.status, wait)
        await self._sink.start(document.status, headers, len(body))
        await self._sink.write(body)
        await discard_body(self._receive)
        await self._sink.finish()

    async def _refuse(self, problem: Problem) -> None:
        document = self._note_refusal(problem)
        wait = getattr(problem, 'retry_after', 0)
        await self._write(document.status, wait, encode_json(document))

    def _note_refusal(self, problem: Problem) -> ProblemDocument:
        """Count and log a refusal, and return how to describe it."""
        self._ports.metrics.record_refusal(problem)
        document = describe(problem)
        logger.info(
            'refused',
            request=self._request.request_id,
            **format_log_fields('problem', problem),
            version=self._ports.table().version,
            newest=self._ports.newest(),
            held=self._ports.clock.now() - self._arrived_at,
            **_describe_routed(self._routed),
        )
        return document

    async def _refuse_with_status(
        self, status: HTTPStatus, reason: str = ''
    ) -> None:
        logger.info(
            'refused',
            request=self._request.request_id,
            status=int(status),
            reason=reason,
            version=self._ports.table().version,
            newest=self._ports.newest(),
        )
        await self._write(status, 0, b'')

    async def _write(self, status: int, wait: Millis, body: bytes) -> None:
        headers = self._ports.wire.write_refusal(status, wait)
        await self._sink.answer(status, headers, body)


def _make_sink(
    ports: GatewayPorts, send: Send, request_id: str
) -> AsgiSink | ReadAheadSink:
    if ports.account is None:
        return AsgiSink(send, ports.leaving, ports.clock, ports.body_account)
    sink = AsgiSink(send, ports.leaving, ports.clock)
    return ReadAheadSink(sink, ports.account, request_id, ports.clock)


def _open_intake(
    ports: GatewayPorts, request_id: str, headers: tuple[Header, ...]
) -> AbstractContextManager[BodyIntake | None]:
    """Account for the body of a request, if held bytes are bounded."""
    account = ports.body_account
    if account is None:
        return nullcontext()
    limit = ports.table().limits.body_bytes
    return account.open_body(request_id, read_announced_size(headers, limit))


def _find_seconds_left(request: CallerRequest, passed: Millis) -> float:
    """Return the time until the caller's deadline; infinite for none.

    :param passed: time since the request arrived.
    """
    if not request.deadline:
        return inf
    return as_seconds(max(request.deadline - passed, 0))


def _describe_routed(routed: RoutedRequest | None) -> dict[str, Plain]:
    """Return whose request it is, for a log line; empty if that is unknown."""
    if routed is None:
        return {}
    return {
        'route': routed.route.name,
        'kind': routed.route.kind.value,
        'customer': routed.customer,
        'rank': routed.priority,
    }


def _compute_fingerprint(request: CallerRequest, customer: str) -> Fingerprint:
    identity = identify(
        request.method,
        request.host,
        request.target,
        customer,
        request.body,
    )
    return Fingerprint(identity, identify_parts(request.shared_parts))
