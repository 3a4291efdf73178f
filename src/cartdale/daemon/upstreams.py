"""Reach the engines that are declared, and follow their load."""

from collections.abc import Callable
from typing import Protocol

import httpx
import trio

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.declarations.types import Declarations
from cartdale.engines.http import HttpEngine
from cartdale.engines.types import Engine
from cartdale.routing.driver import Router
from cartdale.routing.types import (
    EngineView,
    EntryGone,
    LoadReportReceived,
    Tick,
    UpstreamFailed,
)
from cartdale.supervision import contain, keep_running, run_guarded

_ENGINE_TIMEOUT: Millis = 2 * SECOND_MS
_TICK: Millis = 100
_REPORT_EVERY: Millis = 500
_FOLLOW_EVERY: Millis = 2 * SECOND_MS
#: Where calls for an upstream that is not declared any more go: nowhere.
_NOWHERE = 'http://0.0.0.0:9'


class GroupView(Protocol):
    """Tell what an engine pool needs to know of the other instances."""

    def decides_for(self, upstream: str) -> bool:
        """Tell whether this instance is the placer of an engine."""

    def alive_names(self) -> frozenset[str]:
        """Return the names of the members believed to be alive."""


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
        self.declared = declared
        self._clock = clock
        #: Engines whose reports are being read.
        self._polled: set[str] = set()
        #: Members that were alive at the last look.
        self._alive: frozenset[str] = frozenset()
        self.router = Router(clock, seed)

    async def run(self, group: GroupView) -> None:
        """Follow time, other instances and the load of engines, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, 'routing', self._tick)
            nursery.start_soon(
                keep_running, 'polls of engines', self._poll, group, nursery
            )
            nursery.start_soon(
                keep_running, 'entries', self._follow_entries, group
            )

    def find(self, upstream: str) -> Engine:
        """Return the adapter of an upstream."""
        declared = self.declared().upstreams.get(upstream)
        address = declared.address if declared else _NOWHERE
        return HttpEngine(self._client, address, _ENGINE_TIMEOUT)

    def list_views(self) -> tuple[EngineView, ...]:
        """Return what routing knows of every engine."""
        return tuple(self.router.state.engines_by_upstream.values())

    def is_excluded(self, view: EngineView) -> bool:
        """Tell whether an engine gets no new work after failures."""
        return view.excluded_until > self._clock.now()

    async def _tick(self) -> None:
        while True:
            await trio.sleep(as_seconds(_TICK))
            if self.router.state.waiting:
                self.router.dispatch(Tick())

    async def _poll(self, group: GroupView, nursery: trio.Nursery) -> None:
        """Poll engines, without waiting for one that does not answer."""
        while True:
            await trio.sleep(as_seconds(_REPORT_EVERY))
            for upstream in self._list_due(group):
                self._polled.add(upstream)
                nursery.start_soon(
                    run_guarded, 'polls of engines', self._poll_one, upstream
                )

    def _list_due(self, group: GroupView) -> list[str]:
        """Return the engines that this instance decides for and may poll."""
        return [
            upstream
            for upstream in self.router.state.engines_by_upstream
            if upstream not in self._polled and group.decides_for(upstream)
        ]

    async def _follow_entries(self, group: GroupView) -> None:
        while True:
            alive = group.alive_names()
            gone = self._alive - alive
            self._alive = alive
            for name in gone:
                with contain('entries', entry=name):
                    self.router.dispatch(EntryGone(name))
            await trio.sleep(as_seconds(_FOLLOW_EVERY))

    async def _poll_one(self, upstream: str) -> None:
        try:
            answer = await self.find(upstream).report()
        finally:
            self._polled.discard(upstream)
        report = answer.value_or(None)
        if report is None:
            self.router.dispatch(UpstreamFailed(upstream))
            return
        self.router.dispatch(LoadReportReceived(upstream, report))
