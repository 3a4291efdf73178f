"""Choose an upstream for a request, by memory, reading and health.

A prompt is read between the tokens of the generations that run beside it, and
about doubles the time of each meanwhile. So a choice costs what it does to all
who are there: a prompt holds up those that generate, and a generation is held
up by the prompts that its engine reads. Prompts so gather where little is
generated, and long generations where little is read. All of it is counted in
prompt tokens, as the time of reading them."""

import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.fleet.loads import Load
from cartdale.fleet.pace import Pace
from cartdale.fleet.types import Lifecycle, Upstream
from cartdale.routes.types import ServiceSpec
from cartdale.switches import Mechanism, Switches

#: Part of the expected growth of running generations that is kept free: they
#: are at different ages, so their peaks don't fall together.
GROWTH_RESERVED = 0.6
#: Part of an engine's memory that placement fills at most.
MAX_FILLED_SHARE = 0.95
#: Part of its target latency in which a request's prompt must be read, after
#: those that wait before it: the rest is for the way, and for the estimate.
READING_SHARE = 0.6
#: Part of a prompt's reading by which each generation beside it is held up: a
#: step takes about twice as long while it reads.
_HELD_UP = 0.5
#: What the reading of an engine's whole memory counts for against a memory that
#: is full. A full one costs its newest generations their memory, and so the
#: reading of a part of it; an emptier one costs nothing.
_DELAY_WEIGHT = 2
#: What counts against an upstream, in shares of its capacity.
_FAILING_COST = 2
_COLD_COST = 0.5
_LAPSED_COST = 0.5
_FAR_COST = 0.05
#: What counts for an upstream whose rate limit may have ended: only an answer
#: tells, and without a request there is none. As much as counts against one
#: that fails a quarter of its requests.
_ASKED_AGAIN_GAIN = 0.5
_JITTER = 0.02
#: Upstreams among which the best is chosen where loads are told at once: all
#: of a small system's.
CHOICES = 7
#: The same where loads are told by failure domains, 0.1 to 0.3 s old: the more
#: choices, the more instances pick the same one meanwhile, and its prompts are
#: read one after another. In a model of 29 arrivals a second at 27 engines
#: (tests/load/test_herd.py) 4.9% of the prompts waited for more than 0.9 s with
#: seven choices, 1.7% with three, 1.8% with two (Mitzenmacher, How Useful Is
#: Old Information?, 2000).
CHOICES_WITH_STALE_LOADS = 3


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """Describe what a request takes.

    :param prompt: memory that it takes at once, in tokens; 0 for a plain
        request.
    :param expected: tokens that it is expected to make.
    :param reads: tokens of its prompt that are read there, none of a copy.
    :param read_within: longest time until its prompt is read; 0 for any.
    :param excluded: upstreams that must not be chosen.
    :param domains: failure domains that the request may enter; ``None`` for
        all of them.
    :param far_cost: what another failure domain counts, in capacity.
    :param filled: part of an engine's memory that may be filled.
    :param reserved: part of the expected growth that must fit as well.
    :param compare_all: look at all upstreams instead of a few.
    :param sends: whether a request follows that is sent there.
    """

    service: str
    prompt: int = 0
    expected: int = 0
    reads: int = 0
    read_within: Millis = 0
    excluded: frozenset[str] = frozenset()
    domains: frozenset[str] | None = None
    far_cost: float = _FAR_COST
    filled: float = MAX_FILLED_SHARE
    reserved: float = GROWTH_RESERVED
    compare_all: bool = False
    sends: bool = True


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """Hold what a choice is made from.

    :param failure_domain: where the chooser runs, or the engine that a
        generation is moved from.
    :param pace: how fast the engines of the service are.
    :param reading_shares: for each engine the part of the time that it read
        prompts of late.
    :param choices: upstreams among which the best is chosen.
    """

    spec: ServiceSpec
    loads_by_upstream: Mapping[str, Load]
    failure_domain: str
    now: Millis
    pace: Pace = Pace()
    reading_shares: Mapping[str, float] = field(default_factory=dict)
    switches: Switches = Switches()
    choices: int = CHOICES


