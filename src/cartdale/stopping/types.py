"""Work that may have to end before its instance does."""

from dataclasses import dataclass

from cartdale.clock import Millis


@dataclass(frozen=True, slots=True)
class PlainWork:
    """A request whose response is passed on once it is complete.

    :param ends_at: time limit of the request.
    :param answer_time: time of a response that few exceed, in milliseconds.
    :param is_timed: whether that was observed, not assumed.
    :param is_repeatable: whether it may run again elsewhere once it was cut.
    """

    ends_at: Millis
    answer_time: float
    is_timed: bool = True
    is_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class StreamWork:
    """A streamed generation.

    :param ends_at: time limit of the request.
    :param read_time: mean time until the prompt is read, in milliseconds.
    :param tokens: number of tokens that it hardly ever exceeds; ``None`` if
        nothing bounds them.
    :param token_time: usual time of a token, in milliseconds.
    :param is_timed: whether that was observed, not assumed.
    :param is_repeatable: whether it may run again elsewhere once it was cut.
    """

    ends_at: Millis
    read_time: float
    tokens: int | None
    token_time: float
    is_timed: bool = True
    is_repeatable: bool = True


Work = PlainWork | StreamWork


@dataclass(frozen=True, slots=True)
class Schedule:
    """The times of a planned stop.

    :param sure_from: from then on nothing begins by an assumed time.
    :param stops_at: when what still runs is cut.
    :param has_others: whether another instance serves meanwhile.
    """

    sure_from: Millis
    stops_at: Millis
    has_others: bool = False
