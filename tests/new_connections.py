"""Most new connections at one instance: balancer, callers and upstreams.

Instances run as processes. The callers, the balancer and the plain upstreams
cost little, so that an instance is the first to run out of processor time.
"""

import os
import re
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count, repeat
from pathlib import Path
from random import Random
from statistics import median

import trio

from cartdale.daemon.serve import BoundListener
from cartdale.settings.types import Listener
from cartdale_standins.platform_entries import describe_upstream
from cartdale_standins.platform_store import PlatformStoreStandIn
from tests.fault_soak.instances import Instance
from tests.fault_soak.proxy import LOCAL, FaultProxy
from tests.platform_stage import HOST, KEY, make_configuration

#: Time limits of requests, in seconds.
DEADLINES = (0.64, 1.5, 3.0)
#: The body comes in many chunks. Reading these costs an instance far more than
#: sending them costs a caller, so that one process of callers can ask for more
#: than an instance can do.
_CHUNKS = 200
_BODY = b''.join((*repeat(b'1\r\nx\r\n', _CHUNKS), b'0\r\n\r\n'))
#: Longest that a caller lets a request that may be repeated stay unread.
UNREAD_LIMIT = 1.0
#: Share of the requests that may be repeated.
_REPEATABLE = 0.3
#: Tries of a caller after the first.
RETRIES = 1
#: Share of the new connections that goes to one instance.
SHARE = 0.9
#: Load under which a request's processor time is measured.
_CALM_RATE = 40
_CALM_SECONDS = 4
_CONNECT_LIMIT = 1.0
_ASK_EVERY = 1.0
_MISSES = 2
_LOOK_EVERY = 0.1
_WORK_SECONDS = 0.03
_PORTAL_CONNECTIONS = 400
_START_SECONDS = 20
_READ = 65536
_ESTABLISHED = '01'
#: Linger for no time: closing sends a reset.
_RESET = struct.pack('ii', 1, 0)
_TABLE = Path('/proc/net/tcp')
_ROW = re.compile(
    r': 0100007F:([0-9A-F]{4}) 0100007F:([0-9A-F]{4})'
    rf' {_ESTABLISHED} [0-9A-F]{{8}}:([0-9A-F]{{8}})'
)


class End(StrEnum):
    """Say how one try of a request ended."""

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    LATE = 'late'
    #: The connection was closed after the request had been read.
    CUT = 'cut'
    #: No connection came up.
    NO_CONNECTION = 'no connection'
    #: The time limit came before the request was read.
    LATE_UNREAD = 'late unread'
    #: The instance closed the connection with the request unread.
    CLOSED_UNREAD = 'closed unread'
    #: The caller gave up, since the request was not read.
    LEFT_UNREAD = 'left unread'


UNREAD_ENDS = frozenset(
    (End.NO_CONNECTION, End.LATE_UNREAD, End.CLOSED_UNREAD, End.LEFT_UNREAD)
)
_LEAVING_ENDS = frozenset((End.LATE, End.LATE_UNREAD, End.LEFT_UNREAD))
#: After these a request that must run at most once may be sent again.
_PROMISES = frozenset((End.NO_CONNECTION, End.CLOSED_UNREAD, End.REFUSED))


@dataclass(frozen=True)
class Try:
    """Hold how one try ended.

    :param instance: index of the instance.
    :param took: seconds until its end.
    """

    request_id: str
    instance: int
    end: End
    took: float


@dataclass
class Asked:
    """Hold one request of a caller and its tries."""

    at: float
    deadline: float
    repeatable: bool
    tries: list[Try] = field(default_factory=list)

    @property
    def first_read(self) -> Try | None:
        """Return the first try that an instance has read."""
        for each in self.tries:
            if each.end not in UNREAD_ENDS:
                return each
        return None

    @property
    def is_served_at_first(self) -> bool:
        """Tell whether the first try that was read was served."""
        first = self.first_read
        return first is not None and first.end is End.SERVED


