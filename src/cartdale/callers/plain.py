"""Serve calls to plain services: limits, keys, retries where allowed."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from random import Random

from quart import Response
from returns.result import Failure, Success

from cartdale.callers.keyed import (
    Grant,
    KeyedRequest,
    KeyGuard,
    Repeated,
)
from cartdale.callers.read import digest_body
from cartdale.callers.respond import make_problem_response
from cartdale.callers.types import Caller
from cartdale.clock import Clock, Millis
from cartdale.declarations.types import Repeat, Service, Upstream
from cartdale.engines.plain import PlainRequest, PlainResponse, PlainService
from cartdale.engines.types import EngineRefused, LinkLost
from cartdale.invariants import AT_MOST_ONCE, check_invariant
from cartdale.ledger.types import ANSWER_LIMIT, KeptAnswer, RecordPhase
from cartdale.problems.types import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    Problem,
)
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.identity import Identity, identify
from cartdale.quarantine.run_tracking import RunTracker
from cartdale.retries.backoffs import BackoffTracker
from cartdale.retries.decide import RetryBudget

_RETRY_AFTER: Millis = 2000


@dataclass(frozen=True, slots=True)
class PlainCall:
    """Hold a checked call to a plain service."""

    caller: Caller
    service_name: str
    service: Service
    request: PlainRequest


@dataclass(frozen=True, slots=True)
class PlainPorts:
    """Bundle what plain calls use of their instance.

    :param upstream_of: finds a declared upstream.
    :param connect: makes the adapter of an upstream.
    """

    upstream_of: Callable[[str], Upstream | None]
    connect: Callable[[Upstream, Millis], PlainService]
    keys: KeyGuard
    budget: RetryBudget
    generator: Random
    quarantine: Quarantine
    clock: Clock
    backoffs: BackoffTracker


@dataclass(frozen=True, slots=True)
class _Attempted:
    """Hold how an attempt ended.

    :param sent: whether the upstream may have run it.
    """

    answer: PlainResponse | None
    sent: bool


class PlainGateway:
    """Route calls to plain services."""

    def __init__(self, ports: PlainPorts) -> None:
        self._ports = ports

    async def serve(self, call: PlainCall) -> Response:
        """Answer one call."""
        once = call.service.repeat is Repeat.NEVER
        admitted = await self._ports.keys.admit(
            KeyedRequest(
                customer=call.caller.name,
                service=call.service_name,
                key=call.request.key,
                body_digest=digest_body(_identity(call.request)),
                once=once,
            ),
        )
        match admitted:
            case Failure(problem):
                return make_problem_response(problem)
            case Success(Repeated(answer=kept)):
                return _answer(
                    PlainResponse(kept.status, kept.content_type, kept.body)
                )
            case Success(Grant() as grant):
                return await self._run(call, grant)
        return make_problem_response(_not_run())

    async def _run(self, call: PlainCall, grant: Grant) -> Response:
        watch = RunTracker(
            self._ports.quarantine, _identify(call), call.request.key
        )
        attempted = await self._attempt_all(call, grant, watch)
        if attempted.answer is not None:
            await self._ports.keys.settle(
                grant, RecordPhase.FINISHED, _keep(attempted.answer)
            )
            return _answer(attempted.answer)
        if attempted.sent:
            await self._ports.keys.settle(grant, RecordPhase.UNKNOWN, None)
            return make_problem_response(
                OutcomeUnknown('the upstream was lost')
            )
        await self._ports.keys.release(grant)
        refusal = watch.find_refusal()
        return make_problem_response(refusal or self._refuse(call.service))

    def _refuse(self, service: Service) -> Problem:
        """Say when to come back: not before the first rest ends."""
        backoffs = [
            self._ports.backoffs.remaining(name) for name in service.upstreams
        ]
        wait = max(_RETRY_AFTER, min(backoffs, default=0))
        return NotRun(NotRunReason.REFUSED, wait)

    async def _attempt_all(
        self, call: PlainCall, grant: Grant, watch: RunTracker
    ) -> _Attempted:
        ever_sent = False
        may_repeat = call.service.repeat is Repeat.ALLOWED
        for index, name in enumerate(self._order(call.service)):
            if not self._may_attempt(call, name, watch, first=not index):
                break
            check_invariant(
                AT_MOST_ONCE,
                holds=may_repeat or not ever_sent,
                detail=f'{call.service_name} would run again on {name}',
            )
            attempted = await self._attempt(call, name, grant, watch)
            ever_sent = ever_sent or attempted.sent
            finished = attempted.answer is not None
            if finished or (attempted.sent and not may_repeat):
                return attempted
        return _Attempted(None, ever_sent)

    def _may_attempt(
        self, call: PlainCall, name: str, watch: RunTracker, *, first: bool
    ) -> bool:
        """Tell whether an attempt may be made; a repeat is paid for."""
        if watch.find_refusal() is not None:
            return False
        return first or self._ports.budget.withdraw(call.caller.name, name)

    async def _attempt(
        self, call: PlainCall, name: str, grant: Grant, watch: RunTracker
    ) -> _Attempted:
        upstream = self._ports.upstream_of(name)
        if upstream is None or upstream.draining:
            return _Attempted(None, sent=False)
        if self._ports.backoffs.remaining(name):
            return _Attempted(None, sent=False)
        self._ports.budget.earn(call.caller.name, name)
        fence = grant.fence if upstream.checks_fence else 0
        service = self._ports.connect(upstream, call.service.deadline_ms)
        watch.note_sent(self._ports.clock.now())
        answer = await service.call(replace(call.request, fence=fence))
        match answer:
            case Success(given):
                if given.status < HTTPStatus.MULTIPLE_CHOICES:
                    watch.note_ran_on()
                return _Attempted(given, sent=True)
            case Failure(LinkLost()):
                if await service.is_unreachable():
                    watch.note_lost(name)
                return _Attempted(None, sent=True)
            case Failure(EngineRefused(backoff=backoff)):
                self._ports.backoffs.note(name, backoff)
        return _Attempted(None, sent=False)

    def _order(self, service: Service) -> list[str]:
        names = list(service.upstreams)
        self._ports.generator.shuffle(names)
        return names


def _identify(call: PlainCall) -> Identity:
    request = call.request
    return identify(
        request.method,
        call.service_name,
        request.path.encode(),
        call.caller.name,
        request.body,
    )


def _identity(request: PlainRequest) -> bytes:
    head = f'{request.method} {request.path}\n'.encode()
    return head + request.body


def _keep(answer: PlainResponse) -> KeptAnswer | None:
    if len(answer.body) > ANSWER_LIMIT:
        return None
    return KeptAnswer(answer.status, answer.content_type, answer.body)


def _answer(answer: PlainResponse) -> Response:
    return Response(
        answer.body, status=answer.status, content_type=answer.content_type
    )


def _not_run() -> Problem:
    return NotRun(NotRunReason.REFUSED, _RETRY_AFTER)
