"""Sum up waiting requests for news, and read those of other instances.

Rows are bounded in number, and what they say is bounded in value: an instance
that publishes nonsense must not stop the others.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nlargest
from math import isfinite, sqrt
from operator import attrgetter
from typing import TypeVar

from msgspec import structs

from cartdale.admission.types import (
    Applicant,
    RankDemand,
    ServiceAdmissionNews,
    WaitingWork,
)
from cartdale.clock import MINUTE_MS, Millis

#: Rows of an instance, and of a failure domain.
MAX_ROWS = 8
MAX_DOMAIN_ROWS = 32
#: Bounds of what news may say.
_MAX_COUNT = 500
_MAX_TOKENS = 10**7
_MAX_SERVED = 10**9
_MAX_RATE: float = 10_000
_MAX_AGE: Millis = MINUTE_MS
_MAX_PRIORITY = 99
_MAX_PRIORITIES = 8

Key = TypeVar('Key', int, str)


@dataclass(frozen=True, slots=True)
class Heard:
    """Hold the last news of one instance or failure domain.

    :param bounded: whether what it says was bounded.
    """

    news: ServiceAdmissionNews
    at: Millis
    bounded: bool = False

    def bound(self) -> 'Heard':
        """Return it with what it says bounded."""
        if self.bounded:
            return self
        return Heard(read_news(self.news), self.at, bounded=True)


def sum_waiting(
    waiting: Iterable[Applicant], now: Millis
) -> tuple[WaitingWork, ...]:
    """Return the rows of the requests that wait at this instance."""
    return bound_rows(
        (
            WaitingWork(
                each.priority,
                each.customer,
                1,
                each.tokens,
                max(now - each.arrived_at, 0),
                int(each.returned),
            )
            for each in waiting
        ),
        MAX_ROWS,
    )


def bound_rows(
    rows: Iterable[WaitingWork], most: int
) -> tuple[WaitingWork, ...]:
    """Sum rows by rank and customer, the smallest of a rank without a name."""
    named: dict[tuple[int, str], WaitingWork] = {}
    for row in rows:
        _add_row(named, row)
    if len(named) <= most:
        return tuple(named.values())
    largest = set(nlargest(most // 2, named.values(), key=attrgetter('count')))
    bounded: dict[tuple[int, str], WaitingWork] = {}
    for row in named.values():
        kept = row if row in largest else structs.replace(row, customer='')
        _add_row(bounded, kept)
    most_urgent = sorted(bounded.values(), key=attrgetter('priority'))
    return tuple(most_urgent[:most])


def merge_news(
    news: Iterable[ServiceAdmissionNews], told: bytes
) -> ServiceAdmissionNews:
    """Sum the news of all instances of a failure domain.

    :param told: requests that they told to return, in the same form.
    """
    listed = list(news)
    served = sum_counts(each.served_by_customer for each in listed)
    most_served = nlargest(MAX_DOMAIN_ROWS, served, key=served.__getitem__)
    rows = (row for each in listed for row in each.waiting)
    return ServiceAdmissionNews(
        bound_rows(rows, MAX_DOMAIN_ROWS),
        sum_demand(each.demand_by_priority for each in listed),
        {customer: served[customer] for customer in most_served},
        sum_counts(each.promised_by_priority for each in listed),
        sum(each.refused for each in listed),
        told,
    )


def sum_counts(counts: Iterable[Mapping[Key, int]]) -> dict[Key, int]:
    """Add counts by their keys."""
    summed: dict[Key, int] = {}
    for by_key in counts:
        for key, count in by_key.items():
            summed[key] = summed.get(key, 0) + count
    return summed


def sum_demand(
    demands: Iterable[Mapping[int, RankDemand]],
) -> dict[int, RankDemand]:
    """Add the demand of several instances by rank."""
    summed: dict[int, RankDemand] = {}
    for demand in demands:
        for priority, each in demand.items():
            known = summed.get(priority)
            summed[priority] = _add_demand(known, each) if known else each
    return summed


def read_news(news: ServiceAdmissionNews) -> ServiceAdmissionNews:
    """Bound what another instance published."""
    demand = tuple(sorted(news.demand_by_priority.items()))
    served = tuple(news.served_by_customer.items())
    promised = tuple(news.promised_by_priority.items())
    return ServiceAdmissionNews(
        tuple(_bound_row(row) for row in news.waiting[:MAX_DOMAIN_ROWS]),
        {
            _bound(priority, _MAX_PRIORITY): _bound_demand(each)
            for priority, each in demand[:_MAX_PRIORITIES]
        },
        {
            customer: _bound(tokens, _MAX_SERVED)
            for customer, tokens in served[:MAX_DOMAIN_ROWS]
        },
        {
            _bound(priority, _MAX_PRIORITY): _bound(count, _MAX_COUNT)
            for priority, count in promised[:_MAX_PRIORITIES]
        },
        _bound(news.refused, _MAX_COUNT),
        news.told,
    )


def _add_row(
    rows: dict[tuple[int, str], WaitingWork], row: WaitingWork
) -> None:
    key = (row.priority, row.customer)
    known = rows.get(key)
    if known is None:
        rows[key] = row
        return
    rows[key] = WaitingWork(
        row.priority,
        row.customer,
        known.count + row.count,
        known.tokens + row.tokens,
        max(known.oldest, row.oldest),
        known.returned + row.returned,
    )


def _add_demand(known: RankDemand, each: RankDemand) -> RankDemand:
    total = known.per_second + each.per_second
    share = each.per_second / total if total else 0
    squared = _mix(known.tokens**2, each.tokens**2, share)
    return RankDemand(
        total,
        int(sqrt(squared)),
        int(_mix(known.stay, each.stay, share)),
        known.running + each.running,
    )


def _mix(known: float, other: float, share: float) -> float:
    return known + share * (other - known)


def _bound(told: float, most: int) -> int:
    return int(min(max(told, 0), most)) if isfinite(told) else 0


def _bound_row(row: WaitingWork) -> WaitingWork:
    count = _bound(row.count, _MAX_COUNT)
    return WaitingWork(
        _bound(row.priority, _MAX_PRIORITY),
        row.customer,
        count,
        _bound(row.tokens, _MAX_TOKENS),
        _bound(row.oldest, _MAX_AGE),
        _bound(row.returned, count),
    )


def _bound_demand(demand: RankDemand) -> RankDemand:
    rate = demand.per_second
    return RankDemand(
        min(max(rate, 0), _MAX_RATE) if isfinite(rate) else 0,
        _bound(demand.tokens, _MAX_TOKENS),
        _bound(demand.stay, _MAX_AGE),
        _bound(demand.running, _MAX_TOKENS),
    )
