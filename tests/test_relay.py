"""Relay: attempts, refusals that are true, events kept as they are."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartdale.exceptions import InvariantError
from cartdale.problems.types import NotRun, NotRunReason, OutcomeUnknown
from cartdale.relay.decide import (
    MOST_SENDS,
    Answered,
    Broken,
    Declined,
    GiveUp,
    PassOn,
    TryAgain,
    Unsent,
    begin,
    check_refusal,
    decide,
    refuse,
)
from cartdale.relay.frames import EventFrames, read_id
from cartdale.retries.window import RepeatBudget, RepeatWindow
from cartdale.routes.types import RouteKind

ENDS = (
    Unsent(),
    Declined(),
    Broken('reset'),
    Answered(good=True),
    Answered(good=False),
)


def test_safe_request_is_repeated_up_to_its_bound() -> None:
    state = begin(RouteKind.SAFE, 2)
    state, step = decide(state, Broken('reset'), affordable=True)
    assert step == TryAgain()
    state, step = decide(state, Broken('reset'), affordable=True)
    assert isinstance(step, GiveUp)
    assert isinstance(step.problem, OutcomeUnknown)


@pytest.mark.parametrize('kind', [RouteKind.UNSAFE, RouteKind.STREAM])
def test_unsafe_request_is_not_sent_again_once_it_may_have_run(kind) -> None:
    _, step = decide(begin(kind, 3), Broken('reset'), affordable=True)
    assert step == GiveUp(OutcomeUnknown('reset'))
    _, step = decide(begin(kind, 3), Answered(good=False), affordable=True)
    assert step == PassOn()


def test_request_that_did_not_run_goes_elsewhere_and_is_refused_at_last() -> (
    None
):
    state = begin(RouteKind.UNSAFE, 1)
    for _ in range(MOST_SENDS - 1):
        state, step = decide(state, Declined(), affordable=True)
        assert step == TryAgain()
    state, step = decide(state, Unsent(), affordable=True)
    assert isinstance(step, GiveUp)
    assert isinstance(step.problem, NotRun)
    check_refusal(state, step.problem)


@given(
    st.sampled_from(RouteKind),
    st.integers(1, 4),
    st.lists(st.tuples(st.sampled_from(ENDS), st.booleans()), max_size=9),
)
def test_never_runs_too_often_and_never_says_not_run_falsely(
    kind, attempts, ends
) -> None:
    state = begin(kind, attempts)
    may_have_run = 0
    for ended, affordable in ends:
        state, step = decide(state, ended, affordable=affordable)
        may_have_run += isinstance(ended, Broken | Answered)
        allowed = {RouteKind.SAFE: attempts}.get(kind, 1)
        assert may_have_run <= allowed
        if isinstance(step, GiveUp):
            check_refusal(state, step.problem)
            told = isinstance(step.problem, NotRun)
            assert told == (may_have_run == 0)
        if step != TryAgain():
            return


def test_refusal_that_is_not_true_breaks_an_invariant() -> None:
    state, _ = decide(begin(RouteKind.SAFE, 2), Broken('x'), affordable=True)
    assert isinstance(refuse(state, NotRunReason.REFUSED), OutcomeUnknown)
    with pytest.raises(InvariantError):
        check_refusal(state, NotRun(NotRunReason.REFUSED, 1))


@given(st.lists(st.integers(1, 40), max_size=30), st.booleans())
def test_events_are_cut_without_changing_a_byte(sizes, wide: bool) -> None:
    line = b'\r\n' if wide else b'\n'
    events = [
        b'id: %d%sdata: x%s%s' % (number, line, line, line)
        for number in range(5)
    ]
    unfinished = b'id: 9%s' % line
    raw = b''.join((*events, unfinished))
    frames = EventFrames()
    found, position = [], 0
    sizes.append(len(raw))
    for size in sizes:
        found.extend(frames.feed(raw[position : position + size]))
        position += size
    assert found == events
    assert frames.pending == unfinished
    assert [read_id(event) for event in found] == [b'0', b'1', b'2', b'3', b'4']


def test_event_without_an_id_has_none() -> None:
    assert read_id(b'data: id: 4\n\n') == b''


def test_window_allows_a_share_of_requests_and_the_slack() -> None:
    window = RepeatWindow(ratio=0.2, span=1000)
    for _ in range(50):
        window.count(0)
    allowed = sum(window.withdraw(slack=5, now=10) for _ in range(40))
    assert allowed == 12
    assert window.withdraw(slack=5, now=2000)


def test_instances_share_the_slack() -> None:
    budget = RepeatBudget(ratio=0.2, slack=40, span=1000)
    budget.sharers = 8
    assert sum(budget.withdraw('s', 0) for _ in range(20)) == 4
    assert budget.withdraw('other', 0)
