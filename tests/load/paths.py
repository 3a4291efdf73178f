"""Instances and upstreams in virtual time, some of whose paths are cut.

Each instance runs the real choice of paths, the real interface for requests of
others and the real bound on them; only connections are replaced.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import httpcore
import trio

from cartdale.asgi import AsgiEvent
from cartdale.clock import SystemClock
from cartdale.detours.app import DetourApp
from cartdale.detours.calls import PATH
from cartdale.detours.capacity import CarryingCapacity
from cartdale.detours.carrier import Carrier
from cartdale.detours.driver import PathRouter
from cartdale.detours.types import UpstreamRequest
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import EntryWritten, UpstreamEntry
from cartdale.news.types import PeerEntry
from cartdale.peers.authentication import Authenticator
from cartdale.peers.client import PeerClient
from cartdale.peers.pool import make_peer_pool
from tests.network_cuts import CutWay

DOMAINS = ('karen', 'kilimani', 'westlands')
#: One way, and the time in which a plain service answers.
WAY_SECONDS = 0.002
RUN_SECONDS = 0.02
#: Of each instance.
REQUESTS_PER_SECOND = 5
#: Time limit of a request.
LIMIT_SECONDS = 0.8
_DESCRIPTORS = 4100
_KEY = b'key of the instances'


@dataclass
class Paths:
    """Hold who reaches what.

    :param ways_by_path: cut paths, by instance and address of the upstream.
    """

    ways_by_path: dict[tuple[str, str], CutWay] = field(default_factory=dict)
    runs_by_request: Counter[str] = field(default_factory=Counter)
    #: Connections opened, by address of the upstream.
    connections: Counter[str] = field(default_factory=Counter)
    #: Requests that instances carried for others, by name.
    carried: Counter[str] = field(default_factory=Counter)

    async def connect(
        self, instance: str, address: str, timeout: float | None
    ) -> None:
        """Open a connection to an upstream.

        :raises httpcore.ConnectError: or ``ConnectTimeout`` on a cut path.
        """
        self.connections[address] += 1
        match self.ways_by_path.get((instance, address)):
            case CutWay.SILENT:
                await trio.sleep(timeout or 60)
                raise httpcore.ConnectTimeout
            case CutWay.RESET | CutWay.REFUSE:
                await trio.sleep(2 * WAY_SECONDS)
                raise httpcore.ConnectError('refused')
        await trio.sleep(2 * WAY_SECONDS)


class PathInstance:
    """One instance: what it sends, and what it carries for others."""

    def __init__(self, system: 'PathSystem', peer: PeerEntry) -> None:
        self.peer = peer
        self._system = system
        clock = SystemClock()
        seed = Random(peer.name).randrange(10**9)
        self.fleet = Fleet(clock, peer.failure_domain, seed)
        self.router = PathRouter(
            self, clock, peer.failure_domain, seed, _Backend(system, peer.name)
        )
        self.capacity = CarryingCapacity(clock, _DESCRIPTORS)
        self._client = PeerClient(
            make_peer_pool(None), peer.name, Authenticator((_KEY,)), clock, 1000
        )
        self.router.join(self)
        carrier = Carrier(self.router, self.fleet, clock, _ignore, seed)
        self.app = DetourApp(
            self, carrier, self.capacity, lambda: True, lambda: 4096
        )
        self.served = 0
        self.failed = 0
        #: Time that each served request took, in seconds.
        self.took: list[float] = []

    def list_alive(self) -> list[PeerEntry]:
        return [
            peer for peer in self._system.peers if peer.name != self.peer.name
        ]

    def sign_message(self, recipient: str, message: object) -> bytes:
        return self._client.sign_message(recipient, message)

    def open_message(self, signed: bytes, shape: Any) -> Any:
        return self._client.open_message(signed, shape)

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request to an upstream or to another instance."""
        host, port = request.url.host.decode(), request.url.port
        timeout = request.extensions['timeout']['connect']
        called = request.url.target.decode() == PATH
        if called:
            await trio.sleep(2 * WAY_SECONDS)
        else:
            await self._system.paths.connect(
                self.peer.name, f'{host}:{port}', timeout
            )
        trace = request.extensions.get('trace')
        if trace is not None:
            await trace('http11.send_request_headers.started', {})
        body = b''.join([part async for part in request.stream])
        if called:
            return await self._system.call(port, body)
        return await self._run(dict(request.headers))

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.router.run)
            nursery.start_soon(self.capacity.run)

    async def ask(self, number: int, address: str, *, counts: bool) -> None:
        """Send one caller's request; a second upstream if none was reached."""
        name = f'{self.peer.name}-{number}'
        began = trio.current_time()
        served = False
        with trio.move_on_after(LIMIT_SECONDS):
            served = await self._send(name, address)
        if not counts:
            return
        self.served += served
        self.failed += not served
        if served:
            self.took.append(trio.current_time() - began)

    async def _send(self, name: str, address: str) -> bool:
        request = UpstreamRequest(
            address,
            'POST',
            b'/cut/a',
            ((b'request-id', name.encode()),),
            upstream=self._system.find_name(address),
            request_id=name,
            is_work=True,
        )
        try:
            response = await self.router.send(request)
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return False
        await response.aread()
        await response.aclose()
        return response.status == 200

    async def _run(self, headers: dict[bytes, bytes]) -> httpcore.Response:
        name = headers[b'request-id'].decode()
        self._system.paths.runs_by_request[name] += 1
        self._system.paths.carried[self.peer.name] += not name.startswith(
            f'{self.peer.name}-'
        )
        await trio.sleep(RUN_SECONDS)
        return httpcore.Response(200, content=b'answer')


