"""Tell other failure domains what the instances of this one have and know."""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import trio

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.news.decide import ALIVE_MS, count_reporters
from cartdale.news.limits import merge_limit_news, sum_demand
from cartdale.news.roles import choose_domain_recipients, is_domain_publisher
from cartdale.news.types import DomainNews, NewsState, PeerEntry, ReceivedNews
from cartdale.news.writing import NewsWriter
from cartdale.peers.authentication import Authenticator

#: Between two messages at the least, however urgent.
_URGENT_EVERY: Millis = 20
#: Between two messages when something changed: each goes to one instance of
#: each other domain, which passes it on.
_CHANGED_EVERY: Millis = 100
#: Between two messages when nothing is new.
_UNCHANGED_EVERY: Millis = 400


class NewsChannel(Protocol):
    """Tell what was heard, and send."""

    state: NewsState
    authenticator: Authenticator | None

    @property
    def own(self) -> PeerEntry:
        """Return how this instance is reached."""

    def list_recipients(self) -> list[PeerEntry]:
        """Return the peers to which this instance tells its news."""

    def send_to(self, signed: bytes, peer: PeerEntry) -> None:
        """Send a message to a peer; it may be lost."""


class DomainPublisher:
    """Speak for a failure domain, while that is this instance's duty.

    :param news: what this instance heard.
    :param writer: writes messages from what this instance's fleet holds.
    :param store_lost: tells whether the store does not answer here.
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
        #: What was urgent when this instance last considered to speak.
        self._spoken_of = (0, 0, 0)

    async def run(self) -> None:
        """Speak while that is the duty here, for ever."""
        told = None
        told_at: Millis = 0
        turn = 0
        while True:
            await self._pause()
            now = self._clock.now()
            if self._news.authenticator is None or not is_domain_publisher(
                self._news.state, self._news.own, now
            ):
                continue
            # A limit that changed is among the lifecycles.
            news, urgent = self._describe(now), self._spoken_of
            if (news, urgent) == told and now - told_at < _UNCHANGED_EVERY:
                continue
            told, told_at = (news, urgent), now
            news = self._add_aged(news, now)
            turn += 1
            for peer in choose_domain_recipients(
                self._news.state, self._news.own, now, turn
            ):
                signed = self._writer.sign_domain_news(
                    self._news.authenticator, news, peer.name
                )
                self._news.send_to(signed, peer)

    def _add_aged(self, news: DomainNews, now: Millis) -> DomainNews:
        """Add what has an age, which changes always."""
        limits = merge_limit_news(
            self._writer.list_limits(), self._list_around(now), now
        )
        crashes = self._fleet.quarantine.list_news()
        return replace(news, crashes=crashes, limits=limits)

    async def _pause(self) -> None:
        """Wait for the next time to speak, or until something is urgent.

        An upstream that leaves gives a second or two of notice; who watches
        the store may be in another failure domain.
        """
        await trio.sleep(as_seconds(_URGENT_EVERY))
        with trio.move_on_after(as_seconds(_CHANGED_EVERY - _URGENT_EVERY)):
            while self._spoken_of == self._list_urgent():
                await self._fleet.changed()
        self._spoken_of = self._list_urgent()

    def _list_urgent(self) -> tuple[int, int, int]:
        """Return what changes with whatever other domains must hear soon."""
        fleet = self._fleet
        crashes = fleet.quarantine.version
        return fleet.lifecycles, fleet.table.version, crashes

    def _describe(self, now: Millis) -> DomainNews:
        names = [peer.name for peer in self._news.list_recipients()]
        alive = [heard.news for heard in self._list_around(now)]
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
            news, offers=sum_demand((own, *(each.offers for each in alive)))
        )

    def _list_around(self, now: Millis) -> list[ReceivedNews]:
        """Return what the instances of this domain told of late."""
        received_by_name = self._news.state.received_by_name
        return [
            received_by_name[peer.name]
            for peer in self._news.list_recipients()
            if peer.name in received_by_name
            and now - received_by_name[peer.name].at <= ALIVE_MS
        ]

    def _count_reporters(self, now: Millis) -> dict[str, int]:
        """Count the instances of this domain that can't reach an upstream."""
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
