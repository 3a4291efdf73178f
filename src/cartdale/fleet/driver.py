"""Hold the fleet state, choose upstreams, and notify waiters of changes."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from math import inf

import trio
from loguru import logger

from cartdale.admission.driver import AdmissionOrder
from cartdale.clock import Clock, Millis, as_seconds
from cartdale.fleet.cold import ColdGate
from cartdale.fleet.decide import decide
from cartdale.fleet.evacuation import Evacuation, may_finish_move
from cartdale.fleet.types import (
    Action,
    BeganEvacuating,
    BeganLeaving,
    EndedEvacuating,
    FleetState,
    Message,
    Restarted,
    TimePassed,
    Upstream,
    UpstreamEntry,
)
from cartdale.fleet.upstream_limits import UpstreamLimits
from cartdale.formatting import format_log_fields
from cartdale.quarantine.driver import Quarantine
from cartdale.routes.types import RoutingTable, ServiceSpec
from cartdale.scheduling.candidates import (
    UnavailableReason,
    find_unavailable_reason,
    is_cold,
    list_candidates,
)
from cartdale.scheduling.choose import choose, measure_filling
from cartdale.scheduling.loads import Load, LoadTable
from cartdale.scheduling.pace import Pace, Progress, learn, learn_answer
from cartdale.scheduling.reading import ReadingShares
from cartdale.scheduling.room import ServiceRoom, measure_room
from cartdale.scheduling.types import CHOICES, ChoiceContext, RequestNeeds
from cartdale.scheduling.wait_forecast import (
    WaitForecast,
    forecast_after_backoff,
    forecast_wait,
)
from cartdale.speeds.driver import SpeedBook
from cartdale.supervision import contain
from cartdale.switches import Switches

_TICK: Millis = 200


@dataclass(frozen=True, slots=True)
class FleetCallbacks:
    """Hold what is called with the id of an upstream or a failure domain.

    :param on_leaving: an upstream accepts no new work any more.
    :param on_restarted: an upstream restarted and holds no work.
    :param on_evacuating: no new work may go to a failure domain.
    """

    on_leaving: Callable[[str], None]
    on_restarted: Callable[[str], None]
    on_evacuating: Callable[[str], None]


class Fleet:
    """Own the state of the upstreams and choose among them.

    :param failure_domain: of this instance.
    :param seed: makes the choices reproducible.
    :param switches: mechanisms that are disabled, here and in all code that
        uses this fleet.
    """

    def __init__(
        self,
        clock: Clock,
        failure_domain: str,
        seed: int,
        switches: Switches | None = None,
    ) -> None:
        self.switches = switches or Switches()
        self._clock = clock
        self._failure_domain = failure_domain
        self._generator = random.Random(seed)
        self.state = FleetState()
        self.loads = LoadTable()
        #: Who goes next over all instances while room is short.
        self.order = AdmissionOrder(self.loads, clock, str(seed))
        self.table = RoutingTable()
        #: What to do about the generations at upstreams; ``None`` for nothing.
        self.callbacks: FleetCallbacks | None = None
        self.cold_gate = ColdGate()
        self.limits = UpstreamLimits(clock)
        self.speeds = SpeedBook(self.find, partial(_is_plain, self))
        #: Number of changes of upstream lifecycles, for news.
        self.lifecycles = 0
        #: Number of departures that upstreams announced to this instance.
        self.departures_observed = 0
        #: Number of upstreams that a choice compares.
        self.choices = CHOICES
        self._changed = trio.Event()
        self._announced = trio.Event()
        self._reading = ReadingShares()
        self._paces_by_service: dict[str, Pace] = {}
        #: Requests that are not sent to any upstream.
        self.quarantine = Quarantine(clock, self.notify)

    def dispatch(self, message: Message) -> None:
        """Apply one message and act on the resulting changes."""
        before = self.state
        after, actions = decide(before, message, self._clock.now())
        self.state = after
        if _count_known(after) != _count_known(before):
            self.lifecycles += 1
        for action in actions:
            self.lifecycles += 1
            self._follow(action, after)
        if self.state is not before:
            self.notify()

    def notify(self) -> None:
        """Wake requests that wait for capacity, and the publisher of news."""
        self._changed.set()
        self._changed = trio.Event()
        self.announce()

    def announce(self) -> None:
        """Wake the publisher of news about the load placed here.

        Peers choose upstreams by this news. Without this call it waits for the
        next other change that is published: 196 ms on average.
        """
        self._announced.set()
        self._announced = trio.Event()

    async def changed(self) -> None:
        """Wait until capacity may have become free."""
        await self._changed.wait()

    async def announced(self) -> None:
        """Wait until there may be something to publish to peers."""
        await self._announced.wait()

    async def run(self) -> None:
        """Expire state periodically; never returns."""
        while True:
            await trio.sleep(as_seconds(_TICK))
            now = self._clock.now()
            with contain('fleet'):
                self.dispatch(TimePassed())
            with contain('quarantine'):
                self.quarantine.forget()
            with contain('cold upstreams'):
                self.cold_gate.forget(now)
            with contain('upstream speeds'):
                self.speeds.look(now)
            with contain('reading shares'):
                totals = self.loads.totals(now)
                self._reading.look(self.state.upstreams_by_id, totals)

    def find(self, upstream: str) -> Upstream | None:
        """Return the state of an upstream, or ``None`` if it is unknown."""
        return self.state.upstreams_by_id.get(upstream)

    def load_at(self, upstream: str) -> Load:
        """Return the known load of all instances at an upstream."""
        return self.loads.at(upstream, self._clock.now())

    def pace(self, service: str) -> Pace:
        """Return the speed of the engines of a service."""
        return self._paces_by_service.get(service, Pace())

    def note_progress(self, service: str, progress: Progress) -> None:
        """Update the pace from the progress of one generation."""
        learnt = learn(self.pace(service), progress)
        self._paces_by_service[service] = learnt

    def note_answer(self, service: str, took: Millis) -> None:
        """Update the pace from one successful plain response."""
        learnt = learn_answer(self.pace(service), took)
        self._paces_by_service[service] = learnt

    def choose(
        self, needs: RequestNeeds, failure_domain: str | None = None
    ) -> Upstream | None:
        """Return an upstream with capacity for a request, or ``None``.

        :param failure_domain: origin of the work; defaults to that of this
            instance.
        """
        context = self._make_context(needs, failure_domain)
        candidates = self._list_allowed(needs, context)
        chosen = choose(candidates, needs, context, self._generator)
        if chosen is None:
            return None
        if is_cold(self.state, chosen, context.spec, context.now):
            self.cold_gate.reserve(chosen.entry.upstream, context.now)
        self.limits.reserve(chosen, needs)
        return chosen

    def spend(self, upstream: Upstream, *, resumes: bool) -> bool:
        """Tell whether a request may be sent now, and count it.

        All bounds on the rate of an upstream are checked here, where all send
        paths meet; the strictest applies.

        :param resumes: whether the request resumes from a copy there, and so
            can't wait.
        """
        now = self._clock.now()
        name = upstream.entry.upstream
        spec = _find_spec(self.table, upstream.entry.service)
        cold = is_cold(self.state, upstream, spec, now)
        self.cold_gate.cancel(name, now)
        bears = not cold or self.cold_gate.allows(name, spec.cold_rate, now)
        if not bears and not resumes:
            return False
        if not self.limits.gate.spend(name, now, resumes=resumes):
            return False
        if cold:
            self.cold_gate.note(name, now)
        return True

    def forecast_wait(self, needs: RequestNeeds, ahead: int) -> WaitForecast:
        """Forecast when a request finds capacity.

        :param ahead: number of requests that are served before it.
        """
        context = self._make_context(needs, None)
        candidates = list_candidates(self.state, needs)
        backing_off = [
            each for each in candidates if each.backoff_until > context.now
        ]
        limited = [
            each
            for each in candidates
            if each.rate_limit.limited and each.backoff_until <= context.now
        ]
        unlimited = [
            each
            for each in self._list_allowed(needs, context)
            if not each.rate_limit.limited
        ]
        forecast = forecast_wait(unlimited, needs, context, ahead)
        later = self.limits.forecast_wait(limited, needs, context, ahead)
        if backing_off:
            later.append(
                forecast_after_backoff(backing_off, needs, context, ahead)
            )
        if not later:
            return forecast
        if not unlimited:
            first = min(later, key=_expected_wait)
            return replace(first, backoff=first.reading)
        return min(forecast, *later, key=_expected_wait)

    def measure_room(self, needs: RequestNeeds) -> ServiceRoom:
        """Return the room at the upstreams that may get a request now."""
        context = self._make_context(needs, None)
        return measure_room(self._list_allowed(needs, context), context)

    def filled_share(self, needs: RequestNeeds) -> float:
        """Return the filled share of the engines that could serve a request.

        From 0, with the expected growth, which may exceed 1; 1 without any
        engines.
        """
        context = self._make_context(needs, None)
        return measure_filling(list_candidates(self.state, needs), context)

    def find_unavailable_reason(self, needs: RequestNeeds) -> UnavailableReason:
        """Return why no upstream is available for a request."""
        spec = _find_spec(self.table, needs.service)
        now = self._clock.now()
        spent = self.limits.gate.list_spent(now)
        return find_unavailable_reason(self.state, needs, spec, now, spent)

    def may_finish_move(self, entry: UpstreamEntry) -> bool:
        """Tell whether a stopped generation may resume at an upstream."""
        return may_finish_move(
            self.state.evacuation_status_by_domain,
            entry.failure_domain,
            self._clock.now(),
        )

    def list_evacuations(self) -> tuple[Evacuation, ...]:
        """Return the known current and past evacuations."""
        return tuple(
            status.evacuation
            for status in self.state.evacuation_status_by_domain.values()
        )

    def list_evacuated(self) -> tuple[str, ...]:
        """Return the failure domains that accept no new work."""
        return tuple(
            domain
            for domain, status in self.state.evacuation_status_by_domain.items()
            if status.active
        )

    def _follow(self, action: Action, after: FleetState) -> None:
        """Log an action, and let all that depend on the state follow it.

        The state has changed already, so that the failure of one keeps none of
        the others from following.
        """
        subject = _name_subject(action)
        logger.info(f'{subject} changed', **format_log_fields('change', action))
        known = _find_subject(after, action)
        for follow in (
            partial(self.limits.follow, action, known),
            partial(self.speeds.follow, action),
            partial(_call_back, self.callbacks, action),
        ):
            with contain('fleet changes'):
                follow()

    def _list_allowed(
        self, needs: RequestNeeds, context: ChoiceContext
    ) -> list[Upstream]:
        """Return the candidates to which this instance may send now.

        An upstream that requested a back-off from this instance gets nothing,
        even if all others are full, since it must read even the requests that
        it rejects. Of the rate of a cold or rate-limited upstream this instance
        has a share.
        """
        accepting = [
            upstream
            for upstream in list_candidates(self.state, needs)
            if upstream.backoff_until <= context.now
            and self.limits.has_permit(upstream, needs)
        ]
        return [
            upstream
            for upstream in accepting
            if not is_cold(self.state, upstream, context.spec, context.now)
            or self.cold_gate.allows(
                upstream.entry.upstream, context.spec.cold_rate, context.now
            )
        ]

    def _make_context(
        self, needs: RequestNeeds, failure_domain: str | None
    ) -> ChoiceContext:
        now = self._clock.now()
        return ChoiceContext(
            spec=_find_spec(self.table, needs.service),
            loads_by_upstream=self.loads.totals(now),
            failure_domain=failure_domain or self._failure_domain,
            now=now,
            pace=self.pace(needs.service),
            reading_shares=self._reading.by_upstream,
            switches=self.switches,
            choices=self.choices,
            speeds_by_upstream=self.speeds.list_beliefs(needs.service, now),
        )


def _call_back(callbacks: FleetCallbacks | None, action: Action) -> None:
    """Call the callbacks that move generations."""
    if callbacks is None:
        return
    match action:
        case BeganLeaving(upstream=upstream):
            callbacks.on_leaving(upstream)
        case Restarted(upstream=upstream):
            callbacks.on_restarted(upstream)
        case BeganEvacuating(failure_domain=name):
            callbacks.on_evacuating(name)


def _is_plain(fleet: Fleet, service: str) -> bool:
    """Tell whether the upstreams of a service are known to be no engines."""
    spec = fleet.table.services_by_name.get(service)
    return spec is not None and spec.engine is None


def _count_known(state: FleetState) -> tuple[int, int]:
    """Return the numbers of upstreams and of departures of unknown ones."""
    return len(state.upstreams_by_id), len(state.departures_by_id)


def _find_subject(state: FleetState, action: Action) -> Upstream | None:
    """Return the upstream that an action is about, if any."""
    match action:
        case BeganEvacuating() | EndedEvacuating():
            return None
    return state.upstreams_by_id.get(action.upstream)


def _find_spec(table: RoutingTable, service: str) -> ServiceSpec:
    known = table.services_by_name.get(service)
    return known or ServiceSpec(service, '', 0)


def _expected_wait(forecast: WaitForecast) -> float:
    """Return the mean wait of a forecast; infinite if it never ends."""
    wait = forecast.expected_wait()
    return inf if wait is None else wait


def _name_subject(action: Action) -> str:
    """Return the kind of an action's subject, for its log line."""
    match action:
        case BeganEvacuating() | EndedEvacuating():
            return 'failure domain'
        case _:
            return 'upstream'
