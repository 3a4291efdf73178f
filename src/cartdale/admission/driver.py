"""Hold the requests that wait, here and elsewhere, and apply their order."""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import ceil

from cartdale.admission.decide import (
    ALIKE_SHARE,
    Service,
    count_ahead,
    decay,
    estimate_unheard,
    find_chance,
    find_return,
    forecast_in_order,
    judge,
)
from cartdale.admission.demand import Arrivals, ServedTokens, add_served
from cartdale.admission.reserve import find_reserve, find_share_left
from cartdale.admission.returns import (
    MAX_TOLD,
    Told,
    is_on_time,
    is_over,
    merge_told,
    shorten,
    write_told,
)
from cartdale.admission.rows import (
    Heard,
    merge_news,
    sum_demand,
    sum_waiting,
)
from cartdale.admission.types import (
    Ahead,
    Applicant,
    OrderGauges,
    PeerView,
    RankDemand,
    Reserve,
    ServiceAdmissionNews,
    Verdict,
)
from cartdale.admission.view import NEWS_KEPT, view_peers
from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.scheduling.loads import LoadTable
from cartdale.scheduling.room import ServiceRoom
from cartdale.scheduling.wait_forecast import WaitForecast

#: Between two merges of what peers published, and between two counts of what
#: was generated: bounds their cost.
_MERGE_INTERVAL: Millis = 80
_COUNT_INTERVAL: Millis = 100
#: Between two descriptions for news if no request began or ended to wait.
_DESCRIBE_INTERVAL: Millis = 200
#: Services of a peer's news that are read.
_MAX_SERVICES = 64
#: News of others tell within about this time what they refused.
_UNHEARD: Millis = 300
#: Time in which the number of refusals decays.
_REFUSED_SPAN: Millis = SECOND_MS
_MIN_REFUSED = 0.1


@dataclass
class _ServiceState:
    """Hold what this instance knows of one service.

    :param told_by_digest: callers that this instance told to return.
    """

    waiting: list[Applicant] = field(default_factory=list)
    arrivals_by_priority: dict[int, Arrivals] = field(default_factory=dict)
    served: ServedTokens = field(default_factory=ServedTokens)
    told_by_digest: dict[bytes, Told] = field(default_factory=dict)
    heard_by_source: dict[str, Heard] = field(default_factory=dict)
    reserved: int = 0
    refused: float = 0
    refused_at: Millis = 0
    view: PeerView = PeerView()
    viewed_at: Millis = -_MERGE_INTERVAL
    served_by_customer: dict[str, float] = field(default_factory=dict)
    demand_by_priority: dict[int, RankDemand] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Described:
    """Hold the last news of this instance."""

    at: Millis = 0
    version: int = -1
    news_by_service: dict[str, ServiceAdmissionNews] = field(
        default_factory=dict
    )


