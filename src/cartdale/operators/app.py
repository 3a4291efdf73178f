"""Serve operators over HTTP, apart from callers, with own credentials."""

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger
from quart import Response, request
from quart_trio import QuartTrio
from returns.result import Failure, Success

from cartdale.callers.app import read_body
from cartdale.callers.respond import make_json_response
from cartdale.codec import decode_json
from cartdale.configuration.driver import Configurator
from cartdale.configuration.storage import KEPT_LOG, read_log
from cartdale.configuration.types import Delta
from cartdale.exceptions import UndecodableError
from cartdale.operators import types
from cartdale.plans.confirm import Confirmation, Confirmer, Verdict
from cartdale.plans.make import make_plan
from cartdale.plans.types import (
    AlreadyConfirmed,
    Confirmed,
    ConfirmFailure,
    ConfirmUnavailable,
    ConfirmUnknown,
    PlanConflict,
    PlanInvalid,
    PlanTampered,
    PlanTooLarge,
)
from cartdale.reports.types import Report
from cartdale.store.types import Store

BODY_LIMIT = 8388608
BODY_SECONDS = 30
_METRICS_TYPE = 'text/plain; version=0.0.4'


@dataclass(frozen=True, slots=True)
class OperatorPorts:
    """Bundle what the operators' interface uses of its instance.

    :param keys: reads the accepted keys, which may rotate.
    """

    configurator: Configurator
    confirmer: Confirmer
    store: Store
    keys: Callable[[], tuple[bytes, ...]]
    status: Callable[[], types.SystemStatus]
    drain: Callable[[], None]
    report: Callable[[], Awaitable[Report]]
    metrics: Callable[[], bytes]


class OperatorApp:
    """Answer operators."""

    def __init__(self, ports: OperatorPorts) -> None:
        self._ports = ports

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('operators')
        app.config['MAX_CONTENT_LENGTH'] = BODY_LIMIT
        app.config['BODY_TIMEOUT'] = BODY_SECONDS
        for path, view, method in (
            (types.PATH_PLAN, self._plan, 'POST'),
            (types.PATH_CONFIRM, self._confirm, 'POST'),
            (types.PATH_STATUS, self._status, 'GET'),
            (types.PATH_HISTORY, self._history, 'GET'),
            (types.PATH_CONFIGURATION, self._configuration, 'GET'),
            (types.PATH_DRAIN, self._drain, 'POST'),
            (types.PATH_REPORT, self._report, 'GET'),
            ('/metrics', self._metrics, 'GET'),
        ):
            app.add_url_rule(path, path, view, methods=[method])
        app.before_request(self._authorise)
        app.register_error_handler(UndecodableError, _answer_bad_body)
        return app

    async def _authorise(self) -> Response | None:
        scheme, _, key = request.headers.get('Authorization', '').partition(' ')
        given = key.strip().encode()
        accepted = any(
            hmac.compare_digest(given, known) for known in self._ports.keys()
        )
        if scheme.lower() == 'bearer' and accepted:
            return None
        response = make_json_response(
            types.Refusal('an operator key is required')
        )
        response.status_code = HTTPStatus.UNAUTHORIZED
        return response

    async def _plan(self) -> Response:
        intent = decode_json(await read_body(), types.Intent)
        await self._ports.configurator.catch_up()
        state = self._ports.configurator.state
        return make_json_response(make_plan(state, intent.bodies_by_key))

    async def _confirm(self) -> Response:
        asked = decode_json(await read_body(), types.ConfirmRequest)
        configurator = self._ports.configurator
        await configurator.catch_up()
        verdict = await self._ports.confirmer.confirm(
            configurator.state, Confirmation(asked.plan, asked.author)
        )
        await configurator.catch_up()
        await self._ports.confirmer.keep_snapshots(configurator.state)
        answer = _describe_verdict(verdict)
        logger.info(
            'plan confirmed or refused',
            plan=asked.plan.plan_id,
            author=asked.author,
            outcome=answer.outcome,
            revision=answer.revision,
            detail=answer.detail,
        )
        return make_json_response(answer)

    async def _status(self) -> Response:
        return make_json_response(self._ports.status())

    async def _history(self) -> Response:
        revision = self._ports.configurator.state.revision
        after = max(0, revision - KEPT_LOG)
        entries: list[types.HistoryEntry] = []
        while after < revision:
            log = await read_log(self._ports.store, after)
            deltas = log.value_or(())
            if not deltas:
                break
            entries.extend(_describe_delta(delta) for delta in deltas)
            after = deltas[-1].revision
        entries.reverse()
        return make_json_response(types.History(tuple(entries)))

    async def _configuration(self) -> Response:
        state = self._ports.configurator.state
        return make_json_response(types.Intent(state.bodies_by_key))

    async def _drain(self) -> Response:
        self._ports.drain()
        return make_json_response(self._ports.status())

    async def _report(self) -> Response:
        return make_json_response(await self._ports.report())

    async def _metrics(self) -> Response:
        return Response(self._ports.metrics(), content_type=_METRICS_TYPE)


def _describe_verdict(verdict: Verdict) -> types.ConfirmAnswer:
    match verdict:
        case Success(Confirmed(revision=revision)):
            return types.ConfirmAnswer('confirmed', revision, 'in force')
        case Success(AlreadyConfirmed(revision=revision)):
            detail = 'this plan took effect before'
            return types.ConfirmAnswer('already_confirmed', revision, detail)
        case Failure(failure):
            return _describe_failure(failure)
    return types.ConfirmAnswer('unknown', 0, 'no answer')


def _describe_failure(failure: ConfirmFailure) -> types.ConfirmAnswer:
    match failure:
        case PlanConflict():
            return types.ConfirmAnswer(
                'conflict',
                failure.revision,
                f'plan {failure.other_plan_id} by {failure.author} took '
                f'effect first; make a new plan',
                failure.overlapping,
            )
        case PlanTampered(expected=expected):
            detail = f'the content of this plan has the id {expected}'
            return types.ConfirmAnswer('tampered', 0, detail)
        case ConfirmUnknown(detail=detail):
            return types.ConfirmAnswer('unknown', 0, detail)
        case ConfirmUnavailable(detail=detail):
            return types.ConfirmAnswer('unavailable', 0, detail)
        case PlanInvalid(faults=faults):
            detail = '; '.join(str(fault) for fault in faults)
            return types.ConfirmAnswer('invalid', 0, detail)
        case PlanTooLarge(size=size, limit=limit):
            detail = (
                f'the change takes {size} bytes, one value of the store holds '
                f'{limit}; declare and confirm it in parts'
            )
            return types.ConfirmAnswer('too_large', 0, detail)


def _describe_delta(delta: Delta) -> types.HistoryEntry:
    return types.HistoryEntry(
        revision=delta.revision,
        plan_id=delta.plan_id,
        author=delta.author,
        wall_ms=delta.wall_ms,
        changed=tuple(change.key for change in delta.changes),
    )


async def _answer_bad_body(error: Exception) -> Response:
    response = make_json_response(types.Refusal(str(error)))
    response.status_code = HTTPStatus.BAD_REQUEST
    return response
