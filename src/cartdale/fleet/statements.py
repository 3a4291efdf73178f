"""Apply the departures and rate limits that upstreams announce."""

from dataclasses import replace
from math import inf
from typing import assert_never

from cartdale.clock import Millis
from cartdale.fleet.departure_records import remember_departure
from cartdale.fleet.departures import (
    apply_leaving,
    begin_incarnation,
    departure_actions,
    is_other_incarnation,
)
from cartdale.fleet.health import put
from cartdale.fleet.incarnations import is_other
from cartdale.fleet.rate_limits import (
    LIMIT_KEPT_MS,
    UNLIMITED,
    merge_limits,
)
from cartdale.fleet.types import (
    Decision,
    FleetState,
    LeavingAnnounced,
    Lifecycle,
    LimitAdvertised,
    LimitChanged,
    Upstream,
)


def apply_announcement(
    state: FleetState,
    announcement: LeavingAnnounced | LimitAdvertised,
    now: Millis,
) -> Decision:
    """Apply what an upstream announced to this instance or to a peer."""
    known = state.upstreams_by_id.get(announcement.upstream)
    match announcement:
        case LeavingAnnounced():
            return _apply_leaving(state, known, announcement, now)
        case LimitAdvertised():
            return _apply_limit(state, known, announcement)
        case _:
            assert_never(announcement)


def _apply_leaving(
    state: FleetState,
    known: Upstream | None,
    announcement: LeavingAnnounced,
    now: Millis,
) -> Decision:
    if known is None:
        return remember_departure(state, announcement, now), ()
    if is_other(announcement, known.entry):
        return _apply_other_leaving(state, known, announcement, now)
    leaving = apply_leaving(known, announcement, now)
    began = known.lifecycle is not Lifecycle.LEAVING
    actions = departure_actions(leaving) if began else ()
    return put(state, leaving), actions


def _apply_other_leaving(
    state: FleetState,
    known: Upstream,
    announcement: LeavingAnnounced,
    now: Millis,
) -> Decision:
    """Apply the departure of an incarnation whose entry is unknown.

    Those before the known one are gone.
    """
    entry = replace(
        known.entry,
        born=announcement.born,
        lifecycle=Lifecycle.LEAVING,
        revision=announcement.revision or known.entry.revision,
    )
    return begin_incarnation(
        state, known, entry, now, settled=announcement.settled
    )


def _apply_limit(
    state: FleetState, known: Upstream | None, named: LimitAdvertised
) -> Decision:
    if known is None or is_other_incarnation(named.born, known):
        return state, ()
    before = known.rate_limit
    limit = merge_limits(before, named.limit)
    if limit == before:
        return state, ()
    after = put(state, replace(known, rate_limit=limit))
    if limit.per_second == before.per_second:
        return after, ()
    changed = LimitChanged(named.upstream, limit.per_second, limit.paced)
    return after, (changed,)


def expire_limits(state: FleetState, now: Millis) -> Decision:
    """End the limits that were not advertised for a long time."""
    lapsed = [
        each
        for each in state.upstreams_by_id.values()
        if each.rate_limit.limited
        and now - each.rate_limit.answered_at >= LIMIT_KEPT_MS
    ]
    for upstream in lapsed:
        state = put(state, replace(upstream, rate_limit=UNLIMITED))
    return state, tuple(
        LimitChanged(each.entry.upstream, inf) for each in lapsed
    )
