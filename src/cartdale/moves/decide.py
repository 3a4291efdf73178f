"""State machine for the live migration of one generation between engines.

The source keeps generating while most of its memory is copied. The copy is
renewed until the source's link is free, so that the final copy is quick. Then
the source stops, the remaining memory is copied, and the same request resumes
at the target after the last event that the caller received. If the source ends
earlier, the target resumes from the older copy and recomputes the tokens that
it lacks. At most one engine works on the generation at any time.
"""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.types import (
    AwaitCopy,
    AwaitQuiet,
    BackupLost,
    ChooseAgain,
    ChooseRescue,
    Copy,
    CopyEnded,
    CopyRejected,
    Cut,
    Decision,
    LinkBusy,
    LinkEnded,
    LinkQuiet,
    Message,
    MovePhase,
    MoveState,
    RescueTarget,
    Resume,
    Resumed,
    ResumeRejected,
    TargetChosen,
)
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.relay.types import CopyFault

#: Refused or unanswered copies at one engine after which its generation stays
#: there. With the pauses below they span four seconds, twice the notice of an
#: engine that is reclaimed.
MAX_TRIES = 12
#: Renewals of a copy over a busy link after which the generation is stopped
#: anyway. Each renewal copies only the memory added since the previous one, so
#: waiting gains less each time. With the pauses below, five renewals span the
#: notice of an engine.
MAX_RENEWALS = 5
#: First pause before a refused copy is retried, first pause before a copy is
#: renewed, and the maximum of both. The pauses double.
_RETRY_PAUSE: Millis = 30
_RENEWAL_PAUSE: Millis = 40
_MAX_PAUSE: Millis = 480

_ENDING = frozenset((MovePhase.STOPPING, MovePhase.RESCUING))
_COPYING = frozenset((MovePhase.COPYING, MovePhase.REFRESHING))
_STOPPED = frozenset(
    (MovePhase.AT_TARGET, MovePhase.AT_SOURCE, MovePhase.AT_BACKUP)
)


def begin(
    source: UpstreamEntry, backup: UpstreamEntry | None = None
) -> MoveState:
    """Return the state of a generation that runs at its first engine."""
    return MoveState(source, backup=backup)


def decide(state: MoveState, message: Message) -> Decision:
    """Apply one message about a generation.

    :returns: the next state, and the actions to perform.
    """
    match message:
        case TargetChosen(target=target):
            return _choose(state, target)
        case CopyEnded(handle=handle):
            return _end_copy(state, handle)
        case LinkQuiet():
            return _stop(state)
        case LinkBusy():
            return _renew(state)
        case CopyRejected():
            return _reject_copy(state, message)
        case LinkEnded(received=received):
            return _end_link(state, received)
        case RescueTarget(target=target):
            return _rescue(state, target)
        case Resumed(backup=backup):
            return MoveState(_holder(state), backup=backup), ()
        case ResumeRejected():
            return _reject_resume(state)
        case BackupLost():
            return _lose_backup(state), ()
        case _:
            assert_never(message)


def choose_pause(state: MoveState) -> Millis:
    """Return how long to wait before the copy is renewed."""
    return _double_pause(_RENEWAL_PAUSE, state.renewals)


def is_stopped(state: MoveState) -> bool:
    """Return whether the generation was told to stop at its source."""
    return state.phase in _STOPPED or state.phase in _ENDING


def _choose(state: MoveState, target: UpstreamEntry) -> Decision:
    if state.phase is not MovePhase.SETTLED or state.tries >= MAX_TRIES:
        return state, ()
    after = replace(
        state,
        phase=MovePhase.COPYING,
        target=target,
        handle='',
        renewals=0,
    )
    return after, (Copy(last=False),)


def _end_copy(state: MoveState, handle: str) -> Decision:
    match state.phase:
        case MovePhase.COPYING | MovePhase.REFRESHING:
            after = replace(state, phase=MovePhase.COPIED, handle=handle)
            return after, (AwaitQuiet(),)
        case MovePhase.STOPPING | MovePhase.RESCUING:
            after = replace(state, phase=MovePhase.AT_TARGET, handle=handle)
            return after, ()
        case _:
            return state, ()


def _stop(state: MoveState) -> Decision:
    if state.phase is not MovePhase.COPIED:
        return state, ()
    return replace(state, phase=MovePhase.STOPPING), (Copy(last=True),)


