"""Tell a connection that fell silent from an engine that makes nothing.

What an engine's report says of a request decides whether its connection is
waited for: a connection may fall silent for good while new ones come up.
"""

from enum import StrEnum

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.fleet.types import EngineReport
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.ports import RelayPorts

#: Reports show an engine as it was about half a second ago; a request is in
#: each that is asked for a second after it was sent, unless its engine has
#: nothing of it.
LOOK_AFTER: Millis = SECOND_MS
#: Between two looks at what became of a request.
_LOOK_EVERY: Millis = SECOND_MS // 2
#: Reports in a row that must not know a request before it is given up.
REPORTS_WITHOUT = 2


class RunState(StrEnum):
    """Say what an engine's report tells of a request."""

    #: It made more events than came here.
    AHEAD = 'ahead'
    RUNNING = 'running'
    #: It may be among those that wait there, which are only counted.
    WAITING = 'waiting'
    #: It neither runs nor waits there: it has ended, or never arrived.
    GONE = 'gone'
    #: The engine did not answer.
    UNREADABLE = 'unreadable'


def judge_run(
    report: EngineReport | None, request_id: str, events: int
) -> RunState:
    """Return what a report tells of a request.

    :param events: how many came here.
    """
    if report is None:
        return RunState.UNREADABLE
    for run in report.runs:
        if run.request_id == request_id:
            return RunState.AHEAD if run.events > events else RunState.RUNNING
    return RunState.WAITING if report.waiting else RunState.GONE


async def look_up(ports: RelayPorts, generation: RunningGeneration) -> RunState:
    """Ask the engine that runs a generation what it knows of it."""
    known = ports.fleet.find(generation.upstream)
    if known is None or generation.is_stopped:
        return RunState.UNREADABLE
    if known.backoff_until > ports.clock.now():
        return RunState.UNREADABLE
    answer = await ports.upstreams.report(known.entry.address)
    state = judge_run(
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
    """Return once the engine certainly has nothing of a request any more.

    For a request of which nothing has come yet. Without this its caller would
    wait until the time limit for an answer that nobody makes.
    """
    await trio.sleep(as_seconds(LOOK_AFTER))
    without = 0
    while without < REPORTS_WITHOUT:
        state = await look_up(ports, generation)
        without = without + 1 if state is RunState.GONE else 0
        if without < REPORTS_WITHOUT:
            await trio.sleep(as_seconds(_LOOK_EVERY))