class LightUpstream:
    """Answer plain requests after a fixed time, one on each connection."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._bound = socket.socket()
        self._bound.bind((LOCAL, 0))
        self._bound.listen(1024)
        self.address = f'{LOCAL}:{self._bound.getsockname()[1]}'
        #: When each request began to run.
        self.began_at: dict[str, list[float]] = {}

    async def run(self) -> None:
        """Serve, for ever."""
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self._bound)
        )
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(OSError, trio.BrokenResourceError):
            async with stream:
                request_id = _find_request_id(await _read_request(stream))
                if not request_id:
                    return
                began = self.began_at.setdefault(request_id, [])
                began.append(trio.current_time())
                await trio.sleep(_WORK_SECONDS)
                await stream.send_all(_format_answer(request_id))
                await stream.receive_some(_READ)
                _forget(stream)


@dataclass
class Balancer:
    """Choose the instance of each new connection.

    :param concentrated: whether most connections go to one instance.
    """

    instances: list[Instance]
    random: Random
    concentrated: bool = False
    favourite: int = 0
    #: How long each instance took to say that it is ready, and when; nothing
    #: for a miss.
    answers: list[tuple[float, int, float | None]] = field(default_factory=list)
    #: When which instance became the one that gets most connections.
    chosen: list[tuple[float, int]] = field(default_factory=list)
    _misses: Counter[int] = field(default_factory=Counter)

    def concentrate(self) -> None:
        """Hand most new connections to one instance from now on."""
        self.concentrated = True
        self.chosen.append((trio.current_time(), self.favourite))

    def pick(self) -> int:
        """Return the instance of a first try."""
        candidates = self.list_in()
        if not self.concentrated:
            return self.random.choice(candidates)
        if self.favourite not in candidates:
            self.favourite = self.random.choice(candidates)
            self.chosen.append((trio.current_time(), self.favourite))
        if self.random.random() < SHARE:
            return self.favourite
        return self.random.choice(candidates)

    def pick_other(self, than: int) -> int:
        """Return the instance of a later try."""
        candidates = [each for each in self.list_in() if each != than]
        return self.random.choice(candidates or self.list_in())

    def list_in(self) -> list[int]:
        """Return the instances that get new connections."""
        numbers = range(len(self.instances))
        ready = [each for each in numbers if self._misses[each] < _MISSES]
        if 2 * len(ready) < len(self.instances):
            return list(numbers)
        return ready

    async def run(self, index: int) -> None:
        """Ask one instance each second, for ever."""
        await trio.sleep(self.random.random() * _ASK_EVERY)
        while True:
            began = trio.current_time()
            took = await self.ask(index)
            self.answers.append((began, index, took))
            self._misses[index] = self._misses[index] + 1 if took is None else 0
            rest = began + _ASK_EVERY - trio.current_time()
            await trio.sleep(max(rest, 0))

    async def ask(self, index: int) -> float | None:
        """Return how long an instance takes to say that it is ready."""
        began = trio.current_time()
        answer = b''
        with (
            trio.move_on_after(_ASK_EVERY),
            suppress(OSError, trio.BrokenResourceError),
        ):
            port = self.instances[index].ports[1]
            async with await trio.open_tcp_stream(LOCAL, port) as stream:
                await stream.send_all(
                    b'GET /cartdale/ready HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                answer = await stream.receive_some(_READ)
        if answer.startswith(b'HTTP/1.1 200'):
            return trio.current_time() - began
        return None


class UnreadConnections:
    """Know which connections hold bytes that the instances have not read."""

    def __init__(self, instances: list[Instance]) -> None:
        self._ports = {f'{each.ports[0]:04X}': each for each in instances}
        #: Ports of callers whose request is unread, as of the last look.
        self.ports: set[int] = set()
        self.looked_at: float = 0
        #: Most that one instance had at a time.
        self.most = 0

    def holds(self, port: int, since: float) -> bool:
        """Tell whether a caller's request is unread, after some time."""
        now = trio.current_time()
        if self.looked_at < since or now > self.looked_at + _LOOK_EVERY:
            self._look()
        return port in self.ports

    def _look(self) -> None:
        """Read the system's table of connections."""
        found: Counter[str] = Counter()
        ports: set[int] = set()
        for row in _ROW.finditer(_TABLE.read_text()):
            local, remote, unread = row.groups()
            if local in self._ports and int(unread, 16):
                ports.add(int(remote, 16))
                found[local] += 1
        self.ports = ports
        self.looked_at = trio.current_time()
        self.most = max(self.most, *found.values(), 0)


