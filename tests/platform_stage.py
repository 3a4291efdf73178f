"""Stage: instances on stand-ins of the platform, over loopback sockets."""

from collections import Counter
from collections.abc import AsyncIterator, Container
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import httpx
import trio

from cartdale.clock import SECOND_MS
from cartdale.daemon.collector import spare_loaded_objects
from cartdale.daemon.gateway import GatewayRuntime
from cartdale.daemon.serve import BoundListener
from cartdale.model.types import Hardware
from cartdale.platform.settings import Bounds, Endpoint, PlatformSettings
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.settings.types import Listener
from cartdale.supervision import count_task_failures
from cartdale.switches import Switches
from cartdale_standins.platform_engine import (
    STRIDE,
    PlatformEngine,
    format_event,
)
from cartdale_standins.platform_entries import describe_upstream
from cartdale_standins.platform_store import PlatformStoreStandIn
from cartdale_standins.platform_worker import PlatformWorker
from cartdale_standins.unframed import EarlyEnd, UnframedFront
from tests.fault_soak.proxy import FaultProxy
from tests.network_cuts import OWN_INSTANCE

KEY = 'key-of-a-test'
HOST = 'mill.example'
LOCAL = '127.0.0.1'
#: Events of a draft that `make_draft` asks for; so many that it does not
#: surely end while an engine that leaves serves on.
EVENTS = 50
TOKENS = EVENTS * STRIDE
#: Tokens after which a run is past its start, with some events on their way.
PAST_START_TOKENS = (EVENTS_PAST_START + 5) * STRIDE
NO_FILE = Path('no-file')
#: Longest that a test may keep its stage open, in seconds.
STAGE_LIMIT = 25
#: 200 tokens take about 0.8 s, so that a test can act in the middle.
HARDWARE = Hardware(
    memory_tokens=20000, step_base_ms=4, step_per_sequence_ms=0.01
)

SETTINGS = """
node=front-1
ip=10.1.0.19
zone=west
region=here
listen.front=10.1.0.19:8740
listen.ready=10.1.0.19:8749
internalPorts=7200,7215
bounds.graceS=8
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=56
platform.address=10.200.1.7:8742
aField.of.a.later=version
"""


def make_configuration(version: int = 1) -> dict:
    """Return an operator's configuration as the store holds it."""
    route = {
        'hostname': HOST,
        'timeoutMs': 20000,
        'targetLatencyMs': 2000,
        'maxAttempts': 1,
        'priority': 0,
        'allowAnonymous': False,
    }
    engine = {
        'slots': 64,
        'kvCapacity': 20000,
        'kvBytes': 1000,
        'linkMbps': 2700.0,
        'stride': STRIDE,
        'moves': True,
        'backups': True,
    }
    return {
        'version': version,
        'routes': [
            {
                **route,
                'name': 'draft',
                'pathPrefix': '/draft/',
                'kind': 'streaming',
                'service': 'writers',
            },
            {
                **route,
                'name': 'tag',
                'pathPrefix': '/tag/',
                'kind': 'streaming',
                'service': 'writers',
                'resumable': True,
                'maxAttempts': 2,
            },
            {
                **route,
                'name': 'cut',
                'pathPrefix': '/cut/',
                'kind': 'unsafe',
                'service': 'portal',
            },
            {
                **route,
                'name': 'look',
                'pathPrefix': '/look/',
                'kind': 'safe',
                'service': 'portal',
                'maxAttempts': 2,
            },
        ],
        'services': [
            {'name': 'writers', 'maxConnections': 100, 'engine': engine},
            {'name': 'portal', 'maxConnections': 100},
        ],
        'limits': {'maxBodyBytes': 4096},
        'tenants': [{'name': 'mill', 'apiKeys': [KEY], 'priority': 1}],
    }


