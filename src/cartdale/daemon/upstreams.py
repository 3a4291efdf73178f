"""Reach the engines that are declared, and follow their load."""

from collections.abc import Callable

import httpx
import trio

from cartdale.clock import SECOND_MS, Clock, Millis, seconds
from cartdale.declarations.types import Declarations
from cartdale.engines.http import HttpEngine
from cartdale.engines.types import Engine
from cartdale.routing.driver import Router
from cartdale.routing.types import (
    EngineView,
    LoadHeard,
    RaisePriority,
    Tick,
    UpstreamFailed,
    WorkProgressed,
)

_ENGINE_TIMEOUT: Millis = 2 * SECOND_MS
_TICK: Millis = 100
_PROGRESS_EVERY: Millis = 250
_REPORT_EVERY: Millis = 500
#: Where calls for an upstream that is not declared any more go: nowhere.
_NOWHERE = 'http://0.0.0.0:9'


class EnginePool:
    """Own the routing of this instance and the adapters of its engines.

    :param declared: reads the declarations in force.
    :param seed: makes routing's random choices repeatable.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        declared: Callable[[], Declarations],
        clock: Clock,
        seed: int,
    ) -> None:
        self._client = client
        self._declared = declared
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self.router = Router(clock, seed, self._protect)
        self.progress_by_work: dict[str, int] = {}

    async def run(self) -> None:
        """Follow time, progress and load, for ever."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._tick)
            nursery.start_soon(self._report_progress)
            nursery.start_soon(self._poll)

    def find(self, upstream: str) -> Engine:
        """Return the adapter of an upstream."""
        declared = self._declared().upstreams.get(upstream)
        address = declared.address if declared else _NOWHERE
        return HttpEngine(self._client, address, _ENGINE_TIMEOUT)

    def list_views(self) -> tuple[EngineView, ...]:
        """Return what routing knows of every engine."""
        return tuple(self.router.state.engines_by_upstream.values())

    def is_excluded(self, view: EngineView) -> bool:
        """Tell whether an engine gets no new work after failures."""
        return view.excluded_until > self._clock.now()

    def _protect(self, action: RaisePriority) -> None:
        if self._nursery is None:
            return
        engine = self.find(action.upstream)
        self._nursery.start_soon(
            engine.raise_priority, action.work_id, action.priority
        )

    async def _tick(self) -> None:
        while True:
            await trio.sleep(seconds(_TICK))
            self.router.tell(Tick())

    async def _report_progress(self) -> None:
        while True:
            await trio.sleep(seconds(_PROGRESS_EVERY))
            if self.progress_by_work:
                progress = dict(self.progress_by_work)
                self.router.tell(WorkProgressed(progress))

    async def _poll(self) -> None:
        while True:
            await trio.sleep(seconds(_REPORT_EVERY))
            async with trio.open_nursery() as nursery:
                for upstream in self.router.state.engines_by_upstream:
                    nursery.start_soon(self._poll_one, upstream)

    async def _poll_one(self, upstream: str) -> None:
        answer = await self.find(upstream).report()
        report = answer.value_or(None)
        if report is None:
            self.router.tell(UpstreamFailed(upstream))
            return
        self.router.tell(LoadHeard(upstream, report))
