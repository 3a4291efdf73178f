"""Tell this instance's generations when their engine leaves."""

from collections.abc import Callable
from typing import Protocol

import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import SECOND_MS, Clock, Millis, seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import (
    EngineReport,
    EntryRemoved,
    Lifecycle,
    UpstreamEntry,
)
from cartdale.moves.schedule import Departure, Turn, estimate_all, place
from cartdale.relay.types import UpstreamPort
from cartdale.routes.types import EngineTraits

#: How long an engine is taken to serve on when it doesn't say.
_SERVES_ON: Millis = 2 * SECOND_MS
#: Between the copies that are asked for: the smaller goes first into the
#: engine's queue, so that as many as possible leave in time.
_TURN: Millis = 4
#: Reports show an engine as it was about half a second ago.
_REPORT_LAG: Millis = 500
#: Reports that are read to learn when an engine ends.
_END_READS = 2
#: Between questions to engines while cut off from the store and the peers.
_SCOUT_EVERY: Millis = 300


class MovingRun(Protocol):
    """Move one generation."""

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""

    @property
    def upstream(self) -> str:
        """Return the id of the engine that runs it; empty for none."""

    @property
    def tokens(self) -> int:
        """Return the memory that it holds, in tokens."""

    async def leave(self, departure: Departure) -> None:
        """Move away from the engine."""


class Mover:
    """Know which generations of this instance run at which upstream.

    :param cut_off: tells whether neither the store nor peers can be heard.
    """

    def __init__(
        self,
        fleet: Fleet,
        upstreams: UpstreamPort,
        clock: Clock,
        cut_off: Callable[[], bool],
    ) -> None:
        self._cut_off = cut_off
        self._fleet = fleet
        self._upstreams = upstreams
        self._clock = clock
        self._runs: dict[str, MovingRun] = {}
        #: Generations and the upstreams that they were told to leave.
        self._told: set[tuple[str, str]] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Move generations, for ever."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._fleet.on_leaving = self.begin
            while True:
                await trio.sleep(seconds(_SCOUT_EVERY))
                self._sweep()
                if self._cut_off():
                    await self._scout()

    def add(self, run: MovingRun) -> None:
        """Watch over a generation."""
        self._runs[run.request_id] = run

    def list_runs(self) -> list[MovingRun]:
        """Return the generations that are watched over."""
        return list(self._runs.values())

    def remove(self, run: MovingRun) -> None:
        """Forget a generation that has ended."""
        self._runs.pop(run.request_id, None)
        self._told = {
            (request_id, name)
            for request_id, name in self._told
            if request_id != run.request_id
        }

    def begin(self, upstream: str) -> None:
        """Move everything away from an upstream."""
        if self._nursery is not None:
            self._nursery.start_soon(self._empty, upstream)

    async def _empty(self, name: str) -> None:
        upstream = self._fleet.find(name)
        own = self._runs_at(name)
        engine = self._engine_of(upstream.entry) if upstream else None
        if upstream is None or engine is None or not (own and engine.moves):
            return
        self._told.update((run.request_id, name) for run in own)
        noticed_at = self._clock.now()
        held = await self._read_report(upstream.entry)
        takes = estimate_all(
            held.runs, {run.request_id: run.tokens for run in own}, engine
        )
        logger.info(
            'emptying upstream',
            upstream=name,
            leaves_in=held.leaves_in,
            own=len(own),
            reported=len(held.runs),
            takes=takes,
        )
        departure = Departure(
            until=noticed_at + _SERVES_ON, quiet_at=noticed_at + takes
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._learn_end, upstream.entry, departure)
            for run in own:
                turn = place(run.tokens, held.runs, engine)
                nursery.start_soon(self._leave, run, turn, departure)

    async def _learn_end(
        self, entry: UpstreamEntry, departure: Departure
    ) -> None:
        """Read when the engine is gone, once its reports can tell."""
        await trio.sleep(seconds(_REPORT_LAG))
        for _ in range(_END_READS):
            held = await self._read_report(entry)
            if held.leaves_in is None:
                await trio.sleep(seconds(_SCOUT_EVERY))
                continue
            departure.until = self._clock.now() + held.leaves_in - _REPORT_LAG
            logger.info(
                'upstream ends',
                upstream=entry.upstream,
                ends_in=departure.until - self._clock.now(),
            )
            return

    async def _leave(
        self, run: MovingRun, turn: Turn, departure: Departure
    ) -> None:
        """Move a generation, unless its copy would only hold up others."""
        began = self._clock.now()
        begins = began + turn.waits
        if departure.leaves_time(begins, turn):
            begins = began + turn.rank * _TURN
        await trio.sleep(seconds(begins - began))
        if departure.leaves_time(self._clock.now(), turn):
            await run.leave(departure)
            return
        logger.info(
            'not moved',
            request=run.request_id,
            waits=turn.waits,
            takes=turn.takes,
            left=departure.until - self._clock.now(),
        )

    def _sweep(self) -> None:
        """Move what came to an engine only after it began to leave."""
        for name, known in self._fleet.state.upstreams_by_id.items():
            if known.lifecycle is Lifecycle.LEAVING and self._runs_at(name):
                self.begin(name)

    async def _scout(self) -> None:
        """Ask engines themselves while nobody tells that they leave."""
        names = {run.upstream for run in self._runs.values()}
        for name in names:
            known = self._fleet.find(name)
            if known is None or known.lifecycle is Lifecycle.LEAVING:
                continue
            report = await self._read_report(known.entry)
            if report.leaving or report.leaves_in is not None:
                self._fleet.tell(EntryRemoved(name))

    async def _read_report(self, entry: UpstreamEntry) -> EngineReport:
        """Read what an engine holds; nothing when it does not answer."""
        report = await self._upstreams.report(entry.address)
        match report:
            case Success(EngineReport() as held):
                return held
            case Failure(failure):
                logger.info(
                    'report missing',
                    upstream=entry.upstream,
                    detail=repr(failure),
                )
        return EngineReport(0, 0, 0, 0)

    def _runs_at(self, upstream: str) -> list[MovingRun]:
        """Return the generations there that were not told to leave yet."""
        return [
            run
            for run in self._runs.values()
            if run.upstream == upstream
            and (run.request_id, upstream) not in self._told
        ]

    def _engine_of(self, entry: UpstreamEntry) -> EngineTraits | None:
        spec = self._fleet.table.services_by_name.get(entry.service)
        return spec.engine if spec else None
