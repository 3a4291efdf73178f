"""Publish the state of this failure domain to the other failure domains."""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import trio

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.news.decide import ALIVE_MS, count_reporters
from cartdale.news.limits import merge_limit_news, sum_demand
from cartdale.news.recipients import (
    choose_domain_recipients,
    list_lagging_domains,
)
from cartdale.news.roles import (
    counts_wide,
    find_publishing_rank,
    is_wide,
)
from cartdale.news.types import DomainNews, NewsState, PeerEntry, ReceivedNews
from cartdale.news.writing import NewsWriter
from cartdale.peers.authentication import Authenticator

#: Minimum time between two messages, however urgent the change.
_MIN_INTERVAL: Millis = 20
#: Time between two messages after a change. Each message goes to one instance
#: of each other domain, which forwards it within that domain.
_CHANGED_INTERVAL: Millis = 100
#: Time between two messages without a change.
_UNCHANGED_INTERVAL: Millis = 400
#: Time after a version came in force here from which a domain that reports an
#: older one counts as lagging; its own news takes up to about as long.
_LAGGING_AFTER: Millis = 300
#: Time after which it no longer does: its instances have read the store.
_LAGGING_UNTIL: Millis = 10 * SECOND_MS
#: Further time, for each live instance that comes before it as a publisher,
#: after which an instance publishes to lagging domains in their place.
_STAND_IN_AFTER: Millis = 300
#: Instances that publish besides the first one.
_MAX_STAND_INS = 2


class NewsChannel(Protocol):
    """Give access to the news received, and send messages."""

    state: NewsState
    authenticator: Authenticator | None

    @property
    def own(self) -> PeerEntry:
        """Return the entry by which peers reach this instance."""

    def list_recipients(self) -> list[PeerEntry]:
        """Return the peers to which this instance sends its news."""

    def send_to(self, signed: bytes, peer: PeerEntry) -> None:
        """Send a message to a peer; it may be lost."""


