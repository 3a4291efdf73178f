"""Runtime: wire the slices of one entry instance together."""

import random
from pathlib import Path

import trio
from loguru import logger

from cartdale.callers.app import CallerApp, CallerPorts
from cartdale.callers.generations import GenerationGateway
from cartdale.callers.keyed import KeyGuard
from cartdale.callers.plain import PlainGateway, PlainPorts
from cartdale.callers.types import Directory, make_directory
from cartdale.clock import SECOND_MS, Clock, Millis, SystemClock, as_seconds
from cartdale.configuration.bodies import read_bodies
from cartdale.configuration.driver import Configurator
from cartdale.configuration.types import ConfigurationState
from cartdale.daemon.clients import make_client
from cartdale.daemon.describe import describe_system
from cartdale.daemon.group import InstanceGroup
from cartdale.daemon.inflight import InFlight
from cartdale.daemon.serve import BoundListener
from cartdale.daemon.targets import derive_targets
from cartdale.daemon.upstreams import EnginePool
from cartdale.declarations.types import Declarations, Objectives, Upstream
from cartdale.engines.plain import PlainService
from cartdale.limits.rates import derive_rates
from cartdale.membership.types import OwnLeaving, RevisionAdopted
from cartdale.operators.app import OperatorApp, OperatorPorts
from cartdale.operators.types import SystemStatus
from cartdale.plans.confirm import Confirmer
from cartdale.reports.recorder import Recorder
from cartdale.reports.types import Report
from cartdale.retries.backoffs import BackoffTracker
from cartdale.retries.decide import RetryBudget
from cartdale.routing.types import LeaveBegan
from cartdale.settings.load import Keys, load_keys
from cartdale.settings.types import Settings
from cartdale.store.etcd import EtcdStore
from cartdale.streams.ports import DeliveryPorts
from cartdale.streams.position import PositionSigner
from cartdale.supervision import contain, keep_running, run_guarded

_STORE_TIMEOUT: Millis = 3 * SECOND_MS
#: Between leaving and closing the listeners, for the balancer to notice.
_LEAVE_PAUSE: Millis = 3 * SECOND_MS
_KEY_BYTES = 32


