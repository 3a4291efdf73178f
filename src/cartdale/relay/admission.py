"""Admission queue of the requests that wait for upstream capacity.

A request waits only while the forecast says that it will be served in time.
Otherwise it is refused at once with a retry delay.
"""

import random
from bisect import insort
from dataclasses import dataclass
from math import ceil

import trio
from loguru import logger

from cartdale.admission.reading import ReadingBounds
from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import Upstream
from cartdale.relay.ordered_admission import (
    OrderedAdmission,
    Refused,
    describe_order,
)
from cartdale.relay.waiting import (
    CHECK_INTERVAL,
    MAX_RETRY_AFTER,
    MIN_CHANCE,
    MIN_CHANCE_WAITING,
    MIN_RETRY_AFTER,
    OPERATOR_REASONS,
    UNKNOWN_RETRY,
    NoCapacity,
    Waiting,
    find_unknown_wait,
)
from cartdale.scheduling.candidates import UnavailableReason
from cartdale.scheduling.types import RequestNeeds
from cartdale.scheduling.wait_forecast import WaitForecast
from cartdale.switches import Mechanism

#: Retry delays are spread over this share of the delay: callers refused
#: together would otherwise return and be refused together again.
_RETRY_SPREAD_SHARE = 0.5
#: Upper bound of the spread after a back-off: no upstream can serve the callers
#: before it ends, and a long back-off needs no proportionally long spread.
_MAX_BACKOFF_SPREAD: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """Rank of a waiting request: by priority, then by arrival time.

    :param number: orders requests that arrived in the same millisecond.
    """

    priority: int
    arrived_at: Millis
    number: int


