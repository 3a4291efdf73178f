"""Find the engines that hold a generation's memory."""

from dataclasses import replace

from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.types import MovePhase, MoveState


def find_holder(state: MoveState) -> UpstreamEntry:
    """Return the engine to resume a stopped generation at."""
    match state.phase:
        case MovePhase.AT_TARGET | MovePhase.AT_COPY if (
            state.target is not None
        ):
            return state.target
        case MovePhase.AT_BACKUP if state.backup is not None:
            return state.backup
        case _:
            return state.source


def find_copy(state: MoveState) -> UpstreamEntry | None:
    """Return the engine that holds a copy of the generation, if any."""
    return state.target if state.handle else None


def find_partial_holder(state: MoveState) -> UpstreamEntry | None:
    """Return the engine that holds a copy or the backup, if any."""
    return find_copy(state) or state.backup


def ran_on(state: MoveState) -> bool:
    """Return whether its source still ran a generation whose link ended."""
    stopped = state.phase in {MovePhase.AT_TARGET, MovePhase.AT_SOURCE}
    return stopped or state.refused


def lose_backup(state: MoveState) -> MoveState:
    """Drop the backup, unless the generation already resumes from it."""
    if state.phase is MovePhase.AT_BACKUP:
        return state
    return replace(state, backup=None)
