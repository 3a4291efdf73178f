"""Serve completion requests: new, resumed or repeated with one key."""

from dataclasses import dataclass

from loguru import logger
from quart import Response
from returns.result import Failure, Success

from cartdale.callers.keyed import (
    Grant,
    KeyedRequest,
    KeyGuard,
    Replay,
)
from cartdale.callers.read import (
    GenerationCall,
    digest_body,
    make_delivery_request,
    make_generation_id,
)
from cartdale.callers.respond import (
    collect_response,
    make_problem_response,
    stream_response,
)
from cartdale.declarations.types import Repeat
from cartdale.invariants import RIGHT_CALLER, check_invariant
from cartdale.ledger.types import KeptAnswer, RecordPhase
from cartdale.problems.types import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    Problem,
)
from cartdale.streams.answers import Batch, Broken
from cartdale.streams.driver import Delivery
from cartdale.streams.ports import DeliveryPorts
from cartdale.streams.position import Position
from cartdale.supervision import run_guarded


@dataclass(frozen=True, slots=True)
class _StartedDelivery:
    """Started delivery with its first batch."""

    delivery: Delivery
    first: Batch


class GenerationGateway:
    """Serve completion requests of callers."""

    def __init__(self, ports: DeliveryPorts, keys: KeyGuard) -> None:
        self._ports = ports
        self._keys = keys

    async def serve(self, call: GenerationCall, key: str) -> Response:
        """Start a generation, or attach to the one with the same key."""
        admitted = await self._keys.admit(
            KeyedRequest(
                customer=call.caller.name,
                service=call.service_name,
                key=key,
                body_digest=digest_body(call.raw),
                once=call.service.repeat is Repeat.NEVER,
            ),
        )
        match admitted:
            case Success(Replay(answer=kept)):
                return await self._attach(call, kept)
            case Success(Grant() as grant):
                return await self._start(call, grant)
            case Failure(refusal):
                problem: Problem = refusal
                return make_problem_response(problem)
        return make_problem_response(OutcomeUnknown('no admission'))

    async def resume(
        self, call: GenerationCall, position: Position
    ) -> Response:
        """Resume a generation after a position."""
        check_invariant(
            RIGHT_CALLER,
            holds=position.origin.customer == call.caller.name,
            detail=f'{position.origin.generation} for {call.caller.name}',
        )
        delivery = self._make_delivery(
            call, position.origin.generation, position
        )
        return await self._respond(call, await _start_delivery(delivery))

    async def _attach(self, call: GenerationCall, kept: KeptAnswer) -> Response:
        position = self._ports.position_signer.verify(f'{kept.origin}.0.')
        if position is None:
            return make_problem_response(
                OutcomeUnknown('the answer was not kept')
            )
        return await self.resume(call, position)

    async def _start(self, call: GenerationCall, grant: Grant) -> Response:
        delivery = self._make_delivery(call, make_generation_id(), None)
        try:
            started = await _start_delivery(delivery)
        except BaseException:
            # The caller disconnected; the outcome must still be reported to
            # the owner of the key.
            abandoned = _StartedDelivery(
                delivery, _make_abandoned_batch(delivery)
            )
            self._ports.nursery.start_soon(
                run_guarded,
                'outcomes of keys',
                self._report_outcome,
                grant,
                abandoned,
            )
            raise
        await self._report_outcome(grant, started)
        return await self._respond(call, started)

    def _make_delivery(
        self,
        call: GenerationCall,
        generation: str,
        position: Position | None,
    ) -> Delivery:
        delivery_request = make_delivery_request(
            call, generation, position, self._ports.clock.now()
        )
        logger.debug('delivering', request=generation, caller=call.caller.name)
        return Delivery(self._ports, delivery_request)

    async def _report_outcome(
        self, grant: Grant, started: _StartedDelivery
    ) -> None:
        match started.first:
            case Broken(problem=NotRun()):
                await self._keys.release(grant)
            case Broken():
                await self._keys.settle(grant, RecordPhase.UNKNOWN, None)
            case _:
                kept = KeptAnswer(origin=started.delivery.signed_origin)
                await self._keys.settle(grant, RecordPhase.FINISHED, kept)

    async def _respond(
        self, call: GenerationCall, started: _StartedDelivery
    ) -> Response:
        delivery = started.delivery
        if call.body.stream and isinstance(started.first, tuple):
            return stream_response(delivery, started.first)
        try:
            return await collect_response(
                delivery, started.first, self._ports.clock
            )
        finally:
            delivery.close()


def _make_abandoned_batch(delivery: Delivery) -> Batch:
    if not delivery.state.upstream:
        return Broken(NotRun(NotRunReason.NO_UPSTREAM, 0))
    return ()


async def _start_delivery(delivery: Delivery) -> _StartedDelivery:
    try:
        refusal = await delivery.start()
        if refusal is not None:
            return _StartedDelivery(delivery, Broken(refusal))
        return _StartedDelivery(delivery, await delivery.next_batch())
    except BaseException:
        delivery.close()
        raise
