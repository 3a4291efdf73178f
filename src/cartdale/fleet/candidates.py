"""List the upstreams that a request may go to at all."""

from cartdale.clock import Millis
from cartdale.fleet.choose import Need
from cartdale.fleet.evacuation import is_evacuated, reopened_within
from cartdale.fleet.types import FleetState, Lifecycle, Upstream
from cartdale.routes.types import ServiceSpec


def list_candidates(state: FleetState, need: Need) -> list[Upstream]:
    """Return the upstreams of the service that take new work."""
    return [
        upstream
        for upstream in _list_live(state, need)
        if not is_evacuated(
            state.standings_by_domain, upstream.entry.failure_domain
        )
    ]


def is_closed(state: FleetState, need: Need) -> bool:
    """Tell whether all upstreams that could serve a request are evacuated."""
    live = _list_live(state, need)
    return bool(live) and not list_candidates(state, need)


def is_cold(
    state: FleetState, upstream: Upstream, spec: ServiceSpec, now: Millis
) -> bool:
    """Tell whether an upstream bears little, as if it had just started.

    All of a failure domain may be cold when its evacuation ends, and the
    store may tell that of an upstream later than the end.
    """
    domain = upstream.entry.failure_domain
    return upstream.warm_at > now or reopened_within(
        state.standings_by_domain, domain, spec.cold_start, now
    )


def _list_live(state: FleetState, need: Need) -> list[Upstream]:
    """Return the upstreams that serve and lie where a request may go."""
    return [
        upstream
        for name, upstream in state.upstreams_by_id.items()
        if upstream.entry.service == need.service
        and upstream.lifecycle is not Lifecycle.LEAVING
        and name not in need.excluded
        and _may_enter(need, upstream.entry.failure_domain)
    ]


def _may_enter(need: Need, failure_domain: str) -> bool:
    return need.domains is None or failure_domain in need.domains
