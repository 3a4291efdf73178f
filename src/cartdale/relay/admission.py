"""Admission: who goes next when the upstreams of a service are full."""

from bisect import insort
from dataclasses import dataclass, field

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


@dataclass(slots=True)
class _Line:
    """Hold the requests that wait for one service, the next one first."""

    tickets: list[Ticket] = field(default_factory=list)


class Admission:
    """Let requests choose an upstream in the order of their rank.

    :param fleet: where room is looked for.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._lines_by_service: dict[str, _Line] = {}
        self._tickets = 0

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        line = self._lines_by_service.get(service)
        return len(line.tickets) if line else 0

    async def place(
        self, need: Need, priority: int, arrived_at: Millis, until: Millis
    ) -> Upstream | None:
        """Wait for room until a time; ``None`` when there was none.

        :param until: monotonic milliseconds.
        """
        line = self._lines_by_service.setdefault(need.service, _Line())
        self._tickets += 1
        ticket = Ticket(priority, arrived_at, self._tickets)
        insort(line.tickets, ticket)
        try:
            return await self._wait(line, ticket, need, until)
        finally:
            line.tickets.remove(ticket)
            if line.tickets:
                self._fleet.notify()

    async def _wait(
        self, line: _Line, ticket: Ticket, need: Need, until: Millis
    ) -> Upstream | None:
        while True:
            if line.tickets[0] == ticket:
                chosen = self._fleet.choose(need)
                if chosen is not None:
                    return chosen
            left = until - self._clock.now()
            if left <= 0:
                return None
            with trio.move_on_after(seconds(min(left, _LOOK_EVERY))):
                await self._fleet.changed()
