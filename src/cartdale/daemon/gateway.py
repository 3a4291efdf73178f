"""Runtime of an entry instance on the users' platform."""

import random
import zlib
from dataclasses import replace
from pathlib import Path

import trio
from loguru import logger

from cartdale.briefing.app import BriefingApp
from cartdale.briefing.driver import BriefingClient
from cartdale.clock import SECOND_MS, Clock, Millis, SystemClock, as_seconds
from cartdale.daemon.briefing import Briefings
from cartdale.daemon.detours import Detours
from cartdale.daemon.inflight import GuardedApp, InFlight
from cartdale.daemon.peer_links import SocketLinks
from cartdale.daemon.peers import Peers
from cartdale.daemon.relaying import Relaying
from cartdale.daemon.serve import Application, BoundListener
from cartdale.daemon.shares import Shares
from cartdale.exceptions import BadInputError
from cartdale.fleet.driver import Fleet
from cartdale.fleet.store_follower import StoreFollower
from cartdale.formatting import format_log_fields
from cartdale.gateway.app import GatewayApp
from cartdale.gateway.metrics import (
    Constraints,
    GatewayMetrics,
    KnownVersions,
    MetricsApp,
)
from cartdale.gateway.ports import GatewayPorts
from cartdale.gateway.ready import ReadyApp
from cartdale.moves.driver import Mover
from cartdale.peers.pool import make_peer_pool
from cartdale.platform.names import PATH_READY
from cartdale.platform.settings import (
    Bounds,
    Endpoint,
    PlatformSettings,
    load_platform_settings,
    read_stamp,
)
from cartdale.platform.store import make_store
from cartdale.platform.translate import PlatformWire, decode_change
from cartdale.pressure.driver import Account, read_resident
from cartdale.routes.regions import RegionMap
from cartdale.routes.types import RoutingTable
from cartdale.scheduling.candidates import (
    count_cold,
    count_unavailable,
    count_unreachable,
)
from cartdale.settings.types import Listener
from cartdale.supervision import contain, keep_running, run_guarded
from cartdale.switches import Mechanism, Switches

_STORE_TIMEOUT: Millis = SECOND_MS
#: After SIGTERM the balancer asks twice, a second apart, until it sends no
#: new connections; what still comes in that time is served.
LEAVE_PAUSE: Millis = 3 * SECOND_MS
#: Part of the grace that is kept for the end, and the shortest time for it:
#: what still runs is cut and logged, and the process is gone before SIGKILL
#: with half a processor and a store that does not answer.
_END_SHARE = 8
_SHORTEST_END: Millis = 300
#: Part of that time for the answers to requests that were read and have none.
#: No further ones are read meanwhile.
_ANSWERS_SHARE = 3
#: How long a new instance leaves connections unread while its first
#: configuration is on the way: a caller who is refused instead must come back,
#: and one whose request is not read within a second goes elsewhere.
_FIRST_CONFIGURATION: Millis = 250
#: Between looks at whether the settings file has changed without a signal.
_SETTINGS_EVERY: Millis = 2 * SECOND_MS


