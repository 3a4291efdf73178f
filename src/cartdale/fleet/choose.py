"""Choose an upstream for a request, by memory, reading and health."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.fleet.loads import Load
from cartdale.fleet.types import FleetState, Lifecycle, Upstream
from cartdale.routes.types import ServiceSpec

#: Part of the expected growth of running generations that is kept free: they
#: are at different ages, so their peaks don't fall together.
GROWTH_RESERVED = 0.6
#: Part of an engine's memory that placement fills at most.
MEMORY_FILLED = 0.95
#: Prompt tokens that may wait to be read at an engine before a request; at
#: about 7 tokens a millisecond this is a second.
READING_LIMIT = 8000
#: What counts against an upstream, in shares of its capacity.
_FAILING_COST = 2
_COLD_COST = 0.5
_LAPSED_COST = 0.5
_FAR_COST = 0.05
_READING_COST = 0.5
_JITTER = 0.02
#: Upstreams among which the best is chosen: all of a small system's.
_CONSIDERED = 7


@dataclass(frozen=True, slots=True)
class Need:
    """Describe what a request takes.

    :param prompt: tokens to read, 0 for a plain request.
    :param expected: tokens that it is expected to make.
    :param excluded: upstreams that must not be chosen.
    :param far_cost: what another failure domain counts, in capacity.
    :param filled: part of an engine's memory that may be filled.
    :param reserved: part of the expected growth that must fit as well.
    """

    service: str
    prompt: int = 0
    expected: int = 0
    excluded: frozenset[str] = frozenset()
    far_cost: float = _FAR_COST
    filled: float = MEMORY_FILLED
    reserved: float = GROWTH_RESERVED


@dataclass(frozen=True, slots=True)
class Surroundings:
    """Hold what a choice is made from.

    :param failure_domain: where the chooser runs, or the engine that a
        generation is moved from.
    """

    spec: ServiceSpec
    loads_by_upstream: Mapping[str, Load]
    failure_domain: str
    now: Millis


def list_candidates(state: FleetState, need: Need) -> list[Upstream]:
    """Return the upstreams of the service that take new work."""
    return [
        upstream
        for name, upstream in state.upstreams_by_id.items()
        if upstream.entry.service == need.service
        and upstream.lifecycle is not Lifecycle.LEAVING
        and name not in need.excluded
    ]


def choose(
    candidates: Iterable[Upstream],
    need: Need,
    around: Surroundings,
    generator: random.Random,
) -> Upstream | None:
    """Return an upstream that has room, or ``None``.

    The best of a few picked at random, or of all where none of these has
    room: many instances decide from the same news, some 0.1 s old, and
    would all take the best of all (Mitzenmacher, The Power of Two Choices
    in Randomized Load Balancing, 2001).
    """
    listed = _prefer_answering(candidates, around.now)
    few = generator.sample(listed, min(len(listed), _CONSIDERED))
    best = _choose_best(few, need, around, generator)
    if best is None and len(few) < len(listed):
        return _choose_best(listed, need, around, generator)
    return best


def _choose_best(
    listed: Iterable[Upstream],
    need: Need,
    around: Surroundings,
    generator: random.Random,
) -> Upstream | None:
    best: Upstream | None = None
    least = float('inf')
    for upstream in listed:
        load = around.loads_by_upstream.get(upstream.entry.upstream, Load())
        if not _has_room(upstream, load, need, around.spec):
            continue
        cost = _cost(upstream, load, need, around)
        cost += generator.random() * _JITTER
        if cost < least:
            best, least = upstream, cost
    return best


def _prefer_answering(
    candidates: Iterable[Upstream], now: Millis
) -> list[Upstream]:
    listed = list(candidates)
    answering = [each for each in listed if each.avoided_until <= now]
    return answering or listed


def _has_room(
    upstream: Upstream, load: Load, need: Need, spec: ServiceSpec
) -> bool:
    if load.runs >= upstream.entry.slots:
        return False
    if spec.engine is None:
        return True
    if not load.runs and need.filled >= MEMORY_FILLED:
        return True
    if (
        need.reserved
        and load.reading
        and load.reading + need.prompt > READING_LIMIT
    ):
        return False
    wanted = need.prompt + need.reserved * (need.expected + load.growth)
    room = need.filled * spec.engine.memory_tokens
    return load.tokens + wanted <= room


def _cost(
    upstream: Upstream, load: Load, need: Need, around: Surroundings
) -> float:
    engine = around.spec.engine
    if engine is None:
        cost = (load.runs + 1) / upstream.entry.slots
    else:
        held = load.tokens + GROWTH_RESERVED * load.growth
        cost = held / engine.memory_tokens
        cost += _READING_COST * load.reading / READING_LIMIT
    cost += _FAILING_COST * upstream.failing
    if upstream.warm_at > around.now:
        cost += _COLD_COST
    if upstream.lifecycle is Lifecycle.LAPSED:
        cost += _LAPSED_COST
    if upstream.entry.failure_domain != around.failure_domain:
        cost += need.far_cost
    return cost
