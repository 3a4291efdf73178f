"""Decide the next step after an attempt at an upstream has ended."""

from dataclasses import dataclass, replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.invariants import AT_MOST_ONCE, NOT_RUN, check_invariant
from cartdale.problems.types import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    Problem,
)
from cartdale.routes.types import Route

#: Sends of one request, including those that certainly did not run.
MAX_SENDS = 4
#: Retry delay after upstreams refused a request: about the time in which a
#: short request on a crowded engine ends.
RETRY_AFTER: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class AttemptState:
    """Count the attempts of one request.

    :param repeatable: whether the request may run again after it may have run.
    :param may_run: maximum number of upstreams that may run it.
    :param sends: number of sends, including failed ones.
    :param runs: number of upstreams that may have run it.
    """

    repeatable: bool
    may_run: int
    sends: int = 0
    runs: int = 0

    @property
    def allows_another(self) -> bool:
        """Tell whether another run may follow the current attempt."""
        return self.runs + 1 < self.may_run

    @property
    def may_repeat(self) -> bool:
        """Tell whether it may run again after all runs so far."""
        return self.repeatable and self.runs < self.may_run


@dataclass(frozen=True, slots=True)
class Unsent:
    """Nothing of the request reached the upstream.

    :param detail: the transport's error.
    :param confirmed: whether the upstream is at fault; otherwise perhaps only
        the path from this instance is.
    """

    detail: str = ''
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent: the upstream left or backed off after the placement."""


@dataclass(frozen=True, slots=True)
class Unwritten:
    """Nothing was sent: no upstream can be sent the request.

    :param part: the part of its head that can't be written.
    """

    part: str


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream reports that it did not run the request.

    :param rests: whether it requests a back-off.
    """

    rests: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """The request may have run; no complete response was received.

    :param begun: whether the caller has received part of the response.
    """

    detail: str
    begun: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """This instance withdrew the request; it may have run."""


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response was received, a success or a failure.

    :param good: whether the upstream processed the request successfully.
    :param denied_run: whether the response promises that the request did not
        run, though it did. It is not passed on.
    """

    good: bool
    denied_run: bool = False


@dataclass(frozen=True, slots=True)
class TryAgain:
    """Send the request to another upstream."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """Forward the upstream's response to the caller."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with a problem document."""

    problem: Problem


AttemptEnd = (
    Unsent | Withheld | Unwritten | Declined | Broken | Withdrawn | Answered
)
Step = TryAgain | PassOn | GiveUp
_DENIED_RUN = GiveUp(
    OutcomeUnknown('the upstream ran it, and answered as if it had not')
)


def begin(route: Route) -> AttemptState:
    """Return the initial state of a request that was not sent yet."""
    may_run = max(route.max_attempts, 1) if route.repeatable else 1
    return AttemptState(route.repeatable, may_run)


def decide(
    state: AttemptState, ended: AttemptEnd, *, affordable: bool
) -> tuple[AttemptState, Step]:
    """Apply the end of an attempt.

    :param affordable: whether the retry budget allows another send.
    :returns: the next state and the next step.
    """
    match ended:
        case Withheld():
            return state, TryAgain()
        case Unwritten():
            return state, GiveUp(refuse(state, NotRunReason.UNWRITABLE))
        case Unsent() | Declined():
            after = replace(state, sends=state.sends + 1)
            if affordable and after.sends < MAX_SENDS:
                return after, TryAgain()
            return after, GiveUp(refuse(after, NotRunReason.REFUSED))
        case Broken(detail=detail):
            after = _count_run(state)
            if affordable and after.may_repeat:
                return after, TryAgain()
            return after, GiveUp(OutcomeUnknown(detail))
        case Withdrawn():
            after = _count_run(state)
            return after, GiveUp(refuse(after, NotRunReason.QUARANTINED))
        case Answered():
            after = _count_run(state)
            return after, _follow_answer(after, ended, affordable=affordable)
        case _:
            assert_never(ended)


def _follow_answer(
    state: AttemptState, ended: Answered, *, affordable: bool
) -> Step:
    if not ended.good and affordable and state.may_repeat:
        return TryAgain()
    return _DENIED_RUN if ended.denied_run else PassOn()


def refuse(
    state: AttemptState,
    reason: NotRunReason,
    retry_after: Millis = RETRY_AFTER,
) -> Problem:
    """Return the problem to report when no upstream remains.

    ``NotRun`` only if no attempt may have run, otherwise ``OutcomeUnknown``.

    :param retry_after: retry delay for the caller.
    """
    if state.runs:
        return OutcomeUnknown('an earlier attempt may have run')
    return NotRun(reason, retry_after)


def check_refusal(state: AttemptState, problem: Problem) -> None:
    """Check that a request reported as not run has not run."""
    if isinstance(problem, NotRun):
        check_invariant(
            NOT_RUN, holds=not state.runs, detail=f'{state.runs} runs'
        )


def check_runs(state: AttemptState, sent: int) -> None:
    """Check that the ends of attempts account for all runs.

    :param sent: number of runs that sends may have caused.
    """
    check_invariant(
        AT_MOST_ONCE,
        holds=sent <= state.runs,
        detail=f'{sent} runs sent, {state.runs} counted',
    )


def _count_run(state: AttemptState) -> AttemptState:
    after = replace(state, sends=state.sends + 1, runs=state.runs + 1)
    check_invariant(
        AT_MOST_ONCE,
        holds=after.runs <= after.may_run,
        detail=f'{after.runs} runs of {after.may_run}',
    )
    return after
