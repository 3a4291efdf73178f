"""What one instance shares with the others of its association."""

import trio

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.configuration.driver import Configurator
from cartdale.daemon.clients import make_client
from cartdale.daemon.links import PeerLinks, SharedSlices
from cartdale.daemon.upstreams import EnginePool
from cartdale.ledger.claims import Claimer
from cartdale.ledger.owner import OwnerPorts, SlotOwner
from cartdale.limits.driver import Limiter
from cartdale.membership.driver import Membership, MembershipPorts
from cartdale.membership.types import MemberNews, MemberStatus
from cartdale.peers.app import PeerApp
from cartdale.peers.authentication import Authenticator
from cartdale.peers.client import PeerClient
from cartdale.peers.messages import SHAPES_BY_KIND
from cartdale.peers.pool import make_peer_pool
from cartdale.placement.driver import PlacementPorts, Placer
from cartdale.quarantine.driver import Quarantine
from cartdale.reports.recorder import Recorder
from cartdale.settings.load import Keys
from cartdale.settings.types import Settings
from cartdale.store.types import Store
from cartdale.supervision import keep_running

_PEER_TIMEOUT: Millis = SECOND_MS
#: Instances of a region that wait for changes at the store.
_WATCHERS = 3
#: Between looks at whether evidence against requests is too old.
_FORGET_EVERY: Millis = SECOND_MS
_WATCH_KEY = 'configuration watch'


class InstanceGroup:
    """Own membership, limits, the ledger's slots and the peers' interface.

    :param port: port that the peers' interface is bound to.
    """

    def __init__(
        self,
        settings: Settings,
        keys: Keys,
        port: int,
        clock: Clock,
        store: Store,
        configurator: Configurator,
        recorder: Recorder,
        pool: EnginePool,
    ) -> None:
        self._settings = settings
        self.leaving = False
        tls = settings.peers.tls
        scheme = 'https' if tls else 'http'
        address = f'{scheme}://{settings.peers.address}:{port}'
        pool_of_peers = make_peer_pool(tls)
        self.peers = PeerClient(
            pool_of_peers,
            settings.name,
            Authenticator(keys.cluster),
            clock,
            _PEER_TIMEOUT,
        )
        self.quarantine = Quarantine(clock, self._publish_crashes)
        links = PeerLinks(self.peers, configurator, recorder)
        self.membership = Membership(
            MembershipPorts(
                client=make_client(),
                peers=self.peers,
                clock=clock,
                list_url=settings.instances,
                on_news=links.hear,
                quarantine=self.quarantine,
            ),
            _introduce(settings, address, clock.wall_time()),
        )
        self.limiter = Limiter(self.membership, self.peers, clock)
        self.owner = SlotOwner(
            OwnerPorts(
                store=store,
                clock=clock,
                name=settings.name,
                address=address,
                prefers=self._prefers_slot,
                leaving=self._is_leaving,
                clock_error=self.peers.clock_error,
            ),
        )
        self.claimer = Claimer(self.owner, self.peers, settings.name, clock)
        self.placer = Placer(
            PlacementPorts(
                router=pool.router,
                membership=self.membership,
                peers=self.peers,
                clock=clock,
                declared=pool.declared,
            ),
            settings.seed,
        )
        links.bind(
            SharedSlices(
                self.membership, self.limiter, self.owner, self.placer
            ),
        )
        self._app = PeerApp(
            settings.name, self.peers, clock, links.serve, SHAPES_BY_KIND
        )

    async def run(self) -> None:
        """Follow the others for ever."""
        async with trio.open_nursery() as nursery:
            for name, task in (
                ('membership', self.membership.run),
                ('slots', self.owner.run),
                ('claims', self.claimer.run),
                ('placement', self.placer.run),
                ('quarantine', self._forget_crashes),
            ):
                nursery.start_soon(keep_running, name, task)

    async def release(self) -> None:
        """Give up what others should take over."""
        await self.owner.hand_over()

    @property
    def app(self) -> PeerApp:
        """Return the peers' application."""
        return self._app

    def set_keys(self, keys: Keys) -> None:
        """Take rotated cluster keys."""
        self.peers.authenticator = Authenticator(keys.cluster)

    def decides_for(self, upstream: str) -> bool:
        """Tell whether this instance is the placer of an engine."""
        return self.placer.decides_for(upstream)

    def alive_names(self) -> frozenset[str]:
        """Return the names of the members believed to be alive."""
        return frozenset(news.name for news in self.membership.alive())

    def watches_store(self) -> bool:
        """Tell whether this instance waits for changes at the store."""
        ranked = [
            news.name
            for news in self.membership.rank(_WATCH_KEY)
            if news.region == self._settings.region
        ]
        return self._settings.name in ranked[:_WATCHERS]

    def _publish_crashes(self) -> None:
        self.membership.publish_crashes()

    async def _forget_crashes(self) -> None:
        while True:
            await trio.sleep(as_seconds(_FORGET_EVERY))
            self.quarantine.forget()

    def _prefers_slot(self, number: int) -> bool:
        ranked = self.membership.rank(f'slot:{number}')
        return bool(ranked) and ranked[0].name == self._settings.name

    def _is_leaving(self) -> bool:
        return self.leaving


def _introduce(settings: Settings, address: str, wall: Millis) -> MemberNews:
    return MemberNews(
        name=settings.name,
        incarnation=wall,
        beat=0,
        status=MemberStatus.LIVE,
        address=address,
        failure_domain=settings.failure_domain,
        region=settings.region,
        revision=0,
    )
