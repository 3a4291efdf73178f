"""Moves: at most one engine works on a generation at any time."""

from itertools import product, starmap

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.decide import (
    MAX_RENEWALS,
    MAX_TRIES,
    begin,
    choose_pause,
    decide,
)
from cartdale.moves.rescue import MAX_RESCUE_TRIES
from cartdale.moves.types import (
    AwaitCopy,
    AwaitQuiet,
    BackupLost,
    CheckSource,
    ChooseAgain,
    ChooseRescue,
    Copy,
    CopyEnded,
    CopyRejected,
    Cut,
    LinkBusy,
    LinkEnded,
    LinkQuiet,
    LinkRecovered,
    MovePhase,
    RescueTarget,
    RescueTimedOut,
    Resume,
    Resumed,
    ResumeRejected,
    SourceChecked,
    TargetChosen,
)
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.relay.run_state import RunState
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
    MovePhase.AT_COPY,
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
    state, action = play(
        state, CopyEnded('h', last=True), LinkEnded(PAST_START)
    )
    assert action == Resume(TARGET)
    state, _ = play(state, Resumed(SPARE))
    assert (state.source, state.backup) == (TARGET, SPARE)
    assert state.phase is MovePhase.SETTLED


#: Faults of a last copy of a source that does not run it: one that can't be
#: reached, and one that also has nothing of it in its queue.
ENDED = (CopyFault.UNREACHABLE, CopyFault.UNKNOWN_RUN)
#: Faults of a last copy whose source says that it runs on.
REFUSED = (CopyFault.BUSY, CopyFault.NO_ROOM)


def reject_rescue(state, fault: CopyFault):
    """Reject a rescue until no time is left."""
    state, action = play(state, CopyRejected(fault, last=True))
    if fault is CopyFault.UNKNOWN_RUN:
        assert action == CheckSource()
        return play(state, SourceChecked(RunState.GONE))
    if fault in ENDED:
        return state, action
    if fault is CopyFault.BROKEN:
        assert action == CheckSource()
        state, action = play(state, SourceChecked(RunState.UNREADABLE))
    assert isinstance(action, Copy)
    assert action.last
    assert action.pause
    return play(state, RescueTimedOut())


@pytest.mark.parametrize('fault', [*ENDED, CopyFault.NO_ANSWER])
def test_source_that_ends_early_leaves_its_copy(fault: CopyFault) -> None:
    state, action = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkEnded(PAST_START),
    )
    assert action == ChooseRescue()
    assert play(state, LinkQuiet()) == (state, None)
    state, action = play(state, RescueTarget(SPARE))
    assert action == Copy(last=True)
    assert state.target == TARGET
    state, action = reject_rescue(state, fault)
    assert action == Resume(TARGET)
    assert (state.phase, state.handle) == (MovePhase.AT_COPY, 'h')
    assert play(state, LinkQuiet())[1] is None


# Guards against two engines that work on one generation: a source may run on
# without its link, and what it refuses to stop must not resume elsewhere.
@pytest.mark.parametrize('fault', REFUSED)
@pytest.mark.parametrize('copied', [True, False])
def test_source_that_refuses_the_stop_is_asked_again(
    fault: CopyFault, *, copied: bool
) -> None:
    copy = (TargetChosen(TARGET), CopyEnded('h')) if copied else ()
    state, action = play(
        begin(SOURCE, SPARE),
        *copy,
        LinkEnded(PAST_START),
        RescueTarget(SPARE),
    )
    refused = CopyRejected(fault, last=True)
    for _ in range(MAX_RESCUE_TRIES):
        state, action = play(state, refused)
        assert isinstance(action, Copy)
        assert action.last
        assert action.pause
    assert play(state, CopyEnded('h2', last=True))[0].handle == 'h2'
    assert play(state, RescueTimedOut())[1] == Cut()
    state, action = play(state, refused)
    assert action == Cut()
    assert state.phase is MovePhase.LOST


