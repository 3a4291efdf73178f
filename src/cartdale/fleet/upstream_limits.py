"""Keep to the rate limits of upstreams: what is known, and what is due."""

from collections.abc import Collection
from math import isfinite

from cartdale.clock import Clock, Millis
from cartdale.fleet.choose import ChoiceContext, RequestNeeds
from cartdale.fleet.demand import DemandMeter
from cartdale.fleet.limit_gate import LimitGate
from cartdale.fleet.limit_history import LimitHistory
from cartdale.fleet.types import (
    Action,
    LimitChanged,
    Restarted,
    Upstream,
    Vanished,
)
from cartdale.fleet.wait_forecast import WaitForecast, forecast_with_permit


class UpstreamLimits:
    """Own what this instance needs to keep to upstreams' limits."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.gate = LimitGate()
        self.history = LimitHistory()
        self._demand = DemandMeter()

    def follow(self, action: Action, known: Upstream | None) -> None:
        """Take what changed.

        :param known: the upstream that is about, if it is known.
        """
        match action:
            case LimitChanged(upstream=upstream, per_second=per_second):
                self.gate.release(upstream)
                if known is not None and isfinite(per_second):
                    service = known.entry.service
                    now = self._clock.now()
                    self.gate.limit(upstream, service, per_second, now)
            case Restarted(upstream=gone) | Vanished(upstream=gone):
                self.gate.release(gone)

    def note_arrival(self, service: str) -> None:
        """Count a request that is to be placed."""
        self._demand.note(service, self._clock.now())

    def measure_demand(self) -> dict[str, float]:
        """Return what callers here ask of services with limited upstreams.

        :returns: requests a second, by service.
        """
        services = self.gate.list_services()
        return self._demand.measure(services, self._clock.now())

    def has_permit(self, upstream: Upstream, needs: RequestNeeds) -> bool:
        """Tell whether a request may be placed at an upstream now."""
        permits = self.gate.find(upstream.entry.upstream)
        if permits is None:
            return True
        return needs.sends and permits.is_free(self._clock.now())

    def reserve(self, upstream: Upstream, needs: RequestNeeds) -> None:
        """Keep a permit for a request that was placed at an upstream."""
        permits = self.gate.find(upstream.entry.upstream)
        if permits is not None and needs.sends:
            permits.reserve(self._clock.now())

    def forecast_wait(
        self,
        candidates: Collection[Upstream],
        needs: RequestNeeds,
        context: ChoiceContext,
        ahead: int,
    ) -> list[WaitForecast]:
        """Return when a request finds room at upstreams with limits.

        :param candidates: those that take new work.
        :param ahead: requests that are served before it.
        """
        forecasts: list[WaitForecast] = []
        for upstream in candidates:
            permits = self.gate.find(upstream.entry.upstream)
            if permits is None:
                continue
            # Those before this request take what comes first anywhere.
            ready_at = permits.next_at(ahead // len(candidates), context.now)
            if ready_at is not None:
                wait: Millis = ready_at - context.now
                forecasts.append(
                    forecast_with_permit(upstream, needs, context, wait)
                )
        return forecasts
