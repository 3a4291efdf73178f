"""Choose an engine by the memory-aware policy or a baseline policy."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import assert_never

from cartdale.clock import Millis
from cartdale.declarations.types import PolicyName, Weights
from cartdale.invariants import MEMORY_BOUND, check_invariant
from cartdale.routing.forecast import (
    Forecast,
    forecast_engine,
    forecast_work,
)
from cartdale.routing.lengths import LengthStatistics
from cartdale.routing.types import (
    EngineView,
    Placement,
    RoutingState,
    ServiceView,
    Work,
)

#: Share of an engine's memory that placements may fill.
MEMORY_SHARE = 0.97
#: Safety margin in standard deviations of memory: the base for weights of
#: zero, and the additions per unit of weight.
_MARGIN_BASE = 0.5
_MARGIN_PER_STALL_WEIGHT = 1.2
_MARGIN_PER_PREEMPTION_WEIGHT = 2
#: Score credit of a cached prefix, as a share of load per 1,000 tokens.
_PREFIX_CREDIT = 0.15
_PREFIX_UNIT_TOKENS = 1000
#: Step time at which the tail-time weight costs one unit of score.
_STEP_SCALE_MS = 100


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """An engine and its memory forecast."""

    view: EngineView
    forecast: Forecast


@dataclass(frozen=True, slots=True, order=True)
class _Choice:
    """Score of an engine; the smallest score is the best.

    :param filled: used share of the memory available to placements, with
        the work added.
    """

    score: float
    upstream: str
    filled: float


def compute_memory_margin(weights: Weights) -> float:
    """Return the safety margin in standard deviations of memory.

    A preemption causes a stall too, so both weights add to the margin. The
    preemption weight adds more, at the cost of waiting before the start.
    """
    return (
        _MARGIN_BASE
        + _MARGIN_PER_STALL_WEIGHT * weights.stall_time
        + _MARGIN_PER_PREEMPTION_WEIGHT * weights.preemptions
    )


def list_candidates(
    state: RoutingState, service: ServiceView, work: Work, now: Millis
) -> list[EngineView]:
    """Return the engines that may take work now.

    Work that failed on every engine may return to one of them once its
    exclusion is over.
    """
    avoid = set(work.avoid)
    if avoid.issuperset(service.upstreams):
        avoid.clear()
    candidates: list[EngineView] = []
    for upstream in service.upstreams:
        view = state.engines_by_upstream.get(upstream)
        if view is None or view.draining or view.excluded_until > now:
            continue
        if upstream in avoid or (work.within and upstream not in work.within):
            continue
        candidates.append(view)
    return candidates


def forecast_candidates(
    state: RoutingState, views: list[EngineView], now: Millis
) -> list[EngineCandidate]:
    """Forecast each engine once."""
    placements_by_upstream: dict[str, list[Placement]] = {}
    for placement in state.placements_by_work.values():
        placements_by_upstream.setdefault(placement.upstream, []).append(
            placement
        )
    return [
        EngineCandidate(
            view,
            forecast_engine(
                view,
                placements_by_upstream.get(view.upstream, ()),
                state.lengths,
                now,
            ),
        )
        for view in views
    ]


def choose_memory_aware(
    candidates: list[EngineCandidate],
    work: Work,
    weights: Weights,
    lengths: LengthStatistics,
) -> str | None:
    """Return the best engine with enough memory for the work, if any."""
    added = forecast_work(work, lengths)
    deviations = compute_memory_margin(weights)
    best: _Choice | None = None
    for candidate in candidates:
        memory = candidate.view.memory_tokens * MEMORY_SHARE
        filled = candidate.forecast.add(added).peak(deviations) / memory
        if not _fits(filled):
            continue
        score = filled + _step_cost(candidate.view, weights)
        score -= _prefix_credit(candidate.view, work)
        choice = _Choice(score, candidate.view.upstream, filled)
        best = min(best or choice, choice)
    if best is None:
        return None
    check_invariant(
        MEMORY_BOUND,
        holds=best.filled <= 1,
        detail=f'{work.work_id} fills {best.upstream} to {best.filled:.2f}',
    )
    return best.upstream


def _fits(filled: float) -> bool:
    return filled <= 1


def choose_baseline(
    state: RoutingState, name: PolicyName, views: list[EngineView]
) -> str:
    """Return the engine that a baseline policy chooses.

    Baselines ignore memory and never leave work in the queue.

    :param views: at least one engine.
    """
    generator = random.Random(f'{state.seed}:{state.draws}')
    match name:
        case PolicyName.RANDOM:
            return generator.choice(views).upstream
        case PolicyName.ROUND_ROBIN:
            return views[(state.draws + state.seed) % len(views)].upstream
        case PolicyName.LEAST_REQUESTS:
            return _least_loaded(views, state.placements_by_work)
        case PolicyName.POWER_OF_TWO:
            pair = generator.sample(views, min(2, len(views)))
            return _least_loaded(pair, state.placements_by_work)
        case PolicyName.MEMORY_AWARE:
            return _least_loaded(views, state.placements_by_work)
        case _:
            assert_never(name)


def _least_loaded(
    views: list[EngineView], placements_by_work: Mapping[str, Placement]
) -> str:
    counts_by_upstream: dict[str, int] = {}
    for placement in placements_by_work.values():
        earlier = counts_by_upstream.get(placement.upstream, 0)
        counts_by_upstream[placement.upstream] = earlier + 1
    best: tuple[int, str] | None = None
    for view in views:
        reported = 0
        if view.report is not None:
            reported = view.report.running + view.report.waiting
        own = counts_by_upstream.get(view.upstream, 0)
        rank = (max(reported, own), view.upstream)
        best = min(best or rank, rank)
    return best[1] if best else ''


def _step_cost(view: EngineView, weights: Weights) -> float:
    if view.report is None:
        return 0
    return weights.tail_time * view.report.step_ms / _STEP_SCALE_MS


def _prefix_credit(view: EngineView, work: Work) -> float:
    if not work.prefix or work.prefix not in view.prefixes:
        return 0
    return _PREFIX_CREDIT * work.prefix_tokens / _PREFIX_UNIT_TOKENS
