"""Choose an upstream for a request by memory, prompt processing and health.

An engine processes ("reads") a prompt interleaved with the tokens of the
generations that run beside it, and meanwhile takes about twice as long for each
token. The cost of a choice therefore includes its interference: a prompt slows
down the running generations, and a generation is slowed down by the prompts
that its engine reads. As a result, prompts gather where little is generated,
and long generations where little is read. Delays are counted in prompt tokens,
as the time to read them.

Where upstreams report how fast they are, delays count by the speed of each, and
the cost includes the streams that would pause for too long."""

import random
from collections.abc import Collection, Iterable

from cartdale.clock import Millis
from cartdale.fleet.types import Upstream
from cartdale.scheduling.costs import find_cost, find_risk_cost, make_timing
from cartdale.scheduling.loads import Load
from cartdale.scheduling.pace import Pace
from cartdale.scheduling.types import (
    GROWTH_RESERVED,
    MAX_FILLED_SHARE,
    ChoiceContext,
    RequestNeeds,
)
from cartdale.switches import Mechanism

#: Share of its target latency within which a request's prompt must be read,
#: including the prompts queued before it. The remainder covers the network and
#: the error of the estimate.
READING_SHARE = 0.6
#: Cost of failures and starts from which an upstream is no better choice than
#: one that makes streams pause.
_MAX_PREFERRED_RISK = 0.5
_JITTER = 0.02


def choose(
    candidates: Iterable[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    generator: random.Random,
) -> Upstream | None:
    """Return an upstream with free capacity, or ``None``.

    Chooses the best of a random sample of the candidates, or of all candidates
    if none of the sample has capacity. Many instances decide from the same
    news, about 0.1 s old, and would otherwise all choose the same upstream
    (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001).
    """
    listed = list(candidates)
    if context.switches.is_enabled(Mechanism.AVOIDANCE):
        listed = _prefer_reachable(listed, context.now)
    preferred = _list_in_time(listed, needs, context)
    if preferred:
        best = _choose_from_sample(preferred, needs, context, generator)
        if best is not None:
            return best
    return _choose_from_sample(listed, needs, context, generator)


def _choose_from_sample(
    listed: list[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    generator: random.Random,
) -> Upstream | None:
    considered = len(listed)
    if (
        context.switches.is_enabled(Mechanism.FEW_CHOICES)
        and not needs.compare_all
    ):
        considered = min(considered, context.choices)
    sample = generator.sample(listed, considered)
    best = _choose_best(sample, needs, context, generator)
    if best is None and len(sample) < len(listed):
        return _choose_best(listed, needs, context, generator)
    return best


def _choose_best(
    listed: Iterable[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    generator: random.Random,
) -> Upstream | None:
    best: Upstream | None = None
    lowest_cost = float('inf')
    for upstream in listed:
        load = context.loads_by_upstream.get(upstream.entry.upstream, Load())
        if not _has_capacity(upstream, load, needs, context):
            continue
        cost = find_cost(upstream, load, needs, context)
        cost += generator.random() * _JITTER
        if cost < lowest_cost:
            best, lowest_cost = upstream, cost
    return best


def _prefer_reachable(listed: list[Upstream], now: Millis) -> list[Upstream]:
    reachable = [each for each in listed if each.avoided_until <= now]
    return reachable or listed


def _list_in_time(
    listed: list[Upstream], needs: RequestNeeds, context: ChoiceContext
) -> list[Upstream]:
    """Return the upstreams at which no stream would pause for too long.

    That is where pauses stay short enough while prompts are read, even in slow
    moments, and where nothing runs that a short request's prompt could delay.
    Empty if no upstream reports its speed, or if all are compared anyway.
    """
    if needs.compare_all or not context.speeds_by_upstream:
        return []
    return [
        upstream
        for upstream in listed
        if find_risk_cost(upstream, context.now) <= _MAX_PREFERRED_RISK
        and _stays_in_time(upstream, needs, context)
    ]


def _stays_in_time(
    upstream: Upstream, needs: RequestNeeds, context: ChoiceContext
) -> bool:
    name = upstream.entry.upstream
    load = context.loads_by_upstream.get(name, Load())
    timing = make_timing(name, needs, context)
    if timing is None or timing.bears_reading:
        return True
    return needs.short and not load.long


def _has_capacity(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> bool:
    engine = context.spec.engine
    if load.runs + needs.spare_slots >= upstream.entry.slots:
        return False
    if engine is None:
        return True
    if not load.runs and needs.filled >= MAX_FILLED_SHARE:
        return True
    speed = context.find_speed(upstream)
    if find_reading_delay(load, needs, context.pace, speed.present):
        return False
    return count_missing(load, needs, context) <= 0


def find_reading_delay(
    load: Load, needs: RequestNeeds, pace: Pace, slowness: float = 1
) -> Millis:
    """Return by how much a prompt would miss its reading deadline, or 0.

    :param slowness: time that work takes there, relative to the mean engine.
    """
    if not (needs.read_within and load.reading):
        return 0
    takes = pace.read_time(load.reading + needs.reads) * slowness
    return max(int(takes) - needs.read_within, 0)


def measure_filling(
    candidates: Collection[Upstream], context: ChoiceContext
) -> float:
    """Return the share of the engines' memory that is or will be in use."""
    engine = context.spec.engine
    if engine is None or not candidates:
        return 1
    loads = [
        context.loads_by_upstream.get(upstream.entry.upstream, Load())
        for upstream in candidates
    ]
    taken = sum(load.tokens + GROWTH_RESERVED * load.growth for load in loads)
    return taken / (engine.memory_tokens * len(loads))


def count_missing(
    load: Load, needs: RequestNeeds, context: ChoiceContext
) -> float:
    """Return the memory that an engine lacks for a request, in tokens.

    Zero or negative if the request fits.
    """
    engine = context.spec.engine
    if engine is None:
        return 0
    wanted = needs.prompt + _forecast_growth(load, needs, context.pace)
    return load.tokens + wanted - needs.filled * engine.memory_tokens


def _forecast_growth(load: Load, needs: RequestNeeds, pace: Pace) -> float:
    """Return the additional memory that will be needed, in tokens.

    Running generations grow by a token per step for as long as the request
    stays.
    """
    steps = needs.expected + needs.reads / pace.read_in_step
    others = min(needs.reserved * load.growth, load.runs * steps)
    return needs.reserved * needs.expected + others
