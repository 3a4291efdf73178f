"""One request in virtual time, with faults drawn for each of its connections.

Everything from the forwarder to the paths and the interface for requests of
others is real; only connections are replaced. Engines count what they run.
"""

from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

import httpcore
import msgspec
import trio
from returns.pipeline import is_successful
from trio.testing import MockClock

from cartdale.clock import SystemClock
from cartdale.detours.app import DetourApp
from cartdale.detours.calls import PATH
from cartdale.detours.capacity import CarryingCapacity
from cartdale.detours.carrier import Carrier
from cartdale.detours.driver import PathRouter
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import EntryWritten, UpstreamEntry
from cartdale.news.types import PeerEntry
from cartdale.peers.authentication import Authenticator
from cartdale.peers.client import PeerClient
from cartdale.peers.pool import make_peer_pool
from cartdale.platform.upstreams import PlatformUpstreams
from cartdale.problems.types import NotRun
from cartdale.relay.admission import Admission
from cartdale.relay.copy_release import CopyReleaser
from cartdale.relay.crash_probes import CrashProber
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.plain import PlainForwarder
from cartdale.relay.ports import RelayPorts
from cartdale.relay.stream import StreamForwarder
from cartdale.relay.types import CallerRequest, RoutedRequest
from cartdale.retries.window import RepeatBudget
from cartdale.routes.types import (
    EngineSpec,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
)
from tests.load.paths import AsgiExchange

REQUEST_ID = 'r1'
LIMIT: int = 4000
EVENTS = 6
ENGINES = 4
PEERS = 2
_FIRST_PEER_PORT = 20_000
_WORK = ('crash', 'reset', 'decline', 'replaced', 'fail', 'run')
_CONNECTIONS = ('open', 'open', 'open', 'refused', 'silent', 'late')
_COPIES = ('copied', 'kept', 'unknown', 'busy', 'no_room', 'reset', 'empty')
_PEERS = ('carry', 'carry', 'fails', 'unknown_key', 'reset', 'refused')


@dataclass
class Engine:
    """One engine: what it holds of the request, and what it ran.

    :param memory: handles of copies of the run that it holds.
    """

    address: str
    memory: set[str] = field(default_factory=set)
    running: bool = False
    dead: bool = False


@dataclass
class Faults:
    """Draw what goes wrong.

    :param deadly: whether the request ends each engine that receives it.
    """

    generator: Random
    deadly: bool

    def draw(self, choices: tuple[str, ...]) -> str:
        return self.generator.choice(choices)