class PathSystem:
    """All instances and upstreams.

    :param instances: number of instances, in three failure domains.
    """

    def __init__(self, instances: int, upstreams: int = 8) -> None:
        self.paths = Paths()
        self.addresses = [f'10.9.0.{number}:80' for number in range(upstreams)]
        self.peers = [
            PeerEntry(
                f'front-{number}',
                '10.1.0.1',
                20_000 + number,
                DOMAINS[number % len(DOMAINS)],
            )
            for number in range(instances)
        ]
        self.instances = [PathInstance(self, peer) for peer in self.peers]
        for instance in self.instances:
            for address in self.addresses:
                entry = UpstreamEntry(
                    self.find_name(address), 'portal', address, DOMAINS[0], 6
                )
                instance.fleet.dispatch(EntryWritten(entry))

    def find_name(self, address: str) -> str:
        return f'upstream-{address}'

    def cut(self, cut: list[PathInstance], way: CutWay) -> None:
        """Cut instances from all upstreams."""
        for instance in cut:
            for address in self.addresses:
                self.paths.ways_by_path[instance.peer.name, address] = way

    async def call(self, port: int | None, body: bytes) -> httpcore.Response:
        """Call the interface of an instance for requests of others."""
        app = self.instances[(port or 0) - 20_000].app
        exchange = AsgiExchange(body)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app, {}, exchange.receive, exchange.send)
            await exchange.ended.wait()
            nursery.cancel_scope.cancel()
        return exchange.make_response()

    async def run(
        self, cut: list[PathInstance], way: CutWay, seconds: float
    ) -> None:
        """Send requests at all instances, and cut some after a second.

        Requests count from a second after the cut.
        """
        async with trio.open_nursery() as nursery:
            for instance in self.instances:
                nursery.start_soon(instance.run)
                nursery.start_soon(self._send_requests, instance, 2.0)
            await trio.sleep(1)
            self.cut(cut, way)
            await trio.sleep(1 + seconds)
            nursery.cancel_scope.cancel()

    async def _send_requests(
        self, instance: PathInstance, counts_from: float
    ) -> None:
        generator = Random(instance.peer.name)
        started = trio.current_time()
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(generator.expovariate(REQUESTS_PER_SECOND))
                number += 1
                counts = trio.current_time() - started >= counts_from
                nursery.start_soon(self._ask, instance, number, counts)

    async def _ask(
        self, instance: PathInstance, number: int, counts: bool
    ) -> None:
        address = Random(f'{instance.peer.name}{number}').choice(self.addresses)
        await instance.ask(number, address, counts=counts)


class AsgiExchange:
    """Call an ASGI application once; it answers before this returns."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._given = False
        self._head: AsgiEvent = {}
        self._parts: list[bytes] = []
        self.ended = trio.Event()

    async def receive(self) -> AsgiEvent:
        if self._given:
            await trio.sleep_forever()
        self._given = True
        return {'type': 'http.request', 'body': self._body, 'more_body': False}

    async def send(self, event: AsgiEvent) -> None:
        if event['type'] == 'http.response.start':
            self._head = event
            return
        self._parts.append(event['body'])
        if not event.get('more_body', False):
            self.ended.set()

    def make_response(self) -> httpcore.Response:
        return httpcore.Response(
            self._head['status'],
            headers=self._head['headers'],
            content=b''.join(self._parts),
        )


class _Backend(httpcore.AsyncNetworkBackend):
    """Open connections that only show whether there is a path."""

    def __init__(self, system: PathSystem, instance: str) -> None:
        self._system = system
        self._instance = instance

    async def connect_tcp(
        self, host: str, port: int, timeout: float | None = None, **_: Any
    ) -> httpcore.AsyncNetworkStream:
        await self._system.paths.connect(
            self._instance, f'{host}:{port}', timeout
        )
        return httpcore.AsyncMockStream([])


def _ignore(*_: Any) -> None:
    """Record no advisories."""
