"""Messages, state and actions of the delivery state machine."""

from dataclasses import dataclass
from enum import StrEnum

from cartdale.clock import SECOND_MS, Millis
from cartdale.engines.types import StreamStatus
from cartdale.problems.types import Problem

#: Silence after which the engine's status is queried.
SILENCE_MS: Millis = 2 * SECOND_MS
#: Time after which an unresponsive engine counts as lost.
LOST_ENGINE_MS: Millis = 5 * SECOND_MS
#: Time after which an engine that refuses connections counts as lost.
REFUSING_ENGINE_MS: Millis = SECOND_MS
#: Delay before a failed attach is retried.
REATTACH_PAUSE_MS: Millis = 200


class Phase(StrEnum):
    """Phase of a delivery."""

    STARTING = 'starting'
    STREAMING = 'streaming'
    LINK_DOWN = 'link_down'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class StreamState:
    """State of one delivery.

    :param generation: the only generation that may be delivered.
    :param upstream: engine that runs it.
    :param delivered: tokens of this response that the caller has.
    :param resumed_at: tokens the caller had when it resumed here.
    :param received: tokens received on the current link; smaller than
        ``delivered`` while a repeated run reproduces the prefix.
    :param progress_at: time of the last token, or of the start.
    :param link_lost_at: time since which no link works; 0 while one does.
    :param may_repeat: whether the request may run a second time.
    :param sent: whether any engine may have begun to run it.
    :param start_pending: whether the first run's start is unanswered, so that
        its refusal would prove that no engine has begun.
    """

    generation: str
    upstream: str
    progress_at: Millis
    may_repeat: bool
    phase: Phase = Phase.STARTING
    delivered: int = 0
    resumed_at: int = 0
    received: int = 0
    link_lost_at: Millis = 0
    sent: bool = False
    start_pending: bool = False
    repeats: int = 0


@dataclass(frozen=True, slots=True)
class ChunkArrived:
    """The engine sent the chunk that ends at token ``offset``."""

    generation: str
    offset: int


@dataclass(frozen=True, slots=True)
class StreamCompleted:
    """The engine sent its end marker."""


@dataclass(frozen=True, slots=True)
class LinkBroke:
    """The link failed after the request was sent."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The engine could not be reached; nothing was sent."""


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The engine refused the request without running it.

    :param backoff: back-off that it requested; 0 for none.
    """

    backoff: Millis = 0


@dataclass(frozen=True, slots=True)
class GenerationLost:
    """The engine is alive and does not know the generation."""


@dataclass(frozen=True, slots=True)
class StatusArrived:
    """The engine reported its status; ``None`` if it did not respond."""

    status: StreamStatus | None


@dataclass(frozen=True, slots=True)
class SilenceElapsed:
    """No chunk arrived for ``SILENCE_MS``."""


@dataclass(frozen=True, slots=True)
class PrefixDiffers:
    """A repeated run did not reproduce the delivered chunks."""


@dataclass(frozen=True, slots=True)
class Deliver:
    """Write the chunk to the caller."""


@dataclass(frozen=True, slots=True)
class Protect:
    """Raise the generation's priority on its engine.

    :param steps: priority steps above its initial priority.
    """

    steps: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Compare the chunk with the delivered chunks."""


@dataclass(frozen=True, slots=True)
class Attach:
    """Open a new link to the same generation.

    :param offset: number of tokens that the engine need not send again.
    :param pause: delay before the attempt, in milliseconds.
    """

    offset: int
    pause: Millis = 0


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Query the engine's status on a new connection."""


@dataclass(frozen=True, slots=True)
class Restart:
    """Run the request again, on another engine if possible."""


@dataclass(frozen=True, slots=True)
class Finish:
    """Signal to the caller that the response is complete."""


@dataclass(frozen=True, slots=True)
class Fail:
    """End the response with a typed problem."""

    problem: Problem


Message = (
    ChunkArrived
    | StreamCompleted
    | LinkBroke
    | NotSent
    | StartRefused
    | GenerationLost
    | StatusArrived
    | SilenceElapsed
    | PrefixDiffers
)
Action = (
    Deliver | Protect | Compare | Attach | AskStatus | Restart | Finish | Fail
)
Decision = tuple[StreamState, tuple[Action, ...]]