@dataclass
class NewConnections:
    """Hold everything that a test touches."""

    nursery: trio.Nursery
    instances: list[Instance]
    upstreams: list[LightUpstream]
    balancer: Balancer
    unread: UnreadConnections
    random: Random
    asked: list[Asked] = field(default_factory=list)
    #: When a caller closed the connection of a request that had no answer.
    left_at: dict[str, float] = field(default_factory=dict)
    _numbers: count = field(default_factory=count)

    async def play(self, rate: float, seconds: float) -> list[Asked]:
        """Ask at a rate, whatever the answers, and return what was asked."""
        ends_at = trio.current_time() + seconds
        asked: list[Asked] = []
        due = trio.current_time()
        async with trio.open_nursery() as nursery:
            while due < ends_at:
                await trio.sleep_until(due)
                one = Asked(
                    trio.current_time(),
                    self.random.choice(DEADLINES),
                    self.random.random() < _REPEATABLE,
                )
                asked.append(one)
                nursery.start_soon(self._ask, one)
                due += self.random.expovariate(rate)
        self.asked.extend(asked)
        return asked

    def read_processor(self, index: int) -> float:
        """Return the processor time of an instance, in seconds."""
        process = self.instances[index].process
        stat = Path(f'/proc/{process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def count_late_runs(self, slack: float) -> int:
        """Return how many requests began to run after their caller left."""
        late = 0
        for upstream in self.upstreams:
            for request_id, began in upstream.began_at.items():
                left = self.left_at.get(request_id)
                late += left is not None and began[-1] > left + slack
        return late

    def count_runs(self) -> Counter[str]:
        """Return how often each request ran."""
        runs: Counter[str] = Counter()
        for upstream in self.upstreams:
            for request_id, began in upstream.began_at.items():
                runs[request_id] += len(began)
        return runs

    async def _ask(self, asked: Asked) -> None:
        ends_at = asked.at + asked.deadline
        instance = self.balancer.pick()
        for _ in range(RETRIES + 1):
            tried = await self._try(instance, asked.repeatable, ends_at)
            asked.tries.append(tried)
            if not _may_retry(asked.repeatable, tried):
                return
            if trio.current_time() >= ends_at:
                return
            instance = self.balancer.pick_other(instance)

    async def _try(
        self, instance: int, repeatable: bool, ends_at: float
    ) -> Try:
        request_id = f'r{next(self._numbers)}'
        began = trio.current_time()
        connection = trio.socket.socket()
        with connection:
            end = await self._send(
                connection, instance, request_id, repeatable, ends_at
            )
        now = trio.current_time()
        if end in _LEAVING_ENDS:
            self.left_at[request_id] = now
        return Try(request_id, instance, end, now - began)

    async def _send(
        self,
        connection: trio.socket.SocketType,
        instance: int,
        request_id: str,
        repeatable: bool,
        ends_at: float,
    ) -> End:
        port = self.instances[instance].ports[0]
        left = ends_at - trio.current_time()
        try:
            with trio.fail_after(min(_CONNECT_LIMIT, left)):
                await connection.connect((LOCAL, port))
            stream = trio.SocketStream(connection)
            await stream.send_all(_format_request(request_id, repeatable, left))
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return End.NO_CONNECTION
        own_port = connection.getsockname()[1]
        ends: list[End] = []
        with trio.move_on_at(ends_at):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_receive, stream, nursery, ends)
                if repeatable:
                    limit = min(UNREAD_LIMIT, left / 3)
                    await self._leave_unread(own_port, limit)
                    nursery.cancel_scope.cancel()
                    ends.append(End.LEFT_UNREAD)
        if ends:
            return ends[0]
        unread = self.unread.holds(own_port, ends_at)
        return End.LATE_UNREAD if unread else End.LATE

    async def _leave_unread(self, port: int, limit: float) -> None:
        """Return once a request has not been read for some time."""
        limit_at = trio.current_time() + limit
        await trio.sleep_until(limit_at)
        if not self.unread.holds(port, limit_at):
            await trio.sleep_forever()


@asynccontextmanager
async def open_instances(
    instances: int, folder: Path
) -> AsyncIterator[NewConnections]:
    """Run instances as processes, and all around them, in the context."""
    random = Random(instances)
    async with trio.open_nursery() as nursery:
        upstreams = [LightUpstream(f'plain-{each}') for each in range(3)]
        store = _make_store(upstreams)
        bound = BoundListener(Listener(LOCAL, 0))
        nursery.start_soon(bound.serve, store.make_app(), trio.Event())
        path = FaultProxy(bound.port)
        nursery.start_soon(path.run)
        listed = [
            Instance(f'entry-{each}', folder, path) for each in range(instances)
        ]
        balancer = Balancer(listed, random)
        unread = UnreadConnections(listed)
        unexpected: list[str] = []
        for upstream in upstreams:
            nursery.start_soon(upstream.run)
        for each in listed:
            each.seeds = [other.control_address for other in listed]
            nursery.start_soon(each.run, unexpected)
        stage = NewConnections(
            nursery, listed, upstreams, balancer, unread, random
        )
        try:
            await _wait_ready(balancer)
            for index in range(instances):
                nursery.start_soon(balancer.run, index)
            yield stage
        finally:
            for each in listed:
                each.end()
        await trio.sleep(_LOOK_EVERY)
        assert not unexpected
        nursery.cancel_scope.cancel()


def share_served(asked: list[Asked]) -> float:
    """Return the share that was served at the first try that was read."""
    return sum(each.is_served_at_first for each in asked) / max(len(asked), 1)