class System:
    """Engines, instances that carry requests, and one forwarder."""

    def __init__(self, seed: int) -> None:
        generator = Random(seed)
        self.faults = Faults(generator, generator.random() < 0.4)
        self.engines = {
            f'10.9.0.{number}:80': Engine(f'10.9.0.{number}:80')
            for number in range(ENGINES)
        }
        #: Runs that engines began by themselves, by the engine's address.
        self.runs: Counter[str] = Counter()
        #: Every engine that was sent the request, in order.
        self.receipts: list[str] = []
        self.clock = SystemClock()
        self.streams = generator.random() < 0.8
        self.route = Route(
            'd',
            'h',
            '/',
            RouteKind.STREAM if self.streams else RouteKind.UNSAFE,
            LIMIT,
            2000,
            (),
            max_attempts=3,
        )
        self.peers = [
            PeerEntry(f'p{number}', '10.1.0.1', _FIRST_PEER_PORT + number, 'w')
            for number in range(PEERS)
        ]
        self.carriers = [_Instance(self, peer) for peer in self.peers]
        own = PeerEntry('own', '10.1.0.1', _FIRST_PEER_PORT + PEERS, 'w')
        self.own = _Instance(self, own)

    async def play(self) -> Any:
        """Forward the request; return what its caller is told."""
        async with trio.open_nursery() as nursery:
            for instance in (self.own, *self.carriers):
                nursery.start_soon(instance.run)
            try:
                return await self.own.forward(self.route)
            finally:
                nursery.cancel_scope.cancel()

    async def call_peer(
        self, port: int, request: httpcore.Request, body: bytes
    ) -> httpcore.Response:
        fault = self.faults.draw(_PEERS)
        if fault == 'unknown_key':
            return httpcore.Response(403)
        exchange = AsgiExchange(body)
        app = self.carriers[port - _FIRST_PEER_PORT].app
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app, {}, exchange.receive, exchange.send)
            await exchange.ended.wait()
            nursery.cancel_scope.cancel()
        # The peer fails after it has sent the request.
        if fault == 'fails':
            return httpcore.Response(500)
        if fault == 'reset':
            raise httpcore.ReadError('reset')
        return exchange.make_response()

    def answer(self, address: str, request: httpcore.Request) -> Any:
        """Answer a request that an engine was sent."""
        engine = self.engines[address]
        target = request.url.target.decode()
        if target.startswith('/cartdale/kv-move'):
            return self._copy(engine, request)
        if target.startswith('/cartdale/'):
            return self._report(engine)
        return self._work(engine, request)

    def _report(self, engine: Engine) -> httpcore.Response:
        if self.faults.draw(('ok', 'reset')) == 'reset':
            raise httpcore.ReadError('reset')
        runs = [[REQUEST_ID, 40, 1, 0]] if engine.running else []
        return httpcore.Response(
            200, content=msgspec.json.encode({'runs': runs, 'born': 1})
        )

    def _copy(
        self, engine: Engine, request: httpcore.Request
    ) -> httpcore.Response:
        fault = self.faults.draw(_COPIES)
        if fault == 'reset':
            raise httpcore.ReadError('reset')
        if not engine.running or fault == 'unknown':
            return httpcore.Response(404)
        if fault == 'busy':
            return httpcore.Response(409)
        if fault == 'empty':
            return httpcore.Response(200)
        handle = f'{engine.address}-{len(engine.memory)}'
        kept = msgspec.json.encode({'handle': handle, 'created': 1})
        if fault == 'no_room':
            return httpcore.Response(503)
        engine.running = False
        engine.memory.add(handle)
        if fault == 'kept':
            return httpcore.Response(503, content=kept)
        for other in self.engines.values():
            other.memory.add(handle)
        return httpcore.Response(200, content=kept)

    def _work(
        self, engine: Engine, request: httpcore.Request
    ) -> httpcore.Response:
        self.receipts.append(engine.address)
        headers = {
            name.decode().lower(): value.decode()
            for name, value in request.headers
        }
        handle = headers.get('kv-from', '').rpartition('/')[2]
        if self.faults.deadly:
            engine.dead = True
            self.runs[engine.address] += 1
            raise httpcore.RemoteProtocolError('closed without a response')
        if handle and handle not in engine.memory:
            return httpcore.Response(503, headers=[(b'not-executed', b'1')])
        fault = self.faults.draw(_WORK)
        if fault == 'decline':
            return httpcore.Response(503, headers=[(b'not-executed', b'1')])
        if fault == 'replaced':
            return httpcore.Response(421)
        engine.memory.discard(handle)
        self.runs[engine.address] += not handle
        if fault == 'reset':
            raise httpcore.ReadError('reset')
        if fault == 'crash':
            engine.dead = True
            raise httpcore.RemoteProtocolError('closed without a response')
        signed = [
            (b'request-id', REQUEST_ID.encode()),
            (b'response-seal', b's'),
            (b'transfer-encoding', b'chunked'),
        ]
        if fault == 'fail':
            return httpcore.Response(500, headers=signed)
        if not self.streams:
            return httpcore.Response(200, headers=signed, content=b'answer')
        engine.running = True
        backup = self.engines.get(headers.get('kv-backup', ''))
        began = int(headers.get('last-event-id') or 0)
        return httpcore.Response(
            200, headers=signed, content=self._stream(engine, backup, began)
        )

    async def _stream(
        self, engine: Engine, backup: Engine | None, began: int
    ) -> AsyncIterator[bytes]:
        for number in range(began + 1, EVENTS + 1):
            await trio.sleep(self.faults.generator.uniform(0, 0.2))
            fault = self.faults.draw(('none', 'none', 'cut', 'crash', 'lost'))
            if fault == 'crash':
                engine.dead, engine.running = True, False
            if fault != 'none' and fault != 'lost':
                raise httpcore.ReadError(fault)
            if not engine.running:
                raise httpcore.RemoteProtocolError('stopped')
            yield f'id: {number}\ndata: x\n\n'.encode()
            if backup is not None and fault != 'lost':
                backup.memory.add(REQUEST_ID)
        engine.running = False


