"""Tell from an engine's report what became of a request that was sent there."""

from enum import StrEnum

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.types import EngineReport

#: Reports show the state of an engine about half a second ago. A report that is
#: requested a second after a request was sent lists the request, unless the
#: engine does not have it.
MIN_REPORT_WAIT: Millis = SECOND_MS
#: Consecutive reports without a request after which it counts as lost.
MIN_ABSENT_REPORTS = 2


class RunState(StrEnum):
    """State of a request according to its engine's report."""

    #: More events were generated than received here.
    AHEAD = 'ahead'
    RUNNING = 'running'
    #: It may be queued there: queued requests are only counted.
    WAITING = 'waiting'
    #: It is neither running nor queued: it has ended or never arrived.
    GONE = 'gone'
    #: The engine did not respond.
    UNREADABLE = 'unreadable'


def find_run_state(
    report: EngineReport | None, request_id: str, events: int
) -> RunState:
    """Return the state of a request according to a report.

    :param events: number of events received.
    """
    if report is None:
        return RunState.UNREADABLE
    for run in report.runs:
        if run.request_id == request_id:
            return RunState.AHEAD if run.events > events else RunState.RUNNING
    return RunState.WAITING if report.waiting else RunState.GONE
