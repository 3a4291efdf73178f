"""Let requests wait for capacity in the order of all instances."""

from dataclasses import dataclass, replace

import trio
from loguru import logger

from cartdale.admission.decide import is_patient
from cartdale.admission.types import Applicant, Reserve, Verdict, Wait
from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import Upstream
from cartdale.relay.waiting import (
    CHECK_INTERVAL,
    MAX_RETRY_AFTER,
    MIN_CHANCE,
    MIN_CHANCE_WAITING,
    MIN_RETRY_AFTER,
    OPERATOR_REASONS,
    Waiting,
    find_unknown_wait,
)
from cartdale.scheduling.candidates import UnavailableReason
from cartdale.scheduling.room import ServiceRoom
from cartdale.scheduling.types import (
    GROWTH_RESERVED,
    MAX_FILLED_SHARE,
    RequestNeeds,
)
from cartdale.scheduling.wait_forecast import WaitForecast
from cartdale.switches import Mechanism

#: For this long, a measurement of the room serves all checks.
_ROOM_KEPT: Millis = 20
#: Between two forecasts of a request that waits.
_FORECAST_INTERVAL: Millis = 100
#: A request that waited longer gets a log line that says why.
_LONG_WAIT: Millis = SECOND_MS // 2


@dataclass(frozen=True, slots=True)
class Refused:
    """The request won't find capacity in time by the order.

    :param retry_after: its turn to return; ``None`` without a forecast.
    :param forecast: of the request by its place in the order.
    """

    retry_after: Millis | None
    forecast: WaitForecast
    chance: float
    reason: UnavailableReason
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class _MeasuredRoom:
    room: ServiceRoom
    at: Millis


class _Attempt:
    """Hold what changes while one request waits."""

    def __init__(self, waiting: Waiting, applicant: Applicant) -> None:
        self.waiting = waiting
        self.applicant = applicant
        self.listed = False
        self.min_chance = MIN_CHANCE
        self.forecast_at: Millis | None = None
        #: Since when it has left room to others.
        self.deferring_since: Millis | None = None
        self.began_at: Millis = 0


