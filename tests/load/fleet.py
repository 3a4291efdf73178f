"""A whole fleet of instances in virtual time, on a store in memory.

Each instance runs the real exchange of news, list, follower and agreement on
a key; only the network and the store are replaced.
"""

from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random
from types import MappingProxyType

import trio
from returns.result import Failure, Result, Success

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.codec import encode_json
from cartdale.daemon.gateway import LEAVE_PAUSE
from cartdale.daemon.peer_links import PEER_TIMEOUT, MessageHandler
from cartdale.daemon.peers import Peers
from cartdale.fleet.driver import Fleet
from cartdale.fleet.store_follower import StoreFollower
from cartdale.news.types import PeerEntry
from cartdale.peers.client import PeerNotReached, PeerUncertain
from cartdale.peers.documents import (
    ENCODINGS,
    Document,
    FetchDocument,
    decode_document,
)
from cartdale.platform.translate import decode_change
from cartdale.store.types import (
    Changes,
    Compare,
    Entry,
    LeaseLost,
    Listing,
    Put,
    Removed,
    StoreFailure,
    StoreUnavailable,
    WatchCut,
    Write,
)
from cartdale_standins.platform_entries import describe_upstream
from cartdale_standins.state import KeyValueState
from tests.fakes import SkewedClock
from tests.load.trouble import Trouble
from tests.platform_stage import make_configuration

#: An answer of the store, there and back.
STORE_TAKES: Millis = 4
#: In which the store must answer, and by how much a watch may be late.
STORE_TIMEOUT: Millis = SECOND_MS
LONGEST_WATCH_DELAY: Millis = SECOND_MS // 2
#: One way between two instances.
WAY_TAKES: Millis = 2
#: From the end of an instance to its start again, in seconds.
_RESTART_SECONDS = 0.5
#: Wait on a full link from which on a datagram is lost.
_LONGEST_QUEUE: Millis = SECOND_MS // 2
#: What a connection has on a link at a time, in bytes.
_CONNECTION_WINDOW = 16_384
#: What a value grows by in the store's answers, which are text.
_STORE_ENCODING = 4 / 3
#: In a millisecond.
_BYTES_PER_MBIT = 125
#: What half a core decodes of a document in a millisecond, in bytes.
_DECODING_RATE = 10_000
FIRST_PORT = 7200
DOMAINS = ('karen', 'kilimani', 'parklands', 'upperhill', 'westlands')
AT_ONCE: Mapping[str, float] = MappingProxyType({})


@dataclass(frozen=True)
class LinkCapacity:
    """Describe the links of all instances.

    :param rate: in bytes a millisecond.
    :param traffic: share that other traffic takes.
    """

    rate: float = inf
    traffic: float = 0

    @property
    def free(self) -> float:
        return self.rate * (1 - self.traffic)


WIDE_LINKS = LinkCapacity()


@dataclass
class Link:
    """Carry one thing after another; what is small passes what is large."""

    #: When each transfer has ended.
    ends: list[float] = field(default_factory=list)

    def send(self, size: float, rate: float) -> tuple[float, float]:
        """Send something after all before it, also if nobody waits for it.

        Before something small there is only what the other connections have
        on the link at a time.

        :param rate: in bytes a millisecond.
        :returns: how long it waits, and how long it is on the link.
        """
        now = trio.current_time() * 1000
        self.ends = [end for end in self.ends if end > now]
        waits = max(self.ends, default=now) - now
        takes = size / rate
        if size < _CONNECTION_WINDOW:
            ahead = _CONNECTION_WINDOW / rate * len(self.ends)
            return min(waits, ahead), takes
        self.ends.append(now + waits + takes)
        return waits, takes


async def receive_at_once(size: float) -> None:
    """Receive over a link without a bound."""