class AdmissionOrder:
    """Decide which waiting requests may take room, by news of all instances.

    :param loads: work that this instance has running.
    :param name: of this instance; spreads the times at which callers return.
    """

    def __init__(self, loads: LoadTable, clock: Clock, name: str) -> None:
        self._loads = loads
        self._clock = clock
        #: Place of this instance in the turns of all, 0 to 1.
        self._phase = (zlib.crc32(name.encode()) % 1000) / 1000
        self._services: dict[str, _ServiceState] = {}
        self._counted_at: Millis = 0
        self._running: dict[tuple[str, int], int] = {}
        self._described = _Described()
        #: Whether the order holds; without it each instance is for itself.
        self.enabled = False
        #: Number of changes that are worth publishing at once.
        self.version = 0

    def note_arrival(
        self, service: str, priority: int, tokens: int, stay: Millis
    ) -> None:
        """Count a request for what is foreseen of its rank."""
        now = self._clock.now()
        arrivals = self._find(service).arrivals_by_priority
        known = arrivals.get(priority, Arrivals(now))
        arrivals[priority] = known.add(tokens, stay, now)

    def begin_waiting(self, applicant: Applicant) -> None:
        """Publish that a request waits."""
        self._find(applicant.service).waiting.append(applicant)
        self.version += 1

    def end_waiting(self, applicant: Applicant) -> None:
        """Publish that a request waits no longer."""
        self._find(applicant.service).waiting.remove(applicant)
        self.version += 1

    def admit(self, applicant: Applicant, reads: int) -> None:
        """Count what a request that was let in has read.

        :param reads: its prompt's tokens; a plain request counts as one.
        """
        state = self._find(applicant.service)
        read = max(reads, 1)
        state.served.add(applicant.customer, read)
        served = state.served_by_customer
        served[applicant.customer] = served.get(applicant.customer, 0) + read

    def judge(self, applicant: Applicant, room: ServiceRoom) -> Verdict:
        """Tell whether a request may take room now."""
        now = self._clock.now()
        state = self._refresh(applicant.service, now)
        ahead = replace(
            self._count_ahead(state, applicant),
            news_age=max(now - state.view.heard_at, 0),
        )
        return judge(
            applicant,
            ahead,
            self._find_reserve(state, applicant, room),
            room,
            estimate_unheard(
                applicant,
                room,
                state.view,
                state.demand_by_priority,
                now,
            ),
        )

    def forecast(
        self,
        applicant: Applicant,
        forecast: WaitForecast,
        verdict: Verdict,
        room: ServiceRoom,
        until: Millis,
    ) -> tuple[WaitForecast, float]:
        """Return the forecast of a request in its order, and its chance.

        The chance of a new request counts that callers who were told to return
        go before it.
        """
        now = self._clock.now()
        state = self._refresh(applicant.service, now)
        held_by_one = room.held / room.runs if room.runs else 0
        share = find_share_left(
            state.demand_by_priority,
            applicant.priority,
            forecast.rate * SECOND_MS * held_by_one,
        )
        ahead = verdict.ahead
        ordered = forecast_in_order(forecast, ahead, room, share)
        if applicant.returned:
            return ordered, find_chance(ordered, until - now)
        told = self._count_promised(state, applicant.priority, until, now)
        ahead = ahead.add(told, applicant.tokens)
        after_told = forecast_in_order(forecast, ahead, room, share)
        return ordered, find_chance(after_told, until - now)

    def promise(
        self,
        applicant: Applicant,
        identity: bytes,
        forecast: WaitForecast,
        bounds: tuple[Millis, Millis],
        instances: int,
    ) -> Millis:
        """Return when a refused caller is to return, in its turn.

        After those that wait and those told before, at the rate at which room
        comes free. Others refuse callers at the same time, which news tell
        too late: each instance leaves out the turns that they probably give.

        :param forecast: of the request by its place in the order.
        :param bounds: shortest and longest delay.
        """
        now = self._clock.now()
        state = self._refresh(applicant.service, now)
        turn = self._find_turn(state, instances, now)
        delay = find_return(forecast, turn, bounds)
        state.refused = self._count_refused(state, now) + 1
        if identity:
            told = Told(now + delay, now, applicant.priority)
            state.told_by_digest[shorten(identity)] = told
            self._forget_returns(state, now)
            self.version += 1
        return delay

    def is_told(self, service: str, identity: bytes) -> bool:
        """Tell whether a request comes back when it was told to."""
        if not identity:
            return False
        now = self._clock.now()
        state = self._refresh(service, now)
        digest = shorten(identity)
        own = state.told_by_digest.pop(digest, None)
        due = own.due if own else state.view.told.get(digest)
        return due is not None and is_on_time(due, now)

    def receive(
        self,
        source: str,
        news_by_service: Mapping[str, ServiceAdmissionNews],
        now: Millis,
    ) -> None:
        """Replace what a peer, or a failure domain, published."""
        if not self.enabled:
            return
        for service, news in tuple(news_by_service.items())[:_MAX_SERVICES]:
            self._find(service).heard_by_source[source] = Heard(news, now)

    def describe(self) -> dict[str, ServiceAdmissionNews]:
        """Return the news of this instance by service."""
        if not self.enabled:
            return {}
        now = self._clock.now()
        last = self._described
        if last.version == self.version and now - last.at < _DESCRIBE_INTERVAL:
            return last.news_by_service
        self._count_progress(now)
        described = {
            service: self._describe(service, state, now)
            for service, state in self._services.items()
        }
        empty = ServiceAdmissionNews()
        news_by_service = {
            service: news
            for service, news in described.items()
            if news != empty
        }
        self._described = _Described(now, self.version, news_by_service)
        return news_by_service

    def measure(self) -> OrderGauges:
        """Return what operators see of it."""
        now = self._clock.now()
        states = self._services.values()
        waiting = [each for state in states for each in state.waiting]
        return OrderGauges(
            len(waiting),
            sum(not each.priority for each in waiting),
            max((state.reserved for state in states), default=0),
            sum(
                told.due > now
                for state in states
                for told in state.told_by_digest.values()
            ),
        )

    def describe_domain(
        self, sources: Iterable[str]
    ) -> dict[str, ServiceAdmissionNews]:
        """Return the sum of the news of this instance and of some peers."""
        now = self._clock.now()
        merged: dict[str, ServiceAdmissionNews] = {}
        named = list(sources)
        for service, own in self.describe().items():
            heard_by_source = self._services[service].heard_by_source
            heard = [
                heard_by_source[source].bound()
                for source in named
                if source in heard_by_source
            ]
            told = merge_told(
                (
                    (each.news.told, each.at)
                    for each in (Heard(own, now), *heard)
                ),
                now,
            )
            merged[service] = merge_news(
                (own, *(each.news for each in heard)), told
            )
        return merged

    def _find(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())

    def _refresh(self, service: str, now: Millis) -> _ServiceState:
        """Merge what peers published, unless that was done recently."""
        state = self._find(service)
        if now - self._counted_at >= _COUNT_INTERVAL:
            self._count_progress(now)
        if now - state.viewed_at < _MERGE_INTERVAL:
            return state
        state.viewed_at = now
        state.heard_by_source = {
            source: heard.bound()
            for source, heard in state.heard_by_source.items()
            if now - heard.at < NEWS_KEPT
        }
        state.view = view_peers(state.heard_by_source.values(), now)
        own = self._describe_demand(service, state, now)
        state.demand_by_priority = sum_demand(
            (own, state.view.demand_by_priority)
        )
        state.served_by_customer = add_served(
            state.view.served_by_customer, state.served.by_customer
        )
        return state

    def _count_ahead(self, state: _ServiceState, applicant: Applicant) -> Ahead:
        service = Service(
            state.waiting,
            state.view,
            state.served_by_customer,
            ALIKE_SHARE * max(applicant.tokens, 1),
        )
        return count_ahead(applicant, service)

    def _find_reserve(
        self, state: _ServiceState, applicant: Applicant, room: ServiceRoom
    ) -> Reserve:
        reserve = find_reserve(
            state.demand_by_priority,
            applicant.priority,
            applicant.tokens,
            room,
        )
        if applicant.priority:
            state.reserved = int(reserve.tokens)
        return reserve

    def _describe(
        self, service: str, state: _ServiceState, now: Millis
    ) -> ServiceAdmissionNews:
        self._forget_returns(state, now)
        promised: dict[int, int] = {}
        dues: list[tuple[bytes, Millis]] = []
        for digest, told in state.told_by_digest.items():
            dues.append((digest, told.due))
            if told.due > now:
                before = promised.get(told.priority, 0)
                promised[told.priority] = before + 1
        return ServiceAdmissionNews(
            sum_waiting(state.waiting, now),
            self._describe_demand(service, state, now),
            state.served.describe(),
            promised,
            ceil(self._count_refused(state, now)),
            write_told(dues, now, MAX_TOLD),
        )

    def _describe_demand(
        self, service: str, state: _ServiceState, now: Millis
    ) -> dict[int, RankDemand]:
        described: dict[int, RankDemand] = {}
        for priority, arrivals in state.arrivals_by_priority.items():
            running = self._running.get((service, priority), 0)
            demand = arrivals.describe(running, now)
            if demand is not None:
                described[priority] = demand
        return described

    def _count_promised(
        self, state: _ServiceState, priority: int, until: Millis, now: Millis
    ) -> int:
        """Return how many told to return before a time go before others."""
        own = sum(
            now < told.due <= until and told.priority <= priority
            for told in state.told_by_digest.values()
        )
        peers = sum(now < due <= until for due in state.view.told.values())
        promised = sum(
            count
            for rank, count in state.view.promised_by_priority.items()
            if rank <= priority
        )
        return own + min(peers, promised)

    def _find_turn(
        self, state: _ServiceState, instances: int, now: Millis
    ) -> float:
        """Return how many callers return before the next one that is told.

        Others tell some at the same time, which is known when their news
        arrive. Until then, they count as many as before in proportion to those
        of this instance, or all alike if there were none.
        """
        waiting = [
            told for told in state.told_by_digest.values() if told.due > now
        ]
        recent = sum(now - told.given_at < _UNHEARD for told in waiting)
        known = max(self._count_refused(state, now) - recent, 0)
        step = (known + state.view.refused + instances) / (known + 1)
        others = sum(state.view.promised_by_priority.values())
        earlier = len(waiting) - recent + others
        return earlier + (recent + self._phase) * min(step, instances)

    def _count_refused(self, state: _ServiceState, now: Millis) -> float:
        state.refused *= decay(now - state.refused_at, _REFUSED_SPAN)
        state.refused_at = now
        return state.refused if state.refused >= _MIN_REFUSED else 0

    def _forget_returns(self, state: _ServiceState, now: Millis) -> None:
        """Forget returns that did not come, and the latest beyond the bound."""
        kept = sorted(
            (told.due, digest)
            for digest, told in state.told_by_digest.items()
            if not is_over(told.due, now)
        )[:MAX_TOLD]
        state.told_by_digest = {
            digest: state.told_by_digest[digest] for _, digest in kept
        }

    def _count_progress(self, now: Millis) -> None:
        """Count what was generated since the last time, and what runs."""
        self._counted_at = now
        for state in self._services.values():
            state.served.advance(now)
        running: dict[tuple[str, int], int] = {}
        for assignment in self._loads.list_assignments():
            owner = assignment.owner
            if owner is None:
                continue
            made = assignment.made - assignment.counted
            assignment.counted = assignment.made
            served = self._find(owner.service).served
            served.add(owner.customer, max(made, 0))
            key = (owner.service, owner.priority)
            running[key] = running.get(key, 0) + 1
        self._running = running
