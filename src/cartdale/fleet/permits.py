"""Permits: turn a rate limit into whole requests, and spend one's own.

A limit may be less than a request a second, before hundreds of instances. It is
turned into a whole number of permits, each of which lets one request pass in a
span, so that all of them together allow the limit exactly. Few instances hold
a permit then, instead of all a fraction: fractions that were saved up would
come as one request from each, all at the same moment.
"""

from bisect import insort
from dataclasses import dataclass
from math import ceil

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.division import Share
from cartdale.fleet.reservations import Reservations

#: An upstream's requests are counted over so long. No permit lets two pass in
#: it, so that after a pause no more come at once than there are permits.
_COUNTED_OVER: Millis = 4 * SECOND_MS
#: The most permits, which bounds the work of dividing them; they last shorter
#: where the limit is higher.
_MOST_PERMITS = 256
#: Taken for a lower limit, also for none at all: only answers tell that it has
#: ended, and without requests there are none.
_LEAST_PER_SECOND = 0.1
#: Part of its span by which a permit that waited for a request may make up for
#: that. Without it a permit takes a span and the wait, and where each instance
#: has few requests the limit would not be used. The more, the longer spans are,
#: and the more requests come at once after a pause.
_MADE_UP_SHARE = 0.25
#: Span of the permits, while there are few of them.
_SPAN: Millis = int(_COUNTED_OVER / (1 - _MADE_UP_SHARE))


@dataclass(frozen=True, slots=True)
class Allotment:
    """Say how many permits an upstream's limit makes.

    :param permits: for all instances together.
    :param span: time in which each lets one request pass.
    """

    permits: int
    span: Millis

    @property
    def rate(self) -> float:
        """Return how many requests pass in a millisecond."""
        return self.permits / max(self.span, 1)


def allot(per_second: float) -> Allotment:
    """Return the permits of a limit, in requests a second."""
    rate = max(per_second, _LEAST_PER_SECOND) / SECOND_MS
    permits = min(ceil(rate * _SPAN), _MOST_PERMITS)
    return Allotment(permits, int(permits / rate))


class Permits:
    """Hold an instance's own permits for one upstream.

    All of them count as just used, evenly spread over their span: while
    nothing was limited, others sent what they wanted.

    :param allotment: of the upstream.
    :param part: which of its permits are this instance's.
    """

    def __init__(self, allotment: Allotment, part: Share, now: Millis) -> None:
        self.allotment = allotment
        #: When each can be used, the next one first.
        self._ready_at: list[Millis] = [
            now + self._find_turn(part, number) for number in range(part.count)
        ]
        #: Of permits, for requests that were placed.
        self._reservations = Reservations()

    @property
    def rate(self) -> float:
        """Return how many requests pass in a millisecond."""
        return len(self._ready_at) / max(self.allotment.span, 1)

    def resize(self, part: Share, now: Millis, *, idle: bool) -> None:
        """Hold more or fewer permits.

        One that is new was another's, who may have used it just now.

        :param idle: whether whoever gave some did not use them of late.
        """
        self._ready_at = self._ready_at[: part.count]
        wait = 0 if idle else self.allotment.span
        for number in range(len(self._ready_at), part.count):
            insort(self._ready_at, now + wait + self._find_turn(part, number))

    def next_at(self, ahead: int, now: Millis) -> Millis | None:
        """Return when a request can pass; ``None`` without any permit.

        :param ahead: requests that pass before it.
        """
        if not self._ready_at:
            return None
        spans, number = divmod(
            ahead + self._reservations.count(now), len(self._ready_at)
        )
        ready_at = max(self._ready_at[number], now)
        return ready_at + spans * self.allotment.span

    def is_free(self, now: Millis) -> bool:
        """Tell whether a request may be placed now."""
        ready_at = self.next_at(0, now)
        return ready_at is not None and ready_at <= now

    def reserve(self, now: Millis) -> None:
        """Keep a permit for a request that was placed."""
        self._reservations.add(now)

    def spend(self, now: Millis, *, ahead_of_time: bool = False) -> bool:
        """Let a request pass that is sent now, if there is a permit.

        :param ahead_of_time: use one that lets the next request pass later.
        """
        self._reservations.drop(now)
        if not self._ready_at:
            return ahead_of_time
        ready_at = self._ready_at[0]
        if ready_at > now and not ahead_of_time:
            return False
        self._ready_at.pop(0)
        span = self.allotment.span
        earliest = now + span - int(span * _MADE_UP_SHARE)
        insort(self._ready_at, max(ready_at + span, earliest))
        return True

    def _find_turn(self, part: Share, number: int) -> Millis:
        """Return when in its span an own permit has its turn among all."""
        allotment = self.allotment
        return allotment.span * (part.first + number + 1) // allotment.permits
