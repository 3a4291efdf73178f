"""Track the generations of this instance and move them off leaving engines."""

from collections.abc import Callable

import trio
from loguru import logger

from cartdale.clock import Clock, as_seconds
from cartdale.fleet.driver import Fleet, FleetCallbacks
from cartdale.fleet.types import LeavingAnnounced, Lifecycle, UpstreamEntry
from cartdale.moves.estimates import (
    OTHER_DOMAIN_FACTOR,
    SAME_DOMAIN_FACTOR,
    SourceLink,
)
from cartdale.moves.leaving import QUERY_INTERVAL, LeavingEngine, read_report
from cartdale.moves.ports import MovableGeneration
from cartdale.relay.types import UpstreamPort
from cartdale.routes.types import EngineSpec
from cartdale.supervision import contain, keep_running, run_guarded
from cartdale.switches import Mechanism

#: The instance that queries an engine for all instances does so at every second
#: check: the report is half a second old, and the engine leaves 1.5 s or more
#: after its notice. While the store, which normally delivers the notice, is
#: lost, the engine is queried at every check.
_CHECKS_PER_QUERY = 2
#: If an engine has peers in its failure domain, some targets are among them
#: and some in other domains.
_MIXED_FACTOR = (SAME_DOMAIN_FACTOR + OTHER_DOMAIN_FACTOR) / 2


class Mover:
    """Move this instance's generations off engines that are leaving.

    :param is_isolated: returns whether neither the store nor any peer is
        reachable.
    :param is_querier: returns whether this instance queries an engine on
        behalf of all instances.
    :param store_lost: returns whether the store is unreachable from here.
    """

    def __init__(
        self,
        fleet: Fleet,
        upstreams: UpstreamPort,
        clock: Clock,
        is_isolated: Callable[[], bool],
        is_querier: Callable[[UpstreamEntry], bool],
        store_lost: Callable[[], bool],
    ) -> None:
        self._store_lost = store_lost
        self._is_isolated = is_isolated
        self._is_querier = is_querier
        self._fleet = fleet
        self._upstreams = upstreams
        self._clock = clock
        #: The upstreams that each generation was told to leave. Request ids
        #: can't be keys: callers may reuse an id, or give none.
        self._ordered_by_generation: dict[MovableGeneration, set[str]] = {}
        #: Engines whose reports are being read.
        self._queried: set[str] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Move generations until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._fleet.callbacks = FleetCallbacks(
                self.begin, self.handle_restart, self.drop_backups_in
            )
            nursery.start_soon(
                keep_running, 'checks of engines', self._check_engines, nursery
            )

    def add(self, generation: MovableGeneration) -> None:
        """Track a generation."""
        self._ordered_by_generation[generation] = set()

    def list_generations(self) -> list[MovableGeneration]:
        """Return the tracked generations."""
        return list(self._ordered_by_generation)

    def remove(self, generation: MovableGeneration) -> None:
        """Stop tracking a generation that has ended."""
        self._ordered_by_generation.pop(generation, None)

    def begin(self, upstream: str) -> None:
        """Move all generations off an upstream, and drop the backups there.

        A generation that stayed at a leaving engine because it had a backup is
        told again at once if that backup is lost: engines are often reclaimed
        together, and 100 ms is a third of the time of a copy.
        """
        affected = {upstream} | self._lose_backups_at(upstream)
        if self._nursery is not None:
            for name in affected:
                self._nursery.start_soon(
                    run_guarded, 'moves', self._move_all_from, name
                )

    def handle_restart(self, upstream: str) -> None:
        """Drop the backups at an upstream that restarted."""
        for ordered in self._ordered_by_generation.values():
            ordered.discard(upstream)
        for name in self._lose_backups_at(upstream):
            self.begin(name)

    def drop_backups_in(self, failure_domain: str) -> None:
        """Drop all backups in a failure domain that is evacuated.

        Generations that run there continue to their end: an evacuation stops
        only new work, and copies of all of them would fill the remaining
        engines.
        """
        for name, upstream in self._fleet.state.upstreams_by_id.items():
            if upstream.entry.failure_domain == failure_domain:
                self._lose_backups_at(name)

    def _lose_backups_at(self, upstream: str) -> set[str]:
        """Drop backups; return the leaving engines to move generations from.

        These are the leaving engines whose generations lost their backups.
        """
        affected: set[str] = set()
        for each, ordered in self._ordered_by_generation.items():
            if each.backup == upstream:
                each.lose_backup()
                ordered.discard(each.upstream)
                if self._is_leaving(each.upstream):
                    affected.add(each.upstream)
        return affected

    async def _check_engines(self, nursery: trio.Nursery) -> None:
        """Look for generations to move, and for engines that leave."""
        checks = 0
        while True:
            await trio.sleep(as_seconds(QUERY_INTERVAL))
            with contain('late moves'):
                self._move_late_arrivals()
            checks += 1
            self._query_engines(nursery, checks)

    async def _move_all_from(self, name: str) -> None:
        """Move this instance's generations off an engine."""
        if not self._fleet.switches.is_enabled(Mechanism.MOVES):
            return
        upstream = self._fleet.find(name)
        own = self._unordered_at(name)
        engine = self._engine_of(upstream.entry) if upstream else None
        if upstream is None or engine is None or not (own and engine.moves):
            return
        link = self._describe_link(upstream.entry, engine)
        for each in own:
            self._ordered_by_generation[each].add(name)
        leaving = LeavingEngine(
            self._fleet, self._upstreams, self._clock, upstream.entry, link
        )
        await leaving.move_all(own)

    def _move_late_arrivals(self) -> None:
        """Move generations that reached an engine after it began to leave."""
        for name in self._fleet.state.upstreams_by_id:
            if self._is_leaving(name) and self._unordered_at(name):
                self.begin(name)

    def _query_engines(self, nursery: trio.Nursery, checks: int) -> None:
        """Query engines directly, since no other source may announce a notice.

        One that does not respond is not waited for, or the notices of others
        would be read late.

        :param checks: number of checks so far.
        """
        if self._is_isolated():
            names = {each.upstream for each in self._ordered_by_generation}
        elif self._store_lost() or checks % _CHECKS_PER_QUERY == 0:
            known = self._fleet.state.upstreams_by_id
            names = {name for name in known if self._is_queried_here(name)}
        else:
            return
        for name in names - self._queried:
            self._queried.add(name)
            nursery.start_soon(
                run_guarded, 'queries of engines', self._query, name
            )

    async def _query(self, name: str) -> None:
        try:
            await self._read_notice(name)
        finally:
            self._queried.discard(name)

    async def _read_notice(self, name: str) -> None:
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

    def _is_queried_here(self, name: str) -> bool:
        known = self._fleet.find(name)
        if known is None or self._engine_of(known.entry) is None:
            return False
        return self._is_querier(known.entry)

    def _unordered_at(self, upstream: str) -> list[MovableGeneration]:
        """Return the generations there that were not yet told to leave."""
        return [
            each
            for each, ordered in self._ordered_by_generation.items()
            if each.upstream == upstream and upstream not in ordered
        ]

    def _describe_link(
        self, entry: UpstreamEntry, engine: EngineSpec
    ) -> SourceLink:
        """Return the properties of the engine's outbound link."""
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
