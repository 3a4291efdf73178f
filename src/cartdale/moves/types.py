"""Messages, state and actions of one generation's moves."""

from dataclasses import dataclass
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.relay.types import CopyFault


class MovePhase(StrEnum):
    """Say where a generation stands."""

    #: It runs at its source; nothing is under way.
    SETTLED = 'settled'
    #: It runs at its source while its memory is copied.
    COPYING = 'copying'
    #: It runs at its source; a copy that is a little old lies at the target.
    COPIED = 'copied'
    #: It runs at its source; a copy lies at the target and is renewed.
    REFRESHING = 'refreshing'
    #: It was told to stop, and the rest of its memory is copied.
    STOPPING = 'stopping'
    #: It stopped; a copy lies at the target.
    AT_TARGET = 'at_target'
    #: It stopped; its memory lies at the source.
    AT_SOURCE = 'at_source'
    #: Its link broke; it is stopped at its source, if it runs on there.
    RESCUING = 'rescuing'
    #: It has ended at its source; a backup lies at another engine.
    AT_BACKUP = 'at_backup'
    #: It can't go on anywhere.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class MoveState:
    """Hold where a generation runs and where it goes.

    :param handle: the newest copy's name; empty for none.
    :param tries: copies that were refused or unanswered at this engine.
    :param renewals: times that its copy was renewed over a busy link.
    :param backup: engine that is kept up to date with its memory.
    """

    source: UpstreamEntry
    phase: MovePhase = MovePhase.SETTLED
    target: UpstreamEntry | None = None
    handle: str = ''
    tries: int = 0
    renewals: int = 0
    backup: UpstreamEntry | None = None


@dataclass(frozen=True, slots=True)
class TargetChosen:
    """The source leaves, and an engine has room for the generation."""

    target: UpstreamEntry


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """A copy is done."""

    handle: str


@dataclass(frozen=True, slots=True)
class LinkQuiet:
    """The source's link is free, so that the rest is copied at once."""


@dataclass(frozen=True, slots=True)
class LinkBusy:
    """Others copy over the source's link, so that a stop would last."""


@dataclass(frozen=True, slots=True)
class CopyRejected:
    """A copy was not made, or its answer was lost.

    :param handle: names the memory that a stopped source keeps.
    """

    fault: CopyFault
    handle: str = ''


@dataclass(frozen=True, slots=True)
class LinkEnded:
    """The stream ended without its end."""


@dataclass(frozen=True, slots=True)
class RescueTarget:
    """An engine was looked for, for a generation whose link broke.

    :param target: ``None`` when no engine has room.
    """

    target: UpstreamEntry | None


@dataclass(frozen=True, slots=True)
class Resumed:
    """The generation goes on where it was sent.

    :param backup: engine that is kept up to date from now on.
    """

    backup: UpstreamEntry | None = None


@dataclass(frozen=True, slots=True)
class ResumeRejected:
    """The engine did not take the generation, and did not run it."""


@dataclass(frozen=True, slots=True)
class Copy:
    """Copy the memory to the target.

    :param last: whether the generation stops first.
    :param pause: how long to wait before.
    """

    last: bool
    pause: Millis = 0


@dataclass(frozen=True, slots=True)
class ChooseAgain:
    """Look for another target."""


@dataclass(frozen=True, slots=True)
class AwaitQuiet:
    """Find out whether the source's link is free."""


@dataclass(frozen=True, slots=True)
class AwaitCopy:
    """Wait for the copy that is under way."""


@dataclass(frozen=True, slots=True)
class ChooseRescue:
    """Look for an engine that can take a generation whose link broke."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Send the request to the engine that holds the memory."""

    upstream: UpstreamEntry


@dataclass(frozen=True, slots=True)
class Cut:
    """End the answer; the generation is lost."""


@dataclass(frozen=True, slots=True)
class BackupLost:
    """The engine of the backup leaves or is gone."""


Message = (
    TargetChosen
    | CopyEnded
    | LinkQuiet
    | LinkBusy
    | CopyRejected
    | LinkEnded
    | RescueTarget
    | Resumed
    | ResumeRejected
    | BackupLost
)
Action = (
    Copy | ChooseAgain | AwaitQuiet | AwaitCopy | ChooseRescue | Resume | Cut
)
Decision = tuple[MoveState, tuple[Action, ...]]