class Runtime:
    """Run one entry instance.

    :param settings: checked settings.
    :param base: directory that relative file names start from.
    """

    def __init__(
        self, settings: Settings, base: Path, clock: Clock | None = None
    ) -> None:
        self._settings = settings
        self._base = base
        self._clock = clock or SystemClock()
        self._keys: Keys = load_keys(settings, base)
        self._position_signer = PositionSigner(_sealing_keys(self._keys))
        self._declared = Declarations()
        self._directory = Directory()
        self._seed = settings.seed
        self._client = make_client()
        self._store = EtcdStore(make_client(settings.store), _STORE_TIMEOUT)
        self._configurator = Configurator(
            self._store, self._clock, self._adopt, self._seed
        )
        self._pool = EnginePool(
            self._client, self._read_declared, self._clock, self._seed
        )
        self._callers = BoundListener(settings.callers, 'callers')
        self._peers = BoundListener(settings.peers, 'peers', http2=False)
        self._operators = BoundListener(
            settings.operators, 'operators', http2=False
        )
        self._recorder = Recorder(
            settings.name, self._clock, self._objectives_of
        )
        self._group = InstanceGroup(
            settings,
            self._keys,
            self._peers.port,
            self._clock,
            self._store,
            self._configurator,
            self._recorder,
            self._pool,
        )
        self._stopping = trio.Event()
        self._told_to_leave = trio.Event()
        self._counted: tuple[InFlight, ...] = ()
        self.leaving = False

    @property
    def caller_port(self) -> int:
        """Return the port of the callers' interface."""
        return self._callers.port

    @property
    def operator_port(self) -> int:
        """Return the port of the operators' interface."""
        return self._operators.port

    @property
    def group(self) -> InstanceGroup:
        """Return what this instance shares with the others."""
        return self._group

    @property
    def configurator(self) -> Configurator:
        """Return what keeps the configuration."""
        return self._configurator

    async def run(self) -> None:
        """Serve until the instance was told to leave and all work ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running,
                'configuration',
                self._configurator.run,
                self._group.watches_store,
            )
            nursery.start_soon(
                keep_running, 'engines', self._pool.run, self._group
            )
            nursery.start_soon(keep_running, 'members', self._group.run)
            nursery.start_soon(self._stop_when_told)
            await self._serve(nursery)
            await run_guarded('leaving', self._group.release)
            nursery.cancel_scope.cancel()

    def leave(self) -> None:
        """Take no new work; stop once running work has ended."""
        if self.leaving:
            return
        self.leaving = True
        self._group.leaving = True
        self._callers.leaving.set()
        self._told_to_leave.set()
        logger.info('leaving')
        with contain('leaving'):
            self._pool.router.dispatch(LeaveBegan())
        with contain('leaving'):
            self._group.membership.dispatch(OwnLeaving())

    def reload_keys(self) -> None:
        """Read the key files again.

        :raises BadInputError: if that fails; the old keys stay.
        """
        self._keys = load_keys(self._settings, self._base)
        self._group.set_keys(self._keys)
        self._position_signer.rotate(_sealing_keys(self._keys))
        logger.info('keys reloaded')

    def describe(self) -> SystemStatus:
        """Return what operators see of this instance."""
        return describe_system(
            self._configurator, self._group, self._pool, self._store
        )

    async def _serve(self, nursery: trio.Nursery) -> None:
        logger.info(
            'serving', callers=self.caller_port, operators=self.operator_port
        )
        callers = InFlight(self._make_callers(nursery).make_app())
        operators = InFlight(self._make_operators().make_app())
        self._counted = (callers, operators)
        async with trio.open_nursery() as serving:
            for listener, app in (
                (self._callers, callers),
                (self._operators, operators),
                (self._peers, self._group.app),
            ):
                serving.start_soon(
                    keep_running,
                    'listener',
                    listener.serve,
                    app,
                    self._stopping,
                )

    def _make_callers(self, nursery: trio.Nursery) -> CallerApp:
        budget = RetryBudget()
        keys = KeyGuard(self._group.claimer)
        backoffs = BackoffTracker(self._clock)
        delivery = DeliveryPorts(
            clock=self._clock,
            placer=self._group.placer,
            position_signer=self._position_signer,
            find_engine=self._pool.find,
            nursery=nursery,
            budget=budget,
            recorder=self._recorder,
            quarantine=self._group.quarantine,
            backoffs=backoffs,
        )
        plain = PlainPorts(
            upstream_of=self._find_upstream,
            connect=self._connect_plain,
            nursery=nursery,
            keys=keys,
            budget=budget,
            generator=random.Random(self._seed),
            quarantine=self._group.quarantine,
            clock=self._clock,
            backoffs=backoffs,
        )
        return CallerApp(
            CallerPorts(
                delivery=delivery,
                generations=GenerationGateway(delivery, keys),
                plain=PlainGateway(plain),
                limiter=self._group.limiter,
                directory=self._read_directory,
                ready=self._is_ready,
                leaving=self._is_leaving,
            ),
        )

    def _make_operators(self) -> OperatorApp:
        return OperatorApp(
            OperatorPorts(
                configurator=self._configurator,
                confirmer=Confirmer(self._store, self._clock),
                store=self._store,
                keys=self._operator_keys,
                status=self.describe,
                drain=self.leave,
                report=self._report,
                metrics=self._metrics,
            ),
        )

    def _adopt(self, state: ConfigurationState) -> None:
        declared = read_bodies(state)
        if declared is None:
            return
        self._declared = declared
        self._directory = make_directory(self._declared)
        self._pool.router.dispatch(derive_targets(self._declared))
        self._group.placer.update_groups()
        self._group.limiter.set_rates(derive_rates(self._declared))
        took = self._configurator.took
        self._group.membership.dispatch(RevisionAdopted(state.revision, took))
        logger.info(
            'configuration in force', revision=state.revision, took_ms=took
        )

    def _find_upstream(self, name: str) -> Upstream | None:
        return self._declared.upstreams.get(name)

    def _connect_plain(
        self, upstream: Upstream, timeout: Millis
    ) -> PlainService:
        return PlainService(self._client, upstream.address, timeout)

    async def _stop_when_told(self) -> None:
        """Close the listeners some time after this instance was told to."""
        await self._told_to_leave.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_guarded, 'leaving', self._group.release)
            if self._callers.was_bound:
                await trio.sleep(as_seconds(_LEAVE_PAUSE))
            in_flight = sum(app.count for app in self._counted)
            logger.info('closing connections', in_flight=in_flight)
            self._stopping.set()

    async def _report(self) -> Report:
        return await self._recorder.gather(
            self._group.membership, self._group.peers
        )

    def _metrics(self) -> bytes:
        return self._recorder.metrics.render(
            self._configurator.state.revision, self._store.calls_by_path
        )

    def _objectives_of(self, service: str) -> Objectives:
        declared = self._declared.services.get(service)
        return declared.objectives if declared else Objectives()

    def _read_declared(self) -> Declarations:
        return self._declared

    def _read_directory(self) -> Directory:
        return self._directory

    def _is_ready(self) -> bool:
        serving = self._callers.is_bound and not self.leaving
        return serving and self._configurator.state.revision > 0

    def _is_leaving(self) -> bool:
        return self.leaving

    def _operator_keys(self) -> tuple[bytes, ...]:
        return self._keys.operators


def _sealing_keys(keys: Keys) -> tuple[bytes, ...]:
    return tuple(key[:_KEY_BYTES] for key in keys.cluster)
