"""Track the load of this instance and its peers at each upstream."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.ranges import Total

#: A peer's load counts for this long after it was last received.
PEER_LOAD_KEPT_MS: Millis = 3 * SECOND_MS
#: A generation that exceeds its estimate is expected to generate this share of
#: its present length in addition: for lognormal lengths the expected remainder
#: grows with the age.
_OUTRUN_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Load:
    """Sum up the work at one upstream.

    :param runs: requests that run or wait there.
    :param tokens: memory that they hold now.
    :param growth: tokens that they are still expected to generate.
    :param reading: prompt tokens of those without a response so far.
    :param exempt: number of them that need no copy when their upstream leaves:
        they have a copy or backup elsewhere, end before, or find no capacity.
    :param long: number of long generations, which each concurrently read
        prompt delays.
    :param copying: number of them that are being copied to another upstream.
    """

    runs: Total = 0
    tokens: Total = 0
    growth: Total = 0
    reading: Total = 0
    exempt: Total = 0
    long: Total = 0
    copying: Total = 0

    @property
    def awaiting_copy(self) -> int:
        """Return how many requests still need a copy if the upstream leaves."""
        return max(self.runs - self.exempt, 0)

    @property
    def share_awaiting_copy(self) -> float:
        """Return the share of the requests that still need one, 0 to 1."""
        return self.awaiting_copy / max(self.runs, 1)

    def add(self, other: 'Load') -> 'Load':
        """Return the sum."""
        return Load(
            self.runs + other.runs,
            self.tokens + other.tokens,
            self.growth + other.growth,
            self.reading + other.reading,
            self.exempt + other.exempt,
            self.long + other.long,
            self.copying + other.copying,
        )


@dataclass(frozen=True, slots=True)
class WorkOwner:
    """Name on whose account a request runs."""

    service: str
    customer: str
    priority: int


class Assignment:
    """Track one request at one upstream.

    :param prompt: tokens to read, 0 for a plain request.
    :param expected: median number of tokens that it is expected to generate.
    :param made: tokens generated before it came here.
    :param owner: on whose account it runs.
    :param short: whether it ends while a leaving upstream still serves.
    """

    __slots__ = (
        'backup',
        'began',
        'copying',
        'counted',
        'expected',
        'made',
        'owner',
        'prompt',
        'exempt',
        'short',
        'upstream',
    )

    def __init__(
        self,
        upstream: str,
        prompt: int,
        expected: int,
        made: int = 0,
        owner: WorkOwner | None = None,
        *,
        short: bool = False,
    ) -> None:
        self.owner = owner
        #: Tokens that were counted as generated for its customer.
        self.counted = made
        self.backup = ''
        #: Whether it is being copied to another upstream.
        self.copying = False
        self.short = short
        #: Whether it needs no copy when its upstream leaves.
        self.exempt = short
        self.upstream = upstream
        self.prompt = prompt
        self.expected = expected
        self.made = made
        self.began = made > 0

    def advance(self, tokens: int) -> None:
        """Count tokens that arrived."""
        self.began = True
        self.made += tokens

    def backup_load(self) -> Load:
        """Return its contribution to the load of its backup's upstream."""
        return Load(tokens=self.prompt + self.made)

    def load(self) -> Load:
        """Return its contribution to the load of its upstream."""
        remaining = max(
            self.expected - self.made, int(self.made * _OUTRUN_SHARE)
        )
        return Load(
            runs=1,
            tokens=self.prompt + self.made,
            growth=remaining if self.prompt else 0,
            reading=0 if self.began else self.prompt,
            exempt=int(self.exempt or bool(self.backup)),
            long=int(self.prompt and not self.short),
            copying=int(self.copying),
        )


@dataclass(frozen=True, slots=True)
class _PeerLoad:
    """Hold the last load that a peer published."""

    received_at: Millis
    loads_by_upstream: dict[str, Load]


@dataclass(slots=True)
class _Sum:
    """Hold the sum of the loads of some peers at one upstream.

    :param peers: number of loads in the sum.
    """

    peers: int = 0
    runs: int = 0
    tokens: int = 0
    growth: int = 0
    reading: int = 0
    exempt: int = 0
    long: int = 0
    copying: int = 0

    def add(self, load: Load) -> None:
        """Add a load."""
        self.peers += 1
        self.runs += load.runs
        self.tokens += load.tokens
        self.growth += load.growth
        self.reading += load.reading
        self.exempt += load.exempt
        self.long += load.long
        self.copying += load.copying

    def subtract(self, load: Load) -> None:
        """Take out a load."""
        self.peers -= 1
        self.runs -= load.runs
        self.tokens -= load.tokens
        self.growth -= load.growth
        self.reading -= load.reading
        self.exempt -= load.exempt
        self.long -= load.long
        self.copying -= load.copying

    def exchange(self, before: Load, after: Load) -> None:
        """Replace a load."""
        self.runs += after.runs - before.runs
        self.tokens += after.tokens - before.tokens
        self.growth += after.growth - before.growth
        self.reading += after.reading - before.reading
        self.exempt += after.exempt - before.exempt
        self.long += after.long - before.long
        self.copying += after.copying - before.copying

    def load(self) -> Load:
        """Return the sum."""
        return Load(
            self.runs,
            self.tokens,
            self.growth,
            self.reading,
            self.exempt,
            self.long,
            self.copying,
        )