def choose(
    candidates: Iterable[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    generator: random.Random,
) -> Upstream | None:
    """Return an upstream that has room, or ``None``.

    The best of a few picked at random, or of all where none of these has
    room: many instances decide from the same news, some 0.1 s old, and
    would all take the best of all (Mitzenmacher, The Power of Two Choices
    in Randomized Load Balancing, 2001).
    """
    listed = list(candidates)
    if context.switches.is_enabled(Mechanism.AVOIDANCE):
        listed = _prefer_answering(listed, context.now)
    considered = len(listed)
    if (
        context.switches.is_enabled(Mechanism.FEW_CHOICES)
        and not needs.compare_all
    ):
        considered = min(considered, context.choices)
    few = generator.sample(listed, considered)
    best = _choose_best(few, needs, context, generator)
    if best is None and len(few) < len(listed):
        return _choose_best(listed, needs, context, generator)
    return best


def _choose_best(
    listed: Iterable[Upstream],
    needs: RequestNeeds,
    context: ChoiceContext,
    generator: random.Random,
) -> Upstream | None:
    best: Upstream | None = None
    least = float('inf')
    for upstream in listed:
        load = context.loads_by_upstream.get(upstream.entry.upstream, Load())
        if not _has_room(upstream, load, needs, context):
            continue
        cost = _cost(upstream, load, needs, context)
        cost += generator.random() * _JITTER
        if cost < least:
            best, least = upstream, cost
    return best


def _prefer_answering(listed: list[Upstream], now: Millis) -> list[Upstream]:
    answering = [each for each in listed if each.avoided_until <= now]
    return answering or listed


def _has_room(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> bool:
    engine = context.spec.engine
    if load.runs >= upstream.entry.slots:
        return False
    if engine is None:
        return True
    if not load.runs and needs.filled >= MAX_FILLED_SHARE:
        return True
    if reads_after(load, needs, context.pace):
        return False
    return count_missing(load, needs, context) <= 0


def reads_after(load: Load, needs: RequestNeeds, pace: Pace) -> Millis:
    """Return how long after its time a prompt would be read; 0 for in time."""
    if not (needs.read_within and load.reading):
        return 0
    takes = pace.read_time(load.reading + needs.reads)
    return max(int(takes) - needs.read_within, 0)


def measure_filling(
    candidates: Collection[Upstream], context: ChoiceContext
) -> float:
    """Return which part of the memory of some engines is or will be taken."""
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
    """Return the memory that an engine lacks for a request, in tokens."""
    engine = context.spec.engine
    if engine is None:
        return 0
    wanted = needs.prompt + _forecast_growth(load, needs, context.pace)
    return load.tokens + wanted - needs.filled * engine.memory_tokens


def _forecast_growth(load: Load, needs: RequestNeeds, pace: Pace) -> float:
    """Return the memory that is needed beyond the present, in tokens.

    What runs there grows by a token a step for as long as the request stays.
    """
    steps = needs.expected + needs.reads / pace.read_in_step
    others = min(needs.reserved * load.growth, load.runs * steps)
    return needs.reserved * needs.expected + others


def _cost(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> float:
    engine = context.spec.engine
    if engine is None:
        cost = (load.runs + 1) / upstream.entry.slots
    else:
        held = load.tokens + GROWTH_RESERVED * load.growth + needs.prompt
        cost = (held / engine.memory_tokens) ** 2
        if context.switches.is_enabled(Mechanism.INTERFERENCE):
            delay = _count_delay(upstream, load, needs, context)
            cost += _DELAY_WEIGHT * delay / engine.memory_tokens
    if context.switches.is_enabled(Mechanism.AVOIDANCE):
        cost += _count_risk(upstream, context.now)
    if upstream.entry.failure_domain != context.failure_domain:
        cost += needs.far_cost
    if upstream.rate_limit.may_have_ended(context.now):
        cost -= _ASKED_AGAIN_GAIN
    return cost


def _count_risk(upstream: Upstream, now: Millis) -> float:
    """Return what counts against an upstream that may not do its work."""
    cost = _FAILING_COST * upstream.failing
    if upstream.warm_at > now:
        cost += _COLD_COST
    if upstream.lifecycle is Lifecycle.LAPSED:
        cost += _LAPSED_COST
    return cost


def _count_delay(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> float:
    """Return the time that a choice costs all, in prompt tokens."""
    share = context.reading_shares.get(upstream.entry.upstream, 0)
    beside_others = share * needs.expected * context.pace.read_in_step
    if not needs.reads:
        return beside_others
    holds_up = _HELD_UP * load.long * needs.reads
    return load.reading + holds_up + beside_others
