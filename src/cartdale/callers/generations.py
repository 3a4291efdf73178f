"""Serve generations: new, resumed, or repeated under the same key."""

from dataclasses import dataclass

from loguru import logger
from quart import Response
from returns.result import Failure, Success

from cartdale.callers.keyed import (
    Grant,
    KeyedRequest,
    KeyGuard,
    Repeated,
)
from cartdale.callers.read import (
    GenerationCall,
    digest_body,
    make_delivery_request,
    make_generation_id,
)
from cartdale.callers.respond import (
    collect_answer,
    make_problem_response,
    stream_answer,
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


@dataclass(frozen=True, slots=True)
class _Begun:
    """Hold a delivery with its first batch."""

    delivery: Delivery
    first: Batch


class GenerationGateway:
    """Answer completion requests."""

    def __init__(self, ports: DeliveryPorts, keys: KeyGuard) -> None:
        self._ports = ports
        self._keys = keys

    async def serve(self, call: GenerationCall, key: str) -> Response:
        """Answer a new request, or attach to the one with the same key."""
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
            case Success(Repeated(answer=kept)):
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
        """Continue an answer behind a position."""
        check_invariant(
            RIGHT_CALLER,
            holds=position.origin.customer == call.caller.name,
            detail=f'{position.origin.generation} for {call.caller.name}',
        )
        delivery = self._make(call, position.origin.generation, position)
        return await self._answer(call, await _begin(delivery))

    async def _attach(self, call: GenerationCall, kept: KeptAnswer) -> Response:
        position = self._ports.position_signer.verify(f'{kept.origin}.0.')
        if position is None:
            return make_problem_response(
                OutcomeUnknown('the answer was not kept')
            )
        return await self.resume(call, position)

    async def _start(self, call: GenerationCall, grant: Grant) -> Response:
        delivery = self._make(call, make_generation_id(), None)
        try:
            begun = await _begin(delivery)
        except BaseException:
            # The caller went away; the key's owner must still hear of it.
            lost = _Begun(delivery, _describe_abandoned(delivery))
            self._ports.nursery.start_soon(self._report, grant, lost)
            raise
        await self._report(grant, begun)
        return await self._answer(call, begun)

    def _make(
        self,
        call: GenerationCall,
        generation: str,
        position: Position | None,
    ) -> Delivery:
        asked = make_delivery_request(
            call, generation, position, self._ports.clock.now()
        )
        logger.debug('delivering', request=generation, caller=call.caller.name)
        return Delivery(self._ports, asked)

    async def _report(self, grant: Grant, begun: _Begun) -> None:
        match begun.first:
            case Broken(problem=NotRun()):
                await self._keys.release(grant)
            case Broken():
                await self._keys.settle(grant, RecordPhase.UNKNOWN, None)
            case _:
                kept = KeptAnswer(origin=begun.delivery.signed_origin)
                await self._keys.settle(grant, RecordPhase.FINISHED, kept)

    async def _answer(self, call: GenerationCall, begun: _Begun) -> Response:
        delivery = begun.delivery
        if call.body.stream and isinstance(begun.first, tuple):
            return stream_answer(delivery, begun.first)
        try:
            return await collect_answer(
                delivery, begun.first, self._ports.clock
            )
        finally:
            delivery.close()


def _describe_abandoned(delivery: Delivery) -> Batch:
    if not delivery.state.upstream:
        return Broken(NotRun(NotRunReason.NO_UPSTREAM, 0))
    return ()


async def _begin(delivery: Delivery) -> _Begun:
    try:
        refusal = await delivery.start()
        if refusal is not None:
            return _Begun(delivery, Broken(refusal))
        return _Begun(delivery, await delivery.next_batch())
    except BaseException:
        delivery.close()
        raise