class _PeerLoads:
    """Hold the unexpired loads of peers, and their sums.

    Sums are read several times for each message of a peer: while a request
    waits, at each check for capacity. Loads are whole numbers, so that a sum
    which loads enter and leave equals a new one.
    """

    def __init__(self) -> None:
        #: The one that was received first comes first.
        self._peers_by_name: dict[str, _PeerLoad] = {}
        self._sums_by_upstream: defaultdict[str, _Sum] = defaultdict(_Sum)
        #: Loads of the sums that have not changed since they were read.
        self._loads_by_upstream: dict[str, Load] = {}

    def replace(
        self, peer: str, loads_by_upstream: dict[str, Load], now: Millis
    ) -> None:
        """Replace the load of a peer."""
        known = self._peers_by_name.pop(peer, None)
        before = dict(known.loads_by_upstream) if known else {}
        self._peers_by_name[peer] = _PeerLoad(now, loads_by_upstream)
        for upstream, load in loads_by_upstream.items():
            self._loads_by_upstream.pop(upstream, None)
            replaced = before.pop(upstream, None)
            if replaced is None:
                self._sums_by_upstream[upstream].add(load)
            else:
                self._sums_by_upstream[upstream].exchange(replaced, load)
        self._subtract(before)

    def list_all(self, now: Millis) -> dict[str, Load]:
        """Return the sum of all peers, by upstream."""
        self._expire(now)
        return {name: self._read(name) for name in self._sums_by_upstream}

    def list_of(
        self, peers: Iterable[str], now: Millis
    ) -> list[dict[str, Load]]:
        """Return the loads of some peers, each by upstream."""
        self._expire(now)
        known = [self._peers_by_name.get(name) for name in peers]
        return [peer.loads_by_upstream for peer in known if peer is not None]

    def at(self, upstream: str, now: Millis) -> Load:
        """Return the sum of all peers at one upstream."""
        self._expire(now)
        if upstream in self._sums_by_upstream:
            return self._read(upstream)
        return Load()

    def _read(self, upstream: str) -> Load:
        load = self._loads_by_upstream.get(upstream)
        if load is None:
            load = self._sums_by_upstream[upstream].load()
            self._loads_by_upstream[upstream] = load
        return load

    def _expire(self, now: Millis) -> None:
        """Drop the loads that are too old."""
        while self._peers_by_name:
            peer, oldest = next(iter(self._peers_by_name.items()))
            if now - oldest.received_at <= PEER_LOAD_KEPT_MS:
                return
            self._peers_by_name.pop(peer)
            self._subtract(oldest.loads_by_upstream)

    def _subtract(self, loads_by_upstream: dict[str, Load]) -> None:
        for upstream, load in loads_by_upstream.items():
            found = self._sums_by_upstream[upstream]
            found.subtract(load)
            self._loads_by_upstream.pop(upstream, None)
            if not found.peers:
                self._sums_by_upstream.pop(upstream)


class LoadTable:
    """Hold the load of this instance and the loads published by peers."""

    def __init__(self) -> None:
        self._assignments: set[Assignment] = set()
        self._peer_loads = _PeerLoads()
        #: Number of changes that are worth publishing.
        self.version = 0

    def assign(self, assignment: Assignment) -> None:
        """Add a request to an upstream."""
        self._assignments.add(assignment)
        self._count(assignment)

    def release(self, assignment: Assignment) -> None:
        """Remove a request from its upstream."""
        self._assignments.discard(assignment)
        self._count(assignment)

    def list_assignments(self) -> Iterable[Assignment]:
        """Return the requests that this instance has running."""
        return self._assignments

    def receive(
        self, peer: str, loads_by_upstream: dict[str, Load], now: Millis
    ) -> None:
        """Replace the load of a peer."""
        self._peer_loads.replace(peer, loads_by_upstream, now)

    def own(self, *, shared: bool = False) -> dict[str, Load]:
        """Return this instance's load by upstream.

        :param shared: only what is worth publishing: plain requests end before
            news of them arrives.
        """
        loads_by_upstream: dict[str, Load] = {}
        for assignment in self._assignments:
            if shared and not assignment.prompt:
                continue
            _add(loads_by_upstream, assignment.upstream, assignment.load())
            if assignment.backup:
                copied = assignment.backup_load()
                _add(loads_by_upstream, assignment.backup, copied)
        return loads_by_upstream

    def shared_totals(
        self, peers: Iterable[str], now: Millis
    ) -> dict[str, Load]:
        """Return the published load of this instance and some peers.

        :param peers: names of the peers to include.
        :returns: the load by upstream.
        """
        totals_by_upstream = self.own(shared=True)
        for peer_loads in self._peer_loads.list_of(peers, now):
            for upstream, load in peer_loads.items():
                _add(totals_by_upstream, upstream, load)
        return totals_by_upstream

    def totals(self, now: Millis) -> dict[str, Load]:
        """Return the known load of all instances by upstream."""
        totals_by_upstream = self._peer_loads.list_all(now)
        for upstream, load in self.own().items():
            _add(totals_by_upstream, upstream, load)
        return totals_by_upstream

    def at(self, upstream: str, now: Millis) -> Load:
        """Return the known load of all instances at one upstream."""
        load = Load()
        for assignment in self._assignments:
            if assignment.upstream == upstream:
                load = load.add(assignment.load())
            if assignment.backup == upstream:
                load = load.add(assignment.backup_load())
        return load.add(self._peer_loads.at(upstream, now))

    def exempt(self, assignment: Assignment) -> None:
        """Record that no other request needs to wait for this one's copy."""
        assignment.exempt = True
        self._count(assignment)

    def mark_copying(self, assignment: Assignment, *, copying: bool) -> None:
        """Record that the copy of a request began to use a link, or ended."""
        assignment.copying = copying
        self._count(assignment)

    def _count(self, assignment: Assignment) -> None:
        if assignment.prompt:
            self.version += 1


def _add(loads_by_upstream: dict[str, Load], upstream: str, load: Load) -> None:
    before = loads_by_upstream.get(upstream, Load())
    loads_by_upstream[upstream] = before.add(load)
