"""Decide how well upstreams do their work, and what they ask for."""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.types import (
    BackoffRequested,
    FleetState,
    ReportedUnreachable,
    RequestEnded,
    Upstream,
)

#: Weight of one request in the share of failed requests.
_FAILING_WEIGHT = 0.2
#: An upstream that others can't reach is avoided for so long after they told.
TOLD_AVOIDED_MS: Millis = SECOND_MS
#: First and longest time that an upstream which does not answer is avoided.
_AVOID_MS: Millis = 500
_AVOID_LONGEST_MS: Millis = 4 * SECOND_MS


def judge(
    state: FleetState,
    message: BackoffRequested | RequestEnded | ReportedUnreachable,
    now: Millis,
) -> FleetState:
    """Take what says how well an upstream does its work."""
    match message:
        case BackoffRequested():
            return _rest(state, message, now)
        case RequestEnded():
            return _count(state, message, now)
        case ReportedUnreachable(upstream=name):
            return _avoid(state, name, now)
        case _:
            assert_never(message)


def _rest(
    state: FleetState, asked: BackoffRequested, now: Millis
) -> FleetState:
    """Leave an upstream alone for as long as any of its answers asked.

    A shorter time that it asks for later is that of another answer, and what
    it answers to requests that were there before says nothing of new ones.
    """
    known = state.upstreams_by_id.get(asked.upstream)
    if known is None:
        return state
    until = max(known.backoff_until, now + asked.backoff)
    return put(state, replace(known, backoff_until=until))


def _count(state: FleetState, message: RequestEnded, now: Millis) -> FleetState:
    known = state.upstreams_by_id.get(message.upstream)
    if known is None:
        return state
    failed = 0 if message.good else 1
    failing = known.failing + _FAILING_WEIGHT * (failed - known.failing)
    if message.reached:
        counted = replace(
            known,
            failing=failing,
            strikes=0,
            unreachable_until=0,
            avoided_until=0,
        )
        return put(state, counted)
    pause = min(_AVOID_MS * 2**known.strikes, _AVOID_LONGEST_MS)
    unreachable = replace(
        known,
        failing=failing,
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


def put(state: FleetState, upstream: Upstream) -> FleetState:
    """Return a state in which this is what is believed of an upstream."""
    if state.upstreams_by_id.get(upstream.entry.upstream) is upstream:
        return state
    upstreams_by_id = dict(state.upstreams_by_id)
    upstreams_by_id[upstream.entry.upstream] = upstream
    return replace(state, upstreams_by_id=upstreams_by_id)
