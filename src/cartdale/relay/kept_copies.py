"""Find out whether the engines of a service keep copies at all."""

import trio
from returns.result import Success

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.ports import RelayPorts

#: Time after which the report of an engine shows a backup that it keeps: the
#: first part is sent some hundred milliseconds after a run begins, and reports
#: are half a second old.
_SHOWS: Millis = SECOND_MS


async def look_for_backup(
    ports: RelayPorts, generation: RunningGeneration
) -> None:
    """Ask the engine of a backup how many it keeps while the run goes on.

    Only where streams have no framing and no engine was seen to keep any: the
    reports that are read at their ends are those of other engines.
    """
    await trio.sleep(as_seconds(_SHOWS))
    kept = ports.fleet.find(generation.backup)
    if kept is None:
        return
    service = kept.entry.service
    unframed = ports.unframed.is_known(service, ports.clock.now())
    if not (unframed and ports.end_habits.may_tell_copies(service)):
        return
    match await ports.upstreams.report(kept.entry.address):
        case Success(report):
            ports.end_habits.note_copies(service, report.copies)
