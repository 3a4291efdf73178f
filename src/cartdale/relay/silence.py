"""Distinguish a silent connection from an engine that generates nothing.

The engine's report decides whether to keep waiting for a connection: one may
stay silent for good while new connections to the same engine work.
"""

from enum import StrEnum

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.fleet.types import EngineReport
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.ports import RelayPorts

#: Reports show the state of an engine about half a second ago. A report that is
#: requested a second after a request was sent lists the request, unless the
#: engine does not have it.
MIN_REPORT_WAIT: Millis = SECOND_MS
#: Between two reports on a request.
_REPORT_INTERVAL: Millis = SECOND_MS // 2
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


async def fetch_run_state(
    ports: RelayPorts, generation: RunningGeneration
) -> RunState:
    """Fetch the report of the engine that runs a generation."""
    known = ports.fleet.find(generation.upstream)
    if known is None or generation.is_stopped:
        return RunState.UNREADABLE
    if known.backoff_until > ports.clock.now():
        return RunState.UNREADABLE
    answer = await ports.upstreams.report(known.entry.address)
    state = find_run_state(
        answer.value_or(None), generation.request_id, generation.events
    )
    logger.info(
        'silence',
        request=generation.request_id,
        upstream=generation.upstream,
        events=generation.events,
        state=state,
    )
    return state


async def await_loss(ports: RelayPorts, generation: RunningGeneration) -> None:
    """Return once the engine certainly does not have a request any more.

    For a request without a response head. Otherwise its caller would wait until
    the time limit for a response that no engine generates.
    """
    await trio.sleep(as_seconds(MIN_REPORT_WAIT))
    absent = 0
    while absent < MIN_ABSENT_REPORTS:
        state = await fetch_run_state(ports, generation)
        absent = absent + 1 if state is RunState.GONE else 0
        if absent < MIN_ABSENT_REPORTS:
            await trio.sleep(as_seconds(_REPORT_INTERVAL))
