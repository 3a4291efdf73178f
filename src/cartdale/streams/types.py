"""Messages, state and actions of one answer's delivery."""

from dataclasses import dataclass
from enum import StrEnum

from cartdale.clock import SECOND_MS, Millis
from cartdale.engines.types import StreamStatus
from cartdale.problems.types import Problem

#: Silence after which the engine is asked what it is doing.
SILENCE_MS: Millis = 2 * SECOND_MS
#: Longest wait for an engine that answers nothing at all.
LOST_ENGINE_MS: Millis = 5 * SECOND_MS
#: Longest wait for an engine whose machine refuses connections.
REFUSING_ENGINE_MS: Millis = SECOND_MS
#: Pause before a failed attach is tried again.
REATTACH_PAUSE_MS: Millis = 200


class Phase(StrEnum):
    """Say where the delivery stands."""

    STARTING = 'starting'
    STREAMING = 'streaming'
    LINK_DOWN = 'link_down'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class StreamState:
    """Hold one answer's delivery.

    :param generation: the only generation that may be delivered.
    :param upstream: engine that runs it.
    :param delivered: tokens the caller has, all from this answer.
    :param resumed_at: tokens the caller had when it came here.
    :param received: tokens seen on the current link; smaller than
        ``delivered`` while a repeated run reproduces the prefix.
    :param progress_at: last time a token arrived, or the start.
    :param link_lost_at: since when no link works; 0 while one does.
    :param may_repeat: whether the request may run a second time.
    :param sent: whether any engine may have begun to run it.
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
    repeats: int = 0


@dataclass(frozen=True, slots=True)
class ChunkArrived:
    """The engine sent the chunk that ends at token ``offset``."""

    generation: str
    offset: int


@dataclass(frozen=True, slots=True)
class StreamCompleted:
    """The engine sent its end mark."""


@dataclass(frozen=True, slots=True)
class LinkBroke:
    """The link failed after something was sent."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The engine could not be reached; nothing was sent."""


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The engine refused before running.

    :param backoff: how long it wants no requests; 0 when it does not say.
    """

    backoff: Millis = 0


@dataclass(frozen=True, slots=True)
class GenerationLost:
    """The engine is alive and does not know the generation."""


@dataclass(frozen=True, slots=True)
class StatusArrived:
    """The engine said what it does; ``None`` when it did not answer."""

    status: StreamStatus | None


@dataclass(frozen=True, slots=True)
class SilenceElapsed:
    """No chunk came for a while."""


@dataclass(frozen=True, slots=True)
class PrefixDiffers:
    """A repeated run did not reproduce what the caller already has."""


@dataclass(frozen=True, slots=True)
class Deliver:
    """Write the chunk to the caller."""


@dataclass(frozen=True, slots=True)
class Protect:
    """Raise the generation's priority on its engine.

    :param steps: how far above the priority it started with.
    """

    steps: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Check the chunk against what the caller already has."""


@dataclass(frozen=True, slots=True)
class Attach:
    """Open a new link to the same generation.

    :param offset: tokens not to send again.
    :param pause: wait before trying, in milliseconds.
    """

    offset: int
    pause: Millis = 0


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask the engine on a fresh connection what it does."""


@dataclass(frozen=True, slots=True)
class Restart:
    """Run the request again, on another engine if there is one."""


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the caller that the answer is whole."""


@dataclass(frozen=True, slots=True)
class Fail:
    """End the answer with a typed problem."""

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