class _Instance:
    """One instance: its paths, and what it carries for others."""

    def __init__(self, system: System, peer: PeerEntry) -> None:
        self._system = system
        self._peer = peer
        clock, seed = system.clock, system.faults.generator.randrange(10**9)
        self.fleet = Fleet(clock, 'w', seed)
        spec = EngineSpec(8, 20000, 1000, 2700, 4, moves=True, backups=True)
        self.fleet.table = RoutingTable(
            1, services_by_name={'s': ServiceSpec('s', '', 100, spec)}
        )
        for address in system.engines:
            entry = UpstreamEntry(address, 's', address, 'w', 8)
            self.fleet.dispatch(EntryWritten(entry))
        backend = _Backend(system)
        self.router = PathRouter(self, clock, 'w', seed, backend)
        client = PeerClient(
            make_peer_pool(None), peer.name, Authenticator((b'k',)), clock, 1000
        )
        self.sign_message = client.sign_message
        self.open_message = client.open_message
        self.router.join(self)
        recorder = AdvisoryRecorder(self.fleet, clock)
        self.upstreams = PlatformUpstreams(recorder, self.router)
        carrier = Carrier(
            self.router, self.fleet, clock, self.upstreams.record_carried, seed
        )
        self.app = DetourApp(
            self,
            carrier,
            CarryingCapacity(clock, 4100),
            lambda: True,
            lambda: 4096,
        )
        self.prober = CrashProber(self.upstreams, self.fleet)
        self.releaser = CopyReleaser(self.upstreams)
        self.ports = RelayPorts(
            clock=clock,
            fleet=self.fleet,
            admission=Admission(self.fleet, clock, seed),
            upstreams=self.upstreams,
            budget=RepeatBudget(0.2, 50, 10000),
            copy_releaser=self.releaser,
            crash_prober=self.prober,
        )

    def list_alive(self) -> list[PeerEntry]:
        return [each for each in self._system.peers if each != self._peer]

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.prober.run)
            nursery.start_soon(self.releaser.run)

    async def forward(self, route: Route) -> Any:
        request = CallerRequest(
            REQUEST_ID,
            'POST',
            'h',
            b'/',
            '',
            0,
            (),
            b'brief',
            prompt_tokens=40 if self._system.streams else 0,
            max_tokens=400 if self._system.streams else 0,
        )
        now = self._system.clock.now()
        routed = RoutedRequest(request, route, 's', '', 0, now, now + LIMIT)
        if not self._system.streams:
            return await PlainForwarder(self.ports, routed).forward()
        generation = RunningGeneration(self.ports, routed, 4)
        forwarder = StreamForwarder(self.ports, routed, Sink(), generation)
        return await forwarder.forward()

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request to an engine or to another instance."""
        host, port = request.url.host.decode(), request.url.port
        faults = self._system.faults
        called = request.url.target.decode() == PATH
        fault = faults.draw(_CONNECTIONS)
        engine = self._system.engines.get(f'{host}:{port}')
        if engine is not None and engine.dead:
            engine.dead = faults.generator.random() < 0.5
            fault = 'refused' if engine.dead else fault
        await connect(fault, request.extensions['timeout']['connect'])
        trace = request.extensions.get('trace')
        if trace is not None:
            await trace('http11.send_request_headers.started', {})
        body = b''.join([part async for part in request.stream])
        await trio.sleep(0.002)
        if called:
            return await self._system.call_peer(port, request, body)
        response = self._system.answer(f'{host}:{port}', request)
        if fault == 'late':
            # The transport's error says that nothing was sent.
            raise httpcore.ConnectError('late')
        return response


@dataclass(frozen=True, slots=True)
class Played:
    """Hold what became of the request.

    :param runs: number of runs that engines began by themselves.
    :param receipts: number of times that engines received it.
    :param deadly: whether it ends each engine that receives it.
    :param refused: whether its caller was told that it did not run.
    """

    runs: int
    receipts: int
    deadly: bool
    refused: bool


def play(seed: int) -> Played:
    """Play one request with the faults that a seed draws."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(_play, seed, clock=clock)


async def _play(seed: int) -> Played:
    # The clock of tests begins at 0, which stands for never.
    await trio.sleep(1)
    system = System(seed)
    told = await system.play()
    problem = None if is_successful(told) else told.failure()
    return Played(
        runs=sum(system.runs.values()),
        receipts=len(system.receipts),
        deadly=system.faults.deadly,
        refused=isinstance(problem, NotRun),
    )


class Sink:
    """Take everything."""

    async def start(self, status: int, headers: object) -> None:
        """Take the head."""

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""

    async def finish(self) -> None:
        """Take the end."""

    async def answer(self, status: int, headers: object, body: bytes) -> None:
        """Take a complete response."""


class _Backend(httpcore.AsyncNetworkBackend):
    """Open connections that only show whether there is a path."""

    def __init__(self, system: System) -> None:
        self._system = system

    async def connect_tcp(
        self, host: str, port: int, timeout: float | None = None, **_: Any
    ) -> httpcore.AsyncNetworkStream:
        await connect(self._system.faults.draw(_CONNECTIONS), timeout)
        return httpcore.AsyncMockStream([])


async def connect(fault: str, timeout: float | None) -> None:
    """Open a connection.

    :raises httpcore.ConnectError: or ``ConnectTimeout`` if that fails.
    """
    if fault == 'silent':
        await trio.sleep(timeout or LIMIT)
        raise httpcore.ConnectTimeout
    await trio.sleep(0.001)
    if fault == 'refused':
        raise httpcore.ConnectError('refused')
