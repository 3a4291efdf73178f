"""Work that may have to end before its instance does."""

from dataclasses import dataclass

from cartdale.clock import Millis


@dataclass(frozen=True, slots=True)
class PlainWork:
    """A request whose response is passed on once it is complete.

    :param ends_at: time limit of the request.
    :param answer_time: time of a response that few exceed, in milliseconds;
        ``None`` if its service has not responded yet.
    """

    ends_at: Millis
    answer_time: float | None


@dataclass(frozen=True, slots=True)
class StreamWork:
    """A streamed generation.

    :param ends_at: time limit of the request.
    :param read_time: mean time until the prompt is read, in milliseconds.
    :param tokens: number of tokens that it hardly ever exceeds; ``None`` if
        nothing bounds them.
    :param token_time: usual time of a token, in milliseconds.
    """

    ends_at: Millis
    read_time: float
    tokens: int | None
    token_time: float


Work = PlainWork | StreamWork
