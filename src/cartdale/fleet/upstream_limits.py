"""Track the rate limits of upstreams and the permits for them."""

from collections.abc import Collection
from math import isfinite

from cartdale.clock import Clock, Millis
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
from cartdale.scheduling.types import ChoiceContext, RequestNeeds
from cartdale.scheduling.wait_forecast import WaitForecast, forecast_with_permit


class UpstreamLimits:
    """Own the limit gate, the limit history and the demand meter."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.gate = LimitGate()
        self.history = LimitHistory()
        self._demand = DemandMeter()

    def follow(self, action: Action, known: Upstream | None) -> None:
        """Apply a change of the fleet.

        :param known: the upstream that changed, if it is known.
        """
        match action:
            case LimitChanged(upstream=upstream):
                was_limited = self.gate.find(upstream) is not None
                self.gate.release(upstream)
                if known is not None and isfinite(action.per_second):
                    self._limit(known, action, was_limited=was_limited)
            case Restarted(upstream=gone) | Vanished(upstream=gone):
                self.gate.release(gone)

    def note_arrival(self, service: str) -> None:
        """Count a request that waits for placement."""
        self._demand.note(service, self._clock.now())

    def measure_demand(self) -> dict[str, float]:
        """Return the local demand for services with rate-limited upstreams.

        :returns: requests per second, by service.
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
        """Reserve a permit for a request that was placed at an upstream."""
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
        """Forecast when a request finds capacity at rate-limited upstreams.

        :param candidates: upstreams that accept new work.
        :param ahead: number of requests that are served before it.
        """
        forecasts: list[WaitForecast] = []
        for upstream in candidates:
            permits = self.gate.find(upstream.entry.upstream)
            if permits is None:
                continue
            # The requests ahead use the next permits of all candidates evenly.
            ready_at = permits.next_at(ahead // len(candidates), context.now)
            if ready_at is not None:
                wait: Millis = ready_at - context.now
                forecasts.append(
                    forecast_with_permit(upstream, needs, context, wait)
                )
        return forecasts

    def _limit(
        self, known: Upstream, changed: LimitChanged, *, was_limited: bool
    ) -> None:
        self.gate.limit(
            changed.upstream,
            known.entry.service,
            changed.per_second,
            self._clock.now(),
            paced=changed.paced,
            ready=changed.paced and not was_limited,
        )