class Admission:
    """Assign upstreams to requests in the order of their rank.

    :param fleet: provides the upstreams.
    :param seed: makes the spread of retry delays reproducible.
    """

    def __init__(self, fleet: Fleet, clock: Clock, seed: int) -> None:
        self._fleet = fleet
        self._clock = clock
        self._generator = random.Random(seed)
        self._reading_bounds = ReadingBounds()
        #: Tickets of the waiting requests, the next one first.
        self._queues_by_service: dict[str, list[Ticket]] = {}
        self._arrivals = 0
        #: Latest return time given to a caller, for upstreams with rate limits.
        self._returns_by_service: dict[str, Millis] = {}
        self._ordered = OrderedAdmission(fleet, clock)

    def leave_reading_time(
        self, needs: RequestNeeds, priority: int
    ) -> RequestNeeds:
        """Return needs that leave more urgent requests time to be read.

        Unchanged where requests are not admitted in the order of all instances.
        """
        if not self._fleet.order.enabled:
            return needs
        return self._reading_bounds.apply(self._fleet.table, needs, priority)

    async def place(self, waiting: Waiting) -> Upstream | NoCapacity:
        """Wait for capacity as long as it is likely to come in time."""
        service = waiting.needs.service
        self._fleet.limits.note_arrival(service)
        if self._is_ordered(service):
            placed = await self._ordered.place(waiting)
            if isinstance(placed, Refused):
                return self._refuse(
                    waiting,
                    placed.forecast,
                    placed.chance,
                    placed.reason,
                    placed,
                )
            return placed
        queue = self._queues_by_service.setdefault(service, [])
        self._arrivals += 1
        ticket = Ticket(waiting.priority, waiting.arrived_at, self._arrivals)
        insort(queue, ticket)
        try:
            return await self._wait(queue, ticket, waiting)
        finally:
            queue.remove(ticket)
            if queue:
                self._fleet.notify()

    def delay_return(self, needs: RequestNeeds, minimum: Millis) -> Millis:
        """Return the retry delay of a request that upstreams refused.

        :param minimum: lower bound, also if no upstream requested a back-off.
        """
        return max(
            minimum,
            self._exceed_backoff(self._fleet.forecast_wait(needs, 0).backoff),
        )

    def _is_ordered(self, service: str) -> bool:
        """Tell whether requests are admitted in the order of all instances.

        Those of plain services are not: what runs at their upstreams is in no
        news, and ends before news of it arrive.
        """
        spec = self._fleet.table.services_by_name.get(service)
        has_engines = spec is not None and spec.engine is not None
        return has_engines and self._fleet.order.enabled

    def _exceed_backoff(self, backoff: Millis) -> Millis:
        """Return a randomised delay that exceeds a back-off."""
        spread = min(backoff * _RETRY_SPREAD_SHARE, _MAX_BACKOFF_SPREAD)
        return backoff + int(spread * self._generator.random())

    def _schedule_return(self, needs: RequestNeeds, minimum: Millis) -> Millis:
        """Return the retry delay for upstreams with rate limits.

        Callers return one after another at the rate that the limits allow:
        callers that return at the same time would be refused again.
        """
        rate = self._fleet.limits.gate.find_return_rate(needs.service)
        now = self._clock.now()
        after_last = self._returns_by_service.get(needs.service, 0)
        after_last += ceil(1 / rate) if rate else 0
        returns_at = max(now + minimum, after_last)
        if returns_at > now + MAX_RETRY_AFTER:
            share = 1 - _RETRY_SPREAD_SHARE * self._generator.random()
            return max(minimum, int(MAX_RETRY_AFTER * share))
        self._returns_by_service[needs.service] = returns_at
        return returns_at - now

    async def _wait(
        self, queue: list[Ticket], ticket: Ticket, waiting: Waiting
    ) -> Upstream | NoCapacity:
        min_chance = MIN_CHANCE
        began = self._clock.now()
        while True:
            ahead = queue.index(ticket)
            if not ahead:
                chosen = self._fleet.choose(waiting.needs)
                if chosen is not None:
                    return chosen
            now = self._clock.now()
            forecast = self._fleet.forecast_wait(waiting.needs, ahead)
            unavailable_reason = self._fleet.find_unavailable_reason(
                waiting.needs
            )
            if unavailable_reason in OPERATOR_REASONS:
                return self._refuse(waiting, forecast, 0, unavailable_reason)
            until = waiting.until
            if forecast.expected_wait() is None:
                until = min(
                    until, began + find_unknown_wait(unavailable_reason)
                )
                chance = float(now < until)
            else:
                chance = forecast.chance(until - now)
            if not self._fleet.switches.is_enabled(Mechanism.FORECAST):
                chance = 1
            if now >= until or chance < min_chance:
                return self._refuse(
                    waiting, forecast, chance, unavailable_reason
                )
            min_chance = MIN_CHANCE_WAITING
            with trio.move_on_after(
                as_seconds(min(until - now, CHECK_INTERVAL))
            ):
                await self._fleet.changed()

    def _refuse(
        self,
        waiting: Waiting,
        forecast: WaitForecast,
        chance: float,
        unavailable_reason: UnavailableReason,
        refused: Refused | None = None,
    ) -> NoCapacity:
        """Refuse a request.

        :param refused: decision by the order of all instances, if that holds.
        """
        expected = forecast.expected_wait()
        wait = UNKNOWN_RETRY if expected is None else expected
        wait += int(wait * _RETRY_SPREAD_SHARE * self._generator.random())
        if refused is not None and refused.retry_after is not None:
            wait = refused.retry_after
        bounded = min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
        retry_after = max(bounded, self._exceed_backoff(forecast.backoff))
        if unavailable_reason is UnavailableReason.LIMITED:
            retry_after = self._schedule_return(waiting.needs, retry_after)
        logger.info(
            'no room',
            request=waiting.request_id,
            service=waiting.needs.service,
            rank=waiting.priority,
            waited=self._clock.now() - waiting.arrived_at,
            chance=round(chance, 2),
            ends=forecast.ends,
            reading=forecast.reading,
            expected_wait=expected,
            retry_after=retry_after,
            shortage=unavailable_reason,
            **(describe_order(refused.verdict) if refused else {}),
        )
        return NoCapacity(retry_after)
