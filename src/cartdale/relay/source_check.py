"""Confirm that an engine which denies a run does not have it in its queue."""

from loguru import logger

from cartdale.clock import Millis
from cartdale.fleet.types import EngineReport, UpstreamEntry
from cartdale.relay.ports import RelayPorts
from cartdale.relay.run_state import (
    MIN_ABSENT_REPORTS,
    MIN_REPORT_WAIT,
    RunState,
    find_run_state,
)


class SourceCheck:
    """Read reports of the engine that a request was sent to.

    :param request_id: the caller's id of the request.
    """

    def __init__(self, ports: RelayPorts, request_id: str) -> None:
        self._ports = ports
        self._request_id = request_id
        self._sent_at: Millis = 0
        #: Consecutive reports in which it was neither running nor queued.
        self._absent = 0
        #: The state that was logged last.
        self._logged: RunState | None = None

    def begin(self) -> None:
        """Note that the request is sent to another engine."""
        self._sent_at = self._ports.clock.now()
        self._absent = 0
        self._logged = None

    async def fetch(self, source: UpstreamEntry, events: int) -> RunState:
        """Return the state of the request at its engine.

        :param events: number of events received.
        :returns: ``GONE`` only once the engine certainly does not have it.
        """
        asked_at = self._ports.clock.now()
        answer = await self._ports.upstreams.report(source.address)
        report = answer.value_or(None)
        run = find_run_state(report, self._request_id, events)
        self._absent = self._absent + 1 if run is RunState.GONE else 0
        if report is not None and _is_other(report, source):
            run = RunState.GONE
        elif run is RunState.GONE and not self._is_certain(report, asked_at):
            run = RunState.WAITING
        if run is not self._logged:
            self._logged = run
            logger.info(
                'unknown run',
                request=self._request_id,
                upstream=source.upstream,
                events=events,
                queued=report.waiting if report else None,
                state=run,
            )
        return run

    def _is_certain(
        self, report: EngineReport | None, asked_at: Millis
    ) -> bool:
        """Tell whether a report without the request shows that it is gone.

        One that counts more runs than it lists may leave it out, so that
        another has to agree.
        """
        if report is None or asked_at - self._sent_at < MIN_REPORT_WAIT:
            return False
        complete = report.running <= len(report.runs)
        return complete or self._absent >= MIN_ABSENT_REPORTS


def _is_other(report: EngineReport, source: UpstreamEntry) -> bool:
    """Tell whether another incarnation of the engine answers."""
    return bool(report.born and source.born) and report.born != source.born