# Guards against a preempted run that goes on at two engines: a source denies a
# run that waits there, and reads it anew later.
@pytest.mark.parametrize('copied', [True, False])
@pytest.mark.parametrize('run', set(RunState) - {RunState.GONE})
def test_source_that_denies_a_run_and_has_others_waiting_is_asked_again(
    run: RunState, *, copied: bool
) -> None:
    copy = (TargetChosen(TARGET), CopyEnded('h')) if copied else ()
    state, _ = play(
        begin(SOURCE, SPARE), *copy, LinkEnded(PAST_START), RescueTarget(SPARE)
    )
    denied = CopyRejected(CopyFault.UNKNOWN_RUN, last=True)
    for _ in range(MAX_RESCUE_TRIES + 1):
        state, action = play(state, denied)
        assert action == CheckSource()
        state, action = play(state, SourceChecked(run))
        assert isinstance(action, Copy)
        assert action.last
        assert action.pause
    stopped, _ = play(state, CopyEnded('h2', last=True))
    assert stopped.phase is MovePhase.AT_TARGET
    unreached = CopyRejected(CopyFault.UNREACHABLE, last=True)
    assert isinstance(play(state, unreached)[1], Resume)
    assert play(state, RescueTimedOut())[1] == Cut()


# Guards against an answer that is lost once, and lets a run that waits at its
# source go on elsewhere.
def test_run_that_may_wait_is_not_resumed_for_one_lost_answer() -> None:
    state, action = play(
        begin(SOURCE, SPARE),
        LinkEnded(PAST_START),
        RescueTarget(SPARE),
        CopyRejected(CopyFault.UNKNOWN_RUN, last=True),
        SourceChecked(RunState.WAITING),
        CopyRejected(CopyFault.NO_ANSWER, last=True),
    )
    assert isinstance(action, Copy)
    assert play(state, RescueTimedOut())[1] == Cut()


# Guards against a move of a preempted run that is back over its own link.
@pytest.mark.parametrize('run', [RunState.RUNNING, RunState.WAITING])
def test_run_that_is_back_over_its_silent_link_stays(run: RunState) -> None:
    state, action = play(
        begin(SOURCE, SPARE),
        LinkEnded(PAST_START, link_open=True),
        RescueTarget(SPARE),
        CopyRejected(CopyFault.UNKNOWN_RUN, last=True),
        SourceChecked(run),
    )
    assert isinstance(action, CheckSource)
    assert action.pause
    back, action = play(state, LinkRecovered())
    assert (back.phase, action) == (MovePhase.SETTLED, None)
    state, action = play(state, SourceChecked(RunState.AHEAD))
    assert isinstance(action, Copy)
    # A link that breaks after all brings nothing more.
    state, _ = play(state, LinkEnded(PAST_START))
    assert play(state, LinkRecovered()) == (state, None)
    assert isinstance(play(state, SourceChecked(run))[1], Copy)


# Guards against a request that goes back to a source that still runs it.
def test_older_copy_whose_resume_is_rejected_does_not_return() -> None:
    state, _ = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkEnded(PAST_START),
        RescueTarget(TARGET),
        CopyRejected(CopyFault.NO_ANSWER, last=True),
        RescueTimedOut(),
    )
    assert state.phase is MovePhase.AT_COPY
    state, action = play(state, ResumeRejected())
    assert action == Cut()
    assert state.phase is MovePhase.LOST


def test_source_that_never_answers_is_asked_a_few_times() -> None:
    state, _ = play(begin(SOURCE, SPARE), LinkEnded(PAST_START))
    state, action = play(state, RescueTarget(SPARE))
    requests = 0
    while isinstance(action, Copy):
        requests += 1
        unanswered = CopyRejected(CopyFault.NO_ANSWER, last=True)
        state, action = play(state, unanswered)
    assert requests == MAX_RESCUE_TRIES + 1
    assert action == Resume(SPARE)


def test_source_that_stops_without_a_copy_resumes_there() -> None:
    state, _ = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkEnded(PAST_START),
        RescueTarget(TARGET),
        CopyRejected(CopyFault.NO_ROOM, 'kept', last=True),
    )
    assert play(state, LinkEnded(PAST_START))[1] == Resume(SOURCE)
    assert state.handle == 'kept'


