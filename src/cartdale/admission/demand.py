"""Learn what requests of a rank need, and what customers were served."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import sqrt

from cartdale.admission.decide import decay
from cartdale.admission.types import RankDemand
from cartdale.clock import SECOND_MS, Millis

#: Arrivals are averaged over the mean stay of a request, within these bounds:
#: what is kept for them is given back as soon as one of them would have ended.
_MIN_SPAN: Millis = SECOND_MS
_MAX_SPAN: Millis = 4 * SECOND_MS
#: Fewer decayed arrivals than this count as none.
_MIN_COUNT = 0.01
#: Time in which what a customer was served decays: a few requests long, so
#: that neither one request nor the distant past decides.
SERVED_SPAN: Millis = 4 * SECOND_MS
#: Customers remembered at an instance, and those that news tell.
_MAX_CUSTOMERS = 64
_MAX_TOLD_CUSTOMERS = 8


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Hold the decayed sums of the arrivals of one rank.

    :param tokens: sum of the squares of the memory that they need.
    :param stay: sum of the times that they hold it.
    """

    at: Millis
    count: float = 0
    tokens: float = 0
    stay: float = 0

    @property
    def mean_stay(self) -> float:
        """Return the mean stay."""
        return self.stay / self.count if self.count else 0

    @property
    def span(self) -> Millis:
        """Return the time over which arrivals are averaged."""
        return min(max(int(self.mean_stay), _MIN_SPAN), _MAX_SPAN)

    def after(self, now: Millis) -> 'Arrivals':
        """Return the sums as decayed until a time."""
        factor = decay(now - self.at, self.span)
        return Arrivals(
            now, self.count * factor, self.tokens * factor, self.stay * factor
        )

    def add(self, tokens: int, stay: Millis, now: Millis) -> 'Arrivals':
        """Count one request."""
        known = self.after(now)
        return replace(
            known,
            count=known.count + 1,
            tokens=known.tokens + tokens**2,
            stay=known.stay + stay,
        )

    def describe(self, running: int, now: Millis) -> RankDemand | None:
        """Return the demand; ``None`` if there is none any more.

        :param running: number of them that run now.
        """
        known = self.after(now)
        if known.count < _MIN_COUNT and not running:
            return None
        return RankDemand(
            round(known.count * SECOND_MS / known.span, 3),
            int(sqrt(known.tokens / max(known.count, _MIN_COUNT))),
            int(known.mean_stay),
            running,
        )


class ServedTokens:
    """Count decayed tokens by customer."""

    def __init__(self) -> None:
        self._at: Millis = 0
        self.by_customer: dict[str, float] = {}

    def add(self, customer: str, tokens: float) -> None:
        """Count tokens that were read or generated for a customer."""
        self.by_customer[customer] = self.by_customer.get(customer, 0) + tokens

    def advance(self, now: Millis) -> None:
        """Decay all counts, and forget those of no consequence."""
        factor = decay(now - self._at, SERVED_SPAN)
        self._at = now
        decayed = {
            customer: tokens * factor
            for customer, tokens in self.by_customer.items()
            if tokens * factor >= 1
        }
        self.by_customer = dict(_list_largest(decayed, _MAX_CUSTOMERS))

    def describe(self) -> dict[str, int]:
        """Return those served most, for news."""
        largest = _list_largest(self.by_customer, _MAX_TOLD_CUSTOMERS)
        return {customer: int(tokens) for customer, tokens in largest}


def add_served(
    peers: Mapping[str, float], own: Mapping[str, float]
) -> dict[str, float]:
    """Add what peers and this instance served each customer."""
    added = dict(peers)
    for customer, tokens in own.items():
        added[customer] = added.get(customer, 0) + tokens
    return added


def _list_largest(
    tokens_by_customer: dict[str, float], most: int
) -> list[tuple[str, float]]:
    listed = list(tokens_by_customer.items())
    if len(listed) <= most:
        return listed
    listed.sort(key=_get_tokens, reverse=True)
    return listed[:most]


def _get_tokens(entry: tuple[str, float]) -> float:
    return entry[1]