class GatewayRuntime:
    """Run one entry instance on the platform.

    :param settings: checked settings.
    :param path: the file that they came from.
    :param switches: mechanisms that are off.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        path: Path,
        switches: Switches | None = None,
    ) -> None:
        self._settings = settings
        self._path = path
        self._stamp = read_stamp(path)
        self._clock = SystemClock()
        self._seed = zlib.crc32(settings.name.encode())
        self.fleet = Fleet(
            self._clock, settings.failure_domain, self._seed, switches
        )
        self.fleet.cold_gate.bound = settings.bounds.cold
        store = make_store(settings.store, _STORE_TIMEOUT)
        links = SocketLinks(
            settings.name,
            settings.failure_domain,
            Listener(settings.address, settings.peer_ports[0]),
            self._clock,
            settings.link_mbps,
        )
        self._datagrams = links.datagrams
        self.peers = Peers(
            links,
            store,
            self.fleet,
            self._clock,
            settings.link_mbps,
        )
        self.follower = StoreFollower(
            store,
            self.fleet,
            self._clock,
            decode_change,
            self.peers.apply_own_key,
            self._is_watcher,
            self.peers.news.is_silent,
            max(settings.bounds.contact - SECOND_MS, SECOND_MS),
        )
        self._held_account = _open_account(settings, self._clock)
        self.account = self._held_account if settings.pressure else None
        self._relaying = Relaying(
            self.fleet,
            self._clock,
            settings.bounds,
            settings.failure_domain,
            self._seed,
            self._held_account,
            pressure=settings.pressure,
        )
        self.detours = Detours(
            links,
            self.peers.news,
            self._relaying,
            self._clock,
            self._is_leaving,
            settings.max_descriptors,
            self._held_account,
        )
        self.metrics = GatewayMetrics(
            self._read_versions,
            store.calls_by_path,
            self._read_constraints,
            self.account,
        )
        self.mover = Mover(
            self.fleet,
            self._relaying.upstreams,
            self._clock,
            self.peers.is_cut_off,
            self.peers.asks,
            self.peers.lost_store,
        )
        self._briefings = Briefings(self.peers, self.fleet, self.follower)
        self._asker = BriefingClient(
            make_peer_pool(None),
            _list_others(settings),
            self._clock,
            self._briefings.take,
            self._briefings.knows_enough,
        )
        self._gateway = self._make_app()
        self._app = InFlight(self._gateway)
        self._callers = _bind(settings.callers, 'callers', http2=True)
        self._shares = Shares(
            settings,
            self.fleet,
            self.follower,
            self.peers,
            self._relaying.budget,
            self._callers,
            self._clock,
        )
        self._ready = _bind(settings.ready, 'ready')
        self._metrics_listener = _bind(
            Endpoint(settings.address, settings.peer_ports[1]), 'metrics'
        )
        self._control = (
            _bind(settings.control, 'control') if settings.control else None
        )
        self._leaving = False
        #: When it was told to leave.
        self._left_at: Millis = 0
        self._told_to_leave = trio.Event()
        #: Holds the stop; ends when what still runs is cut.
        self._stop_scope = trio.CancelScope()
        #: Whether the callers' listener is served, and whether it ever was.
        self._takes_callers = False
        self._has_served = False
        self._stopping = trio.Event()
        self._callers_served = trio.Event()
        self._left = trio.Event()

    @property
    def bounds(self) -> Bounds:
        """Return the bounds in force."""
        return self._settings.bounds

    @property
    def caller_port(self) -> int:
        """Return the port of the callers' interface."""
        return self._callers.port

    @property
    def control_port(self) -> int:
        """Return the port where new instances ask; 0 for none."""
        return self._control.port if self._control else 0

    @property
    def ready_port(self) -> int:
        """Return the port where the balancer asks."""
        return self._ready.port

    async def run(self) -> None:
        """Serve until the instance was told to leave and all work ended.

        The others list it while it has work, since it needs their news; what
        still runs is cut without waiting for the store.
        """
        logger.info('started', instance=self._settings.name)
        async with trio.open_nursery() as ending:
            async with trio.open_nursery() as nursery:
                self._start(nursery)
                await self._left.wait()
                with contain('cuts'):
                    self._gateway.log_cuts()
                nursery.cancel_scope.cancel()
                ending.start_soon(run_guarded, 'leaving', self.peers.withdraw)
        logger.info('stopped', instance=self._settings.name)

    def leave(self) -> None:
        """Take no new connections; stop once running work has ended."""
        if self._leaving:
            return
        self._leaving = True
        self._left_at = self._clock.now()
        self._schedule_stop()
        self._callers.leaving.set()
        self._told_to_leave.set()

    def reload(self) -> None:
        """Read the settings again; bounds change, addresses stay.

        Settings that can't be read change nothing.
        """
        with contain('settings'):
            self._reload()

    def _reload(self) -> None:
        try:
            settings = load_platform_settings(self._path)
        except BadInputError as error:
            logger.error('settings refused', detail=error.format_message())
            return
        self._settings = replace(
            self._settings,
            bounds=settings.bounds,
            expects_customers=settings.expects_customers,
        )
        self.fleet.cold_gate.bound = settings.bounds.cold
        self._relaying.budget.bound(
            settings.bounds.retry_ratio,
            settings.bounds.retry_slack,
            settings.bounds.retry_window,
        )
        if self._leaving:
            self._schedule_stop()
        logger.info(
            'settings reloaded',
            **format_log_fields('settings', settings.bounds),
        )

    def _start(self, nursery: trio.Nursery) -> None:
        if self.account is not None:
            nursery.start_soon(keep_running, 'held bytes', self.account.run)
        for name, task in (
            ('carrying capacity', self.detours.run),
            ('fleet', self.fleet.run),
            ('mover', self.mover.run),
            ('relaying', self._relaying.run),
            ('shares', self._shares.run),
            ('settings', self._watch_settings),
        ):
            nursery.start_soon(keep_running, name, task)
        nursery.start_soon(
            keep_running, 'peers', self.peers.run, self.follower, self._stopping
        )
        if self.fleet.switches.is_enabled(Mechanism.BRIEFINGS):
            nursery.start_soon(keep_running, 'briefings', self._asker.run)
        for listener, app in self._list_interfaces():
            nursery.start_soon(
                keep_running, 'listener', listener.serve, app, self._stopping
            )
        nursery.start_soon(keep_running, 'caller listener', self._serve_callers)
        nursery.start_soon(self._leave_when_told)

    def _list_interfaces(self) -> list[tuple[BoundListener, Application]]:
        """Return what is served besides callers."""
        ready = ReadyApp(PATH_READY, self._is_ready)
        metrics = MetricsApp(self.metrics)
        apps: list[tuple[BoundListener, Application]] = [
            (self._ready, GuardedApp('ready', ready)),
            (self._metrics_listener, GuardedApp('metrics', metrics)),
        ]
        if self._control is not None:
            briefing = BriefingApp(
                self._settings.name, self._clock, self._briefings.describe
            )
            apps.append((self._control, GuardedApp('briefing', briefing)))
        return apps

    async def _serve_callers(self) -> None:
        """Read connections once there is a configuration, or soon anyway.

        Not at all if told to leave before: connections that wait are closed
        unread, which tells their callers that nothing of theirs ran.
        """
        with trio.move_on_after(as_seconds(_FIRST_CONFIGURATION)):
            await self.follower.configured.wait()
        await self._callers.bind()
        if self._leaving:
            self._callers.close()
            return
        self._has_served = True
        logger.info('serving', version=self.fleet.table.version)
        self._takes_callers = True
        try:
            await self._callers.serve(self._app, self._stopping)
        finally:
            self._takes_callers = False
        self._callers_served.set()

    async def _watch_settings(self) -> None:
        """Read the settings again when the file changes without a signal."""
        while True:
            await trio.sleep(as_seconds(_SETTINGS_EVERY))
            stamp = read_stamp(self._path)
            if stamp != self._stamp:
                self._stamp = stamp
                self.reload()

    def _make_app(self) -> GatewayApp:
        return GatewayApp(
            GatewayPorts(
                relay=self._relaying.ports,
                mover=self.mover,
                wire=PlatformWire(),
                clock=self._clock,
                table=self._read_table,
                newest=self._read_newest,
                wait_for_newest=self.peers.versions.wait_for_newest,
                leaving=self._is_leaving,
                metrics=self.metrics,
                generator=random.Random(self._seed),
                expects_customers=lambda: self._settings.expects_customers,
                region_map=RegionMap(self._settings.regions_by_domain),
                account=self.account,
                body_account=self._held_account,
            ),
        )

    async def _leave_when_told(self) -> None:
        """End once told to, whatever fails of a stop in order."""
        await self._told_to_leave.wait()
        await run_guarded('leaving', self._leave)
        self._left.set()

    async def _leave(self) -> None:
        logger.info('leaving', in_flight=self._app.count)
        with contain('leaving'):
            self.peers.hand_over()
        with self._stop_scope:
            if self._has_served:
                await trio.sleep(as_seconds(LEAVE_PAUSE))
            else:
                self._callers_served.set()
            logger.info('closing connections', in_flight=self._app.count)
            self._stopping.set()
            await self._callers_served.wait()
            await self.peers.served.wait()
        self._relaying.ports.stop.end()
        grace = self._settings.bounds.grace
        longest = (grace - find_cut(grace)) // _ANSWERS_SHARE
        with trio.move_on_after(as_seconds(longest)):
            await self._callers.end_reading()
        carried = self.detours.capacity.carried
        logger.info('left', in_flight=self._app.count, carried=carried)

    def _schedule_stop(self) -> None:
        """Cut what runs in time, and let nothing begin that would be cut."""
        now = self._clock.now()
        stops_at = self._left_at + find_cut(self._settings.bounds.grace)
        left = as_seconds(stops_at - now)
        self._stop_scope.deadline = trio.current_time() + left
        sure_from = self._left_at + LEAVE_PAUSE // 2
        self._relaying.ports.stop.schedule(
            sure_from,
            stops_at,
            now,
            has_others=self.peers.news.count_alive() > 1,
        )

    def _read_newest(self) -> int:
        return self.peers.versions.newest

    def _read_versions(self) -> KnownVersions:
        return KnownVersions(
            self.fleet.table.version,
            self.peers.versions.newest,
            self.peers.versions.behind_for(),
            self.peers.news.drops.unverified,
        )

    def _read_constraints(self) -> Constraints:
        speeds, now = self.fleet.speeds, self._clock.now()
        gauges = self.fleet.order.measure()
        return Constraints(
            len(self.fleet.list_evacuated()),
            count_cold(self.fleet.state, self._clock.now()),
            self.fleet.cold_gate.sent,
            self.fleet.quarantine.count_quarantined(),
            *count_unavailable(self.fleet.state, self._clock.now()),
            unreachable=count_unreachable(self.fleet.state, self._clock.now()),
            blocked=self.detours.router.blocked,
            detours=self.detours.router.detours,
            carried=self.detours.capacity.accepted,
            not_carried=self.detours.capacity.refused,
            permitted=self.fleet.limits.gate.count_rate(),
            withheld=self.fleet.limits.gate.withheld,
            speeds_known=speeds.count_known(now),
            slowest_factor=speeds.find_slowest(now),
            load_ignored=speeds.ignored_headers,
            speeds_ignored=speeds.ignored_news,
            waiting=gauges.waiting,
            waiting_urgent=gauges.urgent,
            reserved=gauges.reserved,
            promised=gauges.promised,
        )

    def _read_table(self) -> RoutingTable:
        return self.fleet.table

    def _is_leaving(self) -> bool:
        return self._leaving

    def _is_watcher(self) -> bool:
        """Tell whether to watch the store, as who hears no news has to."""
        return not self._datagrams.is_bound or self.peers.news.is_watcher()

    def _is_ready(self) -> bool:
        serving = bool(self.fleet.table.version) and not self._leaving
        serving = serving and self._takes_callers and self._callers.is_bound
        return serving and (self.account is None or self.account.is_ready())


def find_cut(grace: Millis) -> Millis:
    """Return how long after SIGTERM what still runs is cut.

    :param grace: time from SIGTERM to SIGKILL.
    """
    return max(grace - max(grace // _END_SHARE, _SHORTEST_END), 0)


def _open_account(settings: PlatformSettings, clock: Clock) -> Account | None:
    """Return the account of bytes held; ``None`` if nothing bounds them."""
    if not settings.pressure and not settings.memory_bytes:
        return None
    return Account(clock, settings.memory_bytes, read_resident())


def _list_others(settings: PlatformSettings) -> list[str]:
    """Return where other instances give briefings."""
    return [
        f'{seed.address}:{seed.port}'
        for seed in settings.seeds
        if seed != settings.control
    ]


def _bind(
    endpoint: Endpoint, purpose: str, *, http2: bool = False
) -> BoundListener:
    listener = Listener(endpoint.address, endpoint.port)
    return BoundListener(listener, purpose, http2=http2)