def test_renewal_that_ends_during_a_rescue_is_no_stop() -> None:
    state, _ = play(
        begin(SOURCE),
        TargetChosen(TARGET),
        CopyEnded('h'),
        LinkBusy(),
        LinkEnded(PAST_START),
        RescueTarget(TARGET),
    )
    for fault in CopyFault:
        assert play(state, CopyRejected(fault)) == (state, None)
    state, action = play(state, CopyEnded('h2'))
    assert (state.phase, action) == (MovePhase.RESCUING, None)
    assert state.handle == 'h2'
    assert reject_rescue(state, CopyFault.UNKNOWN_RUN)[1] == Resume(TARGET)


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
        RescueTarget(TARGET),
    )
    assert action == Copy(last=True)
    late, action = play(state, CopyRejected(CopyFault.NO_ANSWER))
    assert (late, action) == (state, None)
    state, action = reject_rescue(state, CopyFault.UNKNOWN_RUN)
    assert action == Resume(TARGET)
    assert state.handle == 'h'
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
    state, action = play(state, LinkEnded(PAST_START), RescueTarget(SPARE))
    assert action == Copy(last=True)
    assert state.target == TARGET
    assert reject_rescue(state, CopyFault.UNKNOWN_RUN)[1] == Resume(TARGET)


def test_refused_target_is_replaced() -> None:
    refused = CopyRejected(CopyFault.NO_ROOM)
    state, action = play(begin(SOURCE), TargetChosen(TARGET), refused)
    assert action == ChooseAgain()
    assert state.phase is MovePhase.SETTLED


def test_target_that_refuses_the_rest_sends_back_to_the_source() -> None:
    refused = CopyRejected(CopyFault.NO_ROOM, 'kept', last=True)
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
        CopyEnded('h', last=True),
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


@pytest.mark.parametrize('fault', [*ENDED, CopyFault.NO_ANSWER])
def test_broken_link_falls_back_to_the_backup(fault: CopyFault) -> None:
    state, action = play(begin(SOURCE, SPARE), LinkEnded(PAST_START))
    assert action == ChooseRescue()
    state, action = play(state, RescueTarget(SPARE))
    assert action == Copy(last=True)
    state, action = reject_rescue(state, fault)
    assert action == Resume(SPARE)
    assert state.phase is MovePhase.AT_BACKUP


# Guards against a run that its engine closed after its first events, and that
# goes on nowhere though the engine, which lives, shows it harmless.
@pytest.mark.parametrize('received', [1, EVENTS_PAST_START])
def test_backup_of_a_run_that_its_engine_outlived_is_resumed(
    received: int,
) -> None:
    ended = LinkEnded(received, outlived=True)
    refused = CopyRejected(CopyFault.UNKNOWN_RUN, last=True)
    state, action = play(
        begin(SOURCE, SPARE), ended, RescueTarget(SPARE), refused
    )
    assert action == Resume(SPARE)
    again, _ = play(state, Resumed(TARGET))
    assert play(again, LinkEnded(received), RescueTarget(None))[1] == Cut()


# Guards against a request that its second engine runs from the start, or that
# ends the engine of its backup too.
@pytest.mark.parametrize('received', [0, 1, EVENTS_PAST_START])
@pytest.mark.parametrize('fault', list(CopyFault))
def test_backup_of_a_run_at_its_start_is_not_resumed(
    fault: CopyFault, received: int
) -> None:
    ended = LinkEnded(received)
    state, _ = play(begin(SOURCE, SPARE), ended, RescueTarget(SPARE))
    refused = CopyRejected(fault, last=True)
    for _ in range(MAX_RESCUE_TRIES + 1):
        state, action = play(state, refused)
        if fault is CopyFault.BROKEN:
            state, action = play(state, SourceChecked(RunState.UNREADABLE))
        assert not isinstance(action, Resume)
    if fault is CopyFault.UNKNOWN_RUN:
        state, action = play(state, SourceChecked(RunState.GONE))
        assert action == Cut()
    assert play(state, LinkEnded(0))[1] == Cut()
    assert state.phase is MovePhase.LOST
    state, action = play(begin(SOURCE, SPARE), ended, RescueTarget(None))
    assert action == Cut()