@dataclass
class PlatformStage:
    """Hold everything that a test touches."""

    nursery: trio.Nursery
    client: httpx.AsyncClient
    store: PlatformStoreStandIn
    store_port: int
    #: Whether upstreams lie behind proxies, which cut their connections when
    #: they crash.
    proxied: bool = False
    #: Whether the answers of upstreams have neither a length nor chunks.
    unframed: bool = False
    #: Memory of each instance under the contract of slow peers; 0 without it.
    pressure: int = 0
    #: How the next answers of unframed upstreams end early.
    early_ends: list[EarlyEnd] = field(default_factory=list)
    fronts: list[UnframedFront] = field(default_factory=list)
    engines: list[PlatformEngine] = field(default_factory=list)
    plains: list[PlatformWorker] = field(default_factory=list)
    runtimes: list[GatewayRuntime] = field(default_factory=list)
    scopes: list[trio.CancelScope] = field(default_factory=list)
    stopped: list[trio.Event] = field(default_factory=list)
    #: Ends the test if it takes too long.
    limit: trio.CancelScope = field(default_factory=trio.CancelScope)

    @asynccontextmanager
    async def leave_out(self, longest: float) -> AsyncIterator[None]:
        """Leave what the context takes out of the time of the test.

        :param longest: how long it may take, in seconds.
        :raises trio.TooSlowError: if it takes longer.
        """
        began = trio.current_time()
        self.limit.deadline += longest
        try:
            with trio.fail_after(longest):
                yield
        finally:
            took = trio.current_time() - began
            self.limit.deadline -= longest - took

    def add_engine(self, hardware: Hardware = HARDWARE) -> PlatformEngine:
        bound = BoundListener(Listener(LOCAL, 0))
        name = f'engine-{len(self.engines)}'
        proxy = self._add_proxy(bound.port)
        address = proxy.address if proxy else f'{LOCAL}:{bound.port}'
        engine = PlatformEngine(name, address, hardware)
        self.engines.append(engine)
        self._serve(bound, engine)
        self._list_lives(engine, 'writers', address, proxy)
        return engine

    def add_plain(self) -> PlatformWorker:
        bound = BoundListener(Listener(LOCAL, 0))
        name = f'plain-{len(self.plains)}'
        plain = PlatformWorker(name)
        self.plains.append(plain)
        self._serve(bound, plain)
        proxy = self._add_proxy(bound.port)
        address = proxy.address if proxy else f'{LOCAL}:{bound.port}'
        self._list_lives(plain, 'portal', address, proxy)
        return plain

    def list_upstream(
        self,
        name: str,
        service: str,
        address: str,
        state: str = 'ready',
        born: int = 0,
    ) -> None:
        self.store.put(
            f'servers/{name}',
            describe_upstream(service, address, state=state, born=born),
        )

    def drain(self, engine: PlatformEngine) -> None:
        self.list_upstream(engine.name, 'writers', engine.address, 'draining')

    def add_instance(
        self,
        path: Path = NO_FILE,
        switches: Switches | None = None,
        name: str = '',
    ) -> GatewayRuntime:
        settings = PlatformSettings(
            name=name or f'entry-{len(self.runtimes)}',
            address=LOCAL,
            failure_domain='west',
            region='here',
            callers=Endpoint(LOCAL, 0),
            ready=Endpoint(LOCAL, 0),
            peer_ports=(0, 0),
            store=Endpoint(LOCAL, self.store_port),
            bounds=Bounds(8 * SECOND_MS, 0.2, 10 * SECOND_MS, 50),
            control=Endpoint(LOCAL, 0),
            seeds=tuple(
                Endpoint(LOCAL, each.control_port) for each in self.runtimes
            ),
            memory_bytes=self.pressure,
            pressure=bool(self.pressure),
        )
        OWN_INSTANCE.set(settings.name)
        runtime = GatewayRuntime(settings, path, switches)
        # All instances share one loop, whose delay is that of the whole stage:
        # measured, it would keep each of them from carrying for the others.
        runtime.detours.capacity.run = trio.sleep_forever
        self.runtimes.append(runtime)
        scope, stopped = trio.CancelScope(), trio.Event()
        self.scopes.append(scope)
        self.stopped.append(stopped)
        self.nursery.start_soon(self._run, runtime, scope, stopped)
        OWN_INSTANCE.set('')
        return runtime

    async def settle(self, version: int = 1) -> None:
        """Wait until each instance serves, with a version and all upstreams."""
        upstreams = len(self.engines) + len(self.plains)

        def settled() -> bool:
            return all(
                runtime._takes_callers
                and runtime.fleet.table.version >= version
                and len(runtime.fleet.state.upstreams_by_id) >= upstreams
                for runtime in self.runtimes
            )

        await until(settled)

    def url(self, path: str, index: int = 0) -> str:
        return f'http://{LOCAL}:{self.runtimes[index].caller_port}{path}'

    def _add_proxy(self, port: int) -> FaultProxy | UnframedFront | None:
        proxy: FaultProxy | UnframedFront
        if self.unframed:
            proxy = UnframedFront(port, self.early_ends)
            self.fronts.append(proxy)
        elif self.proxied:
            proxy = FaultProxy(port)
        else:
            return None
        self.nursery.start_soon(proxy.run)
        return proxy

    def _list_lives(
        self,
        worker: PlatformWorker,
        service: str,
        address: str,
        proxy: FaultProxy | UnframedFront | None,
    ) -> None:
        """List an upstream, and again each time that it is back."""

        def cut() -> None:
            if proxy is not None:
                proxy.go_down(down=True)

        def come_back() -> None:
            if proxy is not None:
                proxy.go_down(down=False)
            born = worker.crashes.born
            self.list_upstream(worker.name, service, address, born=born)

        if isinstance(proxy, UnframedFront):
            proxy.crash = partial(worker.crash, 'early end')
        worker.crashes.on_crash = cut
        worker.crashes.on_restart = come_back
        come_back()

    async def _run(
        self,
        runtime: GatewayRuntime,
        scope: trio.CancelScope,
        stopped: trio.Event,
    ) -> None:
        with scope:
            await runtime.run()
        stopped.set()

    def _serve(self, bound: BoundListener, worker: PlatformWorker) -> None:
        self.nursery.start_soon(worker.run)
        self.nursery.start_soon(bound.serve, worker.make_app(), trio.Event())


