"""Loads: what this instance and its peers have running at each upstream."""

from collections.abc import Iterable
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis

#: A peer's load counts for so long after it was last heard.
PEER_LOAD_KEPT_MS: Millis = 3 * SECOND_MS
#: A generation that outruns its estimate is expected to make this much more
#: of what it has made: for lognormal lengths the rest grows with the age.
_OUTRUN_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class Load:
    """Sum up the work at one upstream.

    :param runs: requests that run or wait there.
    :param tokens: memory that they hold now.
    :param growth: tokens that they are still expected to make.
    :param reading: prompt tokens of those that have not begun to answer.
    :param exempt: how many of them need no copy when their upstream leaves:
        they have one or a backup elsewhere, end before, or find no room.
    :param long: how many of them generate for long, so that each prompt that
        is read beside them holds them up.
    :param copying: how many of them are being copied to another upstream.
    """

    runs: int = 0
    tokens: int = 0
    growth: int = 0
    reading: int = 0
    exempt: int = 0
    long: int = 0
    copying: int = 0

    @property
    def awaiting_copy(self) -> int:
        """Return how many requests still need a copy if the upstream leaves."""
        return max(self.runs - self.exempt, 0)

    @property
    def share_awaiting_copy(self) -> float:
        """Return which part of the requests still needs one, 0 to 1."""
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


class Assignment:
    """Follow one request at one upstream.

    :param prompt: tokens to read, 0 for a plain request.
    :param expected: tokens that it is expected to make, at the median.
    :param made: tokens made before it came here.
    :param short: whether it ends while a leaving upstream serves on.
    """

    __slots__ = (
        'backup',
        'began',
        'copying',
        'expected',
        'made',
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
        *,
        short: bool = False,
    ) -> None:
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
        """Return what it adds to the load of its backup's upstream."""
        return Load(tokens=self.prompt + self.made)

    def load(self) -> Load:
        """Return what it adds to its upstream's load."""
        left = max(self.expected - self.made, int(self.made * _OUTRUN_SHARE))
        return Load(
            runs=1,
            tokens=self.prompt + self.made,
            growth=left if self.prompt else 0,
            reading=0 if self.began else self.prompt,
            exempt=int(self.exempt or bool(self.backup)),
            long=int(self.prompt and not self.short),
            copying=int(self.copying),
        )


@dataclass(frozen=True, slots=True)
class _PeerLoad:
    """Hold what a peer said last."""

    received_at: Millis
    loads_by_upstream: dict[str, Load]


class LoadTable:
    """Hold the work of this instance, and what peers said of theirs."""

    def __init__(self) -> None:
        self._assignments: set[Assignment] = set()
        self._peers_by_name: dict[str, _PeerLoad] = {}
        #: Counts the changes that are worth telling.
        self.version = 0

    def assign(self, assignment: Assignment) -> None:
        """Add a request to an upstream."""
        self._assignments.add(assignment)
        self._count(assignment)

    def release(self, assignment: Assignment) -> None:
        """Remove a request from its upstream."""
        self._assignments.discard(assignment)
        self._count(assignment)

    def receive(
        self, peer: str, loads_by_upstream: dict[str, Load], now: Millis
    ) -> None:
        """Replace what a peer has running."""
        self._peers_by_name[peer] = _PeerLoad(now, loads_by_upstream)

    def own(self, *, shared: bool = False) -> dict[str, Load]:
        """Return this instance's load by upstream.

        :param shared: only what is worth telling: plain requests end sooner
            than their news arrive.
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
        """Return what this instance and some peers told, by upstream.

        :param peers: names of those that count.
        """
        totals_by_upstream = self.own(shared=True)
        self._add_peers(totals_by_upstream, peers, now)
        return totals_by_upstream

    def totals(self, now: Millis) -> dict[str, Load]:
        """Return everybody's load by upstream, as far as it is known."""
        totals_by_upstream = self.own()
        self._add_peers(totals_by_upstream, self._peers_by_name, now)
        return totals_by_upstream

    def at(self, upstream: str, now: Millis) -> Load:
        """Return everybody's load at one upstream, as far as it is known."""
        load = Load()
        for assignment in self._assignments:
            if assignment.upstream == upstream:
                load = load.add(assignment.load())
            if assignment.backup == upstream:
                load = load.add(assignment.backup_load())
        for told in self._list_told(self._peers_by_name, now):
            load = load.add(told.get(upstream, Load()))
        return load

    def exempt(self, assignment: Assignment) -> None:
        """Note that others need not wait for a request's copy any more."""
        assignment.exempt = True
        self._count(assignment)

    def mark_copying(self, assignment: Assignment, *, copying: bool) -> None:
        """Note that a request's copy begins to use a link, or has ended."""
        assignment.copying = copying
        self._count(assignment)

    def _add_peers(
        self,
        totals_by_upstream: dict[str, Load],
        peers: Iterable[str],
        now: Millis,
    ) -> None:
        """Add what some peers said last, unless it is too old."""
        for told in self._list_told(peers, now):
            for upstream, load in told.items():
                _add(totals_by_upstream, upstream, load)

    def _list_told(
        self, peers: Iterable[str], now: Millis
    ) -> list[dict[str, Load]]:
        """Return the loads by upstream that peers told and that still count."""
        known = [self._peers_by_name.get(name) for name in peers]
        return [
            peer.loads_by_upstream
            for peer in known
            if peer is not None and now - peer.received_at <= PEER_LOAD_KEPT_MS
        ]

    def _count(self, assignment: Assignment) -> None:
        if assignment.prompt:
            self.version += 1


def _add(loads_by_upstream: dict[str, Load], upstream: str, load: Load) -> None:
    before = loads_by_upstream.get(upstream, Load())
    loads_by_upstream[upstream] = before.add(load)