# Guards against a run that goes on elsewhere while its engine, which lets no
# orders in, works on: its reports tell.
@pytest.mark.parametrize(
    'run', [RunState.AHEAD, RunState.RUNNING, RunState.WAITING]
)
def test_run_whose_engine_lets_no_order_in_stays_there(run: RunState) -> None:
    broken = CopyRejected(CopyFault.BROKEN, last=True)
    state, action = play(
        begin(SOURCE, SPARE), LinkEnded(PAST_START), RescueTarget(SPARE)
    )
    for _ in range(2 * MAX_RESCUE_TRIES):
        state, action = play(state, broken)
        assert action == CheckSource()
        state, action = play(state, SourceChecked(run))
        assert isinstance(action, Copy)
        assert action.last
    assert play(state, RescueTimedOut())[1] == Cut()
    state, action = play(state, broken, SourceChecked(RunState.GONE))
    assert action == Resume(SPARE)


# Guards against a stream that is cut since its engine is gone and what answers
# at its address closes all connections.
def test_run_whose_engine_closes_all_connections_goes_on_at_its_backup() -> (
    None
):
    state, action = play(
        begin(SOURCE, SPARE), LinkEnded(PAST_START), RescueTarget(SPARE)
    )
    for _ in range(MAX_RESCUE_TRIES + 1):
        assert isinstance(action, Copy)
        state, action = play(
            state,
            CopyRejected(CopyFault.BROKEN, last=True),
            SourceChecked(RunState.UNREADABLE),
        )
    assert action == Resume(SPARE)


def test_backup_at_an_engine_that_left_is_not_resumed() -> None:
    state, _ = play(begin(SOURCE, SPARE), BackupLost())
    assert state.backup is None
    state, action = play(state, LinkEnded(PAST_START), RescueTarget(None))
    assert action == Cut()


def test_backup_that_serves_already_stays() -> None:
    state, action = play(
        begin(SOURCE, SPARE), LinkEnded(PAST_START), RescueTarget(None)
    )
    assert action == Copy(last=True)
    assert state.target == SPARE
    state, action = reject_rescue(state, CopyFault.UNKNOWN_RUN)
    assert action == Resume(SPARE)
    state, _ = play(state, BackupLost())
    assert state.backup == SPARE


def test_run_behind_a_broken_link_is_stopped_before_it_goes_on() -> None:
    state, action = play(
        begin(SOURCE), LinkEnded(PAST_START), RescueTarget(TARGET)
    )
    assert action == Copy(last=True)
    state, action = play(
        state, CopyEnded('h', last=True), LinkEnded(PAST_START)
    )
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
        st.builds(CopyEnded, st.just('h'), st.booleans()),
        st.just(LinkQuiet()),
        st.just(LinkBusy()),
        st.builds(
            CopyRejected,
            st.sampled_from(CopyFault),
            st.sampled_from(('', 'kept')),
            st.booleans(),
        ),
        st.builds(
            LinkEnded,
            st.sampled_from((0, PAST_START)),
            st.booleans(),
            st.booleans(),
        ),
        st.just(LinkRecovered()),
        st.builds(SourceChecked, st.sampled_from(RunState)),
        st.sampled_from((RescueTarget(None), RescueTarget(TARGET))),
        st.just(RescueTimedOut()),
        st.just(ResumeRejected()),
        st.just(BackupLost()),
    )


