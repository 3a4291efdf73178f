"""Tell a connection that fell silent from an engine that makes nothing."""

from loguru import logger

from cartdale.relay.generation import RunningGeneration
from cartdale.relay.ports import RelayPorts


async def is_engine_ahead(
    ports: RelayPorts, generation: RunningGeneration
) -> bool:
    """Ask an engine whether it made more events than the caller got.

    Its report is some hundred milliseconds old, so that one which is ahead
    was ahead all the while.
    """
    known = ports.fleet.find(generation.upstream)
    if known is None or generation.is_stopped:
        return False
    answer = await ports.upstreams.report(known.entry.address)
    report = answer.value_or(None)
    ahead = report is not None and any(
        run.request_id == generation.request_id
        and run.events > generation.events
        for run in report.runs
    )
    if ahead:
        logger.warning(
            'link silent',
            request=generation.request_id,
            upstream=generation.upstream,
            events=generation.events,
        )
    return ahead
