"""Know which generations run here, and move them when their engine leaves."""

from collections.abc import Callable

import trio
from loguru import logger

from cartdale.clock import Clock, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import LeavingAnnounced, Lifecycle, UpstreamEntry
from cartdale.moves.estimates import (
    OTHER_DOMAIN_FACTOR,
    SAME_DOMAIN_FACTOR,
    SourceLink,
)
from cartdale.moves.leaving import ASK_EVERY, LeavingEngine, read_report
from cartdale.moves.ports import MovableGeneration
from cartdale.relay.types import UpstreamPort
from cartdale.routes.types import EngineSpec
from cartdale.switches import Mechanism

#: An engine is asked by the one who does so for all at each second look: its
#: report is half a second old, and it leaves 1.5 s and more after its notice.
#: At each look while the store is lost, where the notice would be seen else.
_LOOKS_PER_QUESTION = 2
#: Where an engine has others in its failure domain, some targets are among
#: them and some elsewhere.
_MIXED_FACTOR = (SAME_DOMAIN_FACTOR + OTHER_DOMAIN_FACTOR) / 2


class Mover:
    """Move this instance's generations away from engines that leave.

    :param cut_off: tells whether neither the store nor peers can be heard.
    :param asks: tells whether this instance asks an engine for all others.
    :param store_lost: tells whether the store does not answer here.
    """

    def __init__(
        self,
        fleet: Fleet,
        upstreams: UpstreamPort,
        clock: Clock,
        cut_off: Callable[[], bool],
        asks: Callable[[UpstreamEntry], bool],
        store_lost: Callable[[], bool],
    ) -> None:
        self._store_lost = store_lost
        self._cut_off = cut_off
        self._asks = asks
        self._fleet = fleet
        self._upstreams = upstreams
        self._clock = clock
        #: The upstreams that each generation was told to leave. Callers may
        #: give two requests one id, or none, so that ids are no keys.
        self._told_by_generation: dict[MovableGeneration, set[str]] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Move generations, for ever."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._fleet.on_leaving = self.begin
            self._fleet.on_restarted = self.forget_life
            self._fleet.on_evacuating = self.give_up_backups
            looks = 0
            while True:
                await trio.sleep(as_seconds(ASK_EVERY))
                self._move_late_arrivals()
                looks += 1
                await self._ask_engines(looks)

    def add(self, generation: MovableGeneration) -> None:
        """Watch over a generation."""
        self._told_by_generation[generation] = set()

    def list_generations(self) -> list[MovableGeneration]:
        """Return the generations that are watched over."""
        return list(self._told_by_generation)

    def remove(self, generation: MovableGeneration) -> None:
        """Forget a generation that has ended."""
        self._told_by_generation.pop(generation, None)

    def begin(self, upstream: str) -> None:
        """Move everything away from an upstream, and give up backups there.

        A generation that stayed at an engine that leaves, since it had a
        backup, is told again at once: engines are often reclaimed together,
        and each tenth of a second is a third of a copy.
        """
        left = {upstream} | self._lose_backups_at(upstream)
        if self._nursery is not None:
            for name in left:
                self._nursery.start_soon(self._empty, name)

    def forget_life(self, upstream: str) -> None:
        """Take what an upstream kept as lost: it started again."""
        for told in self._told_by_generation.values():
            told.discard(upstream)
        for name in self._lose_backups_at(upstream):
            self.begin(name)

    def give_up_backups(self, failure_domain: str) -> None:
        """Count on no backup in a failure domain that is evacuated.

        What runs there goes on to its end: it is no new work, and copies of
        all of it would fill the engines that are left.
        """
        for name, upstream in self._fleet.state.upstreams_by_id.items():
            if upstream.entry.failure_domain == failure_domain:
                self._lose_backups_at(name)

    def _lose_backups_at(self, upstream: str) -> set[str]:
        """Give up backups; return the leaving engines that so are left."""
        left: set[str] = set()
        for each, told in self._told_by_generation.items():
            if each.backup == upstream:
                each.lose_backup()
                told.discard(each.upstream)
                if self._is_leaving(each.upstream):
                    left.add(each.upstream)
        return left

    async def _empty(self, name: str) -> None:
        """Move this instance's generations away from an engine."""
        if not self._fleet.switches.is_enabled(Mechanism.MOVES):
            return
        upstream = self._fleet.find(name)
        own = self._untold_at(name)
        engine = self._engine_of(upstream.entry) if upstream else None
        if upstream is None or engine is None or not (own and engine.moves):
            return
        link = self._describe_link(upstream.entry, engine)
        for each in own:
            self._told_by_generation[each].add(name)
        leaving = LeavingEngine(
            self._fleet, self._upstreams, self._clock, upstream.entry, link
        )
        await leaving.move_all(own)

    def _move_late_arrivals(self) -> None:
        """Move what came to an engine only after it began to leave."""
        for name in self._fleet.state.upstreams_by_id:
            if self._is_leaving(name) and self._untold_at(name):
                self.begin(name)

    async def _ask_engines(self, looks: int) -> None:
        """Ask engines themselves, as nobody may tell that they leave.

        :param looks: times that this was considered.
        """
        if self._cut_off():
            names = {each.upstream for each in self._told_by_generation}
        elif self._store_lost() or looks % _LOOKS_PER_QUESTION == 0:
            known = self._fleet.state.upstreams_by_id
            names = {name for name in known if self._probes(name)}
        else:
            return
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self._ask, name)

    async def _ask(self, name: str) -> None:
        known = self._fleet.find(name)
        if known is None or known.lifecycle is Lifecycle.LEAVING:
            return
        if known.backoff_until > self._clock.now():
            return
        report = await read_report(self._upstreams, known.entry)
        if report.leaving or report.leaves_in is not None:
            logger.info('engine says it leaves', upstream=name)
            self._fleet.dispatch(LeavingAnnounced(name, born=report.born))

    def _is_leaving(self, name: str) -> bool:
        known = self._fleet.find(name)
        return known is not None and known.lifecycle is Lifecycle.LEAVING

    def _probes(self, name: str) -> bool:
        known = self._fleet.find(name)
        if known is None or self._engine_of(known.entry) is None:
            return False
        return self._asks(known.entry)

    def _untold_at(self, upstream: str) -> list[MovableGeneration]:
        """Return the generations there that were not told to leave yet."""
        return [
            each
            for each, told in self._told_by_generation.items()
            if each.upstream == upstream and upstream not in told
        ]

    def _describe_link(
        self, entry: UpstreamEntry, engine: EngineSpec
    ) -> SourceLink:
        """Return what is known of the link that copies leave by."""
        has_neighbor = any(
            each.lifecycle is Lifecycle.LIVE
            and each.entry.service == entry.service
            and each.entry.failure_domain == entry.failure_domain
            for each in self._fleet.state.upstreams_by_id.values()
        )
        return SourceLink(
            engine, _MIXED_FACTOR if has_neighbor else OTHER_DOMAIN_FACTOR
        )

    def _engine_of(self, entry: UpstreamEntry) -> EngineSpec | None:
        spec = self._fleet.table.services_by_name.get(entry.service)
        return spec.engine if spec else None
