"""List the upstreams that a request may go to at all, and why there is none."""

from dataclasses import replace
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.fleet.choose import RequestNeeds
from cartdale.fleet.evacuation import is_evacuated, reopened_within
from cartdale.fleet.types import FleetState, Lifecycle, Upstream
from cartdale.routes.types import ServiceSpec


class UnavailableReason(StrEnum):
    """Say why a request found no upstream."""

    #: Some take new work, but have no room.
    FULL = 'full'
    #: All of them have had what a cold upstream bears.
    COLD = 'cold'
    #: All of them asked to be left alone for a while.
    RESTING = 'resting'
    #: All of them have a rate limit, and have had this instance's part.
    LIMITED = 'limited'
    #: All of them leave.
    LEAVING = 'leaving'
    #: All of them lie in failure domains that are evacuated.
    EVACUATED = 'evacuated'
    #: None lies where the request may go.
    REGION = 'region'
    #: The service has none.
    MISSING = 'missing'


def list_candidates(state: FleetState, needs: RequestNeeds) -> list[Upstream]:
    """Return the upstreams of the service that take new work."""
    return [
        upstream
        for upstream in _list_live(state, needs)
        if not is_evacuated(
            state.evacuation_status_by_domain, upstream.entry.failure_domain
        )
    ]


def find_unavailable_reason(
    state: FleetState,
    needs: RequestNeeds,
    spec: ServiceSpec,
    now: Millis,
    spent: frozenset[str],
) -> UnavailableReason:
    """Return why a request found no upstream.

    :param spent: upstreams of whose rate limits this instance has had its part.
    """
    candidates = list_candidates(state, needs)
    if not candidates:
        return _find_absence(state, needs)
    awake = [each for each in candidates if each.backoff_until <= now]
    if not awake:
        return UnavailableReason.RESTING
    open_to_it = [each for each in awake if each.entry.upstream not in spent]
    if not open_to_it:
        return UnavailableReason.LIMITED
    cold = all(is_cold(state, each, spec, now) for each in open_to_it)
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
    """Tell whether an upstream bears little, as if it had just started.

    All of a failure domain may be cold when its evacuation ends, and the
    store may tell that of an upstream later than the end.
    """
    domain = upstream.entry.failure_domain
    return upstream.warm_at > now or reopened_within(
        state.evacuation_status_by_domain, domain, spec.cold_start, now
    )


def count_cold(state: FleetState, now: Millis) -> int:
    """Return how many upstreams are cold, as far as it is told."""
    upstreams = state.upstreams_by_id.values()
    return sum(upstream.warm_at > now for upstream in upstreams)


def count_unavailable(state: FleetState, now: Millis) -> tuple[int, int, int]:
    """Return how many upstreams leave, asked for rest, and name a limit."""
    upstreams = state.upstreams_by_id.values()
    leaving = sum(each.lifecycle is Lifecycle.LEAVING for each in upstreams)
    resting = sum(each.backoff_until > now for each in upstreams)
    limited = sum(each.rate_limit.limited for each in upstreams)
    return leaving, resting, limited


def _find_absence(state: FleetState, needs: RequestNeeds) -> UnavailableReason:
    """Return why a request has not even candidates."""
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
    """Return the upstreams that serve and lie where a request may go."""
    return [
        upstream
        for name, upstream in state.upstreams_by_id.items()
        if upstream.entry.service == needs.service
        and upstream.lifecycle is not Lifecycle.LEAVING
        and name not in needs.excluded
        and _may_enter(needs, upstream.entry.failure_domain)
    ]


def _may_enter(needs: RequestNeeds, failure_domain: str) -> bool:
    return needs.domains is None or failure_domain in needs.domains
