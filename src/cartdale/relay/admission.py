"""Admission: who goes next when the upstreams of a service are full.

A request waits only while the forecast says that it will be served in its
time; else it is refused at once and told when to come back.
"""

import random
from bisect import insort
from dataclasses import dataclass
from math import ceil

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.fleet.candidates import UnavailableReason
from cartdale.fleet.choose import RequestNeeds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import Upstream
from cartdale.fleet.wait_forecast import WaitForecast
from cartdale.problems.types import NotRunReason
from cartdale.switches import Mechanism

#: Between looks for room that no message announced.
_LOOK_EVERY: Millis = 40
#: A request waits if it is more likely to be served than not.
_LEAST_CHANCE = 0.5
#: One that waits already is refused once so little chance is left: every look
#: sees other loads, and a refusal after a wait is dearer than one at once.
_LEAST_CHANCE_LEFT = 0.2
#: Without any upstream nothing can be forecast: lists of upstreams change
#: within so long, when all of them were replaced at once.
_UNKNOWN_WAIT: Millis = SECOND_MS // 4
#: When to come back where nothing can be forecast.
_UNKNOWN_RETRY: Millis = SECOND_MS
#: Shortest and longest time after which a refused caller is told to return.
_RETRY_SHORTEST: Millis = 100
_RETRY_LONGEST: Millis = 10 * SECOND_MS
#: Callers who are refused together return spread over this part of the time,
#: or they would be refused together again.
_RETRY_SPREAD = 0.5
#: The most of this after a rest: nobody could serve them before its end, and a
#: long rest is no reason to stay away much longer.
_REST_SPREAD: Millis = 3 * SECOND_MS
#: What only the operator can end, so that nobody waits for it.
_NOT_WAITED_FOR = frozenset(
    (UnavailableReason.EVACUATED, UnavailableReason.REGION)
)


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """Rank a waiting request: the urgent first, then the oldest.

    :param number: tells apart what arrived in the same millisecond.
    """

    priority: int
    arrived_at: Millis
    number: int


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """A request finds no room in its time.

    :param retry_after: when there may be some.
    :param reason: what the caller is told.
    """

    retry_after: Millis
    reason: NotRunReason = NotRunReason.NO_UPSTREAM


@dataclass(frozen=True, slots=True)
class Waiting:
    """Describe a request that may have to wait.

    :param until: when it must be on its way to be answered within its target
        latency, in monotonic milliseconds.
    """

    request_id: str
    needs: RequestNeeds
    priority: int
    arrived_at: Millis
    until: Millis


class Admission:
    """Let requests choose an upstream in the order of their rank.

    :param fleet: where room is looked for.
    :param seed: makes the spread of returning callers repeatable.
    """

    def __init__(self, fleet: Fleet, clock: Clock, seed: int) -> None:
        self._fleet = fleet
        self._clock = clock
        self._generator = random.Random(seed)
        #: The tickets of the requests that wait, the next one first.
        self._queues_by_service: dict[str, list[Ticket]] = {}
        self._arrivals = 0
        #: When the last one comes back that was told so, for rate limits.
        self._returns_by_service: dict[str, Millis] = {}

    async def place(self, waiting: Waiting) -> Upstream | NoCapacity:
        """Wait for room as long as it is likely to come in time."""
        service = waiting.needs.service
        self._fleet.limits.note_arrival(service)
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

    def delay_return(self, needs: RequestNeeds, least: Millis) -> Millis:
        """Return when a caller whom upstreams turned away should come back.

        :param least: when it should where none of them asked for rest.
        """
        return max(
            least, self._outlast(self._fleet.forecast_wait(needs, 0).backoff)
        )

    def _outlast(self, backoff: Millis) -> Millis:
        """Return a time after a rest, not the same for all callers."""
        spread = min(backoff * _RETRY_SPREAD, _REST_SPREAD)
        return backoff + int(spread * self._generator.random())

    def _schedule_return(self, needs: RequestNeeds, least: Millis) -> Millis:
        """Return when a caller may come back to upstreams with rate limits.

        One after another, as the limits bear them: all that return at the same
        moment would be refused again.
        """
        rate = self._fleet.limits.gate.find_return_rate(needs.service)
        now = self._clock.now()
        after_last = self._returns_by_service.get(needs.service, 0)
        after_last += ceil(1 / rate) if rate else 0
        returns_at = max(now + least, after_last)
        if returns_at > now + _RETRY_LONGEST:
            share = 1 - _RETRY_SPREAD * self._generator.random()
            return max(least, int(_RETRY_LONGEST * share))
        self._returns_by_service[needs.service] = returns_at
        return returns_at - now

    async def _wait(
        self, queue: list[Ticket], ticket: Ticket, waiting: Waiting
    ) -> Upstream | NoCapacity:
        least_chance = _LEAST_CHANCE
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
            if unavailable_reason in _NOT_WAITED_FOR:
                return self._refuse(waiting, forecast, 0, unavailable_reason)
            until = waiting.until
            if forecast.expected_wait() is None:
                until = min(
                    until, began + _find_unknown_wait(unavailable_reason)
                )
                chance = float(now < until)
            else:
                chance = forecast.chance(until - now)
            if not self._fleet.switches.is_enabled(Mechanism.FORECAST):
                chance = 1
            if now >= until or chance < least_chance:
                return self._refuse(
                    waiting, forecast, chance, unavailable_reason
                )
            least_chance = _LEAST_CHANCE_LEFT
            with trio.move_on_after(as_seconds(min(until - now, _LOOK_EVERY))):
                await self._fleet.changed()

    def _refuse(
        self,
        waiting: Waiting,
        forecast: WaitForecast,
        chance: float,
        unavailable_reason: UnavailableReason,
    ) -> NoCapacity:
        expected = forecast.expected_wait()
        wait = _UNKNOWN_RETRY if expected is None else expected
        wait += int(wait * _RETRY_SPREAD * self._generator.random())
        bounded = min(max(wait, _RETRY_SHORTEST), _RETRY_LONGEST)
        retry_after = max(bounded, self._outlast(forecast.backoff))
        if unavailable_reason is UnavailableReason.LIMITED:
            retry_after = self._schedule_return(waiting.needs, retry_after)
        logger.info(
            'no room',
            request=waiting.request_id,
            service=waiting.needs.service,
            waited=self._clock.now() - waiting.arrived_at,
            chance=round(chance, 2),
            ends=forecast.ends,
            reading=forecast.reading,
            expected_wait=expected,
            retry_after=retry_after,
            shortage=unavailable_reason,
        )
        return NoCapacity(retry_after)


def _find_unknown_wait(unavailable_reason: UnavailableReason) -> Millis:
    """Return how long a request waits for what can't be foreseen.

    Who has no part of the limits gets none soon.
    """
    return (
        0 if unavailable_reason is UnavailableReason.LIMITED else _UNKNOWN_WAIT
    )
