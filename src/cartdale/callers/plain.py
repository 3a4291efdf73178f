"""Serve calls to plain services, with idempotency keys and retries."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from random import Random

import trio
from quart import Response
from returns.result import Failure, Success

from cartdale.callers.keyed import (
    Grant,
    KeyedRequest,
    KeyGuard,
    Replay,
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
from cartdale.quarantine.identity import Fingerprint, identify
from cartdale.quarantine.run_tracking import RunTracker
from cartdale.retries.backoffs import BackoffTracker
from cartdale.retries.decide import RetryBudget
from cartdale.supervision import run_guarded

_RETRY_AFTER: Millis = 2000


@dataclass(frozen=True, slots=True)
class PlainCall:
    """Validated call to a plain service."""

    caller: Caller
    service_name: str
    service: Service
    request: PlainRequest


@dataclass(frozen=True, slots=True)
class PlainPorts:
    """Dependencies of plain calls on the instance.

    :param upstream_of: returns a declared upstream by name.
    :param connect: creates the adapter of an upstream.
    :param nursery: runs what goes on after a caller has disconnected.
    """

    upstream_of: Callable[[str], Upstream | None]
    connect: Callable[[Upstream, Millis], PlainService]
    nursery: trio.Nursery
    keys: KeyGuard
    budget: RetryBudget
    generator: Random
    quarantine: Quarantine
    clock: Clock
    backoffs: BackoffTracker


@dataclass(frozen=True, slots=True)
class _AttemptResult:
    """Result of an attempt.

    :param sent: whether the upstream may have executed the request.
    """

    response: PlainResponse | None
    sent: bool


class PlainGateway:
    """Route calls to plain services."""

    def __init__(self, ports: PlainPorts) -> None:
        self._ports = ports

    async def serve(self, call: PlainCall) -> Response:
        """Return the response to a call."""
        once = call.service.repeat is Repeat.NEVER
        admitted = await self._ports.keys.admit(
            KeyedRequest(
                customer=call.caller.name,
                service=call.service_name,
                key=call.request.key,
                body_digest=digest_body(_serialize_request(call.request)),
                once=once,
            ),
        )
        match admitted:
            case Failure(problem):
                return make_problem_response(problem)
            case Success(Replay(answer=kept)):
                return _make_response(
                    PlainResponse(kept.status, kept.content_type, kept.body)
                )
            case Success(Grant() as grant):
                return await self._run(call, grant)
        return make_problem_response(_make_default_refusal())

    async def _run(self, call: PlainCall, grant: Grant) -> Response:
        tracker = RunTracker(
            self._ports.quarantine,
            _compute_fingerprint(call),
            call.request.key,
        )
        attempt = _AttemptResult(None, sent=True)
        try:
            attempt = await self._attempt_all(call, grant, tracker)
            await self._report_outcome(grant, attempt)
        except BaseException:
            # The caller disconnected; the outcome must still be reported to
            # the owner of the key.
            self._ports.nursery.start_soon(
                run_guarded,
                'outcomes of keys',
                self._report_outcome,
                grant,
                attempt,
            )
            raise
        if attempt.response is not None:
            return _make_response(attempt.response)
        if attempt.sent:
            return make_problem_response(
                OutcomeUnknown('the upstream was lost')
            )
        refusal = tracker.find_refusal()
        return make_problem_response(
            refusal or self._make_refusal(call.service)
        )

    async def _report_outcome(
        self, grant: Grant, attempt: _AttemptResult
    ) -> None:
        keys = self._ports.keys
        if not attempt.sent:
            await keys.release(grant)
            return
        if attempt.response is None:
            await keys.settle(grant, RecordPhase.UNKNOWN, None)
            return
        kept = _make_kept_answer(attempt.response)
        await keys.settle(grant, RecordPhase.FINISHED, kept)

    def _make_refusal(self, service: Service) -> Problem:
        """Return a refusal whose delay covers the shortest back-off."""
        backoffs = [
            self._ports.backoffs.remaining(name) for name in service.upstreams
        ]
        wait = max(_RETRY_AFTER, min(backoffs, default=0))
        return NotRun(NotRunReason.REFUSED, wait)

    async def _attempt_all(
        self, call: PlainCall, grant: Grant, tracker: RunTracker
    ) -> _AttemptResult:
        ever_sent = False
        may_repeat = call.service.repeat is Repeat.ALLOWED
        for index, name in enumerate(self._shuffle_upstreams(call.service)):
            if not self._may_attempt(call, name, tracker, first=not index):
                break
            check_invariant(
                AT_MOST_ONCE,
                holds=may_repeat or not ever_sent,
                detail=f'{call.service_name} would run again on {name}',
            )
            attempt = await self._attempt(call, name, grant, tracker)
            ever_sent = ever_sent or attempt.sent
            finished = attempt.response is not None
            if finished or (attempt.sent and not may_repeat):
                return attempt
        return _AttemptResult(None, ever_sent)

    def _may_attempt(
        self, call: PlainCall, name: str, tracker: RunTracker, *, first: bool
    ) -> bool:
        """Return whether to attempt; a retry is charged to the budget."""
        if tracker.find_refusal() is not None:
            return False
        return first or self._ports.budget.withdraw(call.caller.name, name)

    async def _attempt(
        self, call: PlainCall, name: str, grant: Grant, tracker: RunTracker
    ) -> _AttemptResult:
        upstream = self._ports.upstream_of(name)
        if upstream is None or upstream.draining:
            return _AttemptResult(None, sent=False)
        if self._ports.backoffs.remaining(name):
            return _AttemptResult(None, sent=False)
        self._ports.budget.earn(call.caller.name, name)
        fence = grant.fence if upstream.checks_fence else 0
        service = self._ports.connect(upstream, call.service.deadline_ms)
        tracker.note_sent(self._ports.clock.now())
        answer = await service.call(replace(call.request, fence=fence))
        match answer:
            case Success(response):
                if response.status < HTTPStatus.MULTIPLE_CHOICES:
                    tracker.note_ran_on()
                return _AttemptResult(response, sent=True)
            case Failure(LinkLost()):
                if await service.is_unreachable():
                    tracker.note_lost(name)
                return _AttemptResult(None, sent=True)
            case Failure(EngineRefused(backoff=backoff)):
                self._ports.backoffs.note(name, backoff)
        return _AttemptResult(None, sent=False)

    def _shuffle_upstreams(self, service: Service) -> list[str]:
        names = list(service.upstreams)
        self._ports.generator.shuffle(names)
        return names


def _compute_fingerprint(call: PlainCall) -> Fingerprint:
    request = call.request
    identity = identify(
        request.method,
        call.service_name,
        request.path.encode(),
        call.caller.name,
        request.body,
    )
    return Fingerprint(identity)


def _serialize_request(request: PlainRequest) -> bytes:
    head = f'{request.method} {request.path}\n'.encode()
    return head + request.body


def _make_kept_answer(answer: PlainResponse) -> KeptAnswer | None:
    if len(answer.body) > ANSWER_LIMIT:
        return None
    return KeptAnswer(answer.status, answer.content_type, answer.body)


def _make_response(answer: PlainResponse) -> Response:
    return Response(
        answer.body, status=answer.status, content_type=answer.content_type
    )


def _make_default_refusal() -> Problem:
    return NotRun(NotRunReason.REFUSED, _RETRY_AFTER)
