"""Keep this instance's part of what all instances share up to date."""

import trio

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.daemon.peers import Peers
from cartdale.daemon.serve import BoundListener
from cartdale.fleet.choose import CHOICES, CHOICES_WITH_STALE_LOADS
from cartdale.fleet.division import Participants
from cartdale.fleet.driver import Fleet
from cartdale.fleet.store_follower import StoreFollower
from cartdale.platform.settings import PlatformSettings
from cartdale.retries.window import RepeatBudget

#: Between looks at what the configuration and the peers bound.
_LOOK_EVERY: Millis = SECOND_MS


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
        """Look once a second, for ever, and as soon as others are known."""
        self._look()
        with trio.move_on_after(as_seconds(_LOOK_EVERY)):
            await self._follower.synced.wait()
        while True:
            self._look()
            await trio.sleep(as_seconds(_LOOK_EVERY))

    def _look(self) -> None:
        limits = self._fleet.table.limits
        self._callers.limit(limits.header_bytes, limits.idle_timeout)
        self._budget.participant_count = max(
            self._peers.news.count_alive(), self._peers.count_listed()
        )
        old_news = self._peers.news.uses_domain_summaries()
        self._fleet.choices = CHOICES_WITH_STALE_LOADS if old_news else CHOICES
        # Before the first read nobody is known who shares, and what an
        # instance sent before it started again is forgotten for a second.
        if self._follower.synced.is_set():
            self._fleet.cold_gate.divide_among(self._find_participants())
            self._fleet.limits.gate.divide_among(
                self._peers.news.find_limit_participants(), self._clock.now()
            )

    def _find_participants(self) -> Participants:
        domain = self._settings.failure_domain
        domains = {domain, *self._settings.regions_by_domain}
        return Participants(
            self._settings.name,
            domain,
            tuple(sorted(domains)),
            self._peers.list_names_in(domain),
        )
