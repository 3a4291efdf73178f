"""Order queued work, foresee its wait, and give up on it in time."""

import math
from collections.abc import Iterator
from dataclasses import replace

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.routing.types import RoutingState, Work

_SMOOTHING_MS = 5 * SECOND_MS
#: Waiting this long counts as one step of priority, so nobody starves.
_AGING_MS: Millis = 5 * SECOND_MS
_LONGEST_WAIT: Millis = 5 * MINUTE_MS
#: Slowest drain assumed before anything was learned, work per millisecond.
_LEAST_DRAIN = 1 / (10 * SECOND_MS)


def order_waiting(state: RoutingState, now: Millis) -> tuple[Work, ...]:
    """Return queued work, the next to be placed first.

    Priority with age goes first, then the customer who received least
    for its share, then the older request.
    """
    if len(state.waiting) < 2:
        return state.waiting
    ranked = sorted(
        (_rank(state, work, now), index)
        for index, work in enumerate(state.waiting)
    )
    return tuple(state.waiting[index] for _, index in ranked)


def estimate_wait(state: RoutingState, ahead: int) -> Millis:
    """Foresee how long work behind ``ahead`` others waits."""
    if not ahead:
        return 0
    rate = max(state.drain_per_ms, _LEAST_DRAIN)
    return min(_LONGEST_WAIT, int(ahead / rate))


def note_drain(state: RoutingState, placed: int, now: Millis) -> RoutingState:
    """Learn how fast the queue drains.

    :param placed: work placed at this moment.
    """
    elapsed = max(0, now - state.drained_at)
    kept = math.exp(-elapsed / _SMOOTHING_MS)
    rate = state.drain_per_ms * kept + placed / _SMOOTHING_MS
    if not placed and not state.waiting:
        # An empty queue says nothing about how fast it could drain.
        rate = state.drain_per_ms
    return replace(state, drain_per_ms=rate, drained_at=now)


def list_hopeless(state: RoutingState, now: Millis) -> Iterator[Work]:
    """Yield queued work whose deadline will pass before its turn."""
    for ahead, work in enumerate(order_waiting(state, now)):
        if now + estimate_wait(state, ahead) > work.deadline_at:
            yield work


def without(waiting: tuple[Work, ...], work_id: str) -> tuple[Work, ...]:
    """Return the queue without one request."""
    return tuple(work for work in waiting if work.work_id != work_id)


def _rank(
    state: RoutingState, work: Work, now: Millis
) -> tuple[int, float, Millis]:
    aged = work.priority + (now - work.arrived_at) // _AGING_MS
    served = state.served_by_customer.get(work.customer, 0)
    return (-aged, served, work.arrived_at)
