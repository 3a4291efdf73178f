"""Decide how one answer reaches its caller whole, once and in order."""

from bisect import bisect_right
from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.engines.types import StreamPhase, StreamStatus
from cartdale.invariants import (
    AT_MOST_ONCE,
    NOT_RUN,
    ONCE_IN_ORDER,
    ONE_GENERATION,
    check_invariant,
)
from cartdale.problems.types import (
    EndedEarly,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    Problem,
)
from cartdale.streams.types import (
    LOST_ENGINE_MS,
    REATTACH_PAUSE_MS,
    REFUSING_ENGINE_MS,
    AskStatus,
    Attach,
    ChunkArrived,
    Compare,
    Decision,
    Deliver,
    Fail,
    Finish,
    GenerationLost,
    LinkBroke,
    Message,
    NotSent,
    Phase,
    PrefixDiffers,
    Protect,
    Restart,
    SilenceElapsed,
    StartRefused,
    StatusArrived,
    StreamCompleted,
    StreamState,
)

#: Tokens after which a generation's priority is raised a step.
PRIORITY_STEP_TOKENS = (64, 256, 1024, 4096)
#: Times a request is run again before it is given up.
MAX_REPEATS = 3
_RETRY_AFTER: Millis = 2 * SECOND_MS
_DELIVER = Deliver()


def decide(state: StreamState, message: Message, now: Millis) -> Decision:
    """Take one message about an answer.

    :param now: monotonic milliseconds.
    :returns: the next state, and what to do towards caller and engine.
    """
    if state.phase is Phase.ENDED:
        return state, ()
    match message:
        case ChunkArrived():
            return _take_chunk(state, message, now)
        case StreamCompleted():
            return _complete(state)
        case LinkBroke():
            return _lose_link(state, now)
        case SilenceElapsed():
            return state, (AskStatus(),)
        case StatusArrived(status=status):
            return _take_status(state, status, now)
        case GenerationLost():
            return _lose_generation(replace(state, sent=True))
        case NotSent():
            return _not_sent(state, now)
        case StartRefused():
            return _restart_or(state, _refusal(state))
        case PrefixDiffers():
            return _end(state, Fail(EndedEarly(state.delivered)))
        case _:
            assert_never(message)


def begin(
    generation: str,
    upstream: str,
    now: Millis,
    *,
    may_repeat: bool,
    delivered: int = 0,
    resumed: bool = False,
) -> StreamState:
    """Make the state of an answer that is about to start or resume."""
    return StreamState(
        generation=generation,
        upstream=upstream,
        progress_at=now,
        may_repeat=may_repeat,
        delivered=delivered,
        resumed_at=delivered,
        sent=resumed,
    )


def move(
    state: StreamState, generation: str, upstream: str, now: Millis
) -> StreamState:
    """Return the state after ``Restart`` chose an engine.

    :param generation: id of the new run; the earlier one is abandoned.
    """
    check_invariant(
        AT_MOST_ONCE,
        holds=state.may_repeat or not state.sent,
        detail=f'{state.generation} would run again on {upstream}',
    )
    return replace(
        state,
        generation=generation,
        upstream=upstream,
        phase=Phase.STARTING,
        received=0,
        link_lost_at=0,
        progress_at=now,
        repeats=state.repeats + 1,
    )


def count_priority_steps(produced: int) -> int:
    """Return the steps of priority that long running has earned.

    What has run long is expensive to push aside and, by the lengths seen,
    likely to run on; the engine then preempts what has just begun.
    """
    return bisect_right(PRIORITY_STEP_TOKENS, produced)


def soften(state: StreamState, problem: Problem) -> Problem:
    """Return what may truthfully be said when no engine takes a repeat."""
    if state.delivered:
        return EndedEarly(state.delivered)
    if state.sent:
        return OutcomeUnknown('an earlier attempt may have run')
    return problem


def _take_chunk(
    state: StreamState, chunk: ChunkArrived, now: Millis
) -> Decision:
    check_invariant(
        ONE_GENERATION,
        holds=chunk.generation == state.generation,
        detail=f'{chunk.generation} arrived for {state.generation}',
    )
    if chunk.offset <= state.received:
        return state, ()
    if chunk.offset != state.received + 1:
        return _lose_link(state, now)
    fresh = chunk.offset > state.delivered
    after = replace(
        state,
        phase=Phase.STREAMING,
        received=chunk.offset,
        delivered=max(chunk.offset, state.delivered),
        progress_at=now,
        link_lost_at=0,
        sent=True,
    )
    if not fresh:
        return after, (Compare(),)
    check_invariant(
        ONCE_IN_ORDER,
        holds=chunk.offset == state.delivered + 1,
        detail=f'token {chunk.offset} after {state.delivered}',
    )
    steps = count_priority_steps(chunk.offset)
    if steps > count_priority_steps(state.delivered):
        return after, (_DELIVER, Protect(steps))
    return after, (_DELIVER,)


def _complete(state: StreamState) -> Decision:
    if state.received < state.delivered:
        return _end(state, Fail(EndedEarly(state.delivered)))
    return _end(state, Finish())


def _lose_link(state: StreamState, now: Millis) -> Decision:
    lost_at = state.link_lost_at or now
    after = replace(
        state, phase=Phase.LINK_DOWN, link_lost_at=lost_at, sent=True
    )
    if now - lost_at >= LOST_ENGINE_MS:
        return _lose_generation(after)
    pause = REATTACH_PAUSE_MS if state.link_lost_at else 0
    return after, (Attach(after.received, pause),)


def _take_status(
    state: StreamState, status: StreamStatus | None, now: Millis
) -> Decision:
    if status is None:
        return _lose_link(state, now)
    link_stalled = status.produced > state.received
    finished = status.phase is StreamPhase.ENDED
    if link_stalled or finished:
        return state, (Attach(state.received),)
    return replace(state, link_lost_at=0), ()


def _lose_generation(state: StreamState) -> Decision:
    if state.delivered:
        return _restart_or(state, Fail(EndedEarly(state.delivered)))
    return _restart_or(state, Fail(OutcomeUnknown('the engine was lost')))


def _not_sent(state: StreamState, now: Millis) -> Decision:
    if not state.sent:
        return _restart_or(state, _refusal(state))
    refusing_since = state.link_lost_at or now
    if now - refusing_since >= REFUSING_ENGINE_MS:
        return _lose_generation(state)
    return _lose_link(state, now)


def _restart_or(state: StreamState, otherwise: Fail) -> Decision:
    allowed = state.may_repeat or not state.sent
    if allowed and state.repeats < MAX_REPEATS:
        return replace(state, phase=Phase.STARTING), (Restart(),)
    return _end(state, otherwise)


def _refusal(state: StreamState) -> Fail:
    refused = NotRun(NotRunReason.REFUSED, _RETRY_AFTER)
    return Fail(soften(state, refused))


def _end(state: StreamState, last: Finish | Fail) -> Decision:
    if isinstance(last, Fail) and isinstance(last.problem, NotRun):
        check_invariant(
            NOT_RUN,
            holds=not state.sent,
            detail=f'{state.generation} was sent before',
        )
    return replace(state, phase=Phase.ENDED), (last,)
