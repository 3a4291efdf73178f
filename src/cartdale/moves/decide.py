"""State machine for the live migration of one generation between engines.

The source keeps generating while most of its memory is copied. The copy is
renewed until the source's link is free, so that the final copy is quick. Then
the source stops, the remaining memory is copied, and the same request resumes
at the target after the last event that the caller received. If the link breaks
earlier, the source is told to stop, since it may run on without its link. If it
has ended, the target resumes from the older copy and recomputes the tokens that
it lacks. At most one engine works on the generation at any time.
"""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.holders import find_copy, find_holder, lose_backup
from cartdale.moves.rescue import (
    begin_rescue,
    decide_rescue,
    lose,
    reject_rescue,
)
from cartdale.moves.types import (
    AwaitCopy,
    AwaitQuiet,
    BackupLost,
    ChooseAgain,
    Copy,
    CopyEnded,
    CopyRejected,
    Cut,
    Decision,
    LinkBusy,
    LinkEnded,
    LinkQuiet,
    LinkRecovered,
    Message,
    MovePhase,
    MoveState,
    RescueTarget,
    RescueTimedOut,
    Resume,
    Resumed,
    ResumeRejected,
    SourceChecked,
    TargetChosen,
)
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
    (
        MovePhase.AT_TARGET,
        MovePhase.AT_SOURCE,
        MovePhase.AT_COPY,
        MovePhase.AT_BACKUP,
    )
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
        case CopyEnded():
            return _end_copy(state, message)
        case LinkQuiet():
            return _stop(state)
        case LinkBusy():
            return _renew(state)
        case CopyRejected():
            return _reject_copy(state, message)
        case LinkEnded():
            return _end_link(state, message)
        case (
            RescueTarget()
            | RescueTimedOut()
            | SourceChecked()
            | LinkRecovered()
        ):
            return decide_rescue(state, message)
        case Resumed(backup=backup):
            return MoveState(find_holder(state), backup=backup), ()
        case ResumeRejected():
            return _reject_resume(state)
        case BackupLost():
            return lose_backup(state), ()
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


def _end_copy(state: MoveState, ended: CopyEnded) -> Decision:
    copied = replace(state, handle=ended.handle)
    match state.phase:
        case MovePhase.COPYING | MovePhase.REFRESHING:
            return replace(copied, phase=MovePhase.COPIED), (AwaitQuiet(),)
        case MovePhase.STOPPING | MovePhase.RESCUING if ended.last:
            return replace(copied, phase=MovePhase.AT_TARGET), ()
        case MovePhase.RESCUING if find_copy(state) is not None:
            # A renewal that was in progress as the link ended.
            return copied, ()
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
    stopping = state.phase in _ENDING
    expected = rejected.last if stopping else state.phase in _COPYING
    if not expected:
        return state, ()
    if stopping and rejected.handle:
        after = replace(
            state, phase=MovePhase.AT_SOURCE, handle=rejected.handle
        )
        return after, ()
    if state.phase is MovePhase.RESCUING:
        return reject_rescue(state, rejected.fault)
    if state.tries >= MAX_TRIES:
        return _give_up(state), ()
    tried = replace(state, tries=state.tries + 1)
    match rejected.fault:
        case CopyFault.UNREACHABLE:
            return _give_up(state), ()
        case CopyFault.BUSY | CopyFault.BROKEN | CopyFault.NO_ANSWER if (
            state.phase is MovePhase.REFRESHING
        ):
            return replace(tried, phase=MovePhase.COPIED), (AwaitQuiet(),)
        case CopyFault.BUSY | CopyFault.BROKEN | CopyFault.NO_ANSWER:
            pause = _double_pause(_RETRY_PAUSE, state.tries)
            return tried, (Copy(last=stopping, pause=pause),)
        case CopyFault.NO_ROOM | CopyFault.UNKNOWN_RUN:
            if stopping:
                return _give_up(state), ()
            settled = replace(
                tried, phase=MovePhase.SETTLED, target=None, handle=''
            )
            return settled, (ChooseAgain(),)
        case _:
            assert_never(rejected.fault)


def _end_link(state: MoveState, ended: LinkEnded) -> Decision:
    if state.phase in _ENDING or state.phase is MovePhase.COPYING:
        return replace(state, link_open=ended.link_open), (AwaitCopy(),)
    if state.phase in _STOPPED:
        return state, (Resume(find_holder(state)),)
    if state.phase is MovePhase.LOST:
        return state, (Cut(),)
    return begin_rescue(state, ended)


def _give_up(state: MoveState) -> MoveState:
    """Stay at the source; an existing copy still serves if its link breaks."""
    return replace(state, phase=MovePhase.SETTLED)


def _reject_resume(state: MoveState) -> Decision:
    """Resume at the source if it stopped, and so keeps the memory."""
    if state.phase is MovePhase.AT_TARGET:
        after = replace(state, phase=MovePhase.AT_SOURCE)
        return after, (Resume(state.source),)
    return lose(state)
