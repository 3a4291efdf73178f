"""State machine that delivers a response completely, once and in order."""

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

#: Token counts at which a generation's priority is raised by one step.
PRIORITY_STEP_TOKENS = (64, 256, 1024, 4096)
#: Repeated runs of a request before it fails.
MAX_REPEATS = 3
_RETRY_AFTER: Millis = 2 * SECOND_MS
_DELIVER = Deliver()


def decide(state: StreamState, message: Message, now: Millis) -> Decision:
    """Apply one message to the state of a delivery.

    :param now: monotonic milliseconds.
    :returns: the next state, and the actions towards caller and engine.
    """
    if state.phase is Phase.ENDED:
        return state, ()
    match message:
        case ChunkArrived():
            return _apply_chunk(state, message, now)
        case StreamCompleted():
            return _complete(state)
        case LinkBroke():
            return _handle_link_loss(state, now)
        case SilenceElapsed():
            return state, (AskStatus(),)
        case StatusArrived(status=status):
            return _apply_status(state, status, now)
        case GenerationLost():
            return _handle_generation_loss(_confirm_sent(state))
        case NotSent():
            return _handle_not_sent(state, now)
        case StartRefused():
            return _handle_refusal(state)
        case PrefixDiffers():
            return _end(state, Fail(EndedEarly(state.delivered)))
        case _:
            assert_never(message)


def make_stream_state(
    generation: str,
    upstream: str,
    now: Millis,
    *,
    may_repeat: bool,
    delivered: int = 0,
    resumed: bool = False,
) -> StreamState:
    """Return the initial state of a response that starts or resumes.

    A start counts as sent until its own answer proves otherwise.
    """
    return StreamState(
        generation=generation,
        upstream=upstream,
        progress_at=now,
        may_repeat=may_repeat,
        delivered=delivered,
        resumed_at=delivered,
        sent=True,
        start_pending=not resumed,
    )


def restart_on(
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
        sent=True,
        start_pending=not state.sent,
        repeats=state.repeats + 1,
    )


def count_priority_steps(produced: int) -> int:
    """Return the priority steps for the number of produced tokens.

    Preempting a long generation is expensive, and by the observed lengths it
    is likely to continue. With raised priority, the engine preempts recently
    started generations instead.
    """
    return bisect_right(PRIORITY_STEP_TOKENS, produced)


def correct_refusal(state: StreamState, problem: Problem) -> Problem:
    """Return the problem to report when the request can't run again.

    A problem that says that the request did not run holds only if nothing
    was sent to an engine.
    """
    if state.delivered:
        return EndedEarly(state.delivered)
    if state.sent:
        return OutcomeUnknown('an earlier attempt may have run')
    return problem


def _apply_chunk(
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
        return _handle_link_loss(state, now)
    undelivered = chunk.offset > state.delivered
    after = replace(
        _confirm_sent(state),
        phase=Phase.STREAMING,
        received=chunk.offset,
        delivered=max(chunk.offset, state.delivered),
        progress_at=now,
        link_lost_at=0,
    )
    if not undelivered:
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


def _handle_link_loss(state: StreamState, now: Millis) -> Decision:
    lost_at = state.link_lost_at or now
    after = replace(
        _confirm_sent(state),
        phase=Phase.LINK_DOWN,
        link_lost_at=lost_at,
    )
    if now - lost_at >= LOST_ENGINE_MS:
        return _handle_generation_loss(after)
    pause = REATTACH_PAUSE_MS if state.link_lost_at else 0
    return after, (Attach(after.received, pause),)


def _apply_status(
    state: StreamState, status: StreamStatus | None, now: Millis
) -> Decision:
    if status is None:
        return _handle_link_loss(state, now)
    state = _confirm_sent(state)
    link_lags = status.produced > state.received
    finished = status.phase is StreamPhase.ENDED
    if link_lags or finished:
        return state, (Attach(state.received),)
    return replace(state, link_lost_at=0), ()


def _handle_generation_loss(state: StreamState) -> Decision:
    if state.delivered:
        return _restart_or_fail(state, Fail(EndedEarly(state.delivered)))
    return _restart_or_fail(state, Fail(OutcomeUnknown('the engine was lost')))


def _handle_not_sent(state: StreamState, now: Millis) -> Decision:
    if state.start_pending:
        return _handle_refusal(state)
    refusing_since = state.link_lost_at or now
    if now - refusing_since >= REFUSING_ENGINE_MS:
        return _handle_generation_loss(state)
    return _handle_link_loss(state, now)


def _handle_refusal(state: StreamState) -> Decision:
    """Retract the start, unless a link to what was sent is refused."""
    sent = state.sent and not state.start_pending
    after = replace(state, sent=sent, start_pending=False)
    return _restart_or_fail(after, _refusal(after))


def _confirm_sent(state: StreamState) -> StreamState:
    """Return the state once no refusal can retract the start any more."""
    return replace(state, sent=True, start_pending=False)


def _restart_or_fail(state: StreamState, failure: Fail) -> Decision:
    allowed = state.may_repeat or not state.sent
    if allowed and state.repeats < MAX_REPEATS:
        return replace(state, phase=Phase.STARTING), (Restart(),)
    return _end(state, failure)


def _refusal(state: StreamState) -> Fail:
    refused = NotRun(NotRunReason.REFUSED, _RETRY_AFTER)
    return Fail(correct_refusal(state, refused))


def _end(state: StreamState, last: Finish | Fail) -> Decision:
    if isinstance(last, Fail) and isinstance(last.problem, NotRun):
        check_invariant(
            NOT_RUN,
            holds=not state.sent,
            detail=f'{state.generation} was sent before',
        )
    return replace(state, phase=Phase.ENDED), (last,)
