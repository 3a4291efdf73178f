"""Measure the free slots and memory of the engines of a service."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from operator import attrgetter

from cartdale.fleet.types import Upstream
from cartdale.scheduling.loads import Load
from cartdale.scheduling.types import (
    GROWTH_RESERVED,
    MAX_FILLED_SHARE,
    ChoiceContext,
)


@dataclass(frozen=True, slots=True)
class EngineRoom:
    """Describe the room at one engine.

    :param slots: requests that it can run in addition.
    :param tokens: memory that is not needed by running requests; infinite for
        a plain upstream.
    """

    slots: int
    tokens: float


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """Describe the room of all engines, those with the most memory first.

    :param memory: tokens of an engine's memory; 0 for plain upstreams.
    :param runs: requests that run at them.
    :param held: memory that these hold.
    :param slots: requests that the engines can run in total.
    """

    engines: tuple[EngineRoom, ...] = ()
    memory: int = 0
    runs: int = 0
    held: int = 0
    slots: int = 0


def measure_room(
    candidates: Iterable[Upstream], context: ChoiceContext
) -> ServiceRoom:
    """Return the room at some engines."""
    engine = context.spec.engine
    memory = engine.memory_tokens if engine else 0
    rooms: list[EngineRoom] = []
    runs, held, slots = 0, 0, 0
    for upstream in candidates:
        load = context.loads_by_upstream.get(upstream.entry.upstream, Load())
        runs += load.runs
        held += load.tokens
        slots += upstream.entry.slots
        taken = load.tokens + GROWTH_RESERVED * load.growth
        free = MAX_FILLED_SHARE * memory - taken if memory else inf
        rooms.append(EngineRoom(upstream.entry.slots - load.runs, free))
    rooms.sort(key=attrgetter('tokens', 'slots'), reverse=True)
    return ServiceRoom(tuple(rooms), memory, runs, held, slots)
