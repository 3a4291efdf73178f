"""Workloads: arrivals, prompts and output lengths of known distributions."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from cartdale.clock import SECOND_MS, Millis
from cartdale.model.types import Hardware

#: Share of requests that are long briefs; the others are short checks.
BRIEF_SHARE = 0.3
LONGEST_OUTPUT = 6000
SHARED_PREFIXES = 8


class Tail(StrEnum):
    """Name a distribution of output lengths."""

    LIGHT = 'light'
    HEAVY = 'heavy'
    DRIFTING = 'drifting'


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe one request.

    :param at: arrival, in milliseconds.
    :param entry: index of the instance that the balancer chose.
    """

    at: Millis
    entry: int
    prompt_tokens: int
    output_tokens: int
    prefix: str


@dataclass(frozen=True, slots=True)
class LogNormal:
    """Describe lengths whose logarithm is normal."""

    median: float
    spread: float

    def draw(self, generator: Random) -> int:
        """Draw a length, in tokens."""
        drawn = generator.lognormvariate(math.log(self.median), self.spread)
        return max(1, min(LONGEST_OUTPUT, int(drawn)))


_CHECK_PROMPT = LogNormal(80, 0.4)
_BRIEF_PROMPT = LogNormal(600, 0.5)
_CHECKS_BY_TAIL = {
    Tail.LIGHT: LogNormal(60, 0.4),
    Tail.HEAVY: LogNormal(50, 0.9),
    Tail.DRIFTING: LogNormal(60, 0.6),
}
_BRIEFS_BY_TAIL = {
    Tail.LIGHT: LogNormal(500, 0.4),
    Tail.HEAVY: LogNormal(500, 1.1),
    Tail.DRIFTING: LogNormal(250, 0.6),
}
#: Factor on the medians in the second half of a drifting run.
_DRIFT = 3
_SAMPLES = 4000


def draw_demand(
    generator: Random, tail: Tail, at: Millis, entries: int, *, drifted: bool
) -> Demand:
    """Draw one request."""
    brief = generator.random() < BRIEF_SHARE
    prompt = (_BRIEF_PROMPT if brief else _CHECK_PROMPT).draw(generator)
    lengths = (_BRIEFS_BY_TAIL if brief else _CHECKS_BY_TAIL)[tail]
    output = lengths.draw(generator)
    if drifted and tail is Tail.DRIFTING:
        output = min(LONGEST_OUTPUT, output * _DRIFT)
    prefix = f'prefix-{generator.randrange(SHARED_PREFIXES)}'
    return Demand(at, generator.randrange(entries), prompt, output, prefix)


def estimate_capacity(hardware: tuple[Hardware, ...], tail: Tail) -> float:
    """Return the requests a second that fill all engines' memory.

    Worked out from the mean memory-time of a request at the step time of a
    batch that fills the memory; the true lengths are used, which no policy
    knows.
    """
    generator = Random(0)
    drawn = [
        draw_demand(generator, tail, 0, 1, drifted=bool(index % 2))
        for index in range(_SAMPLES)
    ]
    steps = sum(demand.output_tokens for demand in drawn) / _SAMPLES
    held = (
        sum(
            demand.output_tokens
            * (demand.prompt_tokens + demand.output_tokens / 2)
            for demand in drawn
        )
        / _SAMPLES
    )
    prompt = sum(demand.prompt_tokens for demand in drawn) / _SAMPLES
    return sum(_capacity_of(one, steps, held, prompt) for one in hardware)


def _capacity_of(
    hardware: Hardware, steps: float, held: float, prompt: float
) -> float:
    batch = hardware.memory_tokens * steps / held
    batch = min(batch, hardware.max_sequences)
    decode = hardware.step_base_ms + hardware.step_per_sequence_ms * batch
    per_request = steps * decode / batch
    per_request += prompt / hardware.prefill_tokens_per_ms
    return SECOND_MS / per_request


def generate_demand(
    generator: Random,
    tail: Tail,
    per_second: float,
    duration: Millis,
    entries: int,
) -> Iterator[Demand]:
    """Yield Poisson arrivals in order of time."""
    at = float(0)
    while True:
        at += generator.expovariate(per_second) * SECOND_MS
        if at >= duration:
            return
        drifted = at > duration / 2
        yield draw_demand(generator, tail, int(at), entries, drifted=drifted)
