"""Decide who goes next over all instances.

The order is: rank, then the tokens that were read and generated for the
customer, then those that came back when they were told to, then age. Each
instance derives it from the same news. A request goes if there is room for it
and for all that go before it, so that room which comes free is not taken by
whoever looks first.
"""

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import erf, exp, sqrt

from cartdale.admission.types import (
    Admit,
    Ahead,
    Applicant,
    PeerView,
    Queue,
    RankDemand,
    Reserve,
    Verdict,
    Wait,
)
from cartdale.clock import SECOND_MS, Millis
from cartdale.scheduling.room import ServiceRoom
from cartdale.scheduling.wait_forecast import WaitForecast

#: News are about this old when they arrive, in large systems.
_TRANSIT: Millis = 100
#: What happened since news were written is estimated for this long.
_MAX_UNHEARD: Millis = 300
#: From this number on, the Poisson distribution counts as normal.
_MANY_ENDS = 60
#: Room that others do not take within this time is not theirs: they may be
#: gone, or need another kind of room. Two ages of old news.
_MAX_DEFERRAL: Millis = 600
#: Share of the requests that ended since whose places count as free where many
#: instances look for places: others have taken the remaining ones.
_ENDED_SHARE = 0.25
#: Instances, or failure domains, whose news arrive at an instance of a small
#: system at most.
_FEW_SOURCES = 16
#: Customers count as served alike if they differ by less than this share of a
#: request; then the oldest goes first.
ALIKE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Unheard:
    """Count what happened since the news were written.

    :param arrived: requests that arrived elsewhere and go before another one.
    :param ended: requests that ended.
    """

    arrived: float
    ended: float


@dataclass(frozen=True, slots=True)
class Service:
    """Hold what decides the order of a service's requests.

    :param own: requests that wait at this instance.
    :param served_by_customer: tokens read and generated at all instances.
    :param alike: difference between customers that is disregarded.
    """

    own: Iterable[Applicant]
    view: PeerView
    served_by_customer: Mapping[str, float]
    alike: float

    def find_lead(self, applicant: Applicant, customer: str) -> float:
        """Return by how much more the customer of a request was served.

        :returns: 0 if it was about as much as the other customer was, or if
            that is not known.
        """
        if not customer or customer == applicant.customer:
            return 0
        mine = self.served_by_customer.get(applicant.customer, 0)
        lead = mine - self.served_by_customer.get(customer, 0)
        return lead if abs(lead) > self.alike else 0


def count_ahead(applicant: Applicant, service: Service) -> Ahead:
    """Count the requests that go before another."""
    own = _count_own(applicant, service)
    urgent, tokens = _count_urgent(applicant, service.view)
    alike: float = 0
    owed: float = 0
    same_rank = service.view.queues_by_priority.get(applicant.priority, {})
    for customer, queue in same_rank.items():
        lead = service.find_lead(applicant, customer)
        count = _count_queue(queue, applicant, lead, customer)
        tokens += count * queue.mean_tokens
        if lead:
            owed += count
        else:
            alike += count
    return Ahead(urgent + own.urgent, alike, own.own, tokens + own.tokens, owed)


def _count_urgent(applicant: Applicant, view: PeerView) -> tuple[float, float]:
    """Return the more urgent requests of other instances, and their memory."""
    count: float = 0
    tokens: float = 0
    for priority, queues in view.queues_by_priority.items():
        if priority < applicant.priority:
            count += sum(queue.counts[-1] for queue in queues.values())
            tokens += sum(queue.tokens[-1] for queue in queues.values())
    return count, tokens


def judge(
    applicant: Applicant,
    ahead: Ahead,
    reserve: Reserve,
    room: ServiceRoom,
    unheard: Unheard,
) -> Verdict:
    """Tell whether a request may take room.

    :param unheard: what happened since the news were written.
    """
    # Within a rank, room that came free since would idle until those ahead hear
    # of it. More urgent ones that are known to wait go first.
    known = ahead.alike + ahead.owed
    heard_of = max(known + unheard.arrived - unheard.ended, 0)
    before = ahead.urgent + ahead.own + heard_of
    if before < 1:
        return Admit(ahead, reserve)
    arrived_tokens = unheard.arrived * applicant.tokens
    count = ahead.count + unheard.arrived
    mean = (ahead.tokens + arrived_tokens) / count
    if _is_left(applicant, before, mean, reserve, room):
        return Admit(ahead, reserve)
    free = _is_left(applicant, 0, mean, reserve, room)
    return Wait(ahead, reserve, deferring=free)


def is_patient(verdict: Wait, deferred: Millis) -> bool:
    """Tell whether a request still leaves room to others.

    :param deferred: time for which it has seen room and left it to them.
    """
    return not verdict.deferring or deferred < _MAX_DEFERRAL