def _renew(state: MoveState) -> Decision:
    if state.phase is not MovePhase.COPIED:
        return state, ()
    if state.renewals >= MAX_RENEWALS:
        return _stop(state)
    after = replace(
        state, phase=MovePhase.REFRESHING, renewals=state.renewals + 1
    )
    return after, (Copy(last=False),)


def _double_pause(first: Millis, times: int) -> Millis:
    return min(first << times, _MAX_PAUSE)


def _reject_copy(state: MoveState, rejected: CopyRejected) -> Decision:
    if state.phase not in _ENDING | _COPYING:
        return state, ()
    stopping = state.phase in _ENDING
    if stopping and rejected.handle:
        after = replace(
            state, phase=MovePhase.AT_SOURCE, handle=rejected.handle
        )
        return after, ()
    if state.phase is MovePhase.RESCUING:
        return _fall_back(state)
    if state.tries >= MAX_TRIES:
        return _give_up(state), ()
    tried = replace(state, tries=state.tries + 1)
    match rejected.fault:
        case CopyFault.UNREACHABLE:
            return _give_up(state), ()
        case CopyFault.BUSY | CopyFault.NO_ANSWER if (
            state.phase is MovePhase.REFRESHING
        ):
            return replace(tried, phase=MovePhase.COPIED), (AwaitQuiet(),)
        case CopyFault.BUSY | CopyFault.NO_ANSWER:
            pause = _double_pause(_RETRY_PAUSE, state.tries)
            return tried, (Copy(last=stopping, pause=pause),)
        case CopyFault.NO_ROOM | CopyFault.UNKNOWN_RUN:
            if stopping:
                return _give_up(state), ()
            settled = replace(tried, phase=MovePhase.SETTLED, target=None)
            return settled, (ChooseAgain(),)
        case _:
            assert_never(rejected.fault)


def _end_link(state: MoveState, received: int) -> Decision:
    if state.phase in _ENDING or state.phase is MovePhase.COPYING:
        return state, (AwaitCopy(),)
    if state.phase in _STOPPED:
        return state, (Resume(_holder(state)),)
    if state.handle and state.target is not None:
        after = replace(state, phase=MovePhase.AT_TARGET)
        return after, (Resume(state.target),)
    if state.phase is MovePhase.LOST:
        return state, (Cut(),)
    rescued = replace(state, phase=MovePhase.RESCUING, backup_events=received)
    return rescued, (ChooseRescue(),)


def _rescue(state: MoveState, target: UpstreamEntry | None) -> Decision:
    """Stop the generation at its source, where it may still be running."""
    if state.phase is not MovePhase.RESCUING:
        return state, ()
    if target is None:
        return _fall_back(state)
    return replace(state, target=target), (Copy(last=True),)


def _fall_back(state: MoveState) -> Decision:
    """Resume from the backup; the source has nothing to resume from.

    A source that ended before or just after its first events may have ended by
    the request itself, with little in the backup. Another engine would run the
    request from its start, or end by it too.
    """
    if state.backup is None or state.backup_events <= EVENTS_PAST_START:
        return replace(state, phase=MovePhase.LOST), (Cut(),)
    return replace(state, phase=MovePhase.AT_BACKUP), (Resume(state.backup),)


def _give_up(state: MoveState) -> MoveState:
    """Stay at the source; an existing copy still serves if its link breaks."""
    return replace(state, phase=MovePhase.SETTLED)


def _reject_resume(state: MoveState) -> Decision:
    if state.phase is MovePhase.AT_TARGET:
        after = replace(state, phase=MovePhase.AT_SOURCE)
        return after, (Resume(state.source),)
    return replace(state, phase=MovePhase.LOST), (Cut(),)


def _lose_backup(state: MoveState) -> MoveState:
    """Drop the backup, unless the generation already resumes from it."""
    if state.phase is MovePhase.AT_BACKUP:
        return state
    return replace(state, backup=None)


def _holder(state: MoveState) -> UpstreamEntry:
    match state.phase:
        case MovePhase.AT_TARGET if state.target is not None:
            return state.target
        case MovePhase.AT_BACKUP if state.backup is not None:
            return state.backup
        case _:
            return state.source
