"""Cost of an upstream for a request, in shares of the upstream's capacity."""

from cartdale.clock import Millis
from cartdale.fleet.health import find_failing
from cartdale.fleet.types import Lifecycle, Upstream
from cartdale.scheduling.delays import (
    EngineTiming,
    expect_late,
    expect_made_late,
)
from cartdale.scheduling.loads import Load
from cartdale.scheduling.types import (
    GROWTH_RESERVED,
    ChoiceContext,
    RequestNeeds,
)
from cartdale.switches import Mechanism

#: Share of a prompt's reading time by which each concurrent generation is
#: delayed: a step takes about twice as long while a prompt is read.
_READING_SLOWDOWN = 0.5
#: Cost of reading a prompt as large as an engine's memory, relative to the cost
#: of a full memory. A full memory preempts its newest generations, so that part
#: of it is read again; a memory with free space costs nothing.
_DELAY_WEIGHT = 2
#: Costs of the state of an upstream.
_FAILING_COST = 2
_COLD_COST = 0.5
_LAPSED_COST = 0.5
#: Bonus of an upstream whose rate limit may have ended: only a response shows
#: that, and there is none without a request. Equal to the cost of failing a
#: quarter of the requests.
_LIMIT_RECHECK_BONUS = 0.5
#: Cost of a stream that pauses for too long: as much as of a full memory, which
#: preempts a generation and so makes one late too.
_LATE_STREAM_COST = 1


def find_cost(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> float:
    engine = context.spec.engine
    speed = context.find_speed(upstream)
    if engine is None:
        cost = _plain_cost(upstream, load, context)
    else:
        held = load.tokens + GROWTH_RESERVED * load.growth + needs.prompt
        cost = (held / engine.memory_tokens) ** 2
        if context.switches.is_enabled(Mechanism.INTERFERENCE):
            delay = _interference_delay(upstream, load, needs, context)
            delay *= speed.present
            cost += _DELAY_WEIGHT * delay / engine.memory_tokens
            cost += _pause_cost(upstream, load, needs, context)
    if context.switches.is_enabled(Mechanism.AVOIDANCE):
        cost += find_risk_cost(upstream, context.now)
    if upstream.entry.failure_domain != context.failure_domain:
        cost += needs.far_cost
    if upstream.rate_limit.may_have_ended(context.now):
        cost -= _LIMIT_RECHECK_BONUS
    return cost


def _plain_cost(
    upstream: Upstream, load: Load, context: ChoiceContext
) -> float:
    """Return the cost of the work at a plain upstream, 0 to 1.

    This instance knows its own requests; the upstream reported those of all. A
    full queue costs no more than failed requests do.
    """
    slots = upstream.entry.slots
    if not context.speeds_by_upstream:
        return (load.runs + 1) / slots
    # One of unknown speed is compared with others by the same measure.
    speed = context.find_speed(upstream)
    present = load.runs
    if speed.running is not None:
        present = max(present, speed.running + speed.waiting)
    delay = (present + 1) / slots * speed.present
    return delay / (1 + delay)


def _pause_cost(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> float:
    """Return the cost of the streams that would pause for too long."""
    timing = make_timing(upstream.entry.upstream, needs, context)
    if timing is None:
        return 0
    late = expect_late(timing, needs.expected / timing.event_tokens)
    if needs.reads:
        late += expect_made_late(timing, load)
    return _LATE_STREAM_COST * late


def find_risk_cost(upstream: Upstream, now: Millis) -> float:
    """Return the cost of the risk that an upstream fails or is slow."""
    cost = _FAILING_COST * find_failing(upstream, now)
    if upstream.warm_at > now:
        cost += _COLD_COST
    if upstream.lifecycle is Lifecycle.LAPSED:
        cost += _LAPSED_COST
    return cost


def _interference_delay(
    upstream: Upstream, load: Load, needs: RequestNeeds, context: ChoiceContext
) -> float:
    """Return the delay of all affected requests, in prompt tokens."""
    share = context.reading_shares.get(upstream.entry.upstream, 0)
    beside_others = share * needs.expected * context.pace.read_in_step
    if not needs.reads:
        return beside_others
    holds_up = _READING_SLOWDOWN * load.long * needs.reads
    return load.reading + holds_up + beside_others


def make_timing(
    name: str, needs: RequestNeeds, context: ChoiceContext
) -> EngineTiming | None:
    """Return what is known of an engine's time; ``None`` if nothing is."""
    engine = context.spec.engine
    speed = context.speeds_by_upstream.get(name)
    if engine is None or speed is None:
        return None
    return EngineTiming(
        speed,
        speed.token_time or context.pace.token_time,
        engine.event_tokens,
        needs.target_gap,
        context.reading_shares.get(name, 0),
    )
