"""Poll the platform's instance list and exchange news with peers."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httpx
import trio
from returns.result import Success

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.codec import decode_json
from cartdale.exceptions import UndecodableError
from cartdale.membership.decide import decide, is_silent, list_alive
from cartdale.membership.ranking import rank_names
from cartdale.membership.selection import select_news
from cartdale.membership.types import (
    ROUND_MS,
    CrashesLearnt,
    ListedInstance,
    ListRead,
    MemberNews,
    MembershipState,
    Message,
    NewsReceived,
    PeerSilent,
    RoundBegan,
    SendNews,
)
from cartdale.peers.client import PeerClient
from cartdale.peers.messages import Exchange
from cartdale.quarantine.driver import Quarantine
from cartdale.quarantine.types import CrashesTold
from cartdale.supervision import keep_running, run_guarded

_LIST_INTERVAL: Millis = 20_000
#: An instance without known members, as after a start, polls more often.
_LIST_INTERVAL_ALONE: Millis = 2 * SECOND_MS
_LIST_TIMEOUT: Millis = 3 * SECOND_MS
_JITTER = 0.2
#: Maximum age at which a cached ranking of members is reused.
MAX_RANKING_AGE: Millis = SECOND_MS
#: Time in which crashes are collected into one message, since all runs on an
#: engine break at the same moment.
_CRASH_BATCH_DELAY: Millis = SECOND_MS // 10

NewsFrom = Callable[[MemberNews], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class InstanceList:
    """Hold the platform's instance list."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class MembershipPorts:
    """Bundle the dependencies of membership.

    :param list_url: URL of the platform's instance list.
    :param on_news: called with a peer's own news after each exchange, whichever
        of the two started it.
    :param quarantine: source and target of the crashes exchanged with the news.
    """

    client: httpx.AsyncClient
    peers: PeerClient
    clock: Clock
    list_url: str
    on_news: NewsFrom
    quarantine: Quarantine


class Membership:
    """Hold this instance's view of the other members."""

    def __init__(self, ports: MembershipPorts, own: MemberNews) -> None:
        self._ports = ports
        self._generator = random.Random(own.name)
        self._urgent = trio.Event()
        self._crashes_learnt = trio.Event()
        self._pending: list[SendNews] = []
        self._nursery: trio.Nursery | None = None
        self._ranked_by_key: dict[str, list[MemberNews]] = {}
        self._ranked_at: Millis = 0
        self.state = MembershipState(own)

    async def run(self) -> None:
        """Exchange news until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name, task in (
                ('instance list', self._poll_list),
                ('member news', self._gossip),
                ('urgent member news', self._send_urgent),
                ('crash news', self._publish_crashes),
            ):
                nursery.start_soon(keep_running, name, task)

    def publish_crashes(self) -> None:
        """Send known crashes to some peers soon, which spread them further."""
        self._crashes_learnt.set()

    @property
    def name(self) -> str:
        """Return this instance's name."""
        return self.state.own.name

    def dispatch(self, message: Message) -> None:
        """Apply a message and schedule the resulting exchanges."""
        self._pending.extend(self._apply(message))
        self._clear_rankings()
        if self._pending:
            self._urgent.set()

    def answer(self, exchange: Exchange) -> Exchange:
        """Apply a peer's news and return this instance's news."""
        self._receive(exchange.news)
        quarantine = self._ports.quarantine
        quarantine.dispatch(CrashesTold(exchange.crashes))
        sender = exchange.news[0] if exchange.news else None
        return Exchange(select_news(self.state, sender), quarantine.list_news())

    def alive(self) -> tuple[MemberNews, ...]:
        """Return the members believed to be alive."""
        return list_alive(self.state, self._ports.clock.now())

    def find_address(self, name: str) -> str | None:
        """Return a member's address, or ``None`` if its news stopped.

        Members that are suspected have one too.
        """
        member = self.state.members_by_name.get(name)
        now = self._ports.clock.now()
        if member is None or is_silent(self.state, member, now):
            return None
        return member.news.address

    def rank(self, key: str) -> list[MemberNews]:
        """Return the live members, the preferred one for a key first.

        Rankings are cached for ``MAX_RANKING_AGE`` or until a call to a member
        fails; computing one for 370 members takes about a millisecond.
        """
        if self._ports.clock.now() - self._ranked_at >= MAX_RANKING_AGE:
            self._clear_rankings()
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            news_by_name = {news.name: news for news in self.alive()}
            names = rank_names(key, news_by_name)
            ranked = [news_by_name[name] for name in names]
            self._ranked_by_key[key] = ranked
        return ranked

    def _clear_rankings(self) -> None:
        self._ranked_by_key.clear()
        self._ranked_at = self._ports.clock.now()

    def _apply(self, message: Message) -> tuple[SendNews, ...]:
        after, actions = decide(self.state, message, self._ports.clock.now())
        self.state = after
        return actions

    def _receive(self, news: tuple[MemberNews, ...]) -> None:
        """Apply a peer's news, and report its own to the other slices.

        They may make calls, for which neither the peer nor a round waits.
        """
        self._apply(NewsReceived(news))
        if news and self._nursery is not None:
            self._nursery.start_soon(
                run_guarded, 'news of members', self._ports.on_news, news[0]
            )

    async def _gossip(self) -> None:
        while True:
            exchanges = self._apply(RoundBegan())
            async with trio.open_nursery() as nursery:
                for exchange in exchanges:
                    nursery.start_soon(
                        run_guarded, 'exchanges', self._exchange, exchange
                    )
            await trio.sleep(as_seconds(self._add_jitter(ROUND_MS)))

    async def _send_urgent(self) -> None:
        while True:
            await self._urgent.wait()
            self._urgent = trio.Event()
            exchanges = tuple(self._pending)
            self._pending.clear()
            async with trio.open_nursery() as nursery:
                for exchange in exchanges:
                    nursery.start_soon(
                        run_guarded, 'exchanges', self._exchange, exchange
                    )

    async def _publish_crashes(self) -> None:
        while True:
            await self._crashes_learnt.wait()
            await trio.sleep(as_seconds(_CRASH_BATCH_DELAY))
            self._crashes_learnt = trio.Event()
            self.dispatch(CrashesLearnt())

    async def _exchange(self, exchange: SendNews) -> None:
        answer = await self._ports.peers.request(
            exchange.name,
            exchange.address,
            Exchange(exchange.news, self._ports.quarantine.list_news()),
            Exchange,
            times_clock=True,
        )
        match answer:
            case Success(Exchange(news=news, crashes=crashes)) if news:
                self._ports.quarantine.dispatch(CrashesTold(crashes))
                self._receive(news)
            case _:
                self._apply(PeerSilent(exchange.name))

    async def _poll_list(self) -> None:
        while True:
            await self._read_list()
            alone = not self.state.members_by_name
            interval = _LIST_INTERVAL_ALONE if alone else _LIST_INTERVAL
            await trio.sleep(as_seconds(self._add_jitter(interval)))

    async def _read_list(self) -> None:
        try:
            response = await self._ports.client.get(
                self._ports.list_url, timeout=as_seconds(_LIST_TIMEOUT)
            )
            response.raise_for_status()
            listed = decode_json(response.content, InstanceList)
        except (httpx.HTTPError, UndecodableError):
            return
        self._apply(ListRead(listed.instances))

    def _add_jitter(self, interval: Millis) -> Millis:
        factor = 1 + self._generator.uniform(-_JITTER, _JITTER)
        return int(interval * factor)
