"""Carry requests of other instances to upstreams, over direct paths only."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import httpcore
from returns.result import Failure, Result, Success

from cartdale.clock import Clock, Millis
from cartdale.detours.driver import PathRouter
from cartdale.detours.guard import SendGuard, WithheldError
from cartdale.detours.types import (
    DetourOutcome,
    DetourReply,
    DirectReached,
    UpstreamRequest,
)
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.driver import Fleet
from cartdale.formatting import format_error
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
    is_refusal,
    make_connect_error,
)

#: Time for which the result of a control connection counts.
_CONTROL_LIFETIME: Millis = 200
#: Control connections that are tried at once.
_CONTROLS = 2

Carried = Result[httpcore.Response, DetourReply]
RecordCarried = Callable[[UpstreamRequest, httpcore.Response, Millis], None]


class Carrier:
    """Send requests of other instances over this instance's direct paths.

    :param record: records the advisory of a response.
    :param seed: makes the choice of control connections reproducible.
    """

    def __init__(
        self,
        router: PathRouter,
        fleet: Fleet,
        clock: Clock,
        record: RecordCarried,
        seed: int,
    ) -> None:
        self._router = router
        self._fleet = fleet
        self._clock = clock
        self._advisories = AdvisoryRecorder(fleet, clock)
        self._record = record
        self._generator = random.Random(seed)
        self._reaches_others = False
        self._controlled_at: Millis | None = None

    @asynccontextmanager
    async def carry(self, request: UpstreamRequest) -> AsyncIterator[Carried]:
        """Send a request over the direct path and read its response's head."""
        guard = SendGuard(self._advisories, request, counted=True)
        try:
            response = await self._send(request, guard)
        except WithheldError as withheld:
            reply = DetourReply(
                DetourOutcome.WITHHELD,
                detail=str(withheld),
                backoff=withheld.backoff,
            )
            yield Failure(reply)
            return
        except HTTPCORE_NOT_SENT_ERRORS as error:
            yield Failure(await self._describe_unreached(request, error))
            return
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as late_error:
            reply = DetourReply(
                DetourOutcome.BROKEN,
                detail=format_error(late_error),
                timed_out=isinstance(late_error, httpcore.TimeoutException),
            )
            yield Failure(reply)
            return
        if request.is_work:
            self._record(request, response, guard.sent_at)
        try:
            yield Success(response)
        finally:
            await response.aclose()

    async def _send(
        self, request: UpstreamRequest, guard: SendGuard
    ) -> httpcore.Response:
        """Send a request directly.

        :raises WithheldError: also if no upstream is known at its address.
        """
        if request.address not in self._list_addresses():
            raise WithheldError('no upstream is known at its address')
        blocked = self._router.find_blocked(request.address)
        if blocked is not None:
            raise make_connect_error(
                'the direct path is blocked', refused=blocked.refused
            )
        return await self._router.send_directly(
            request, guard if request.is_work else None
        )

    async def _describe_unreached(
        self, request: UpstreamRequest, error: Exception
    ) -> DetourReply:
        return DetourReply(
            DetourOutcome.UNREACHED,
            detail=format_error(error),
            reaches_others=await self._check_others(request.address),
            refused=is_refusal(error),
            alternatives=self._router.list_proven(),
        )

    async def _check_others(self, address: str) -> bool:
        """Tell whether this instance reaches another upstream just now.

        That it did a moment ago proves nothing: all its paths may have failed
        together. An instance that knows no other upstream counts as reaching
        them.
        """
        now = self._clock.now()
        checked_at = self._controlled_at
        if checked_at is not None and now - checked_at <= _CONTROL_LIFETIME:
            return self._reaches_others
        others = [each for each in self._list_addresses() if each != address]
        controls = self._generator.sample(others, min(len(others), _CONTROLS))
        reached = not controls
        for control in controls:
            reached = reached or await self._reaches(control)
        self._reaches_others = reached
        self._controlled_at = self._clock.now()
        return reached

    async def _reaches(self, address: str) -> bool:
        return isinstance(await self._router.probe(address), DirectReached)

    def _list_addresses(self) -> list[str]:
        upstreams = self._fleet.state.upstreams_by_id.values()
        return [upstream.entry.address for upstream in upstreams]
