"""Order queued work, estimate its wait and find missed deadlines."""

import math
from collections.abc import Iterator
from dataclasses import replace

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.routing.types import RoutingState, Work

_SMOOTHING_MS = 5 * SECOND_MS
#: Waiting time that raises priority by one step; prevents starvation.
_AGING_MS: Millis = 5 * SECOND_MS
_MAX_WAIT: Millis = 5 * MINUTE_MS
#: Lower bound of the drain rate, used before any placement was observed.
_MIN_DRAIN_PER_MS = 1 / (10 * SECOND_MS)


def order_waiting(state: RoutingState, now: Millis) -> tuple[Work, ...]:
    """Return queued work in the order of placement.

    Orders by priority raised with age, then by the customer that received
    the least service for its share, then by arrival.
    """
    if len(state.waiting) < 2:
        return state.waiting
    ranked = sorted(
        (_rank(state, work, now), index)
        for index, work in enumerate(state.waiting)
    )
    return tuple(state.waiting[index] for _, index in ranked)


def estimate_wait(state: RoutingState, ahead: int) -> Millis:
    """Estimate the wait of work with ``ahead`` requests before it."""
    if not ahead:
        return 0
    rate = max(state.drain_per_ms, _MIN_DRAIN_PER_MS)
    return min(_MAX_WAIT, int(ahead / rate))


def update_drain_rate(
    state: RoutingState, placed: int, now: Millis
) -> RoutingState:
    """Update the estimate of the queue's drain rate.

    :param placed: number of requests placed at ``now``.
    """
    elapsed = max(0, now - state.drained_at)
    decay = math.exp(-elapsed / _SMOOTHING_MS)
    rate = state.drain_per_ms * decay + placed / _SMOOTHING_MS
    if not placed and not state.waiting:
        # An empty queue gives no information about the drain rate.
        rate = state.drain_per_ms
    return replace(state, drain_per_ms=rate, drained_at=now)


def list_missed_deadlines(state: RoutingState, now: Millis) -> Iterator[Work]:
    """Yield queued work whose deadline will pass before its turn."""
    for ahead, work in enumerate(order_waiting(state, now)):
        if now + estimate_wait(state, ahead) > work.deadline_at:
            yield work


def remove_work(waiting: tuple[Work, ...], work_id: str) -> tuple[Work, ...]:
    """Return the queue without one request."""
    return tuple(work for work in waiting if work.work_id != work_id)


def _rank(
    state: RoutingState, work: Work, now: Millis
) -> tuple[int, float, Millis]:
    aged = work.priority + (now - work.arrived_at) // _AGING_MS
    served = state.served_by_customer.get(work.customer, 0)
    return (-aged, served, work.arrived_at)