@dataclass
class CountingStore:
    """Answer one instance's calls, and count them for the whole fleet."""

    state: KeyValueState
    calls: Counter[str]
    #: Whether calls of this instance are turned away.
    refuses: bool = False
    trouble: Trouble = field(default_factory=Trouble)
    #: Whether a watch of this instance waits.
    watches: bool = False
    #: Cuts the watch that waits.
    cut: trio.Event = field(default_factory=trio.Event)
    #: Waits until so many bytes have arrived here.
    receive: Callable[[float], Awaitable[None]] = receive_at_once

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        if await self._refuse('read'):
            return Failure(StoreUnavailable('busy'))
        listing = self.state.fetch(prefix, '~', 0)
        await self._receive(listing.entries)
        return Success(listing)

    async def watch(
        self, prefix: str, after: int, timeout: Millis
    ) -> Result[Changes, StoreFailure]:
        with trio.move_on_after(as_seconds(timeout + LONGEST_WATCH_DELAY)):
            if await self._refuse('watch', timeout + LONGEST_WATCH_DELAY):
                return Failure(StoreUnavailable('busy'))
            if not await self._await_changes(after, timeout):
                return Failure(WatchCut('reset'))
            if self.refuses:
                return Failure(StoreUnavailable('busy'))
            await self.trouble.hold_store_call()
            changes = self._list_changes(after)
            revision = self.state.revision
            await self._receive(changes)
            return Success(Changes(changes, revision))
        return Failure(StoreUnavailable('no answer'))

    def cut_watch(self) -> None:
        """Reset the connection of the watch that waits, if any."""
        self.cut.set()
        self.cut = trio.Event()

    async def transact(
        self, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ):
        if await self._refuse('write'):
            return Failure(StoreUnavailable('busy'))
        return Success(self.state.transact(compares, writes))

    async def grant(self, ttl: Millis) -> Result[int, StoreFailure]:
        if await self._refuse('grant'):
            return Failure(StoreUnavailable('busy'))
        return Success(self.state.grant(ttl))

    async def keep_alive(self, lease: int) -> Result[Millis, StoreFailure]:
        if await self._refuse('renew'):
            return Failure(StoreUnavailable('busy'))
        ttl = self.state.keep_alive(lease)
        return Success(ttl) if ttl else Failure(LeaseLost(lease))

    async def revoke(self, lease: int) -> Result[None, StoreFailure]:
        await self._refuse('revoke')
        self.state.revoke(lease)
        return Success(None)

    async def _await_changes(self, after: int, timeout: Millis) -> bool:
        """Wait for changes; return whether the connection stayed."""
        cut, self.watches = self.cut, True
        try:
            with trio.move_on_after(as_seconds(timeout)):
                while not (self._list_changes(after) or cut.is_set()):
                    await trio.sleep(as_seconds(STORE_TAKES))
        finally:
            self.watches = False
        return not cut.is_set()

    async def _refuse(self, kind: str, timeout: Millis = STORE_TIMEOUT) -> bool:
        self.calls[kind] += 1
        with trio.move_on_after(as_seconds(timeout)):
            await self.trouble.hold_store_call()
            await trio.sleep(as_seconds(STORE_TAKES + self.trouble.delay))
            return self.refuses
        return True

    async def _receive(self, items: tuple[Entry | Removed, ...]) -> None:
        size = sum(len(each.value) for each in items if isinstance(each, Entry))
        await self.receive(size * _STORE_ENCODING)

    def _list_changes(self, after: int):
        return tuple(
            change
            for change in self.state.history
            if change.mod_revision > after
        )


@dataclass
class MemoryNetwork:
    """Carry datagrams and documents between the instances by their names."""

    nursery: trio.Nursery
    links: LinkCapacity
    inboxes: dict[str, trio.MemorySendChannel] = field(default_factory=dict)
    servers: dict[str, MessageHandler] = field(default_factory=dict)
    messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    #: The links by which instances send, and receive from the store.
    uplinks: defaultdict[str, Link] = field(
        default_factory=lambda: defaultdict(Link)
    )
    downlinks: defaultdict[str, Link] = field(
        default_factory=lambda: defaultdict(Link)
    )
    #: Each decodes one document after another, as a link carries them.
    processors: defaultdict[str, Link] = field(
        default_factory=lambda: defaultdict(Link)
    )
    troubles: defaultdict[str, Trouble] = field(
        default_factory=lambda: defaultdict(Trouble)
    )
    #: Instances that reach only each other.
    cut_off: frozenset[str] = frozenset()

    def is_cut(self, one: str, other: str) -> bool:
        return (one in self.cut_off) != (other in self.cut_off)

    def send(self, raw: bytes, sender: str, receiver: str) -> None:
        """Deliver a datagram, unless it is lost."""
        ends = self.troubles[sender], self.troubles[receiver]
        lost = any(end.loses() for end in ends) or self.is_cut(sender, receiver)
        if lost or ends[0].frozen:
            return
        waits, takes = self.send_over_link(sender, len(raw))
        if waits > _LONGEST_QUEUE:
            return
        delay = ends[0].delay + int(waits + takes)
        if delay:
            self.nursery.start_soon(self._deliver_late, raw, receiver, delay)
            return
        self._deliver(raw, receiver)

    async def wait_for_answer(self, asking: str, asked: str) -> bool:
        """Wait until a peer answers; tell whether it did in time."""
        with trio.move_on_after(as_seconds(PEER_TIMEOUT)):
            await trio.sleep(as_seconds(2 * WAY_TAKES))
            if self.is_cut(asking, asked):
                await trio.sleep_forever()
            for name in (asking, asked):
                await self.troubles[name].hold_fetch()
            return True
        return False

    def send_over_link(self, name: str, size: float) -> tuple[float, float]:
        """Send something from an instance, as :meth:`Link.send` does."""
        return self.uplinks[name].send(size, self.links.free)

    async def receive_from_store(self, name: str, size: float) -> None:
        waits, takes = self.downlinks[name].send(size, self.links.free)
        await trio.sleep(as_seconds(waits + takes))
        await self.decode(name, size)

    async def decode(self, name: str, size: float) -> None:
        """Take the processor's time for what was received, one by one."""
        waits, takes = self.processors[name].send(size, _DECODING_RATE)
        await trio.sleep(as_seconds(waits + takes))

    def _deliver(self, raw: bytes, receiver: str) -> None:
        inbox = self.inboxes.get(receiver)
        if inbox is not None:
            with suppress(trio.WouldBlock):
                inbox.send_nowait(raw)

    async def _deliver_late(
        self, raw: bytes, receiver: str, delay: Millis
    ) -> None:
        await trio.sleep(as_seconds(delay))
        self._deliver(raw, receiver)


