"""Update the health of upstreams and the back-offs that they request."""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.types import (
    AddressReachable,
    BackoffRequested,
    FleetState,
    ReportedUnreachable,
    RequestEnded,
    Upstream,
)

#: Weight of one request in the share of failed requests.
_FAILING_WEIGHT = 0.2
#: Time without results in which the share of failed requests halves. An
#: upstream that fails gets few requests or none, so that results alone would
#: not show that it has recovered.
FAILING_HALF_LIFE: Millis = 5 * SECOND_MS
#: An upstream that peers report unreachable is avoided for this long.
TOLD_AVOIDED_MS: Millis = SECOND_MS
#: First and maximum time for which an unresponsive upstream is avoided.
_AVOID_MS: Millis = 500
_MAX_AVOID_MS: Millis = 4 * SECOND_MS


def update_health(
    state: FleetState,
    message: BackoffRequested
    | RequestEnded
    | ReportedUnreachable
    | AddressReachable,
    now: Millis,
) -> FleetState:
    """Apply a message about the health of an upstream."""
    match message:
        case BackoffRequested():
            return _back_off(state, message, now)
        case RequestEnded():
            return _count_result(state, message, now)
        case ReportedUnreachable(upstream=name):
            return _avoid(state, name, now)
        case AddressReachable(address=address):
            return _end_avoidance(state, address)
        case _:
            assert_never(message)


def find_failing(upstream: Upstream, now: Millis) -> float:
    """Return the share of failed requests; it counts for less with age.

    :returns: 0 to 1.
    """
    age = now - upstream.failing_at
    return upstream.failing * 2 ** (-age / FAILING_HALF_LIFE)


def _back_off(
    state: FleetState, requested: BackoffRequested, now: Millis
) -> FleetState:
    """Apply the longest back-off that any response of an upstream requests.

    A shorter one that is requested later belongs to another response. Responses
    to requests that were already running don't end a back-off.
    """
    known = state.upstreams_by_id.get(requested.upstream)
    if known is None:
        return state
    until = max(known.backoff_until, now + requested.backoff)
    return put(state, replace(known, backoff_until=until))


def _count_result(
    state: FleetState, message: RequestEnded, now: Millis
) -> FleetState:
    known = state.upstreams_by_id.get(message.upstream)
    if known is None:
        return state
    failed = 0 if message.good else 1
    share = find_failing(known, now)
    failing = share + _FAILING_WEIGHT * (failed - share)
    if message.reached:
        counted = replace(
            known,
            failing=failing,
            failing_at=now,
            strikes=0,
            unreachable_until=0,
            avoided_until=0,
        )
        return put(state, counted)
    pause = min(_AVOID_MS * 2**known.strikes, _MAX_AVOID_MS)
    if not message.confirmed:
        failing = share
    unreachable = replace(
        known,
        failing=failing,
        failing_at=now,
        path_unclear=not message.confirmed,
        strikes=known.strikes + 1,
        unreachable_until=now + pause,
        avoided_until=max(known.avoided_until, now + pause),
    )
    return put(state, unreachable)


def _avoid(state: FleetState, name: str, now: Millis) -> FleetState:
    known = state.upstreams_by_id.get(name)
    if known is None:
        return state
    until = max(known.avoided_until, now + TOLD_AVOIDED_MS)
    return put(state, replace(known, avoided_until=until))


def _end_avoidance(state: FleetState, address: str) -> FleetState:
    for upstream in tuple(state.upstreams_by_id.values()):
        if upstream.entry.address != address:
            continue
        reachable = replace(
            upstream, strikes=0, unreachable_until=0, avoided_until=0
        )
        state = put(state, reachable)
    return state


def put(state: FleetState, upstream: Upstream) -> FleetState:
    """Return the state with an upstream added or replaced."""
    if state.upstreams_by_id.get(upstream.entry.upstream) is upstream:
        return state
    upstreams_by_id = dict(state.upstreams_by_id)
    upstreams_by_id[upstream.entry.upstream] = upstream
    return replace(state, upstreams_by_id=upstreams_by_id)
