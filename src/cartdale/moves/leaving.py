"""Move generations away from one engine that leaves, while it serves on."""

from collections.abc import Sequence

import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.loads import Load
from cartdale.fleet.types import EngineReport, RunReport, UpstreamEntry
from cartdale.formatting import format_log_fields
from cartdale.moves.estimates import (
    SERVES_ON,
    TOKEN_LONGEST,
    Departure,
    SourceLink,
)
from cartdale.moves.ports import MovableGeneration
from cartdale.moves.schedule import Turn, find_turn, line_up, may_begin
from cartdale.relay.types import UpstreamPort
from cartdale.switches import Mechanism

#: Between looks at whether those before have their copies.
_LOOK_EVERY: Millis = 20
#: Reports show an engine as it was about half a second ago.
_REPORT_LAG: Millis = 500
#: Reports that are read to learn when an engine ends.
_END_READS = 2
#: Between questions to an engine that leaves or may leave, and between looks
#: for generations that came to one late.
ASK_EVERY: Millis = 300


class LeavingEngine:
    """Move generations away from an engine before it ends.

    :param fleet: knows from peers who has left already.
    :param entry: what the engine wrote of itself.
    :param link: what carries the copies.
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

        :param own: those that run at the engine.
        """
        noticed_at = self._clock.now()
        held = await read_report(self._upstreams, self._entry)
        load = self._fleet.load_at(self._entry.upstream)
        queue = line_up(held.runs, [_describe(each) for each in own])
        self._log_begin(held, load, queue, len(own))
        departure = Departure(until=noticed_at + _estimate_rest(held))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._learn_end, departure)
            for generation in own:
                turn = find_turn(generation.request_id, queue, self._link, load)
                self._log_turn(generation, turn)
                nursery.start_soon(
                    self._move, generation, turn, departure, load
                )

    def _log_begin(
        self,
        held: EngineReport,
        load: Load,
        queue: Sequence[RunReport],
        own: int,
    ) -> None:
        logger.info(
            'emptying upstream',
            upstream=self._entry.upstream,
            leaves_in=held.leaves_in,
            own=own,
            reported=len(held.runs),
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

    async def _learn_end(self, departure: Departure) -> None:
        """Read when the engine is gone, once its reports can tell."""
        await trio.sleep(as_seconds(_REPORT_LAG))
        for _ in range(_END_READS):
            held = await read_report(self._upstreams, self._entry)
            if held.leaves_in is None:
                await trio.sleep(as_seconds(ASK_EVERY))
                continue
            departure.until = self._clock.now() + held.leaves_in - _REPORT_LAG
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
        """Move a generation, unless its copy would only hold up others.

        :param load: of the engine when it began to leave.
        """
        began = self._clock.now()
        if began + generation.most_left * TOKEN_LONGEST <= departure.until:
            generation.stay()
            return
        if self._fleet.switches.is_enabled(Mechanism.TURNS):
            await self._wait_for_turn(turn, began + turn.waits, load)
        if departure.leaves_time(self._clock.now(), turn.takes):
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
        """Wait until those before have their copies, or no longer.

        :param load: of the engine when it began to leave.
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
            await trio.sleep(as_seconds(_LOOK_EVERY))
            now = self._clock.now()


async def read_report(
    upstreams: UpstreamPort, entry: UpstreamEntry
) -> EngineReport:
    """Read what an engine holds; nothing when it does not answer."""
    report = await upstreams.report(entry.address)
    match report:
        case Success(EngineReport() as held):
            return held
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


def _estimate_rest(held: EngineReport) -> Millis:
    """Return how long an engine serves on, from its report if it tells."""
    if held.leaves_in is None:
        return SERVES_ON
    return held.leaves_in - _REPORT_LAG
