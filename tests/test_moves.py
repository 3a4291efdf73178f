"""Moves: at any moment at most one engine works on a generation."""

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from cartdale.clock import SystemClock, VirtualClock
from cartdale.fleet.driver import Fleet
from cartdale.fleet.loads import Assignment, Load
from cartdale.fleet.types import RunReport, UpstreamEntry
from cartdale.moves.decide import MOST_TRIES, begin, decide
from cartdale.moves.driver import Mover
from cartdale.moves.estimates import (
    OTHER_DOMAIN_FACTOR,
    SAME_DOMAIN_FACTOR,
    Departure,
    SourceLink,
    ends_in_time,
)
from cartdale.moves.leaving import LeavingEngine
from cartdale.moves.schedule import find_turn, line_up
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
from cartdale.relay.types import CopyFault, LinkBroke
from cartdale.routes.types import EngineTraits


def make_entry(name: str) -> UpstreamEntry:
    return UpstreamEntry(name, 's', f'{name}:80', 'west', 64)


SOURCE, TARGET, SPARE = (make_entry(name) for name in ('a', 'b', 'c'))
STOPPED = (
    MovePhase.STOPPING,
    MovePhase.AT_TARGET,
    MovePhase.AT_SOURCE,
    MovePhase.RESCUING,
    MovePhase.AT_BACKUP,
    MovePhase.LOST,
)


def play(state, *messages):
    actions = ()
    for message in messages:
        state, actions = decide(state, message)
    return state, actions[0] if actions else None


def test_copies_stops_and_resumes_at_the_target() -> None:
    state, action = play(begin(SOURCE), TargetChosen(TARGET))
    assert action == Copy(last=False)
    state, action = play(state, CopyEnded('h'))
    assert action == AwaitQuiet()
    state, action = play(state, LinkQuiet())
    assert action == Copy(last=True)
    state, action = play(state, LinkEnded())
    assert action == AwaitCopy()
    state, action = play(state, CopyEnded('h'), LinkEnded())
    assert action == Resume(TARGET)
    state, _ = play(state, Resumed(SPARE))
    assert (state.source, state.backup) == (TARGET, SPARE)
    assert state.phase is MovePhase.SETTLED


def test_source_that_ends_early_leaves_its_copy() -> None:
    state, action = play(
        begin(SOURCE), TargetChosen(TARGET), CopyEnded('h'), LinkEnded()
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
        LinkEnded(),
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
    assert play(state, LinkEnded())[1] == Resume(TARGET)


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
        LinkEnded(),
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
        LinkEnded(),
    )
    state, action = play(state, ResumeRejected())
    assert action == Resume(SOURCE)
    assert play(state, ResumeRejected())[1] == Cut()


def test_lost_answers_are_asked_again_and_end() -> None:
    state, _ = play(begin(SOURCE), TargetChosen(TARGET))
    lost = CopyRejected(CopyFault.NO_ANSWER)
    state, action = play(state, lost)
    assert action == Copy(last=False, pause=True)
    state, action = play(state, *[lost] * MOST_TRIES)
    assert action is None
    assert state.phase is MovePhase.SETTLED


@pytest.mark.parametrize('fault', list(CopyFault))
def test_broken_link_falls_back_to_the_backup(fault: CopyFault) -> None:
    state, action = play(begin(SOURCE, SPARE), LinkEnded())
    assert action == ChooseRescue()
    state, action = play(state, RescueTarget(SPARE))
    assert action == Copy(last=True)
    state, action = play(state, CopyRejected(fault))
    assert action == Resume(SPARE)
    assert state.phase is MovePhase.AT_BACKUP


def test_backup_at_an_engine_that_left_is_not_resumed() -> None:
    state, _ = play(begin(SOURCE, SPARE), BackupLost())
    assert state.backup is None
    state, action = play(state, LinkEnded(), RescueTarget(None))
    assert action == Cut()


def test_backup_that_serves_already_stays() -> None:
    state, action = play(begin(SOURCE, SPARE), LinkEnded(), RescueTarget(None))
    assert action == Resume(SPARE)
    state, _ = play(state, BackupLost())
    assert state.backup == SPARE


def test_run_behind_a_broken_link_is_stopped_before_it_goes_on() -> None:
    state, action = play(begin(SOURCE), LinkEnded(), RescueTarget(TARGET))
    assert action == Copy(last=True)
    state, action = play(state, CopyEnded('h'), LinkEnded())
    assert action == Resume(TARGET)


def test_broken_link_without_anywhere_to_go_cuts() -> None:
    state, action = play(begin(SOURCE), LinkEnded(), RescueTarget(None))
    assert action == Cut()
    assert play(state, LinkEnded())[1] == Cut()


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
        st.just(LinkEnded()),
        st.sampled_from((RescueTarget(None), RescueTarget(TARGET))),
        st.just(ResumeRejected()),
        st.just(BackupLost()),
    )