class OrderedAdmission:
    """Assign upstreams to requests in the order of all instances."""

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._arrivals = 0
        self._rooms: dict[tuple[str, frozenset[str] | None], _MeasuredRoom] = {}

    async def place(self, waiting: Waiting) -> Upstream | Refused:
        """Wait for capacity as long as it is likely to come in time."""
        attempt = self._begin(waiting)
        attempt.began_at = self._clock.now()
        try:
            return await self._wait(attempt)
        finally:
            if attempt.listed:
                self._fleet.order.end_waiting(attempt.applicant)
                self._fleet.notify()

    def _begin(self, waiting: Waiting) -> _Attempt:
        needs = waiting.needs
        order = self._fleet.order
        tokens = int(needs.prompt + GROWTH_RESERVED * needs.expected)
        returned = False
        # Only the first attempt is demand of the caller.
        if not needs.excluded:
            order.note_arrival(
                needs.service, waiting.priority, tokens, waiting.stay
            )
            returned = order.is_told(needs.service, waiting.identity)
        self._arrivals += 1
        applicant = Applicant(
            needs.service,
            waiting.priority,
            waiting.customer,
            waiting.arrived_at,
            self._arrivals,
            tokens,
            returned,
        )
        return _Attempt(waiting, applicant)

    async def _wait(self, attempt: _Attempt) -> Upstream | Refused:
        order, waiting = self._fleet.order, attempt.waiting
        while True:
            now = self._clock.now()
            room = self._measure_room(waiting.needs, now)
            verdict = order.judge(attempt.applicant, room)
            chosen = self._choose(attempt, verdict, room, now)
            if chosen is not None:
                return chosen
            refused = self._check(attempt, verdict, room, now)
            if refused is not None:
                return refused
            if not attempt.listed:
                attempt.listed = True
                order.begin_waiting(attempt.applicant)
                self._fleet.announce()
            left = max(waiting.until - now, 0)
            with trio.move_on_after(as_seconds(min(left, CHECK_INTERVAL))):
                await self._fleet.changed()

    def _measure_room(self, needs: RequestNeeds, now: Millis) -> ServiceRoom:
        key = (needs.service, needs.domains)
        known = self._rooms.get(key)
        if known is not None and now - known.at < _ROOM_KEPT:
            return known.room
        room = self._fleet.measure_room(replace(needs, excluded=frozenset()))
        self._rooms[key] = _MeasuredRoom(room, now)
        return room

    def _choose(
        self,
        attempt: _Attempt,
        verdict: Verdict,
        room: ServiceRoom,
        now: Millis,
    ) -> Upstream | None:
        """Return an upstream with capacity if it is this request's turn."""
        if isinstance(verdict, Wait) and self._leaves(attempt, verdict, now):
            return None
        needs = attempt.waiting.needs
        chosen = self._fleet.choose(
            _leave_free(needs, verdict.reserve, room.memory)
        )
        if chosen is None:
            return None
        self._rooms.clear()
        if not needs.excluded:
            self._fleet.order.admit(attempt.applicant, needs.reads)
        self._log_long_wait(attempt, verdict, now)
        return chosen

    def _leaves(self, attempt: _Attempt, verdict: Wait, now: Millis) -> bool:
        """Tell whether a request leaves room to others."""
        if not verdict.deferring:
            attempt.deferring_since = None
            return True
        if attempt.deferring_since is None:
            attempt.deferring_since = now
        deferred = now - attempt.deferring_since
        return is_patient(verdict, deferred)

    def _check(
        self,
        attempt: _Attempt,
        verdict: Verdict,
        room: ServiceRoom,
        now: Millis,
    ) -> Refused | None:
        """Return the refusal of a request that is unlikely to be served."""
        waiting = attempt.waiting
        last = attempt.forecast_at
        if last is not None and now < waiting.until:
            if now - last < _FORECAST_INTERVAL:
                return None
        attempt.forecast_at = now
        needs = _leave_free(waiting.needs, verdict.reserve, room.memory)
        forecast = self._fleet.forecast_wait(needs, 0)
        reason = self._fleet.find_unavailable_reason(waiting.needs)
        until = waiting.until
        if forecast.expected_wait() is None:
            unknown = attempt.began_at + find_unknown_wait(reason)
            until = min(until, unknown)
            chance = float(now < until)
        else:
            forecast, chance = self._fleet.order.forecast(
                attempt.applicant, forecast, verdict, room, until
            )
        if not self._fleet.switches.is_enabled(Mechanism.FORECAST):
            chance = 1
        least = attempt.min_chance
        attempt.min_chance = MIN_CHANCE_WAITING
        if reason not in OPERATOR_REASONS and now < until and chance >= least:
            return None
        return self._refuse(attempt, verdict, forecast, chance, reason)

    def _refuse(
        self,
        attempt: _Attempt,
        verdict: Verdict,
        forecast: WaitForecast,
        chance: float,
        reason: UnavailableReason,
    ) -> Refused:
        waiting = attempt.waiting
        retry_after = None
        if reason not in OPERATOR_REASONS and forecast.rate:
            retry_after = self._fleet.order.promise(
                attempt.applicant,
                waiting.identity,
                forecast,
                (MIN_RETRY_AFTER, MAX_RETRY_AFTER),
                self._fleet.limits.gate.count_participants(),
            )
        return Refused(retry_after, forecast, chance, reason, verdict)

    def _log_long_wait(
        self, attempt: _Attempt, verdict: Verdict, now: Millis
    ) -> None:
        waited = now - attempt.waiting.arrived_at
        if not attempt.listed or waited < _LONG_WAIT:
            return
        logger.info(
            'waited for room',
            request=attempt.waiting.request_id,
            service=attempt.applicant.service,
            customer=attempt.applicant.customer,
            priority=attempt.applicant.priority,
            waited=waited,
            returned=attempt.applicant.returned,
            **describe_order(verdict),
        )


def describe_order(verdict: Verdict) -> dict[str, float]:
    """Return the fields of a log line that say who goes before a request."""
    ahead = verdict.ahead
    return {
        'urgent_ahead': round(ahead.urgent, 1),
        'owed_ahead': round(ahead.owed, 1),
        'alike_ahead': round(ahead.alike, 1),
        'own_ahead': ahead.own,
        'tokens_ahead': int(ahead.tokens),
        'reserve': int(verdict.reserve.tokens),
        'news_age': ahead.news_age,
    }


def _leave_free(
    needs: RequestNeeds, reserve: Reserve, memory: int
) -> RequestNeeds:
    """Return the needs of a request that leaves room to urgent ones."""
    if not memory or not (reserve.tokens or reserve.slots):
        return needs
    filled = MAX_FILLED_SHARE - reserve.tokens / memory
    return replace(needs, filled=filled, spare_slots=reserve.slots)
