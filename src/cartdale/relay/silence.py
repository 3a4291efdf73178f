"""Distinguish a silent connection from an engine that generates nothing.

The engine's report decides whether to keep waiting for a connection: one may
stay silent for good while new connections to the same engine work.
"""

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.ports import RelayPorts
from cartdale.relay.run_state import (
    MIN_ABSENT_REPORTS,
    MIN_REPORT_WAIT,
    RunState,
    find_run_state,
)

#: Between two reports on a request.
_REPORT_INTERVAL: Millis = SECOND_MS // 2


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
