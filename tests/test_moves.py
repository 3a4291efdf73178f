"""Moves: at most one engine works on a generation at any time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.decide import (
    MAX_RENEWALS,
    MAX_TRIES,
    begin,
    choose_pause,
    decide,
)
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
    LinkBusy,
    LinkEnded,
    LinkQuiet,
    MovePhase,
    RescueTarget,
    Resume,
    Resumed,
    ResumeRejected,
    TargetChosen,
)
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.relay.types import CopyFault


def make_entry(name: str) -> UpstreamEntry:
    return UpstreamEntry(name, 's', f'{name}:80', 'west', 64)


#: Events after which a run is past its start.
PAST_START = EVENTS_PAST_START + 1
SOURCE, TARGET, SPARE = (make_entry(name) for name in ('a', 'b', 'c'))
STOPPED = (
    MovePhase.STOPPING,
    MovePhase.AT_TARGET,
    MovePhase.AT_SOURCE,
    MovePhase.RESCUING,
    MovePhase.AT_BACKUP,
    MovePhase.LOST,
)


def play(state, *received):
    actions = ()
    for message in received:
        state, actions = decide(state, message)
    return state, actions[0] if actions else None


def test_copies_stops_and_resumes_at_the_target() -> None:
    state, action = play(begin(SOURCE), TargetChosen(TARGET))
    assert action == Copy(last=False)
    state, action = play(state, CopyEnded('h'))
    assert action == AwaitQuiet()
    state, action = play(state, LinkQuiet())
    assert action == Copy(last=True)
    state, action = play(state, LinkEnded(PAST_START))
    assert action == AwaitCopy()
    state, action = play(state, CopyEnded('h'), LinkEnded(PAST_START))
    assert action == Resume(TARGET)
    state, _ = play(state, Resumed(SPARE))
    assert (state.source, state.backup) == (TARGET, SPARE)
    assert state.phase is MovePhase.SETTLED


def test_source_that_ends_early_leaves_its_copy() -> None:
    state, action = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkEnded(PAST_START),
    )
    assert action == Resume(TARGET)
    assert state.handle == 'h'
    assert play(state, LinkQuiet())[1] is None


def test_copy_is_renewed_while_others_use_the_link() -> None:
    state, action = play(
        begin(SOURCE), TargetChosen(TARGET), CopyEnded('h'), LinkBusy()
    )
    assert action == Copy(last=False)
    state, action = play(state, CopyEnded('h2'))
    assert action == AwaitQuiet()
    state, action = play(state, LinkQuiet())
    assert action == Copy(last=True)
    assert state.handle == 'h2'


def test_source_that_ends_while_a_copy_is_renewed_leaves_the_older() -> None:
    state, action = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkBusy(),
        LinkEnded(PAST_START),
    )
    assert action == Resume(TARGET)
    late, action = play(state, CopyRejected(CopyFault.NO_ANSWER))
    assert (late, action) == (state, None)


@pytest.mark.parametrize('fault', [CopyFault.BUSY, CopyFault.NO_ANSWER])
def test_renewed_copy_that_fails_leaves_the_older(fault: CopyFault) -> None:
    state, action = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkBusy(),
        CopyRejected(fault),
    )
    assert action == AwaitQuiet()
    assert play(state, LinkEnded(PAST_START))[1] == Resume(TARGET)


def test_refused_target_is_replaced() -> None:
    refused = CopyRejected(CopyFault.NO_ROOM)
    state, action = play(begin(SOURCE), TargetChosen(TARGET), refused)
    assert action == ChooseAgain()
    assert state.phase is MovePhase.SETTLED


def test_target_that_refuses_the_rest_sends_back_to_the_source() -> None:
    refused = CopyRejected(CopyFault.NO_ROOM, 'kept')
    state, action = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkQuiet(),
        refused,
        LinkEnded(PAST_START),
    )
    assert action == Resume(SOURCE)
    assert state.handle == 'kept'


def test_target_that_rejects_the_resume_sends_back_to_the_source() -> None:
    state, _ = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkQuiet(),
        CopyEnded('h'),
        LinkEnded(PAST_START),
    )
    state, action = play(state, ResumeRejected())
    assert action == Resume(SOURCE)
    assert play(state, ResumeRejected())[1] == Cut()


def test_lost_answers_are_asked_again_and_end() -> None:
    state, _ = play(begin(SOURCE), TargetChosen(TARGET))
    lost = CopyRejected(CopyFault.NO_ANSWER)
    state, action = play(state, lost)
    assert action == Copy(last=False, pause=30)
    state, action = play(state, *[lost] * MAX_TRIES)
    assert action is None
    assert state.phase is MovePhase.SETTLED


@pytest.mark.parametrize('fault', list(CopyFault))
def test_broken_link_falls_back_to_the_backup(fault: CopyFault) -> None:
    state, action = play(begin(SOURCE, SPARE), LinkEnded(PAST_START))
    assert action == ChooseRescue()
    state, action = play(state, RescueTarget(SPARE))
    assert action == Copy(last=True)
    state, action = play(state, CopyRejected(fault))
    assert action == Resume(SPARE)
    assert state.phase is MovePhase.AT_BACKUP


# Guards against a request that its second engine runs from the start, or that
# ends the engine of its backup too.
@pytest.mark.parametrize('received', [0, 1, EVENTS_PAST_START])
@pytest.mark.parametrize('fault', list(CopyFault))
def test_backup_of_a_run_at_its_start_is_not_resumed(
    fault: CopyFault, received: int
) -> None:
    ended = LinkEnded(received)
    state, _ = play(begin(SOURCE, SPARE), ended, RescueTarget(SPARE))
    state, action = play(state, CopyRejected(fault))
    assert action == Cut()
    assert state.phase is MovePhase.LOST
    state, action = play(begin(SOURCE, SPARE), ended, RescueTarget(None))
    assert action == Cut()


def test_backup_at_an_engine_that_left_is_not_resumed() -> None:
    state, _ = play(begin(SOURCE, SPARE), BackupLost())
    assert state.backup is None
    state, action = play(state, LinkEnded(PAST_START), RescueTarget(None))
    assert action == Cut()


def test_backup_that_serves_already_stays() -> None:
    state, action = play(
        begin(SOURCE, SPARE), LinkEnded(PAST_START), RescueTarget(None)
    )
    assert action == Resume(SPARE)
    state, _ = play(state, BackupLost())
    assert state.backup == SPARE


def test_run_behind_a_broken_link_is_stopped_before_it_goes_on() -> None:
    state, action = play(
        begin(SOURCE), LinkEnded(PAST_START), RescueTarget(TARGET)
    )
    assert action == Copy(last=True)
    state, action = play(state, CopyEnded('h'), LinkEnded(PAST_START))
    assert action == Resume(TARGET)


def test_broken_link_without_anywhere_to_go_cuts() -> None:
    state, action = play(
        begin(SOURCE), LinkEnded(PAST_START), RescueTarget(None)
    )
    assert action == Cut()
    assert play(state, LinkEnded(PAST_START))[1] == Cut()


def messages():
    return st.one_of(
        st.just(TargetChosen(TARGET)),
        st.just(CopyEnded('h')),
        st.just(LinkQuiet()),
        st.just(LinkBusy()),
        st.builds(
            CopyRejected,
            st.sampled_from(CopyFault),
            st.sampled_from(('', 'kept')),
        ),
        st.builds(LinkEnded, st.sampled_from((0, PAST_START))),
        st.sampled_from((RescueTarget(None), RescueTarget(TARGET))),
        st.just(ResumeRejected()),
        st.just(BackupLost()),
    )


@given(st.lists(messages(), max_size=30), st.booleans())
def test_resumes_only_what_no_engine_runs(received, backed_up: bool) -> None:
    """A resume follows a stop, an unresponsive engine or a broken link."""
    state = begin(SOURCE, SPARE if backed_up else None)
    for message in received:
        before = state
        state, actions = decide(state, message)
        if not any(isinstance(action, Resume) for action in actions):
            continue
        link_ended = isinstance(message, LinkEnded)
        assert link_ended or before.phase in STOPPED
        assert state.phase in STOPPED
        assert (
            state.phase is not MovePhase.AT_BACKUP
            or state.backup_events == PAST_START
        )


def test_copy_over_a_link_that_stays_busy_is_renewed_a_few_times() -> None:
    state, action = play(begin(SOURCE), TargetChosen(TARGET), CopyEnded('h'))
    pauses = []
    renewals = 0
    while action == AwaitQuiet():
        pauses.append(choose_pause(state))
        state, action = play(state, LinkBusy())
        if action == Copy(last=False):
            renewals += 1
            state, action = play(state, CopyEnded(f'h{renewals}'))
    assert renewals == MAX_RENEWALS
    # Then it stops, and only the remaining memory is copied.
    assert action == Copy(last=True)
    assert state.phase is MovePhase.STOPPING
    assert pauses == [40, 80, 160, 320, 480, 480]


def test_generation_whose_copies_were_refused_stays() -> None:
    refused = CopyRejected(CopyFault.NO_ROOM)
    state = begin(SOURCE)
    for _ in range(MAX_TRIES):
        state, action = play(state, TargetChosen(TARGET), refused)
        assert action == ChooseAgain()
    assert play(state, TargetChosen(TARGET)) == (state, None)


ANSWERS = st.sampled_from(
    [
        TargetChosen(TARGET),
        TargetChosen(SPARE),
        CopyEnded('h'),
        LinkBusy(),
        LinkQuiet(),
        BackupLost(),
        RescueTarget(TARGET),
        RescueTarget(None),
        LinkEnded(0),
        LinkEnded(PAST_START),
        ResumeRejected(),
        *(CopyRejected(fault) for fault in CopyFault),
        *(CopyRejected(fault, 'kept') for fault in CopyFault),
    ]
)
#: A first copy, its renewals and a final copy for each target; doubled for a
#: rescue that follows.
MAX_COPIES = 2 * (MAX_TRIES + 1) * (MAX_RENEWALS + 2)


@given(st.lists(ANSWERS, max_size=600), st.booleans())
def test_copies_of_a_generation_at_one_engine_are_bounded(
    answers, backed_up: bool
) -> None:
    state = begin(SOURCE, SPARE if backed_up else None)
    copies = 0
    for answer in answers:
        state, actions = decide(state, answer)
        copies += sum(isinstance(action, Copy) for action in actions)
    assert copies <= MAX_COPIES
