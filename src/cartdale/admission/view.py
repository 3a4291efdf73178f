"""Merge what other instances published of waiting requests."""

from collections.abc import Iterable

from cartdale.admission.returns import read_told
from cartdale.admission.rows import Heard, sum_counts, sum_demand
from cartdale.admission.types import PeerView, Queue, WaitingWork
from cartdale.clock import SECOND_MS, Millis

#: Time for which news without a successor count in full: in a large system, a
#: message follows within this time even if nothing changes.
_NEWS_FRESH: Millis = 1200
#: From then on they count less, and not at all after this time.
NEWS_KEPT: Millis = 3 * SECOND_MS

#: Arrival, number and memory of requests that arrived together.
_Arrived = tuple[Millis, float, float]


class _QueueBuilder:
    """Collect the rows of one rank and customer."""

    def __init__(self) -> None:
        self._arrived: list[_Arrived] = []
        self._returned: float = 0

    def add(self, row: WaitingWork, at: Millis, weight: float) -> None:
        """Add a row that was received at a time.

        Only the age of the oldest is known; the others count at half of it.
        """
        tokens = weight * row.tokens / row.count
        others = row.count - 1
        self._arrived.append((at - row.oldest, weight, tokens))
        self._returned += weight * row.returned
        if others:
            middle = at - row.oldest // 2
            self._arrived.append((middle, others * weight, others * tokens))

    def build(self) -> Queue:
        """Return the queue."""
        self._arrived.sort()
        counts: list[float] = []
        tokens: list[float] = []
        count: float = 0
        needs: float = 0
        for _, more, more_needs in self._arrived:
            count += more
            needs += more_needs
            counts.append(count)
            tokens.append(needs)
        arrivals = tuple(entry[0] for entry in self._arrived)
        return Queue(arrivals, tuple(counts), tuple(tokens), self._returned)


def view_peers(heard: Iterable[Heard], now: Millis) -> PeerView:
    """Merge what the other instances published of one service.

    :param heard: their news, bounded.
    """
    fresh = [known for known in heard if now - known.at < NEWS_KEPT]
    news = [known.news for known in fresh]
    return PeerView(
        _build_queues(fresh, now),
        sum_demand(each.demand_by_priority for each in news),
        sum_counts(each.served_by_customer for each in news),
        sum_counts(each.promised_by_priority for each in news),
        sum(each.refused for each in news),
        sum(known.at for known in fresh) // max(len(fresh), 1),
        _read_told(fresh),
        len(fresh),
    )


def _read_told(heard: Iterable[Heard]) -> dict[bytes, Millis]:
    told: dict[bytes, Millis] = {}
    for each in heard:
        told.update(read_told(each.news.told, each.at))
    return told


def _build_queues(
    heard: Iterable[Heard], now: Millis
) -> dict[int, dict[str, Queue]]:
    """Return the waiting requests by rank and customer."""
    builders: dict[tuple[int, str], _QueueBuilder] = {}
    for each in heard:
        weight = _weigh(now - each.at)
        for row in each.news.waiting:
            if not row.count:
                continue
            key = (row.priority, row.customer)
            builder = builders.setdefault(key, _QueueBuilder())
            builder.add(row, each.at, weight)
    queues: dict[int, dict[str, Queue]] = {}
    for (priority, customer), waiting in builders.items():
        queues.setdefault(priority, {})[customer] = waiting.build()
    return queues


def _weigh(age: Millis) -> float:
    """Return how much news of an age count, 0 to 1."""
    if age <= _NEWS_FRESH:
        return 1
    return max(NEWS_KEPT - age, 0) / (NEWS_KEPT - _NEWS_FRESH)
