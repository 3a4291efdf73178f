"""Admission: who goes next when the upstreams of a service are full."""

from bisect import insort
from dataclasses import dataclass

import trio

from cartdale.clock import Clock, Millis, seconds
from cartdale.fleet.choose import Need
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import Upstream

#: Between looks for room that no message announced.
_LOOK_EVERY: Millis = 40


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """Rank a waiting request: the urgent first, then the oldest.

    :param number: tells apart what arrived in the same millisecond.
    """

    priority: int
    arrived_at: Millis
    number: int


class Admission:
    """Let requests choose an upstream in the order of their rank.

    :param fleet: where room is looked for.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        #: The tickets of the requests that wait, the next one first.
        self._queues_by_service: dict[str, list[Ticket]] = {}
        self._arrivals = 0

    async def place(
        self, need: Need, priority: int, arrived_at: Millis, until: Millis
    ) -> Upstream | None:
        """Wait for room until a time; ``None`` when there was none.

        :param until: monotonic milliseconds.
        """
        queue = self._queues_by_service.setdefault(need.service, [])
        self._arrivals += 1
        ticket = Ticket(priority, arrived_at, self._arrivals)
        insort(queue, ticket)
        try:
            return await self._wait(queue, ticket, need, until)
        finally:
            queue.remove(ticket)
            if queue:
                self._fleet.notify()

    async def _wait(
        self, queue: list[Ticket], ticket: Ticket, need: Need, until: Millis
    ) -> Upstream | None:
        while True:
            if queue[0] == ticket:
                chosen = self._fleet.choose(need)
                if chosen is not None:
                    return chosen
            left = until - self._clock.now()
            if left <= 0:
                return None
            with trio.move_on_after(seconds(min(left, _LOOK_EVERY))):
                await self._fleet.changed()
