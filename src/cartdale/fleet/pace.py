"""Learn how fast the engines of a service read and generate.

Nothing of this is told: an engine's step takes longer with each request that
runs beside, and twice as long while a prompt is read. What a generation's own
events show is averaged, so that the figures follow the engines that are there.
"""

from dataclasses import dataclass, replace

from cartdale.clock import Millis

#: Weight of one generation in the averages: about twenty of them decide.
_WEIGHT = 0.05
#: Events that a generation must have made to tell how long a token takes.
_FEWEST_EVENTS = 10


@dataclass(frozen=True, slots=True)
class Pace:
    """Hold the averages; the start values serve until the first are seen.

    :param reading: prompt tokens that are read in a millisecond, those of
        others that were read before included.
    :param token_time: milliseconds that a token takes.
    :param answer_time: milliseconds that a plain answer takes.
    """

    reading: float = 7
    token_time: float = 9
    answer_time: float = 60

    @property
    def read_in_step(self) -> float:
        """Return the prompt tokens that are read in the time of one token."""
        return self.reading * self.token_time

    def read_time(self, tokens: int) -> float:
        """Return how many milliseconds the reading of a prompt takes."""
        return tokens / self.reading


@dataclass(frozen=True, slots=True)
class Progress:
    """Tell how one generation went at one engine.

    :param read: tokens of its prompt, and of those that it waited behind.
    :param first_after: from its sending to its first event.
    :param events: events after the first.
    :param span: from its first event to its last.
    :param event_tokens: tokens that an event holds.
    """

    read: int
    first_after: Millis
    events: int
    span: Millis
    event_tokens: int


def learn(pace: Pace, progress: Progress) -> Pace:
    """Return the averages with one more generation in them."""
    if progress.read and progress.first_after:
        rate = progress.read / progress.first_after
        pace = replace(pace, reading=_mix(pace.reading, rate))
    if progress.events >= _FEWEST_EVENTS and progress.span:
        took = progress.span / (progress.events * progress.event_tokens)
        pace = replace(pace, token_time=_mix(pace.token_time, took))
    return pace


def learn_answer(pace: Pace, took: Millis) -> Pace:
    """Return the averages with one more plain answer in them."""
    return replace(pace, answer_time=_mix(pace.answer_time, max(took, 1)))


def _mix(average: float, seen: float) -> float:
    return average + _WEIGHT * (seen - average)
