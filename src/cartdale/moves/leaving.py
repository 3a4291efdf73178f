"""Move generations off one leaving engine while it still serves."""

from collections.abc import Sequence

import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import EngineReport, RunReport, UpstreamEntry
from cartdale.formatting import format_log_fields
from cartdale.moves.estimates import (
    EXPECTED_NOTICE,
    MAX_TOKEN_TIME,
    Departure,
    SourceLink,
)
from cartdale.moves.ports import MovableGeneration
from cartdale.moves.schedule import Turn, find_turn, may_begin, order_departures
from cartdale.relay.types import UpstreamPort
from cartdale.scheduling.loads import Load
from cartdale.supervision import contain, run_guarded
from cartdale.switches import Mechanism

#: Interval of the checks whether the copies ahead are complete.
_TURN_CHECK_INTERVAL: Millis = 20
#: Age of an engine's reports: about half a second.
_REPORT_LAG: Millis = 500
#: Maximum number of reports read to find out when an engine ends.
_MAX_END_READS = 2
#: Interval of the queries to an engine that leaves or may leave, and of the
#: checks for generations that reached a leaving engine late.
QUERY_INTERVAL: Millis = 300


class LeavingEngine:
    """Move generations off an engine before it ends.

    :param fleet: knows from peers which generations have left already.
    :param entry: the engine's registration.
    :param link: the link that carries the copies.
    """

    def __init__(
        self,
        fleet: Fleet,
        upstreams: UpstreamPort,
        clock: Clock,
        entry: UpstreamEntry,
        link: SourceLink,
    ) -> None:
        self._fleet = fleet
        self._upstreams = upstreams
        self._clock = clock
        self._entry = entry
        self._link = link

    async def move_all(self, own: list[MovableGeneration]) -> None:
        """Move this instance's generations, each in its turn.

        :param own: this instance's generations at the engine.
        """
        noticed_at = self._clock.now()
        report = EngineReport(0, 0, 0, 0)
        # Without a report it is moved from by what is known here.
        with contain('reports of engines', upstream=self._entry.upstream):
            report = await read_report(self._upstreams, self._entry)
        load = self._fleet.load_at(self._entry.upstream)
        queue = order_departures(report.runs, [_describe(each) for each in own])
        self._log_begin(report, load, queue, len(own))
        departure = Departure(until=noticed_at + _estimate_time_left(report))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                run_guarded,
                'reports of engines',
                self._read_end_time,
                departure,
            )
            for generation in own:
                turn = find_turn(generation.request_id, queue, self._link, load)
                self._log_turn(generation, turn)
                nursery.start_soon(
                    run_guarded,
                    'moves',
                    self._move,
                    generation,
                    turn,
                    departure,
                    load,
                )

    def _log_begin(
        self,
        report: EngineReport,
        load: Load,
        queue: Sequence[RunReport],
        own: int,
    ) -> None:
        logger.info(
            'emptying upstream',
            upstream=self._entry.upstream,
            leaves_in=report.leaves_in,
            own=own,
            reported=len(report.runs),
            takes=sum(self._link.estimate(run.tokens) for run in queue),
            awaiting_copy=load.awaiting_copy,
            exempt=load.exempt,
            factor=self._link.factor,
        )

    def _log_turn(self, generation: MovableGeneration, turn: Turn) -> None:
        logger.info(
            'turn',
            request=generation.request_id,
            upstream=self._entry.upstream,
            ahead=turn.ahead,
            waits=turn.waits,
            takes=turn.takes,
            most_left=generation.most_left,
        )

    async def _read_end_time(self, departure: Departure) -> None:
        """Read the engine's end from its reports, once they can state it."""
        await trio.sleep(as_seconds(_REPORT_LAG))
        for _ in range(_MAX_END_READS):
            report = await read_report(self._upstreams, self._entry)
            if report.leaves_in is None:
                await trio.sleep(as_seconds(QUERY_INTERVAL))
                continue
            departure.until = self._clock.now() + report.leaves_in - _REPORT_LAG
            logger.info(
                'upstream ends',
                upstream=self._entry.upstream,
                ends_in=departure.until - self._clock.now(),
            )
            return

    async def _move(
        self,
        generation: MovableGeneration,
        turn: Turn,
        departure: Departure,
        load: Load,
    ) -> None:
        """Move a generation, unless its copy would only delay others.

        :param load: the engine's load when it began to leave.
        """
        began = self._clock.now()
        if began + generation.most_left * MAX_TOKEN_TIME <= departure.until:
            generation.stay()
            return
        if self._fleet.switches.is_enabled(Mechanism.TURNS):
            await self._wait_for_turn(turn, began + turn.waits, load)
        if departure.allows_copy(self._clock.now(), turn.takes):
            await generation.leave(departure)
            return
        logger.info(
            'not moved',
            request=generation.request_id,
            ahead=turn.ahead,
            waits=turn.waits,
            takes=turn.takes,
            left=departure.until - self._clock.now(),
        )

    async def _wait_for_turn(
        self, turn: Turn, until: Millis, load: Load
    ) -> None:
        """Wait until the copies ahead are complete, or the wait runs out.

        :param until: end of the wait.
        :param load: the engine's load when it began to leave.
        """
        now = self._clock.now()
        busy_at = now
        while now < until:
            now_load = self._fleet.load_at(self._entry.upstream)
            if now_load.copying:
                busy_at = now
            ended = load.awaiting_copy - now_load.awaiting_copy
            if may_begin(turn, ended, now - busy_at):
                break
            await trio.sleep(as_seconds(_TURN_CHECK_INTERVAL))
            now = self._clock.now()


async def read_report(
    upstreams: UpstreamPort, entry: UpstreamEntry
) -> EngineReport:
    """Read an engine's report; return an empty one if it does not respond."""
    report = await upstreams.report(entry.address)
    match report:
        case Success(EngineReport() as engine_report):
            return engine_report
        case Failure(failure):
            logger.info(
                'report missing',
                upstream=entry.upstream,
                **format_log_fields('failure', failure),
            )
    return EngineReport(0, 0, 0, 0)


def _describe(generation: MovableGeneration) -> RunReport:
    return RunReport(
        generation.request_id, generation.tokens, generation.events, 0
    )


def _estimate_time_left(report: EngineReport) -> Millis:
    """Return an engine's remaining time, from its report if that states it."""
    if report.leaves_in is None:
        return EXPECTED_NOTICE
    return report.leaves_in - _REPORT_LAG
