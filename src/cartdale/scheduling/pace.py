"""Estimate how fast the engines of a service read and generate.

Engines don't report their speed: a step takes longer with each concurrent
request, and twice as long while a prompt is read. The timing of the events of
generations is averaged, so that the estimate follows the present engines.
"""

from dataclasses import dataclass, replace

from cartdale.clock import Millis

#: Weight of one generation in the averages: the last twenty or so dominate.
_WEIGHT = 0.05
#: Minimum number of events of a generation to estimate the time of a token.
_MIN_EVENTS = 10


@dataclass(frozen=True, slots=True)
class Pace:
    """Hold the averages; the defaults apply before the first observation.

    :param reading: prompt tokens read per millisecond, including those of other
        prompts that were read before.
    :param token_time: milliseconds that a token takes.
    :param answer_time: milliseconds that a plain answer takes.
    """

    reading: float = 7
    token_time: float = 9
    answer_time: float = 60

    @property
    def read_in_step(self) -> float:
        """Return the prompt tokens read in the time to generate one token."""
        return self.reading * self.token_time

    def read_time(self, tokens: int) -> float:
        """Return the time to read a prompt, in milliseconds."""
        return tokens / self.reading


@dataclass(frozen=True, slots=True)
class Progress:
    """Describe the timing of one generation at one engine.

    :param read: tokens of its prompt and of the prompts queued before it.
    :param first_after: time from sending to its first event.
    :param events: number of events after the first.
    :param span: time from its first event to its last.
    :param event_tokens: tokens per event.
    """

    read: int
    first_after: Millis
    events: int
    span: Millis
    event_tokens: int


def learn(pace: Pace, progress: Progress) -> Pace:
    """Return the averages updated by one generation."""
    if progress.read and progress.first_after:
        rate = progress.read / progress.first_after
        pace = replace(pace, reading=_mix(pace.reading, rate))
    if progress.events >= _MIN_EVENTS and progress.span:
        took = progress.span / (progress.events * progress.event_tokens)
        pace = replace(pace, token_time=_mix(pace.token_time, took))
    return pace


def learn_answer(pace: Pace, took: Millis) -> Pace:
    """Return the averages updated by one plain response."""
    return replace(pace, answer_time=_mix(pace.answer_time, max(took, 1)))


def _mix(average: float, observed: float) -> float:
    return average + _WEIGHT * (observed - average)
