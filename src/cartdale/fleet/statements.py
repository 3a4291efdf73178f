"""Decide what follows from what upstreams say of themselves in answers."""

from dataclasses import replace
from math import inf
from typing import assert_never

from cartdale.clock import Millis
from cartdale.fleet.departures import (
    departure_actions,
    is_of_another_life,
    take_word,
)
from cartdale.fleet.health import put
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
    state: FleetState, said: LeavingAnnounced | LimitAdvertised, now: Millis
) -> Decision:
    """Take what an upstream said to this instance or to a peer."""
    known = state.upstreams_by_id.get(said.upstream)
    if known is None:
        return state, ()
    match said:
        case LeavingAnnounced():
            told = take_word(known, said, now)
            began = known.lifecycle is not Lifecycle.LEAVING
            actions = departure_actions(told) if began else ()
            return put(state, told), actions
        case LimitAdvertised():
            return _take_limit(state, known, said)
        case _:
            assert_never(said)


def _take_limit(
    state: FleetState, known: Upstream, named: LimitAdvertised
) -> Decision:
    if is_of_another_life(named.born, known):
        return state, ()
    before = known.rate_limit
    limit = merge_limits(before, named.limit)
    if limit == before:
        return state, ()
    after = put(state, replace(known, rate_limit=limit))
    if limit.per_second == before.per_second:
        return after, ()
    return after, (LimitChanged(named.upstream, limit.per_second),)


def expire_limits(state: FleetState, now: Millis) -> Decision:
    """End the limits that nobody was named for long."""
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
