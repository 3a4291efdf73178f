"""Wire the detours of an instance to its peers."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from cartdale.clock import Clock
from cartdale.daemon.peer_links import SocketLinks
from cartdale.daemon.relaying import Relaying
from cartdale.detours.app import DetourApp
from cartdale.detours.capacity import CarryingCapacity
from cartdale.news.decide import list_alive
from cartdale.news.driver import NewsExchange
from cartdale.news.types import PeerEntry
from cartdale.peers.client import PeerClient, VerifiedMessage
from cartdale.pressure.driver import Account
from cartdale.switches import Mechanism

Reply = TypeVar('Reply')


class PeerDirectory:
    """Find the other instances, and authenticate messages with them.

    :param client: signs and verifies messages.
    """

    def __init__(
        self, news: NewsExchange, client: PeerClient, clock: Clock
    ) -> None:
        self._news = news
        self._client = client
        self._clock = clock

    def list_alive(self) -> Iterable[PeerEntry]:
        """Return the other instances, without those known to be silent."""
        news = self._news
        return list_alive(news.state, news.own, self._clock.now())

    def sign_message(self, recipient: str, message: object) -> bytes:
        """Return a message to a peer, wrapped and signed."""
        return self._client.sign_message(recipient, message)

    def open_message(
        self, signed: bytes, shape: type[Reply]
    ) -> VerifiedMessage[Reply] | None:
        """Return a message to this instance; ``None`` if it is not genuine."""
        return self._client.open_message(signed, shape)


class Detours:
    """Carry requests of other instances, and let them carry own ones.

    :param links: serves what other instances ask.
    :param leaving: returns whether this instance takes no new work.
    :param max_descriptors: of this process.
    :param account: of the bodies of requests; ``None`` for none.
    """

    def __init__(
        self,
        links: SocketLinks,
        news: NewsExchange,
        relaying: Relaying,
        clock: Clock,
        leaving: Callable[[], bool],
        max_descriptors: int,
        account: Account | None = None,
    ) -> None:
        self.router = relaying.router
        self.capacity = CarryingCapacity(clock, max_descriptors)
        self._fleet = relaying.ports.fleet
        self._leaving = leaving
        if not self._fleet.switches.is_enabled(Mechanism.DETOURS):
            return
        directory = PeerDirectory(news, links.client, clock)
        self.router.join(directory)
        links.detour_app = DetourApp(
            directory,
            relaying.carrier,
            self.capacity,
            self._accepts_work,
            self._find_body_limit,
            account,
        )

    async def run(self) -> None:
        """Measure the capacity that is left; never returns."""
        await self.capacity.run()

    def _accepts_work(self) -> bool:
        return not self._leaving()

    def _find_body_limit(self) -> int:
        return self._fleet.table.limits.body_bytes
