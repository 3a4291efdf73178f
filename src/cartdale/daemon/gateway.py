"""Runtime of an entry instance on the users' platform."""

import random
import secrets
import signal
import zlib
from pathlib import Path

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import SECOND_MS, Millis, SystemClock, seconds
from cartdale.codec import decode_json
from cartdale.daemon.clients import make_client, make_peer_pool
from cartdale.exceptions import BadInputError
from cartdale.fleet.driver import Fleet
from cartdale.fleet.follow import Follower, OwnKey, TableWritten
from cartdale.gateway.app import GatewayApp, GatewayPorts
from cartdale.gateway.ready import ReadyApp
from cartdale.moves.driver import Mover
from cartdale.news.driver import NewsLine
from cartdale.news.roster import KEY_NAME, PEER_PREFIX, Roster
from cartdale.news.types import PeerEntry, PeerListed, PeerRemoved
from cartdale.peers.app import PeerApp
from cartdale.peers.client import PeerClient
from cartdale.peers.messages import (
    Document,
    FetchDocument,
    PeerMessage,
    Unserved,
)
from cartdale.peers.seal import Seal
from cartdale.platform.names import PATH_READY
from cartdale.platform.settings import (
    Endpoint,
    PlatformSettings,
    load_platform_settings,
)
from cartdale.platform.store import PlatformStore
from cartdale.platform.translate import (
    PlatformWire,
    make_translator,
    read_table,
)
from cartdale.platform.upstreams import PlatformUpstreams
from cartdale.relay.admission import Admission
from cartdale.relay.ports import RelayPorts
from cartdale.retries.window import RepeatBudget
from cartdale.routes.types import RoutingTable

_STORE_TIMEOUT: Millis = SECOND_MS
_PEER_TIMEOUT: Millis = SECOND_MS
#: Length of the key that seals nothing that anyone opens, until the
#: cluster's own is known.
_KEY_BYTES = 32
#: After SIGTERM the balancer asks twice, a second apart, until it sends no
#: new connections; what still comes in that time is served.
_LEAVE_PAUSE: Millis = 3 * SECOND_MS
#: Before the platform's SIGKILL, what still runs is cut and logged.
_STOP_MARGIN: Millis = 300
_STOP_POLL: Millis = 50
_GRACEFUL_SECONDS = 86400
_BACKLOG = 512
#: Events that wait for an application that does not read.
_QUEUE = 32


