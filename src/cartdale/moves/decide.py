"""Decide how a running generation gets from one engine to another.

The source runs on while most of the memory is copied, and until its link is
free; then it stops, the rest follows at once, and the same request goes on at
the target after the last event that the caller has. Should the source end
before, the older copy serves: the target reads again what it lacks. At any
moment at most one engine works on the generation.
"""

from dataclasses import replace
from typing import assert_never

from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.types import (
    AwaitCopy,
    AwaitQuiet,
    ChooseAgain,
    Copy,
    CopyEnded,
    CopyRejected,
    Cut,
    Decision,
    LinkEnded,
    LinkQuiet,
    Message,
    MovePhase,
    MoveState,
    Resume,
    Resumed,
    ResumeRejected,
    TargetChosen,
)
from cartdale.relay.types import CopyFault

#: Copies asked for in one move before it is given up.
MOST_TRIES = 40

_UNDER_WAY = frozenset((MovePhase.COPYING, MovePhase.STOPPING))
_STOPPED = frozenset((MovePhase.AT_TARGET, MovePhase.AT_SOURCE))


def begin(source: UpstreamEntry) -> MoveState:
    """Make the state of a generation that runs at its first engine."""
    return MoveState(source)


def decide(state: MoveState, message: Message) -> Decision:
    """Take one message about a generation.

    :returns: the next state, and what to do.
    """
    match message:
        case TargetChosen(target=target):
            return _choose(state, target)
        case CopyEnded(handle=handle):
            return _end_copy(state, handle)
        case LinkQuiet():
            return _stop(state)
        case CopyRejected():
            return _reject_copy(state, message)
        case LinkEnded():
            return _end_link(state)
        case Resumed():
            return _settle(state), ()
        case ResumeRejected():
            return _reject_resume(state)
        case _:
            assert_never(message)


def _choose(state: MoveState, target: UpstreamEntry) -> Decision:
    if state.phase is not MovePhase.SETTLED:
        return state, ()
    after = replace(
        state,
        phase=MovePhase.COPYING,
        target=target,
        handle='',
        tries=state.tries + 1,
    )
    return after, (Copy(last=False),)


def _end_copy(state: MoveState, handle: str) -> Decision:
    match state.phase:
        case MovePhase.COPYING:
            after = replace(state, phase=MovePhase.COPIED, handle=handle)
            return after, (AwaitQuiet(),)
        case MovePhase.STOPPING:
            after = replace(state, phase=MovePhase.AT_TARGET, handle=handle)
            return after, ()
        case _:
            return state, ()


def _stop(state: MoveState) -> Decision:
    if state.phase is not MovePhase.COPIED:
        return state, ()
    return replace(state, phase=MovePhase.STOPPING), (Copy(last=True),)


def _reject_copy(state: MoveState, rejected: CopyRejected) -> Decision:
    if state.phase not in _UNDER_WAY:
        return state, ()
    stopping = state.phase is MovePhase.STOPPING
    if stopping and rejected.handle:
        after = replace(
            state, phase=MovePhase.AT_SOURCE, handle=rejected.handle
        )
        return after, ()
    if state.tries >= MOST_TRIES:
        return _give_up(state), ()
    tried = replace(state, tries=state.tries + 1)
    match rejected.fault:
        case CopyFault.UNREACHABLE:
            return _give_up(state), ()
        case CopyFault.BUSY | CopyFault.NO_ANSWER:
            return tried, (Copy(last=stopping, pause=True),)
        case CopyFault.NO_ROOM | CopyFault.UNKNOWN_RUN:
            if stopping:
                return _give_up(state), ()
            settled = replace(tried, phase=MovePhase.SETTLED, target=None)
            return settled, (ChooseAgain(),)
        case _:
            assert_never(rejected.fault)


def _end_link(state: MoveState) -> Decision:
    if state.phase in _UNDER_WAY:
        return state, (AwaitCopy(),)
    if state.phase in _STOPPED:
        return state, (Resume(_holder(state)),)
    if state.handle and state.target is not None:
        after = replace(state, phase=MovePhase.AT_TARGET)
        return after, (Resume(state.target),)
    return replace(state, phase=MovePhase.LOST), (Cut(),)


def _give_up(state: MoveState) -> MoveState:
    """Return to the source; what was copied still serves if it breaks."""
    return replace(state, phase=MovePhase.SETTLED)


def _settle(state: MoveState) -> MoveState:
    return MoveState(_holder(state))


def _reject_resume(state: MoveState) -> Decision:
    if state.phase is MovePhase.AT_TARGET:
        after = replace(state, phase=MovePhase.AT_SOURCE)
        return after, (Resume(state.source),)
    return replace(state, phase=MovePhase.LOST), (Cut(),)


def _holder(state: MoveState) -> UpstreamEntry:
    if state.phase is MovePhase.AT_TARGET and state.target is not None:
        return state.target
    return state.source