async def until(holds) -> None:
    """Wait until a condition holds; the stage's limit ends it."""
    while not holds():
        await trio.sleep(0.005)


def make_headers(request_id: str, **more: str) -> dict[str, str]:
    return {
        'Host': HOST,
        'Request-Id': request_id,
        'Authorization': f'Token {KEY}',
        'Deadline-Ms': '15000',
        **more,
    }


def make_draft(request_id: str, tokens: int = TOKENS) -> dict[str, str]:
    return {
        **make_headers(request_id),
        'Token-Count': f'40,{tokens}',
        'Length-Hint': str(tokens),
        'Model': 'm',
    }


@asynccontextmanager
async def open_platform(
    engines: int = 1,
    plains: int = 1,
    instances: int = 1,
    *,
    proxied: bool = False,
    unframed: bool = False,
    pressure: int = 0,
    may_fail: Container[str] = (),
) -> AsyncIterator[PlatformStage]:
    """Run stand-ins and instances while the context is open.

    The loaded objects are left out of collections, as the program does at its
    start: those of all tests took 147 ms to look through, in which instances
    and stand-ins stood still.

    :param unframed: whether the answers of upstreams end with their connection.
    :param pressure: memory of each instance under the contract of slow peers,
        in bytes; 0 without it.
    :param may_fail: tasks that the test makes fail; any other failure, which
        the instances log and survive, fails the test.
    :raises trio.TooSlowError: when that takes longer than ``STAGE_LIMIT``.
    """
    spare_loaded_objects()
    before = Counter(count_task_failures())
    with trio.fail_after(STAGE_LIMIT) as limit:
        opened = _open_stage(
            engines, plains, instances, proxied, unframed, pressure
        )
        async with opened as stage:
            stage.limit = limit
            yield stage
    failed = Counter(count_task_failures()) - before
    assert all(task in may_fail for task in failed), failed


@asynccontextmanager
async def _open_stage(
    engines: int,
    plains: int,
    instances: int,
    proxied: bool,
    unframed: bool,
    pressure: int,
) -> AsyncIterator[PlatformStage]:
    async with trio.open_nursery() as nursery:
        store = PlatformStoreStandIn()
        bound = BoundListener(Listener(LOCAL, 0))
        nursery.start_soon(bound.serve, store.make_app(), trio.Event())
        async with httpx.AsyncClient(timeout=20) as client:
            stage = PlatformStage(
                nursery, client, store, bound.port, proxied, unframed, pressure
            )
            store.put('op/config', make_configuration())
            for _ in range(engines):
                stage.add_engine()
            for _ in range(plains):
                stage.add_plain()
            for _ in range(instances):
                stage.add_instance()
            await stage.settle()
            yield stage
        nursery.cancel_scope.cancel()


def whole(
    request_id: str, events: int = EVENTS, after: int = 0, padding: int = 0
) -> bytes:
    """Return the body of a draft that nothing is missing from.

    :param after: events that the caller has already.
    :param padding: bytes that each event has more.
    """
    return b''.join(
        format_event(request_id, number, padding)
        for number in range(after + 1, events + 1)
    )


async def draft(
    stage: PlatformStage,
    request_id: str,
    tokens: int = TOKENS,
    path: str = '/draft/a',
    last_event: str = '',
) -> httpx.Response:
    """Ask for a draft and return its answer.

    :param last_event: the last event that the caller has.
    """
    resumed = {'Last-Event-Id': last_event} if last_event else {}
    return await stage.client.post(
        stage.url(path),
        headers={**make_draft(request_id, tokens), **resumed},
        content=b'brief',
    )


@asynccontextmanager
async def draft_meanwhile(
    stage: PlatformStage,
    request_id: str,
    tokens: int = TOKENS,
    path: str = '/draft/a',
) -> AsyncIterator[list[httpx.Response]]:
    """Ask for a draft on the side; the context's end waits for its answer."""
    answers: list[httpx.Response] = []

    async def ask() -> None:
        answers.append(await draft(stage, request_id, tokens, path))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        yield answers


async def ask(
    stage: PlatformStage, request_id: str, instance: int = 0
) -> httpx.Response:
    """Ask a plain service, once, and return its answer."""
    return await stage.client.post(
        stage.url('/cut/a', instance),
        headers=make_headers(request_id),
        content=b'x',
    )


def count_runs(stage: PlatformStage, request_id: str) -> int:
    """Return how many upstreams began to run a request."""
    return sum(
        each.runs_by_request[request_id]
        for each in (*stage.engines, *stage.plains)
    )


async def find_runner(
    stage: PlatformStage, request_id: str, tokens: int = PAST_START_TOKENS
) -> PlatformEngine:
    """Wait until a draft has more tokens; return the engine that runs it.

    :param tokens: by default so many that it is past its start.
    """

    def runners() -> list[PlatformEngine]:
        return [
            engine
            for engine in stage.engines
            if request_id in engine.driver.records_by_generation
            and engine.driver.records_by_generation[request_id].produced
            > tokens
        ]

    await until(runners)
    return runners()[0]
