"""Convert rate limits into whole permits, and spend an instance's permits.

A limit may be less than one request per second for hundreds of instances. It is
converted into a whole number of permits, each of which permits one request per
span, so that all permits together allow exactly the limit. Few instances then
hold a permit, instead of all holding a fraction: saved fractions would result
in one request from each instance, all at the same moment.
"""

from bisect import insort
from dataclasses import dataclass
from math import ceil

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.division import Share
from cartdale.scheduling.reservations import Reservations

#: Upstreams count requests over this window. No permit permits two requests
#: within it, so that a burst after a pause has at most as many requests as
#: there are permits.
_COUNTED_OVER: Millis = 4 * SECOND_MS
#: Maximum number of permits, which bounds the cost of dividing them; above it,
#: a higher limit shortens their span.
_MOST_PERMITS = 256
#: Used in place of lower limits, including 0: only responses show that a limit
#: has ended, and without requests there are none.
_LEAST_PER_SECOND = 0.1
#: Share of its span by which a permit that waited for a request may be used
#: again earlier. Without it each use takes a span plus the wait, so that the
#: limit is not fully used where each instance has few requests. A larger share
#: makes spans longer and bursts after a pause larger.
_MADE_UP_SHARE = 0.25
#: Share of the mean interval of an instance's permits by which its requests to
#: a brittle upstream are at least apart.
_PACED_SHARE = 0.8
#: Span of a permit if there are fewer than the maximum.
_SPAN: Millis = int(_COUNTED_OVER / (1 - _MADE_UP_SHARE))


@dataclass(frozen=True, slots=True)
class Allotment:
    """Hold the permits of an upstream's limit.

    :param permits: number for all instances together.
    :param span: time in which each permits one request.
    :param paced: whether an instance spreads its requests over the span, also
        after a pause.
    """

    permits: int
    span: Millis
    paced: bool = False

    @property
    def rate(self) -> float:
        """Return how many requests pass in a millisecond."""
        return self.permits / max(self.span, 1)


def allot(per_second: float, *, paced: bool = False) -> Allotment:
    """Return the permits of a limit in requests per second."""
    rate = max(per_second, _LEAST_PER_SECOND) / SECOND_MS
    permits = min(ceil(rate * _SPAN), _MOST_PERMITS)
    return Allotment(permits, int(permits / rate), paced)


class Permits:
    """Hold an instance's permits for one upstream.

    All of them start as just used, spread evenly over their span, since all
    instances sent without a limit before.

    :param allotment: of the upstream.
    :param share: this instance's share of its permits.
    :param ready: whether they start unused instead.
    """

    def __init__(
        self,
        allotment: Allotment,
        share: Share,
        now: Millis,
        *,
        ready: bool = False,
    ) -> None:
        self.allotment = allotment
        #: When each permit can be used, in ascending order.
        self._ready_at: list[Millis] = [
            now if ready else now + self._find_turn(share, number)
            for number in range(share.count)
        ]
        #: When the next request may follow the last one.
        self._next_turn: Millis = now
        #: Permits reserved for requests that were placed.
        self._reservations = Reservations()

    @property
    def rate(self) -> float:
        """Return how many requests pass in a millisecond."""
        return len(self._ready_at) / max(self.allotment.span, 1)

    def resize(self, share: Share, now: Millis, *, idle: bool) -> None:
        """Change the number of permits.

        A new permit belonged to another instance, which may have just used it.

        :param idle: whether its previous holder did not use it recently.
        """
        self._ready_at = self._ready_at[: share.count]
        wait = 0 if idle else self.allotment.span
        for number in range(len(self._ready_at), share.count):
            insort(self._ready_at, now + wait + self._find_turn(share, number))

    def next_at(self, ahead: int, now: Millis) -> Millis | None:
        """Return when a request can be sent; ``None`` without any permit.

        :param ahead: number of requests that are sent before it.
        """
        if not self._ready_at:
            return None
        spans, number = divmod(
            ahead + self._reservations.count(now), len(self._ready_at)
        )
        ready_at = max(self._ready_at[number], self._next_turn, now)
        return ready_at + spans * self.allotment.span

    def is_free(self, now: Millis) -> bool:
        """Tell whether a request may be placed now."""
        ready_at = self.next_at(0, now)
        return ready_at is not None and ready_at <= now

    def reserve(self, now: Millis) -> None:
        """Reserve a permit for a request that was placed."""
        self._reservations.add(now)

    def spend(self, now: Millis, *, ahead_of_time: bool = False) -> bool:
        """Use a permit for a request that is sent now; tell whether it may.

        :param ahead_of_time: also use a permit that is not ready yet, which
            delays the next request.
        """
        self._reservations.drop(now)
        if not self._ready_at:
            return ahead_of_time
        ready_at = max(self._ready_at[0], self._next_turn)
        if ready_at > now and not ahead_of_time:
            return False
        ready_at = self._ready_at.pop(0)
        span = self.allotment.span
        if self.allotment.paced:
            gap = span * _PACED_SHARE / (1 + len(self._ready_at))
            self._next_turn = now + int(gap)
        earliest = now + span - int(span * _MADE_UP_SHARE)
        insort(self._ready_at, max(ready_at + span, earliest))
        return True

    def _find_turn(self, share: Share, number: int) -> Millis:
        """Return the offset in the span at which a permit is first ready."""
        allotment = self.allotment
        return allotment.span * (share.first + number + 1) // allotment.permits
