"""Messages, state and actions of one generation's moves."""

from dataclasses import dataclass
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.relay.run_state import RunState
from cartdale.relay.types import CopyFault


class MovePhase(StrEnum):
    """The phase of a generation's move."""

    #: It runs at its source; no move is in progress.
    SETTLED = 'settled'
    #: It runs at its source while its memory is copied.
    COPYING = 'copying'
    #: It runs at its source; the target holds a slightly older copy.
    COPIED = 'copied'
    #: It runs at its source; the target holds a copy that is being renewed.
    REFRESHING = 'refreshing'
    #: It was told to stop, and the remaining memory is copied.
    STOPPING = 'stopping'
    #: It stopped; the target holds its memory.
    AT_TARGET = 'at_target'
    #: It stopped; the source holds its memory.
    AT_SOURCE = 'at_source'
    #: Its link broke; it is being stopped at its source, if it still runs.
    RESCUING = 'rescuing'
    #: It ended at its source, or the source doesn't answer a request to stop
    #: it; the target holds a slightly older copy.
    AT_COPY = 'at_copy'
    #: It ended at its source; another engine holds a backup.
    AT_BACKUP = 'at_backup'
    #: It can't be resumed anywhere.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class MoveState:
    """The engines of a generation, and the phase of its move.

    :param handle: handle of the newest copy; empty for none.
    :param tries: copies refused or unanswered at this engine; those of a
        rescue are counted anew.
    :param renewals: renewals of its copy over a busy link.
    :param refused: whether its source refused the latest request of a rescue
        to stop it.
    :param unconfirmed: whether its source answered a request to stop it that it
        has no such run, and no report has shown yet that none waits there.
    :param link_open: whether its link is silent, but still open.
    :param backup: engine that holds an up-to-date backup of its memory.
    :param backup_events: events that the source had sent as its link ended;
        after a few only, its backup is not resumed from, unless it lived on.
    :param outlived: whether the source was seen to live on after its link had
        ended, so that the request did not end it.
    """

    source: UpstreamEntry
    phase: MovePhase = MovePhase.SETTLED
    target: UpstreamEntry | None = None
    handle: str = ''
    tries: int = 0
    renewals: int = 0
    refused: bool = False
    unconfirmed: bool = False
    link_open: bool = False
    backup: UpstreamEntry | None = None
    backup_events: int = 0
    outlived: bool = False


@dataclass(frozen=True, slots=True)
class TargetChosen:
    """The source is leaving, and an engine has capacity for the generation."""

    target: UpstreamEntry


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """A copy completed.

    :param last: whether the generation was stopped first.
    """

    handle: str
    last: bool = False


@dataclass(frozen=True, slots=True)
class LinkQuiet:
    """The source's link is free, so a final copy would be quick."""


@dataclass(frozen=True, slots=True)
class LinkBusy:
    """Other copies use the source's link, so a stop would take long."""


@dataclass(frozen=True, slots=True)
class CopyRejected:
    """A copy was not made, or its response was lost.

    :param handle: handle of the memory that a stopped source keeps.
    :param last: whether the generation was to be stopped first.
    """

    fault: CopyFault
    handle: str = ''
    last: bool = False


@dataclass(frozen=True, slots=True)
class LinkEnded:
    """The stream broke off or fell silent before its final event.

    :param received: number of events received over the link.
    :param outlived: whether the source was seen to live on afterwards.
    :param link_open: whether the link is silent, but still open.
    """

    received: int
    outlived: bool = False
    link_open: bool = False


@dataclass(frozen=True, slots=True)
class LinkRecovered:
    """Events arrive again over a link that was silent."""


@dataclass(frozen=True, slots=True)
class SourceChecked:
    """A report tells whether the source may still have the generation."""

    run: RunState


@dataclass(frozen=True, slots=True)
class RescueTarget:
    """The result of the search for an engine after a link broke.

    :param target: ``None`` if no engine has capacity.
    """

    target: UpstreamEntry | None


@dataclass(frozen=True, slots=True)
class RescueTimedOut:
    """No time is left to request again that the source stops."""


@dataclass(frozen=True, slots=True)
class Resumed:
    """The generation continues at the engine that it was sent to.

    :param backup: engine that holds its backup from now on.
    """

    backup: UpstreamEntry | None = None


@dataclass(frozen=True, slots=True)
class ResumeRejected:
    """The engine rejected the generation without executing it."""


@dataclass(frozen=True, slots=True)
class Copy:
    """Copy the memory to the target.

    :param last: whether the generation is stopped first.
    :param pause: delay before the copy.
    """

    last: bool
    pause: Millis = 0


@dataclass(frozen=True, slots=True)
class CheckSource:
    """Find out whether the source may still have the generation.

    :param pause: delay before the check.
    """

    pause: Millis = 0


@dataclass(frozen=True, slots=True)
class ChooseAgain:
    """Choose another target."""


@dataclass(frozen=True, slots=True)
class AwaitQuiet:
    """Find out whether the source's link is free."""


@dataclass(frozen=True, slots=True)
class AwaitCopy:
    """Wait for the copy in progress."""


@dataclass(frozen=True, slots=True)
class ChooseRescue:
    """Choose an engine for a generation whose link broke."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Send the request to the engine that holds the memory."""

    upstream: UpstreamEntry


@dataclass(frozen=True, slots=True)
class Cut:
    """End the response; the generation is lost."""


@dataclass(frozen=True, slots=True)
class BackupLost:
    """The engine that holds the backup is leaving or gone."""


Message = (
    TargetChosen
    | CopyEnded
    | LinkQuiet
    | LinkBusy
    | CopyRejected
    | LinkEnded
    | LinkRecovered
    | SourceChecked
    | RescueTarget
    | RescueTimedOut
    | Resumed
    | ResumeRejected
    | BackupLost
)
Action = (
    Copy
    | CheckSource
    | ChooseAgain
    | AwaitQuiet
    | AwaitCopy
    | ChooseRescue
    | Resume
    | Cut
)
Decision = tuple[MoveState, tuple[Action, ...]]
