"""Runtime: wire the slices of one entry instance together."""

import zlib
from pathlib import Path

import httpx
import trio
from loguru import logger

from cartdale.callers.app import CallerApp, CallerPorts
from cartdale.callers.types import Directory, make_directory
from cartdale.clock import SECOND_MS, Clock, Millis, SystemClock, seconds
from cartdale.configuration.bodies import decode_bodies
from cartdale.configuration.driver import Configurator
from cartdale.configuration.types import ConfigurationState
from cartdale.daemon.serve import BoundListener
from cartdale.daemon.targets import derive_targets
from cartdale.daemon.upstreams import EnginePool
from cartdale.declarations.types import Declarations
from cartdale.operators.app import OperatorApp, OperatorPorts
from cartdale.operators.types import (
    EngineStatus,
    InstanceStatus,
    SystemStatus,
)
from cartdale.plans.confirm import Confirmer
from cartdale.routing.types import EngineView, LeaveBegan
from cartdale.settings.load import Keys, load_keys
from cartdale.settings.types import Settings
from cartdale.store.etcd import EtcdStore
from cartdale.streams.driver import DeliveryPorts
from cartdale.streams.position import PositionSealer

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
        self._declared = Declarations()
        self._directory = Directory()
        self._store = EtcdStore(
            httpx.AsyncClient(base_url=settings.store), _STORE_TIMEOUT
        )
        self._configurator = Configurator(self._store, self._clock, self._adopt)
        self._pool = EnginePool(
            self._read_declared, self._clock, zlib.crc32(settings.name.encode())
        )
        self._leaving = False
        self._stopping = trio.Event()
        self._callers = BoundListener(settings.callers)
        self._operators = BoundListener(settings.operators)
        self._nursery: trio.Nursery | None = None

    @property
    def caller_port(self) -> int:
        """Return the port of the callers' interface."""
        return self._callers.port

    @property
    def operator_port(self) -> int:
        """Return the port of the operators' interface."""
        return self._operators.port

    async def run(self) -> None:
        """Serve until the instance was told to leave and all work ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._configurator.watch)
            nursery.start_soon(self._pool.run)
            await self._serve(nursery)
            nursery.cancel_scope.cancel()

    def leave(self) -> None:
        """Take no new work; stop once running work has ended."""
        if self._leaving or self._nursery is None:
            return
        self._leaving = True
        logger.info('leaving')
        self._pool.router.tell(LeaveBegan())
        self._nursery.start_soon(self._stop_later)

    def reload_keys(self) -> None:
        """Read the key files again."""
        self._keys = load_keys(self._settings, self._base)
        logger.info('keys reloaded')

    def describe(self) -> SystemStatus:
        """Return what operators see of this instance."""
        state = self._configurator.state
        return SystemStatus(
            revision=state.revision,
            target=state.target,
            instances=(
                InstanceStatus(
                    self._settings.name,
                    self._settings.failure_domain,
                    'leaving' if self._leaving else 'live',
                    state.revision,
                    self._configurator.took,
                ),
            ),
            engines=tuple(
                _describe_engine(view, excluded=self._pool.is_excluded(view))
                for view in self._pool.list_views()
            ),
            store_calls_by_path=dict(self._store.calls_by_path),
        )

    async def _serve(self, nursery: trio.Nursery) -> None:
        delivery = DeliveryPorts(
            clock=self._clock,
            router=self._pool.router,
            sealer=PositionSealer(
                tuple(key[:_KEY_BYTES] for key in self._keys.cluster)
            ),
            engine_of=self._pool.find,
            nursery=nursery,
            progress_by_work=self._pool.progress_by_work,
        )
        callers = CallerApp(
            CallerPorts(
                delivery=delivery,
                directory=self._read_directory,
                ready=self._is_ready,
                leaving=self._is_leaving,
            ),
        )
        operators = OperatorApp(
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
        logger.info(
            'serving', callers=self.caller_port, operators=self.operator_port
        )
        async with trio.open_nursery() as serving:
            serving.start_soon(
                self._callers.serve, callers.make_app(), self._stopping
            )
            serving.start_soon(
                self._operators.serve, operators.make_app(), self._stopping
            )

    def _adopt(self, state: ConfigurationState) -> None:
        self._declared = decode_bodies(state.bodies_by_key)
        self._directory = make_directory(self._declared)
        self._pool.router.tell(derive_targets(self._declared))
        logger.info(
            'configuration in force',
            revision=state.revision,
            took_ms=self._configurator.took,
        )

    async def _stop_later(self) -> None:
        await trio.sleep(seconds(_LEAVE_PAUSE))
        self._stopping.set()

    async def _report(self) -> bytes:
        return b'{}'

    def _metrics(self) -> bytes:
        return b''

    def _read_declared(self) -> Declarations:
        return self._declared

    def _read_directory(self) -> Directory:
        return self._directory

    def _is_ready(self) -> bool:
        return self._configurator.state.revision > 0 and not self._leaving

    def _is_leaving(self) -> bool:
        return self._leaving

    def _operator_keys(self) -> tuple[bytes, ...]:
        return self._keys.operators


def _describe_engine(view: EngineView, *, excluded: bool) -> EngineStatus:
    report = view.report
    return EngineStatus(
        upstream=view.upstream,
        running=report.running if report else 0,
        waiting=report.waiting if report else 0,
        used_tokens=report.used_tokens if report else 0,
        memory_tokens=view.memory_tokens,
        draining=view.draining,
        excluded=excluded,
    )
