"""Tell this instance's generations when their engine leaves."""

from typing import Protocol

import trio
from loguru import logger
from returns.result import Success

from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import EngineReport, UpstreamEntry
from cartdale.moves.schedule import estimate_all
from cartdale.relay.types import UpstreamPort
from cartdale.routes.types import EngineTraits

#: How long an engine is taken to serve on when it doesn't say.
_SERVES_ON: Millis = 2 * SECOND_MS


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

    async def leave(self, until: Millis, quiet_at: Millis) -> None:
        """Move away from the engine.

        :param until: when the engine is gone, as far as it is known.
        :param quiet_at: when the engine's link is free.
        """


class Mover:
    """Know which generations of this instance run at which upstream."""

    def __init__(
        self, fleet: Fleet, upstreams: UpstreamPort, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._upstreams = upstreams
        self._clock = clock
        self._runs: dict[str, MovingRun] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Move generations, for ever."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._fleet.on_leaving = self.begin
            await trio.sleep_forever()

    def add(self, run: MovingRun) -> None:
        """Watch over a generation."""
        self._runs[run.request_id] = run

    def remove(self, run: MovingRun) -> None:
        """Forget a generation that has ended."""
        self._runs.pop(run.request_id, None)

    def begin(self, upstream: str) -> None:
        """Move everything away from an upstream."""
        if self._nursery is not None:
            self._nursery.start_soon(self._empty, upstream)

    async def _empty(self, name: str) -> None:
        upstream = self._fleet.find(name)
        if upstream is None or not self._runs_at(name):
            return
        engine = self._engine_of(upstream.entry)
        if engine is None or not engine.moves:
            return
        noticed_at = self._clock.now()
        report = await self._upstreams.report(upstream.entry.address)
        held = report.value_or(EngineReport(0, 0, 0, 0))
        own = self._runs_at(name)
        tokens_by_request = {run.request_id: run.tokens for run in own}
        takes = estimate_all(held.runs, tokens_by_request, engine)
        leaves_in = held.leaves_in
        until = noticed_at + (_SERVES_ON if leaves_in is None else leaves_in)
        logger.info(
            'emptying upstream',
            upstream=name,
            known=isinstance(report, Success),
            leaves_in=leaves_in,
            own=len(own),
            reported=len(held.runs),
            takes=takes,
        )
        async with trio.open_nursery() as nursery:
            for run in own:
                nursery.start_soon(run.leave, until, noticed_at + takes)

    def _runs_at(self, upstream: str) -> list[MovingRun]:
        return [run for run in self._runs.values() if run.upstream == upstream]

    def _engine_of(self, entry: UpstreamEntry) -> EngineTraits | None:
        spec = self._fleet.table.services_by_name.get(entry.service)
        return spec.engine if spec else None
