"""State of a request with a silent connection, by its engine's report."""

import pytest

from cartdale.fleet.types import EngineReport, RunReport
from cartdale.relay.silence import RunState, find_run_state


def make_report(*runs: RunReport, waiting: int = 0) -> EngineReport:
    return EngineReport(len(runs), waiting, 0, 0, runs=runs)


MADE_TEN = RunReport('r', 100, 10, 0)
OTHER = RunReport('q', 100, 10, 0)


@pytest.mark.parametrize(
    ('report', 'events', 'state'),
    [
        (None, 0, RunState.UNREADABLE),
        (make_report(OTHER, MADE_TEN), 9, RunState.AHEAD),
        (make_report(MADE_TEN), 10, RunState.RUNNING),
        (make_report(OTHER, waiting=1), 0, RunState.WAITING),
        (make_report(OTHER), 0, RunState.GONE),
        (make_report(), 12, RunState.GONE),
    ],
)
def test_report_tells_the_state_of_a_request(
    report: EngineReport | None, events: int, state: RunState
) -> None:
    assert find_run_state(report, 'r', events) is state