class DomainPublisher:
    """Publish news of the failure domain while this instance has that role.

    :param news: channel that holds the news received here.
    :param writer: writes messages from the state of this instance's fleet.
    :param store_lost: returns whether the store is unreachable from here.
    """

    def __init__(
        self,
        news: NewsChannel,
        writer: NewsWriter,
        fleet: Fleet,
        clock: Clock,
        store_lost: Callable[[], bool],
    ) -> None:
        self._news = news
        self._writer = writer
        self._fleet = fleet
        self._clock = clock
        self._store_lost = store_lost
        #: Versions of the urgent state at the last wake-up.
        self._urgent_versions = (0, 0, 0)
        #: Versions and when each was first seen in force here.
        self._versions: list[tuple[Millis, int]] = []

    async def run(self) -> None:
        """Publish while this instance has the role; runs until cancelled."""
        sent = None
        sent_at: Millis = 0
        turn = 0
        lagging: set[str] | None = None
        while True:
            await self._pause(publishes=lagging is not None)
            now = self._clock.now()
            self.note_version(now)
            lagging = self.find_lagging(now)
            if self._news.authenticator is None or lagging is None:
                continue
            # A change of a limit also counts in `lifecycles`.
            news, urgent = self._describe(now), self._urgent_versions
            interval = _CHANGED_INTERVAL if lagging else _UNCHANGED_INTERVAL
            if (news, urgent) == sent and now - sent_at < interval:
                continue
            sent, sent_at = (news, urgent), now
            news = self._add_aged_parts(news, now)
            turn += 1
            for peer in choose_domain_recipients(
                self._news.state, self._news.own, now, turn, lagging
            ):
                signed = self._writer.sign_domain_news(
                    self._news.authenticator, news, peer.name
                )
                self._news.send_to(signed, peer)

    def find_lagging(self, now: Millis) -> set[str] | None:
        """Return the failure domains that should have a version by now.

        :returns: ``None`` while this instance does not publish. The publisher
            may be alive without its news reaching a domain; the next ones in
            the order then publish too.
        """
        state, own = self._news.state, self._news.own
        rank = find_publishing_rank(state, own, now)
        if rank > _MAX_STAND_INS or not is_wide(state, now):
            return None
        after = _LAGGING_AFTER + rank * _STAND_IN_AFTER
        lagging = list_lagging_domains(
            state, own, now, self._find_version(now - after)
        ) - list_lagging_domains(
            state, own, now, self._find_version(now - _LAGGING_UNTIL)
        )
        return lagging if lagging or not rank else None

    def note_version(self, now: Millis) -> None:
        """Remember since when the version in force here is."""
        version = self._fleet.table.version
        if self._versions and version == self._versions[-1][1]:
            return
        self._versions.append((now, version))
        while now - self._versions[0][0] > 2 * _LAGGING_UNTIL:
            self._versions.pop(0)

    def _find_version(self, at: Millis) -> int:
        """Return the version that was in force here at a time; 0 for none."""
        return max(
            (version for since, version in self._versions if since <= at),
            default=0,
        )

    def _add_aged_parts(self, news: DomainNews, now: Millis) -> DomainNews:
        """Add the parts that carry an age, which differs in every message."""
        limits = merge_limit_news(
            self._writer.list_limits(), self._list_domain_news(now), now
        )
        crashes = self._fleet.quarantine.list_news()
        names = [peer.name for peer in self._news.list_recipients()]
        speeds = self._fleet.speeds.write_domain_news(names, now)
        admission = self._fleet.order.describe_domain(names)
        return replace(
            news,
            crashes=crashes,
            limits=limits,
            speeds=speeds,
            admission=admission,
        )

    async def _pause(self, *, publishes: bool) -> None:
        """Wait until the next message is due or an urgent change occurs.

        A leaving upstream announces it only a second or two ahead, and the
        instance that watches the store may be in another failure domain.

        :param publishes: whether this instance published last; no change is
            urgent for one that did not.
        """
        if not publishes:
            await trio.sleep(as_seconds(_CHANGED_INTERVAL))
            self._urgent_versions = self._list_urgent_versions()
            return
        await trio.sleep(as_seconds(_MIN_INTERVAL))
        with trio.move_on_after(as_seconds(_CHANGED_INTERVAL - _MIN_INTERVAL)):
            while self._urgent_versions == self._list_urgent_versions():
                await self._fleet.changed()
        self._urgent_versions = self._list_urgent_versions()

    def _list_urgent_versions(self) -> tuple[int, int, int]:
        """Return version counters of state that other domains need soon."""
        fleet = self._fleet
        crashes = fleet.quarantine.version
        return fleet.lifecycles, fleet.table.version, crashes

    def _describe(self, now: Millis) -> DomainNews:
        names = [peer.name for peer in self._news.list_recipients()]
        alive = [received.news for received in self._list_domain_news(now)]
        loads_by_upstream = self._fleet.loads.shared_totals(names, now)
        lost = self._store_lost() and all(news.store_lost for news in alive)
        news = self._writer.describe_domain(
            1 + len(alive),
            loads_by_upstream,
            self._count_reporters(now),
            store_lost=lost,
        )
        own = self._fleet.limits.measure_demand()
        return replace(
            news,
            offers=sum_demand((own, *(each.offers for each in alive))),
            wide=counts_wide(self._news.state)
            or any(each.wide for each in alive),
        )

    def _list_domain_news(self, now: Millis) -> list[ReceivedNews]:
        """Return the recent news of the peers in this domain."""
        received_by_name = self._news.state.received_by_name
        return [
            received_by_name[peer.name]
            for peer in self._news.list_recipients()
            if peer.name in received_by_name
            and now - received_by_name[peer.name].at <= ALIVE_MS
        ]

    def _count_reporters(self, now: Millis) -> dict[str, int]:
        """Count, by upstream, the instances here that can't reach it."""
        own = self._writer.list_unreachable()
        reporters_by_upstream = {
            upstream: count_reporters(
                self._news.state, upstream, now, own_domain_only=True
            )
            + (upstream in own)
            for upstream in self._fleet.state.upstreams_by_id
        }
        return {
            upstream: count
            for upstream, count in reporters_by_upstream.items()
            if count
        }