class GatewayRuntime:
    """Run one entry instance on the platform.

    :param path: the platform's settings file.
    """

    def __init__(self, settings: PlatformSettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._clock = SystemClock()
        seed = zlib.crc32(settings.name.encode())
        self._fleet = Fleet(self._clock, settings.failure_domain, seed)
        self._store = PlatformStore(
            make_client(_base_url(settings.store)), _STORE_TIMEOUT
        )
        own = PeerEntry(settings.name, settings.address, settings.peer_ports[0])
        self._news = NewsLine(
            own,
            self._fleet,
            self._clock,
            self._fetch_table,
            self._lost_store,
        )
        self._roster = Roster(self._store, own, self._count_peers)
        self._peers = PeerClient(
            make_peer_pool(None),
            settings.name,
            Seal((secrets.token_bytes(_KEY_BYTES),)),
            self._clock,
            _PEER_TIMEOUT,
        )
        self._nursery: trio.Nursery | None = None
        self._fetching = False
        self._follower = Follower(
            self._store,
            self._fleet,
            self._clock,
            make_translator(),
            self._take_own_key,
        )
        upstreams = PlatformUpstreams()
        self._mover = Mover(
            self._fleet, upstreams, self._clock, self._is_cut_off
        )
        bounds = settings.bounds
        relay = RelayPorts(
            clock=self._clock,
            fleet=self._fleet,
            admission=Admission(self._fleet, self._clock),
            upstreams=upstreams,
            budget=RepeatBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            ),
        )
        self._budget = relay.budget
        self._app = GatewayApp(
            GatewayPorts(
                relay=relay,
                mover=self._mover,
                wire=PlatformWire(),
                clock=self._clock,
                table=self._read_table,
                leaving=self._is_leaving,
                generator=random.Random(seed),
            ),
        )
        self._leaving = False
        self._stopping = trio.Event()
        self._callers = _configure(settings.callers)
        self._ready = _configure(settings.ready)
        self._peer_config = _configure(
            Endpoint(settings.address, settings.peer_ports[0])
        )

    async def run(self) -> None:
        """Serve until the instance was told to leave and all work ended."""
        logger.info('started', instance=self._settings.name)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._obey_signals, nursery.cancel_scope)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._fleet.run)
            nursery.start_soon(self._mover.run)
            nursery.start_soon(self._news.run)
            nursery.start_soon(self._join)
            nursery.start_soon(self._follow_limits)
            for app, config in (
                (self._app, self._callers),
                (ReadyApp(PATH_READY, self._is_ready), self._ready),
                (self._peer_app(), self._peer_config),
            ):
                nursery.start_soon(self._serve, app, config)
        logger.info('stopped', instance=self._settings.name)

    def _peer_app(self) -> PeerApp:
        return PeerApp(
            self._settings.name, self._peers, self._clock, self._serve_peer
        )

    async def _serve(self, app: object, config: Config) -> None:
        await serve(
            app,  # type: ignore[arg-type]
            config,
            mode='asgi',
            shutdown_trigger=self._stopping.wait,
        )

    async def _obey_signals(self, scope: trio.CancelScope) -> None:
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with trio.open_signal_receiver(*wanted) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload()
                    continue
                break
            await self._leave()
        scope.cancel()

    async def _leave(self) -> None:
        began = self._clock.now()
        self._leaving = True
        logger.info('leaving', in_flight=self._app.in_flight)
        await trio.sleep(seconds(_LEAVE_PAUSE))
        self._stopping.set()
        last = began + self._settings.bounds.grace - _STOP_MARGIN
        while self._app.in_flight and self._clock.now() < last:
            await trio.sleep(seconds(_STOP_POLL))
        logger.info('left', in_flight=self._app.in_flight)

    async def _join(self) -> None:
        """Join the other instances once the store was read."""
        await self._follower.in_step.wait()
        if self._news.seal is None:
            await self._roster.propose_key()
        await self._roster.run()

    def _take_own_key(self, news: OwnKey) -> None:
        if news.key == KEY_NAME and news.stored:
            self._news.seal = Seal((news.stored,))
            self._peers.seal = self._news.seal
        if not news.key.startswith(PEER_PREFIX):
            return
        if not news.stored:
            self._news.tell(PeerRemoved(news.key.removeprefix(PEER_PREFIX)))
            return
        try:
            peer = decode_json(news.stored, PeerEntry)
        except msgspec.MsgspecError as error:
            logger.error('peer unreadable', key=news.key, detail=str(error))
            return
        self._news.tell(PeerListed(peer))

    def _fetch_table(self, peer: PeerEntry) -> None:
        """Fetch a newer configuration from a peer, unless one is fetched."""
        if self._nursery is not None and not self._fetching:
            self._fetching = True
            self._nursery.start_soon(self._ask_for_table, peer)

    async def _ask_for_table(self, peer: PeerEntry) -> None:
        address = f'http://{peer.address}:{peer.port}'
        answer = await self._peers.ask(
            peer.name, address, FetchDocument(), Document
        )
        self._fetching = False
        match answer:
            case Success(document):
                news = read_table(document.raw)
                if isinstance(news, TableWritten):
                    self._follower.adopt(news)
            case Failure(failure):
                logger.info(
                    'configuration not fetched',
                    peer=peer.name,
                    detail=repr(failure),
                )

    async def _serve_peer(self, message: PeerMessage) -> PeerMessage:
        if isinstance(message, FetchDocument):
            return Document(self._follower.raw_table)
        return Unserved()

    def _is_cut_off(self) -> bool:
        """Tell whether nobody would say that an upstream leaves."""
        lost = self._lost_store() or self._news.hears_of_loss()
        return lost or self._news.is_silent()

    def _lost_store(self) -> bool:
        return self._follower.failing or self._roster.failing

    def _count_peers(self) -> int:
        return len(self._news.state.peers_by_name)

    def _reload(self) -> None:
        try:
            load_platform_settings(self._path)
        except BadInputError as error:
            logger.error('settings refused', detail=error.format_message())
            return
        logger.info('settings reloaded')

    async def _follow_limits(self) -> None:
        while True:
            limits = self._fleet.table.limits
            self._callers.keep_alive_timeout = limits.idle_timeout / SECOND_MS
            self._callers.h11_max_incomplete_size = limits.header_bytes
            self._budget.sharers = max(
                self._news.count_alive(), self._count_peers()
            )
            await trio.sleep(1)

    def _read_table(self) -> RoutingTable:
        return self._fleet.table

    def _is_leaving(self) -> bool:
        return self._leaving

    def _is_ready(self) -> bool:
        return bool(self._fleet.table.version) and not self._leaving


def _base_url(endpoint: Endpoint) -> str:
    return f'http://{endpoint.address}:{endpoint.port}'


def _configure(endpoint: Endpoint) -> Config:
    config = Config()
    config.bind = [f'{endpoint.address}:{endpoint.port}']
    config.graceful_timeout = _GRACEFUL_SECONDS
    config.backlog = _BACKLOG
    config.max_app_queue_size = _QUEUE
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = None
    return config
