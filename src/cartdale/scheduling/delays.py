"""Estimate how long work takes at an engine of known speed, and what it delays.

A step of an engine makes one token of each generation. It takes longer at a
slow engine, longer while the engine's host is busy with other work, and about
twice as long while a prompt is read. An event is passed on after some steps, so
that an engine may be fast enough on average and still pause for longer than the
callers of its streams accept. Such pauses are counted here as streams that are
expected to be late.
"""

from dataclasses import dataclass
from math import exp

from cartdale.clock import Millis
from cartdale.scheduling.loads import Load
from cartdale.speeds.types import UpstreamSpeed

#: Time of a step while a prompt is read, relative to one without.
READING_STEP = 2


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """Hold what is known of the time of events at one engine.

    :param token_time: milliseconds per token at the service's mean engine
        under usual conditions.
    :param event_tokens: tokens per event.
    :param target_gap: maximum pause between events; 0 for none.
    :param reading_share: share of the recent time in which it read prompts.
    """

    speed: UpstreamSpeed
    token_time: float
    event_tokens: int
    target_gap: Millis
    reading_share: float = 0

    @property
    def event_time(self) -> float:
        """Return the milliseconds per event under usual conditions."""
        return self.event_tokens * self.token_time * self.speed.factor

    def passes_gap(self, slowness: float, *, reading: bool) -> bool:
        """Tell whether an event takes longer than the accepted pause.

        :param slowness: time that work takes, relative to the usual.
        :param reading: whether a prompt is read at the same time.
        """
        if not self.target_gap:
            return False
        step = READING_STEP if reading else 1
        return self.event_time * slowness * step > self.target_gap

    @property
    def bears_reading(self) -> bool:
        """Tell whether streams stay in time while prompts are read beside."""
        return not self.passes_gap(self.speed.peak, reading=True)


def expect_late(timing: EngineTiming, events: float) -> float:
    """Return the chance that a stream of so many events is late there, 0 to 1.

    It is late if one of its events falls into conditions under which events
    take longer than the accepted pause.
    """
    exposed = _share_too_slow(timing, reading=True) * timing.reading_share
    exposed += _share_too_slow(timing, reading=False) * (
        1 - timing.reading_share
    )
    return 1 - exp(-events * exposed)


def expect_made_late(timing: EngineTiming, load: Load) -> float:
    """Return how many streams are expected to be late by reading a prompt."""
    if timing.passes_gap(timing.speed.slowness, reading=True):
        return load.long
    return load.long * _share_too_slow(timing, reading=True)


def _share_too_slow(timing: EngineTiming, *, reading: bool) -> float:
    """Return the share of the time in which events take too long, 0 to 1."""
    if timing.passes_gap(1, reading=reading):
        return 1
    if timing.passes_gap(timing.speed.peak, reading=reading):
        return timing.speed.slow_share
    return 0