def estimate_unheard(
    applicant: Applicant,
    room: ServiceRoom,
    view: PeerView,
    demand_by_priority: Mapping[int, RankDemand],
    now: Millis,
) -> Unheard:
    """Estimate what happened since news were written.

    :param demand_by_priority: of all instances.
    """
    age = min(now - view.heard_at + _TRANSIT, _MAX_UNHEARD)
    # Those of the same rank that arrived after it go after it.
    earlier = max(age - (now - applicant.arrived_at), 0)
    arrived: float = 0
    for priority, demand in view.demand_by_priority.items():
        if priority < applicant.priority:
            arrived += demand.per_second * age
        elif priority == applicant.priority:
            arrived += demand.per_second * earlier
    ended = age * _find_rate_of_ends(demand_by_priority, room)
    if view.sources > _FEW_SOURCES:
        ended *= _ENDED_SHARE
    return Unheard(arrived / SECOND_MS, ended)


def _find_rate_of_ends(
    demand_by_priority: Mapping[int, RankDemand], room: ServiceRoom
) -> float:
    """Return how many requests end per millisecond, by their stays."""
    rate: float = 0
    running = 0
    for demand in demand_by_priority.values():
        rate += demand.running / max(demand.stay, 1)
        running += demand.running
    # Beyond their slots, engines let requests wait.
    return rate * min(room.slots / max(running, 1), 1)


def forecast_in_order(
    forecast: WaitForecast, ahead: Ahead, room: ServiceRoom, share: float
) -> WaitForecast:
    """Return the forecast of a request by its place in the order.

    :param forecast: of the request if no others waited.
    :param share: of the freed memory that more urgent arrivals leave.
    """
    needs = ahead.count
    if room.memory and room.runs:
        # Those ahead need more or less memory than the ones that end.
        needs = ahead.tokens * room.runs / max(room.held, 1)
    ends = forecast.ends + int(needs)
    return replace(forecast, ends=ends, rate=forecast.rate * share)


def find_chance(forecast: WaitForecast, within: Millis) -> float:
    """Return the chance of room within a time, also for many ahead."""
    if forecast.ends <= _MANY_ENDS or within < forecast.reading:
        return forecast.chance(within)
    expected = forecast.rate * (within - forecast.reading)
    if not expected:
        return 0
    deviations = (expected - forecast.ends) / sqrt(expected)
    return (1 + erf(deviations / sqrt(2))) / 2


def find_return(
    forecast: WaitForecast, turn: float, bounds: tuple[Millis, Millis]
) -> Millis:
    """Return the delay after which a refused caller is to return.

    :param forecast: of its request by its place in the order.
    :param turn: number of callers that were told to return before it.
    :param bounds: shortest and longest delay.
    """
    shortest, longest = bounds
    rate = max(forecast.rate, 1 / longest)
    delay = forecast.reading + (forecast.ends + turn) / rate
    return int(min(max(delay, shortest), longest))


def decay(age: Millis, time: Millis) -> float:
    """Return the factor by which a count decays."""
    return exp(-age / time)


def _count_own(applicant: Applicant, service: Service) -> Ahead:
    urgent, same, tokens = 0, 0, 0
    for each in service.own:
        if each is applicant or each.priority > applicant.priority:
            continue
        if each.priority < applicant.priority:
            urgent += 1
        elif _goes_before(each, applicant, service):
            same += 1
        else:
            continue
        tokens += each.tokens
    return Ahead(urgent, 0, same, tokens)


def _goes_before(
    each: Applicant, applicant: Applicant, service: Service
) -> bool:
    """Tell whether a request goes before another of the same rank."""
    lead = service.find_lead(applicant, each.customer)
    if lead:
        return lead > 0
    if each.customer == applicant.customer:
        if each.returned != applicant.returned:
            return each.returned
    if each.arrived_at == applicant.arrived_at:
        return each.number < applicant.number
    return each.arrived_at < applicant.arrived_at


def _count_queue(
    queue: Queue, applicant: Applicant, lead: float, customer: str
) -> float:
    """Return how many requests of a queue go before one.

    :param lead: by which the applicant's customer was served more; 0 for about
        the same.
    :param customer: of the queue.
    """
    if lead:
        return queue.counts[-1] if lead > 0 else 0
    position = bisect_left(queue.arrivals, applicant.arrived_at)
    count = queue.counts[position - 1] if position else 0
    if customer != applicant.customer:
        return count
    if applicant.returned:
        return min(count, queue.returned)
    return max(count, queue.returned)


def _is_left(
    applicant: Applicant,
    before: float,
    mean: float,
    reserve: Reserve,
    room: ServiceRoom,
) -> bool:
    """Tell whether there is room for a request after those before it.

    Each of these takes a place, or waits for one at the engine that lacks the
    least: a large request would otherwise find none.

    :param mean: memory that each of those before it needs.
    """
    wanted = applicant.tokens + reserve.tokens
    for engine in room.engines:
        slots, tokens = engine.slots, engine.tokens
        if slots <= 0:
            continue
        if tokens < wanted:
            # All further engines have less.
            return False
        if before >= 1:
            fitting = slots
            if mean:
                fitting = min(slots, max(int(tokens / mean), 0))
            taken = min(before, max(fitting, 1))
            before -= taken
            slots -= int(taken)
            tokens -= taken * mean
        if before < 1 and slots > reserve.slots and tokens >= wanted:
            return True
    return False
