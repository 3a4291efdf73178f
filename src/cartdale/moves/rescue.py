"""Stop a generation whose link broke, and find out where it may go on.

Its source may still run it, or read it anew: a source that preempted it has no
run to stop either. What a source says of an unknown run therefore counts as its
end only with a report that shows neither the run nor any request that waits. A
report decides in the same way if only the connections of orders break.
"""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.moves.holders import find_copy
from cartdale.moves.types import (
    CheckSource,
    ChooseRescue,
    Copy,
    Cut,
    Decision,
    LinkEnded,
    LinkRecovered,
    MovePhase,
    MoveState,
    RescueTarget,
    RescueTimedOut,
    Resume,
    SourceChecked,
)
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.relay.run_state import RunState
from cartdale.relay.types import CopyFault

#: Refused or unanswered stops of one rescue after which no other is requested.
#: With the pauses between them they span the time of a rescue.
MAX_RESCUE_TRIES = 6
#: Pause before a refused or unanswered stop of a rescue is retried.
_RESCUE_PAUSE: Millis = 60
#: Between two requests to stop a generation that may wait at its source: it is
#: to be stopped soon after it begins again.
_WAITING_PAUSE: Millis = SECOND_MS // 4
#: Between two reports on one whose link is open; they are half a second old.
_REPORT_PAUSE: Millis = SECOND_MS // 2
#: Faults of a stop whose source runs on.
_RUNNING_ON = frozenset((CopyFault.BUSY, CopyFault.NO_ROOM))

RescueMessage = RescueTarget | RescueTimedOut | SourceChecked | LinkRecovered


def begin_rescue(state: MoveState, ended: LinkEnded) -> Decision:
    """Return the state of a generation whose link has just ended."""
    rescued = replace(
        state,
        phase=MovePhase.RESCUING,
        tries=0,
        backup_events=ended.received,
        outlived=ended.outlived,
        refused=False,
        unconfirmed=False,
        link_open=ended.link_open,
    )
    return rescued, (ChooseRescue(),)


def decide_rescue(state: MoveState, message: RescueMessage) -> Decision:
    """Apply one message about a generation that is being stopped."""
    if state.phase is not MovePhase.RESCUING:
        return state, ()
    match message:
        case RescueTarget():
            return _stop(state, message)
        case RescueTimedOut():
            return _end_rescue(state)
        case SourceChecked(run=run):
            return _check_source(state, run)
        case LinkRecovered():
            return _recover(state)
        case _:
            assert_never(message)


def may_recover(state: MoveState) -> bool:
    """Return whether events may still arrive over the source's silent link."""
    rescued = state.phase is MovePhase.RESCUING
    return rescued and state.unconfirmed and state.link_open


def reject_rescue(state: MoveState, fault: CopyFault) -> Decision:
    """Request the stop again, unless the source no longer runs it.

    A source that stopped would have named the memory that it keeps, so that
    one which refuses without a handle runs on.
    """
    tried = replace(state, tries=state.tries + 1, refused=fault in _RUNNING_ON)
    exhausted = state.tries >= MAX_RESCUE_TRIES
    match fault:
        case CopyFault.UNREACHABLE:
            return _end_rescue(replace(tried, unconfirmed=False))
        case CopyFault.UNKNOWN_RUN if state.outlived:
            # Its engine ended the stream; the backup tells whether it is over.
            return _end_rescue(tried)
        case CopyFault.UNKNOWN_RUN:
            unknown = replace(tried, tries=0, unconfirmed=True)
            return unknown, (CheckSource(),)
        case CopyFault.BROKEN:
            return tried, (CheckSource(),)
        case CopyFault.NO_ANSWER if exhausted:
            return _end_rescue(replace(tried, unconfirmed=False))
        case _ if exhausted:
            return _end_rescue(tried)
    return tried, (Copy(last=True, pause=_RESCUE_PAUSE),)


def lose(state: MoveState) -> Decision:
    """Give a generation up."""
    return replace(state, phase=MovePhase.LOST), (Cut(),)


def _stop(state: MoveState, message: RescueTarget) -> Decision:
    """Stop the generation at its source, where it may still be running."""
    chosen = find_copy(state) or message.target
    if chosen is None:
        after, actions = _fall_back(state)
        if after.phase is MovePhase.LOST or state.backup is None:
            return after, actions
        chosen = state.backup
    return replace(state, target=chosen), (Copy(last=True),)


def _recover(state: MoveState) -> Decision:
    """Stay at a source whose link was silent, unless it may have stopped."""
    if not may_recover(state):
        return state, ()
    settled = replace(
        state, phase=MovePhase.SETTLED, tries=0, unconfirmed=False
    )
    return settled, ()


def _check_source(state: MoveState, run: RunState) -> Decision:
    """Resume elsewhere once the source has nothing, else stop it again.

    Over an open link, a run that is not ahead needs no stop. A source that
    closes each connection without an answer is not reached.
    """
    if not (state.unconfirmed or state.tries):
        return state, ()
    match run:
        case RunState.GONE:
            return _end_rescue(replace(state, unconfirmed=False))
        case RunState.UNREADABLE if not state.unconfirmed:
            if state.tries > MAX_RESCUE_TRIES:
                return _end_rescue(state)
            return state, (Copy(last=True, pause=_RESCUE_PAUSE),)
    after = replace(state, tries=0, unconfirmed=True)
    listed = run in {RunState.RUNNING, RunState.WAITING}
    if listed and state.link_open:
        return after, (CheckSource(pause=_REPORT_PAUSE),)
    return after, (Copy(last=True, pause=_WAITING_PAUSE),)


def _end_rescue(state: MoveState) -> Decision:
    """Resume from a copy or the backup, unless the source may run on.

    An instance that gets no answer doesn't reach the source, and only one that
    reaches it must wait until the source has stopped.
    """
    holder = find_copy(state)
    if state.refused or state.unconfirmed:
        return lose(state)
    if holder is None:
        return _fall_back(state)
    return replace(state, phase=MovePhase.AT_COPY), (Resume(holder),)


def _fall_back(state: MoveState) -> Decision:
    """Resume from the backup; the source has nothing to resume from.

    A source that ended before or just after its first events may have ended by
    the request itself, with little in the backup. Another engine would run the
    request from its start, or end by it too. One that lives on did not.
    """
    harmless = state.outlived or state.backup_events > EVENTS_PAST_START
    if state.backup is None or not harmless:
        return replace(state, phase=MovePhase.LOST), (Cut(),)
    return replace(state, phase=MovePhase.AT_BACKUP), (Resume(state.backup),)