@dataclass
class MemoryLinks:
    """Reach the others over a network in memory."""

    own: PeerEntry
    network: MemoryNetwork

    def __post_init__(self) -> None:
        self._put, self._take = trio.open_memory_channel[bytes](1000)

    @property
    def datagrams(self) -> 'MemoryLinks':
        return self

    def send(self, raw: bytes, peer: PeerEntry) -> None:
        self.network.messages[self.own.name] += 1
        self.network.sent_bytes[self.own.name] += len(raw)
        self.network.send(raw, self.own.name, peer.name)

    async def receive(self) -> bytes:
        raw = await self._take.receive()
        await self.network.troubles[self.own.name].wait_until_runs()
        return raw

    def set_authenticator(self, authenticator: object) -> None:
        """Documents need no seal here."""

    async def serve(self, answer: MessageHandler, stopping: trio.Event) -> None:
        name = self.own.name
        self.network.inboxes[name] = self._put
        self.network.servers[name] = answer
        try:
            await stopping.wait()
            # Datagrams still arrive until the process ends.
            self.network.servers.pop(name, None)
            await trio.sleep_forever()
        finally:
            self.network.inboxes.pop(name, None)
            self.network.servers.pop(name, None)

    async def fetch_document(self, peer: PeerEntry, *, may_wait: bool):
        self.network.messages['documents'] += 1
        if peer.failure_domain != self.own.failure_domain:
            self.network.messages['documents across'] += 1
        if not await self.network.wait_for_answer(self.own.name, peer.name):
            return Failure(PeerUncertain('nothing came'))
        serve = self.network.servers.get(peer.name)
        if serve is None:
            return Failure(PeerNotReached('gone'))
        answer = await serve(FetchDocument(ENCODINGS, may_wait))
        assert isinstance(answer, Document)
        waits, takes = self.network.send_over_link(peer.name, len(answer.raw))
        if waits > PEER_TIMEOUT:
            await trio.sleep(as_seconds(PEER_TIMEOUT))
            return Failure(PeerUncertain('nothing came'))
        await trio.sleep(as_seconds(waits + takes))
        if answer.retry_after:
            return Success(answer)
        raw = decode_document(answer).unwrap()
        await self.network.decode(self.own.name, len(raw))
        return Success(answer)


@dataclass
class FleetInstance:
    """Hold one instance."""

    fleet: Fleet
    peers: Peers
    follower: StoreFollower
    store: CountingStore
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    stopping: trio.Event = field(default_factory=trio.Event)
    #: In seconds; infinite before the start.
    started_at: float = inf

    @property
    def name(self) -> str:
        return self.peers.news.own.name

    async def run(self, delay: float) -> None:
        with self.scope:
            await trio.sleep(delay)
            self.started_at = trio.current_time()
            await self.peers.run(self.follower, self.stopping)


