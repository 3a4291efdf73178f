"""Decide what follows when an attempt at an upstream has ended."""

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

#: Sends of one request, with those that certainly did not run.
MOST_SENDS = 4
#: When a caller whom upstreams turned away should come back: about the time in
#: which a short request of a crowded engine ends.
RETRY_AFTER: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class AttemptState:
    """Count the attempts of one request.

    :param repeatable: whether a request that may have run may run again.
    :param may_run: upstreams that it may run on.
    :param sends: times that it was sent or tried to be sent.
    :param runs: upstreams that may have run it.
    """

    repeatable: bool
    may_run: int
    sends: int = 0
    runs: int = 0

    @property
    def allows_another(self) -> bool:
        """Tell whether a run may follow the attempt that is under way."""
        return self.runs + 1 < self.may_run


@dataclass(frozen=True, slots=True)
class Unsent:
    """Nothing of the request reached the upstream."""


@dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent: the upstream leaves, or rests, since it was placed."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream says that it did not run the request.

    :param rests: whether it wants nothing for a while.
    """

    rests: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """The request may have run; no whole answer came.

    :param begun: whether the caller has a part of the answer.
    """

    detail: str
    begun: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """We took the request back; it may have run."""


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer came, good or bad.

    :param good: whether the upstream did what it was asked.
    """

    good: bool


@dataclass(frozen=True, slots=True)
class TryAgain:
    """Send the request to another upstream."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """Give the caller the upstream's answer."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Give the caller an answer of our own."""

    problem: Problem


AttemptEnd = Unsent | Withheld | Declined | Broken | Withdrawn | Answered
Step = TryAgain | PassOn | GiveUp


def begin(route: Route) -> AttemptState:
    """Make the state of a request that was not sent yet."""
    may_run = max(route.max_attempts, 1) if route.repeatable else 1
    return AttemptState(route.repeatable, may_run)


def decide(
    state: AttemptState, ended: AttemptEnd, *, affordable: bool
) -> tuple[AttemptState, Step]:
    """Take the end of an attempt.

    :param affordable: whether the retry budget allows another send.
    :returns: the next state, and what to do.
    """
    match ended:
        case Withheld():
            return state, TryAgain()
        case Unsent() | Declined():
            after = replace(state, sends=state.sends + 1)
            if affordable and after.sends < MOST_SENDS:
                return after, TryAgain()
            return after, GiveUp(refuse(after, NotRunReason.REFUSED))
        case Broken(detail=detail):
            after = _count_run(state)
            if affordable and _may_repeat(after):
                return after, TryAgain()
            return after, GiveUp(OutcomeUnknown(detail))
        case Withdrawn():
            after = _count_run(state)
            return after, GiveUp(refuse(after, NotRunReason.QUARANTINED))
        case Answered(good=good):
            after = _count_run(state)
            if not good and affordable and _may_repeat(after):
                return after, TryAgain()
            return after, PassOn()
        case _:
            assert_never(ended)


def refuse(
    state: AttemptState,
    reason: NotRunReason,
    retry_after: Millis = RETRY_AFTER,
) -> Problem:
    """Return what may truthfully be said when no upstream is left.

    :param retry_after: when the caller should come back.
    """
    if state.runs:
        return OutcomeUnknown('an earlier attempt may have run')
    return NotRun(reason, retry_after)


def check_refusal(state: AttemptState, problem: Problem) -> None:
    """Check that nothing ran which the caller is told did not run."""
    if isinstance(problem, NotRun):
        check_invariant(
            NOT_RUN, holds=not state.runs, detail=f'{state.runs} runs'
        )


def _count_run(state: AttemptState) -> AttemptState:
    after = replace(state, sends=state.sends + 1, runs=state.runs + 1)
    check_invariant(
        AT_MOST_ONCE,
        holds=after.runs <= after.may_run,
        detail=f'{after.runs} runs of {after.may_run}',
    )
    return after


def _may_repeat(state: AttemptState) -> bool:
    return state.repeatable and state.runs < state.may_run
