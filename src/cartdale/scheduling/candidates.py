"""List the upstreams that may serve a request, or say why there are none."""

from dataclasses import replace
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.fleet.evacuation import is_evacuated, reopened_within
from cartdale.fleet.types import FleetState, Lifecycle, Upstream
from cartdale.routes.types import ServiceSpec
from cartdale.scheduling.types import RequestNeeds


class UnavailableReason(StrEnum):
    """The reason why no upstream is available for a request."""

    #: Some accept new work but have no free capacity.
    FULL = 'full'
    #: All are cold and have received as many requests as they can bear.
    COLD = 'cold'
    #: All requested a back-off.
    RESTING = 'resting'
    #: All have a rate limit, and this instance has used its share of it.
    LIMITED = 'limited'
    #: All are leaving.
    LEAVING = 'leaving'
    #: All are in failure domains that are evacuated.
    EVACUATED = 'evacuated'
    #: None is in a region that may serve the request.
    REGION = 'region'
    #: The service has no upstreams.
    MISSING = 'missing'


def list_candidates(state: FleetState, needs: RequestNeeds) -> list[Upstream]:
    """Return the upstreams of the service that accept new work."""
    live = _list_live(state, needs)
    statuses = state.evacuation_status_by_domain
    if not statuses:
        return live
    return [
        upstream
        for upstream in live
        if not is_evacuated(statuses, upstream.entry.failure_domain)
    ]


def find_unavailable_reason(
    state: FleetState,
    needs: RequestNeeds,
    spec: ServiceSpec,
    now: Millis,
    spent: frozenset[str],
) -> UnavailableReason:
    """Return why no upstream is available for a request.

    :param spent: upstreams for which this instance has used its share of the
        rate limit.
    """
    candidates = list_candidates(state, needs)
    if not candidates:
        return _find_missing_reason(state, needs)
    accepting = [each for each in candidates if each.backoff_until <= now]
    if not accepting:
        return UnavailableReason.RESTING
    permitted = [each for each in accepting if each.entry.upstream not in spent]
    if not permitted:
        return UnavailableReason.LIMITED
    cold = all(is_cold(state, each, spec, now) for each in permitted)
    return (
        UnavailableReason.COLD
        if cold and spec.cold_rate
        else UnavailableReason.FULL
    )


def is_closed(state: FleetState, needs: RequestNeeds) -> bool:
    """Tell whether all upstreams that could serve a request are evacuated."""
    live = _list_live(state, needs)
    return bool(live) and not list_candidates(state, needs)


def is_cold(
    state: FleetState, upstream: Upstream, spec: ServiceSpec, now: Millis
) -> bool:
    """Tell whether an upstream is cold, as if it had just started.

    All upstreams of a failure domain may be cold when its evacuation ends, and
    the store may show that of an upstream only after the end.
    """
    if upstream.warm_at > now:
        return True
    statuses = state.evacuation_status_by_domain
    return bool(statuses) and reopened_within(
        statuses, upstream.entry.failure_domain, spec.cold_start, now
    )


def count_cold(state: FleetState, now: Millis) -> int:
    """Return how many upstreams are reported to be cold."""
    upstreams = state.upstreams_by_id.values()
    return sum(upstream.warm_at > now for upstream in upstreams)


def count_unreachable(state: FleetState, now: Millis) -> int:
    """Return how many upstreams this instance recently failed to reach."""
    upstreams = state.upstreams_by_id.values()
    return sum(upstream.unreachable_until > now for upstream in upstreams)


def count_unavailable(state: FleetState, now: Millis) -> tuple[int, int, int]:
    """Return the numbers of leaving, backing-off and rate-limited upstreams."""
    upstreams = state.upstreams_by_id.values()
    leaving = sum(each.lifecycle is Lifecycle.LEAVING for each in upstreams)
    resting = sum(each.backoff_until > now for each in upstreams)
    limited = sum(each.rate_limit.limited for each in upstreams)
    return leaving, resting, limited


def _find_missing_reason(
    state: FleetState, needs: RequestNeeds
) -> UnavailableReason:
    """Return why a request has no candidates."""
    if is_closed(state, needs):
        return UnavailableReason.EVACUATED
    anywhere = replace(needs, domains=None)
    if _list_live(state, anywhere):
        return UnavailableReason.REGION
    leaving = [
        each.lifecycle is Lifecycle.LEAVING
        for each in state.upstreams_by_id.values()
        if each.entry.service == needs.service
    ]
    return (
        UnavailableReason.LEAVING
        if leaving and all(leaving)
        else UnavailableReason.MISSING
    )


def _list_live(state: FleetState, needs: RequestNeeds) -> list[Upstream]:
    """Return the serving upstreams in the failure domains of a request."""
    service, excluded, domains = needs.service, needs.excluded, needs.domains
    leaving = Lifecycle.LEAVING
    return [
        upstream
        for name, upstream in state.upstreams_by_id.items()
        if upstream.entry.service == service
        and upstream.lifecycle is not leaving
        and name not in excluded
        and (domains is None or upstream.entry.failure_domain in domains)
    ]