@given(st.lists(messages(), max_size=30), st.booleans())
def test_resumes_only_what_no_engine_runs(received, backed_up: bool) -> None:
    """A resume follows a stop or an unresponsive engine."""
    state = begin(SOURCE, SPARE if backed_up else None)
    for message in received:
        before = state
        state, actions = decide(state, message)
        if not any(isinstance(action, Resume) for action in actions):
            continue
        assert before.phase in STOPPED
        assert state.phase in STOPPED
        assert (
            state.phase is not MovePhase.AT_BACKUP
            or state.backup_events == PAST_START
        )


class Source:
    """A source as the answers to copies show it, one copy of a kind at a time.

    A stop that was requested before the link ended counts if it was still in
    progress then.
    """

    def __init__(self) -> None:
        self.stop_requested = False
        self.stopped = False
        #: Whether an earlier stop than the one in progress was requested, and
        #: whether one was answered or given up, since the link ended.
        self.requested_before = False
        self.answered = False
        #: For each kind of copy, whether it is in progress.
        self.copying = {False: False, True: False}

    def allows(self, message) -> bool:
        """Tell whether the message can come: each copy ends once.

        The time of a rescue ends only between two requests to stop.
        """
        match message:
            case CopyEnded(last=last) | CopyRejected(last=last):
                return self.copying[last]
            case RescueTimedOut():
                return self.copying[True] and self.answered
            case _:
                return True

    def note(self, message, before: MovePhase) -> None:
        """Note what a message shows."""
        match message:
            case LinkEnded() if before not in STOPPED:
                self.stop_requested = False
                self.answered = False
            case RescueTimedOut():
                self.copying[True] = False
                self.stop_requested = self.requested_before
            case CopyEnded(last=last):
                self.copying[last] = False
                self.stopped |= last
            case CopyRejected(last=last):
                self.copying[last] = False
                self.answered |= last
                self.stopped |= last and bool(message.handle)
                refused = message.fault in REFUSED and not message.handle
                self.stop_requested &= not (last and refused)

    def perform(self, action) -> None:
        """Note a copy that begins."""
        if isinstance(action, Copy):
            self.copying[action.last] = True
        if isinstance(action, Copy) and action.last:
            self.requested_before = self.stop_requested
            self.stop_requested = True


#: Beginnings of moves that a broken link interrupts, or none.
BEGINNINGS = (
    (),
    (TargetChosen(TARGET),),
    (TargetChosen(TARGET), CopyEnded('h')),
    (TargetChosen(TARGET), CopyEnded('h'), LinkBusy()),
    (TargetChosen(TARGET), CopyEnded('h'), LinkQuiet()),
)
BROKEN = (LinkEnded(PAST_START), RescueTarget(TARGET))


# Guards against two engines that work on one generation.
@settings(max_examples=1000, deadline=None)
@given(
    st.sampled_from(BEGINNINGS),
    st.sampled_from(((), BROKEN)),
    st.lists(messages(), min_size=12, max_size=60),
    st.booleans(),
)
def test_source_is_told_to_stop_before_another_engine_resumes(
    beginning, broken, received, backed_up: bool
) -> None:
    state = begin(SOURCE, SPARE if backed_up else None)
    source = Source()
    for message in (*beginning, *broken, *received):
        if not source.allows(message):
            continue
        source.note(message, state.phase)
        state, actions = decide(state, message)
        for action in actions:
            source.perform(action)
            if isinstance(action, Resume):
                assert source.stop_requested
                assert source.stopped or action.upstream != SOURCE
        at_source = state.phase is MovePhase.AT_SOURCE
        assert source.stopped or not at_source


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
        CopyEnded('h', last=True),
        LinkBusy(),
        LinkQuiet(),
        BackupLost(),
        RescueTarget(TARGET),
        RescueTarget(None),
        RescueTimedOut(),
        LinkEnded(0),
        LinkEnded(PAST_START),
        ResumeRejected(),
        *starmap(CopyRejected, product(CopyFault, ('', 'kept'), (False, True))),
    ]
)
#: A first copy, its renewals and a final copy for each target, and a rescue
#: that follows.
MAX_COPIES = (MAX_TRIES + 1) * (MAX_RENEWALS + 2) + MAX_RESCUE_TRIES + 1


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