class SimulatedFleet:
    """Hold a store and all instances.

    :param count: instances, spread over the failure domains in turn.
    :param links: what all their links carry.
    """

    def __init__(
        self,
        count: int,
        nursery: trio.Nursery,
        domains: tuple[str, ...] = DOMAINS,
        links: LinkCapacity = WIDE_LINKS,
    ) -> None:
        self.clock = SkewedClock()
        self.state = KeyValueState(self.clock)
        self.calls: Counter[str] = Counter()
        self.network = MemoryNetwork(nursery, links)
        self.instances: list[FleetInstance] = []
        self._nursery = nursery
        self.entries = [
            make_entry(number, domains[number % len(domains)])
            for number in range(count)
        ]
        self.configure(1)

    def configure(self, version: int, more_routes: int = 0) -> None:
        configuration = make_configuration(version)
        configuration['routes'] += make_routes(more_routes)
        document = encode_json(configuration)
        self.state.transact((), (Put('op/config', document),))

    def list_engine(self, name: str, state: str = 'ready') -> None:
        entry = describe_upstream(
            'writers', f'{name}:1', DOMAINS[0], slots=24, state=state
        )
        self.state.transact((), (Put(f'servers/{name}', encode_json(entry)),))

    def start_all(self, delays_by_name: Mapping[str, float] = AT_ONCE) -> None:
        """Start every instance within 0.3 s, as after a loss of power.

        :param delays_by_name: seconds by which instances start later.
        """
        self.network.inboxes.clear()
        self.network.servers.clear()
        self.instances = [self._make(own) for own in self.entries]
        for number, each in enumerate(self.instances):
            delay = 0.3 * number / len(self.instances)
            delay += delays_by_name.get(each.name, 0)
            self._nursery.start_soon(each.run, delay)

    def restart(self, name: str, skew: Millis = 0) -> None:
        """Kill an instance and start it again.

        :param skew: by how much its wall clock is off from then on.
        """
        before = self.find(name)
        before.scope.cancel()
        again = self._make(before.peers.news.own, skew)
        self.instances[self.instances.index(before)] = again
        self._nursery.start_soon(again.run, _RESTART_SECONDS)

    async def leave(self, name: str) -> None:
        leaving = self.find(name)
        await leaving.peers.withdraw()
        leaving.scope.cancel()

    async def stop(self, name: str, drains: float = 0) -> None:
        """Stop an instance as planned.

        :param drains: seconds for which it still has work after it takes no
            new connections.
        """
        stopping = self.find(name)
        stopping.peers.hand_over()
        await trio.sleep(as_seconds(LEAVE_PAUSE))
        stopping.stopping.set()
        await trio.sleep(drains)
        await stopping.peers.withdraw()
        stopping.scope.cancel()

    async def stop_and_start(self, name: str, drains: float) -> None:
        """Stop an instance as planned, and start it again."""
        await self.stop(name, drains)
        self.restart(name)

    def list_running(self) -> list[FleetInstance]:
        return [each for each in self.instances if not each.scope.cancel_called]

    def find(self, name: str) -> FleetInstance:
        return next(each for each in self.instances if each.name == name)

    def stop_all(self) -> None:
        for each in self.instances:
            each.scope.cancel()

    def list_versions(self) -> Iterator[int]:
        for each in self.instances:
            yield each.fleet.table.version

    def take_calls(self) -> Counter[str]:
        """Return the calls since the last time."""
        taken = Counter(self.calls)
        self.calls.clear()
        return taken

    def _make(self, own: PeerEntry, skew: Millis = 0) -> FleetInstance:
        clock = SkewedClock(skew)
        trouble = self.network.troubles[own.name]
        receive = partial(self.network.receive_from_store, own.name)
        store = CountingStore(
            self.state, self.calls, trouble=trouble, receive=receive
        )
        seed = own.port - FIRST_PORT
        fleet = Fleet(clock, own.failure_domain, seed)
        links = MemoryLinks(own, self.network)
        link_mbps = self.network.links.rate / _BYTES_PER_MBIT
        peers = Peers(links, store, fleet, clock, link_mbps)
        follower = StoreFollower(
            store,
            fleet,
            clock,
            decode_change,
            peers.apply_own_key,
            peers.news.is_watcher,
            peers.news.is_silent,
        )
        return FleetInstance(fleet, peers, follower, store)


def make_entry(number: int, failure_domain: str) -> PeerEntry:
    name = f'front-{failure_domain}-{number}'
    port = FIRST_PORT + number
    return PeerEntry(name, failure_domain, port, failure_domain)


def make_routes(count: int) -> list[dict[str, object]]:
    """Return routes that differ in what a real one's differ in."""
    generator = Random(count)
    template = make_configuration()['routes'][-1]
    return [
        {
            **template,
            'name': f'r-{generator.getrandbits(36):x}',
            'hostname': f'{generator.getrandbits(24):x}.example',
            'pathPrefix': f'/{generator.getrandbits(36):x}/',
            'targetLatencyMs': generator.randrange(200, 4000),
        }
        for _ in range(count)
    ]
