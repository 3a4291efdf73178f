"""State machine that queues requests and places them on engines."""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import Millis
from cartdale.declarations.types import PolicyName
from cartdale.invariants import NO_WORK_WHEN_LEAVING, check_invariant
from cartdale.problems.types import NotRun, NotRunReason
from cartdale.routing.policy import (
    choose_baseline,
    choose_memory_aware,
    forecast_candidates,
    list_candidates,
)
from cartdale.routing.queue import (
    estimate_wait,
    list_missed_deadlines,
    order_waiting,
    remove_work,
    update_drain_rate,
)
from cartdale.routing.types import (
    Action,
    Decision,
    EngineView,
    EntryGone,
    LeaveBegan,
    LoadReportReceived,
    Message,
    Place,
    Placement,
    Refuse,
    RoutingState,
    ServiceView,
    TargetsChanged,
    Tick,
    UpstreamFailed,
    Work,
    WorkAbandoned,
    WorkArrived,
    WorkEnded,
)
from cartdale.routing.views import (
    merge_targets,
    receive_load_report,
    record_failure,
)

#: Queued requests of a service tried per decision; bounds its cost.
_LOOKAHEAD = 4
_MAX_CACHED_PREFIXES = 64
_NO_UPSTREAM_RETRY: Millis = 2000


def decide(state: RoutingState, message: Message, now: Millis) -> Decision:
    """Apply one message to the routing state.

    :param now: monotonic milliseconds.
    :returns: the next state, and the work to place or refuse.
    """
    match message:
        case WorkArrived(work=work):
            return _admit(state, work, now)
        case WorkEnded():
            return _place_waiting(_finish_work(state, message), now)
        case WorkAbandoned(work_id=work_id):
            return replace(
                state, waiting=remove_work(state.waiting, work_id)
            ), ()
        case LoadReportReceived(upstream=upstream, report=report):
            return _place_waiting(
                receive_load_report(state, upstream, report, now), now
            )
        case UpstreamFailed(upstream=upstream):
            return record_failure(state, upstream, now), ()
        case TargetsChanged():
            return _place_waiting(merge_targets(state, message), now)
        case EntryGone(entry=entry):
            return _mark_orphaned(state, entry), ()
        case LeaveBegan():
            return _begin_leaving(state)
        case Tick():
            return _tick(state, now)
        case _:
            assert_never(message)


def _admit(state: RoutingState, work: Work, now: Millis) -> Decision:
    if state.leaving:
        refusal = NotRun(NotRunReason.LEAVING, 0)
        return state, (Refuse(work, refusal),)
    service = state.services_by_name.get(work.service)
    if service is None or not _has_open_engine(state, service):
        refusal = NotRun(NotRunReason.NO_UPSTREAM, _NO_UPSTREAM_RETRY)
        return state, (Refuse(work, refusal),)
    ahead = sum(1 for queued in state.waiting if queued.service == work.service)
    wait = estimate_wait(state, ahead)
    if ahead >= service.queue:
        refusal = NotRun(NotRunReason.QUEUE_FULL, wait)
        return state, (Refuse(work, refusal),)
    if now + wait > work.deadline_at:
        refusal = NotRun(NotRunReason.DEADLINE, wait)
        return state, (Refuse(work, refusal),)
    queued = replace(state, waiting=(*state.waiting, work))
    return _place_waiting(queued, now)


def _has_open_engine(state: RoutingState, service: ServiceView) -> bool:
    for upstream in service.upstreams:
        view = state.engines_by_upstream.get(upstream)
        if view is not None and not view.draining:
            return True
    return False


def _tick(state: RoutingState, now: Millis) -> Decision:
    drained = update_drain_rate(state, 0, now)
    placed, actions = _place_waiting(drained, now)
    refusals: list[Action] = []
    waiting = placed.waiting
    for work in list_missed_deadlines(placed, now):
        waiting = remove_work(waiting, work.work_id)
        wait = estimate_wait(placed, len(waiting))
        refusal = NotRun(NotRunReason.DEADLINE, wait)
        refusals.append(Refuse(work, refusal))
    return replace(placed, waiting=waiting), (*actions, *refusals)


def _begin_leaving(state: RoutingState) -> Decision:
    refusal = NotRun(NotRunReason.LEAVING, 0)
    refusals = tuple(Refuse(work, refusal) for work in state.waiting)
    return replace(state, waiting=(), leaving=True), refusals


def _place_waiting(state: RoutingState, now: Millis) -> Decision:
    actions: list[Action] = []
    blocked: set[str] = set()
    attempted = 0
    for work in order_waiting(state, now):
        if work.service in blocked:
            continue
        service = state.services_by_name.get(work.service)
        if service is None:
            continue
        upstream = _choose(state, service, work, now)
        if upstream is not None:
            state = _place(state, work, upstream, now)
            actions.append(Place(work, upstream))
            continue
        attempted += 1
        if attempted >= _LOOKAHEAD:
            blocked.add(work.service)
    return state, tuple(actions)


def _choose(
    state: RoutingState, service: ServiceView, work: Work, now: Millis
) -> str | None:
    views = list_candidates(state, service, work, now)
    if not views:
        return None
    if service.policy is not PolicyName.MEMORY_AWARE:
        return choose_baseline(state, service.policy, views)
    candidates = forecast_candidates(state, views, now)
    return choose_memory_aware(candidates, work, service.weights, state.lengths)


def _place(
    state: RoutingState, work: Work, upstream: str, now: Millis
) -> RoutingState:
    check_invariant(
        NO_WORK_WHEN_LEAVING,
        holds=not state.leaving,
        detail=f'{work.work_id} on {upstream}',
    )
    view = state.engines_by_upstream[upstream]
    engines_by_upstream = dict(state.engines_by_upstream)
    engines_by_upstream[upstream] = _record_placement(view, work)
    placements_by_work = dict(state.placements_by_work)
    placements_by_work[work.work_id] = Placement(work, upstream, now)
    served_by_customer = dict(state.served_by_customer)
    served = served_by_customer.get(work.customer, 0)
    served_by_customer[work.customer] = served + 1 / work.share
    return replace(
        update_drain_rate(state, 1, now),
        engines_by_upstream=engines_by_upstream,
        placements_by_work=placements_by_work,
        served_by_customer=served_by_customer,
        waiting=remove_work(state.waiting, work.work_id),
        draws=state.draws + 1,
    )


def _record_placement(view: EngineView, work: Work) -> EngineView:
    prefixes = view.prefixes
    if work.prefix:
        others = tuple(known for known in prefixes if known != work.prefix)
        prefixes = (*others, work.prefix)[-_MAX_CACHED_PREFIXES:]
    return replace(view, own_accepted=view.own_accepted + 1, prefixes=prefixes)


def _mark_orphaned(state: RoutingState, entry: str) -> RoutingState:
    placements_by_work = {
        work_id: replace(
            placement,
            orphaned=placement.orphaned or placement.work.entry == entry,
        )
        for work_id, placement in state.placements_by_work.items()
    }
    return replace(state, placements_by_work=placements_by_work)


def _finish_work(state: RoutingState, ended: WorkEnded) -> RoutingState:
    placements_by_work = dict(state.placements_by_work)
    placement = placements_by_work.pop(ended.work_id, None)
    if placement is None:
        return state
    lengths = state.lengths
    if ended.finished:
        lengths = lengths.observe(placement.work.shape, ended.produced)
        lengths = lengths.observe(placement.upstream, ended.produced)
    return replace(
        state, placements_by_work=placements_by_work, lengths=lengths
    )