@given(st.lists(messages(), max_size=30), st.booleans())
def test_resumes_only_what_no_engine_runs(told, backed_up: bool) -> None:
    """A resume follows a stop, the engine's silence or its link's end."""
    state = begin(SOURCE, SPARE if backed_up else None)
    for message in told:
        before = state
        state, actions = decide(state, message)
        if not any(isinstance(action, Resume) for action in actions):
            continue
        link_ended = isinstance(message, LinkEnded)
        assert link_ended or before.phase in STOPPED
        assert state.phase in STOPPED


ENGINE = EngineTraits(64, 30000, 18432, 2700, moves=True)


def test_copies_between_failure_domains_take_longer() -> None:
    same = SourceLink(ENGINE, SAME_DOMAIN_FACTOR).estimate(4000)
    other = SourceLink(ENGINE, OTHER_DOMAIN_FACTOR).estimate(4000)
    assert 200 < same < 250
    factor = OTHER_DOMAIN_FACTOR
    assert same * (factor - 0.1) < other < same * factor


def test_stop_comes_before_the_end_of_the_engine() -> None:
    assert Departure(until=1000).stop_at < 1000


def test_all_instances_order_what_is_reported_alike() -> None:
    reported = (
        RunReport('young', 3000, 1, 0),
        RunReport('old', 3800, 200, 0),
        RunReport('large', 6000, 1, 0),
        RunReport('small', 1000, 1, 0),
    )
    queue = line_up(reported, ())
    names = [run.request_id for run in queue]
    assert names == ['small', 'old', 'young', 'large']
    unreported = RunReport('new', 500, 0, 0)
    longer = line_up(reversed(reported), (reported[1], unreported))
    assert longer == (*queue, unreported)


def make_queue(count: int) -> tuple[RunReport, ...]:
    reported = [
        RunReport(str(rank), 3000, count - rank, 0) for rank in range(count)
    ]
    return line_up(reported, ())


def list_ahead(load: Load) -> list[int]:
    queue = make_queue(9)
    link = SourceLink(ENGINE)
    return [find_turn(run.request_id, queue, link, load).ahead for run in queue]


def test_turn_waits_for_those_before_that_have_no_backup() -> None:
    queue = make_queue(5)
    link = SourceLink(ENGINE, OTHER_DOMAIN_FACTOR)
    turn = find_turn('4', queue, link, Load(runs=5))
    assert turn.ahead == 4
    assert turn.waits > 4 * turn.takes
    half = find_turn('4', queue, link, Load(runs=4, exempt=2))
    assert half.ahead == 1
    assert half.waits < turn.waits // 2


def test_turn_comes_early_rather_than_late() -> None:
    some_exempt = Load(runs=9, exempt=3)
    assert list_ahead(some_exempt) == [0, 0, 1, 2, 2, 3, 4, 4, 5]


def test_turn_does_not_wait_for_those_that_have_ended() -> None:
    # Two of nine ended since the report; whoever they were, someone begins.
    assert list_ahead(Load(runs=7)) == [0, 0, 0, 1, 2, 3, 4, 5, 6]


def test_short_generations_need_no_copy() -> None:
    assert ends_in_time(60)
    assert not ends_in_time(600)
    short = Assignment('a', 100, 10, short=True)
    assert short.load().awaiting_copy == 0
    assert Assignment('a', 100, 10).load().awaiting_copy == 1


def test_copy_that_can_not_end_before_its_engine_is_told() -> None:
    alone = (RunReport('a', 3000, 1, 0),)
    turn = find_turn('a', alone, SourceLink(ENGINE), Load(runs=1))
    departure = Departure(until=1000)
    assert departure.leaves_time(0, turn.takes)
    assert not departure.leaves_time(700, turn.takes)


@dataclass(eq=False)
class Running:
    """Stay where it is."""

    upstream: str
    request_id: str = ''
    tokens: int = 0
    events: int = 0
    most_left: int = 1000
    backup: str = ''

    stayed: bool = False

    def lose_backup(self) -> None:
        self.backup = ''

    def stay(self) -> None:
        self.stayed = True

    async def leave(self, departure: Departure) -> None:
        """Stay."""


def test_generations_with_one_id_are_told_apart() -> None:
    clock = VirtualClock()
    mover = Mover(Fleet(clock, 'west', 1), None, clock, bool, bool)
    first, second = Running('a'), Running('b')
    mover.add(first)
    mover.add(second)
    mover.remove(first)
    assert mover.list_generations() == [second]


class SilentUpstreams:
    """Answer no report."""

    async def report(self, address: str):
        return Failure(LinkBroke('silent'))


async def test_who_ends_before_the_engine_tells_that_it_stays(
    autojump_clock,
) -> None:
    clock = SystemClock()
    leaving = LeavingEngine(
        Fleet(clock, 'west', 1),
        SilentUpstreams(),
        clock,
        SOURCE,
        SourceLink(ENGINE),
    )
    ending = Running('a', 'ending', 3000, 500, most_left=40)
    running = Running('a', 'running', 3000, 50, most_left=1000)
    await leaving.move_all([ending, running])
    assert ending.stayed
    assert not running.stayed