def count_ends(asked: list[Asked]) -> Counter[str]:
    """Return how the tries ended."""
    return Counter(tried.end.value for each in asked for tried in each.tries)


async def measure_capacity(stage: NewConnections) -> float:
    """Return how many requests a second a whole core can serve."""
    before = stage.read_processor(0)
    asked = await stage.play(_CALM_RATE, _CALM_SECONDS)
    spent = stage.read_processor(0) - before
    tries = [tried for each in asked for tried in each.tries]
    return sum(tried.instance == 0 for tried in tries) / spent


def describe_seconds(stage: NewConnections, asked: list[Asked]) -> str:
    """Tell second by second how requests fared and where they went."""
    began = asked[0].at
    by_second: dict[int, list[Asked]] = {}
    for each in asked:
        by_second.setdefault(int(each.at - began), []).append(each)
    lines = [
        f'{second:2} s: {len(part)} asked, {share_served(part):.2f} served,'
        f' middle {_find_middle(part):.2f} s, {dict(count_ends(part))}'
        for second, part in sorted(by_second.items())
    ]
    answers = [each for each in stage.balancer.answers if each[0] >= began]
    missed = sum(took is None for _, _, took in answers)
    slowest = max((took or 0 for _, _, took in answers), default=0)
    chosen = [(f'{at - began:.1f} s', to) for at, to in stage.balancer.chosen]
    return '\n'.join(
        (
            *lines,
            f'readiness: {missed} of {len(answers)} missed, slowest'
            f' {slowest:.2f} s; chosen {chosen}',
        )
    )


async def _wait_ready(balancer: Balancer) -> None:
    numbers = range(len(balancer.instances))
    with trio.fail_after(_START_SECONDS):
        for index in numbers:
            while await balancer.ask(index) is None:
                await trio.sleep(_LOOK_EVERY)


def _make_store(upstreams: list[LightUpstream]) -> PlatformStoreStandIn:
    document = make_configuration()
    for service in document['services']:
        service['maxConnections'] = _PORTAL_CONNECTIONS
    store = PlatformStoreStandIn()
    store.put('op/config', document)
    for each in upstreams:
        store.put(
            f'servers/{each.name}',
            describe_upstream('portal', each.address),
        )
    return store


def _find_middle(asked: list[Asked]) -> float:
    took = [sum(tried.took for tried in each.tries) for each in asked]
    return median(took)


def _may_retry(repeatable: bool, tried: Try) -> bool:
    if tried.end is End.SERVED:
        return False
    return repeatable or tried.end in _PROMISES


def _format_request(request_id: str, repeatable: bool, left: float) -> bytes:
    path = '/look/a' if repeatable else '/cut/a'
    head = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        f'Authorization: Token {KEY}',
        f'Deadline-Ms: {int(left * 1000)}',
        'Transfer-Encoding: chunked',
        'Connection: close',
    )
    return '\r\n'.join((*head, '', '')).encode() + _BODY


def _format_answer(request_id: str) -> bytes:
    head = (
        'HTTP/1.1 200 OK',
        f'Request-Id: {request_id}',
        'Response-Seal: seal',
        'Content-Length: 2',
        'Connection: close',
    )
    return '\r\n'.join((*head, '', 'ok')).encode()


async def _read_request(stream: trio.SocketStream) -> bytes:
    received = b''
    while not received.endswith(b'x' * _CHUNKS):
        part = await stream.receive_some(_READ)
        if not part:
            return b''
        received += part
    return received


def _find_request_id(request: bytes) -> str:
    for line in request.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'request-id':
            return value.strip().decode()
    return ''


async def _receive(
    stream: trio.SocketStream, nursery: trio.Nursery, ends: list[End]
) -> None:
    ends.append(await _read_answer(stream))
    _forget(stream)
    nursery.cancel_scope.cancel()


def _forget(stream: trio.SocketStream) -> None:
    """Leave no trace of a connection that the peer has closed.

    The system would list it for another minute, and looking for unread
    requests would take long.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


async def _read_answer(stream: trio.SocketStream) -> End:
    """Read until the connection ends, and tell how the try ended."""
    received = b''
    while True:
        try:
            part = await stream.receive_some(_READ)
        except (OSError, trio.BrokenResourceError):
            # Closing a connection that holds unread bytes resets it.
            return End.CUT if received else End.CLOSED_UNREAD
        if not part:
            break
        received += part
    if received.startswith(b'HTTP/1.1 200') and received.endswith(b'ok'):
        return End.SERVED
    if received.startswith((b'HTTP/1.1 503', b'HTTP/1.1 429')):
        return End.REFUSED
    return End.FAILED if received else End.CUT
