"""Update engine views from reports, failures and configurations."""

from dataclasses import replace

from cartdale.clock import SECOND_MS, Millis
from cartdale.model.types import LoadReport
from cartdale.routing.types import (
    EngineView,
    RoutingState,
    TargetsChanged,
)

_INITIAL_EXCLUSION: Millis = SECOND_MS
_MAX_EXCLUSION: Millis = 30_000
_SMOOTHING = 0.3


def receive_load_report(
    state: RoutingState, upstream: str, report: LoadReport, now: Millis
) -> RoutingState:
    """Apply a report, unless it is not newer than the last one."""
    view = state.engines_by_upstream.get(upstream)
    if view is None:
        return state
    if view.report is not None and report.at <= view.report.at:
        return state
    return _update(
        _drop_ended_orphans(state, view, report),
        replace(
            view,
            report=report,
            received_at=now,
            foreign_per_ms=_update_foreign_rate(view, report),
            own_accepted_at_report=view.own_accepted,
            failures=0,
        ),
    )


def _drop_ended_orphans(
    state: RoutingState, view: EngineView, report: LoadReport
) -> RoutingState:
    """Remove the oldest orphans that the engine no longer reports."""
    older = [
        (placement.placed_at, work_id)
        for work_id, placement in state.placements_by_work.items()
        if placement.upstream == view.upstream
        and placement.placed_at < view.received_at
    ]
    excess = len(older) - report.running - report.waiting
    if excess <= 0:
        return state
    placements_by_work = dict(state.placements_by_work)
    for _, work_id in sorted(older):
        if excess and placements_by_work[work_id].orphaned:
            placements_by_work.pop(work_id)
            excess -= 1
    return replace(state, placements_by_work=placements_by_work)


def record_failure(
    state: RoutingState, upstream: str, now: Millis
) -> RoutingState:
    """Exclude an engine temporarily.

    The exclusion doubles with each failure until the next report.
    """
    view = state.engines_by_upstream.get(upstream)
    if view is None:
        return state
    pause = min(_MAX_EXCLUSION, _INITIAL_EXCLUSION << min(view.failures, 8))
    return _update(
        state,
        replace(view, failures=view.failures + 1, excluded_until=now + pause),
    )


def merge_targets(state: RoutingState, targets: TargetsChanged) -> RoutingState:
    """Apply new services and engines; keep the state of known engines."""
    engines_by_upstream: dict[str, EngineView] = {}
    for engine in targets.engines:
        known = state.engines_by_upstream.get(engine.upstream, engine)
        engines_by_upstream[engine.upstream] = replace(
            known,
            memory_tokens=engine.memory_tokens,
            draining=engine.draining,
        )
    services_by_name = {service.name: service for service in targets.services}
    return replace(
        state,
        services_by_name=services_by_name,
        engines_by_upstream=engines_by_upstream,
    )


def _update_foreign_rate(view: EngineView, report: LoadReport) -> float:
    earlier = view.report
    if earlier is None:
        return 0
    own = view.own_accepted - view.own_accepted_at_report
    foreign = max(0, report.accepted - earlier.accepted - own)
    seen = foreign / max(1, report.at - earlier.at)
    return view.foreign_per_ms * (1 - _SMOOTHING) + seen * _SMOOTHING


def _update(state: RoutingState, view: EngineView) -> RoutingState:
    engines_by_upstream = dict(state.engines_by_upstream)
    engines_by_upstream[view.upstream] = view
    return replace(state, engines_by_upstream=engines_by_upstream)
