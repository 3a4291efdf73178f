"""Keep this instance's part of what all instances share up to date."""

from collections import defaultdict
from dataclasses import replace

import trio

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.daemon.peers import Peers
from cartdale.daemon.serve import BoundListener
from cartdale.fleet.division import Participants
from cartdale.fleet.driver import Fleet
from cartdale.fleet.limit_gate import Regional
from cartdale.fleet.store_follower import StoreFollower
from cartdale.fleet.types import Lifecycle, Upstream
from cartdale.platform.settings import PlatformSettings
from cartdale.retries.window import RepeatBudget
from cartdale.scheduling.types import CHOICES, CHOICES_WITH_STALE_LOADS

#: Between looks at what the configuration and the peers bound.
_LOOK_EVERY: Millis = SECOND_MS
#: Between two looks as many join together.
_SHORTEST_PAUSE: Millis = 20
#: A service, and a region in which it has upstreams.
_Place = tuple[str, str]


class Shares:
    """Follow the limits in force and the instances that share them.

    :param callers: where the limits on callers hold.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        fleet: Fleet,
        follower: StoreFollower,
        peers: Peers,
        budget: RepeatBudget,
        callers: BoundListener,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._fleet = fleet
        self._follower = follower
        self._peers = peers
        self._budget = budget
        self._callers = callers

    async def run(self) -> None:
        """Look once a second, for ever, and as soon as others are known.

        Until then an instance that joins has a part of what this one uses.
        """
        self._look()
        with trio.move_on_after(as_seconds(_LOOK_EVERY)):
            await self._follower.synced.wait()
        while True:
            joined = self._peers.news.joined
            self._look()
            await trio.sleep(as_seconds(_SHORTEST_PAUSE))
            with trio.move_on_after(as_seconds(_LOOK_EVERY)):
                await joined.wait()

    def _look(self) -> None:
        limits = self._fleet.table.limits
        self._callers.limit(
            limits.header_bytes, limits.header_timeout, limits.idle_timeout
        )
        self._budget.participant_count = max(
            self._peers.news.count_alive(), self._peers.count_listed()
        )
        old_news = self._peers.news.uses_domain_summaries()
        self._fleet.choices = CHOICES_WITH_STALE_LOADS if old_news else CHOICES
        # Before the first read nobody is known who shares, and what an
        # instance sent before it started again is forgotten for a second.
        if self._follower.synced.is_set():
            self._fleet.cold_gate.divide_among(self._find_participants())
            participants = replace(
                self._peers.news.find_limit_participants(),
                plain_upstreams=self._list_plain_upstreams(),
            )
            self._fleet.limits.gate.divide_among(
                participants, self._clock.now()
            )

    def _list_plain_upstreams(self) -> dict[str, tuple[Regional, ...]]:
        """Return the upstreams of plain services that take work.

        :returns: their ids by service, those of each region apart.
        """
        names_by_place: defaultdict[_Place, list[str]] = defaultdict(list)
        for name, upstream in self._fleet.state.upstreams_by_id.items():
            place = self._find_place(upstream)
            if place is not None:
                names_by_place[place].append(name)
        listed: defaultdict[str, tuple[Regional, ...]] = defaultdict(tuple)
        for (service, _), names in sorted(names_by_place.items()):
            listed[service] += (tuple(sorted(names)),)
        return dict(listed)

    def _find_place(self, upstream: Upstream) -> _Place | None:
        """Return the place of a plain upstream that takes work."""
        entry = upstream.entry
        spec = self._fleet.table.services_by_name.get(entry.service)
        if spec is None or spec.engine is not None:
            return None
        if upstream.lifecycle is Lifecycle.LEAVING:
            return None
        domain = entry.failure_domain
        if domain in self._fleet.list_evacuated():
            return None
        return entry.service, self._settings.regions_by_domain.get(domain, '')

    def _find_participants(self) -> Participants:
        domain = self._settings.failure_domain
        domains = {domain, *self._settings.regions_by_domain}
        return Participants(
            self._settings.name,
            domain,
            tuple(sorted(domains)),
            self._peers.list_names_in(domain),
        )
