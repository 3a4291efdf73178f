"""What must hold, from what callers and upstreams see."""

from collections import Counter
from dataclasses import dataclass, field
from math import sqrt
from types import MappingProxyType

from cartdale_standins.platform_engine import STRIDE, format_event
from tests.fault_soak.instances import GRACE

#: An instance is held to its bounds once it was undisturbed for so long.
CONTACT_SECONDS = 3.0
#: A leaving upstream gets no new work so long after the store has taken it.
DRAIN_SECONDS = 2.0
#: The same after its failure domain was evacuated.
EVACUATE_SECONDS = 2.0
#: What is sent so long after SIGTERM may be cut while it is still worked on in
#: the last sixth of the grace, from this time on; what is sent later may not.
SERVED_SECONDS = 3.0
LAST_SIXTH_SECONDS = GRACE * 5 / 6
#: A configuration is in force so long after the store has taken it.
CONFIGURE_SECONDS = 2.0
#: A generation may run at two engines for no longer.
TWICE_SECONDS = 1.0
#: Upstreams that a request may end once three ended and that is known.
MOST_LATE = 3
#: Requests that may reach an upstream from an instance while it rests, after
#: the first part, which is for what is on its way.
MOST_IN_REST = 2
ON_ITS_WAY_SECONDS = 0.5
#: Over which requests to an upstream with a rate limit are counted, and what
#: may come over the limit: half as much again, and some on top.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
#: How often callers at instances that reach no upstream are served relative to
#: others, and the requests that may fail besides.
MIN_RELATIVE_SHARE = 0.95
PATHS_SLACK = 1
#: Requests at the others from which on their share says something, and how many
#: standard deviations count as chance.
MIN_OTHERS = 10
CHANCE_DEVIATIONS = 2
#: Who reads nothing for less than this counts as one that reads.
UNREAD_SECONDS = 2.0
#: Kinds whose answers are streams.
STREAMS = frozenset(('draft', 'tag'))
#: Upstreams that a request of a kind may run on; others on one.
MOST_RUNS_BY_KIND = MappingProxyType({'look': 2, 'tag': 2})
_REFUSED = frozenset((429, 503))
_SUCCESS = 200
_NOT_FOUND = 404
#: Names the log lines of tasks that failed.
_FAILED_TASK = b'"task failed"'


@dataclass
class Asked:
    """Hold one request and what became of it.

    :param kind: ``draft``, ``tag``, ``cut`` or ``look``.
    :param life: which start of the instance it was sent to.
    :param after: events that the caller had before, of a stream that broke.
    :param status: 0 when no head came.
    :param whole: whether the answer ended as its framing says.
    :param sampled: whether it was asked for at a regular time, of all instances
        alike.
    :param pause: longest time in which its caller reads nothing, in seconds.
    :param padding: bytes that each event of its stream has more.
    """

    name: str
    kind: str
    instance: str
    at: float
    tokens: int = 0
    after: int = 0
    status: int = 0
    body: bytes = b''
    whole: bool = False
    ended_at: float = 0
    life: int = 0
    sampled: bool = False
    pause: float = 0
    padding: int = 0


@dataclass(frozen=True)
class AtStop:
    """Hold what became of a stream around a stop, in seconds from SIGTERM.

    :param sent_after: when its last byte was sent; ``None`` if it ended before
        its instance was told to stop, if that was.
    :param worked_until: when work on it ended at an upstream.
    :param ran: whether an upstream ran it.
    :param read: whether its caller knows that it was read, or can't tell.
    :param excused: whether what else was disturbed may have cut it.
    :param way: how it was sent.
    """

    sent_after: float | None
    worked_until: float
    ran: bool
    read: bool
    excused: bool
    way: str = ''


@dataclass
class Checks:
    """Collect requests and violations."""

    asked: list[Asked] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)
    #: Newest version that each life of an instance was seen to have.
    version_by_life: dict[tuple[str, int], int] = field(default_factory=dict)
    _twice_since: dict[str, float] = field(default_factory=dict)

    def check_answer(self, asked: Asked) -> None:
        """Check one answer by itself."""
        end = 'whole' if asked.whole else 'cut'
        self.ends[f'{asked.kind} {asked.status} {end}'] += 1
        if b'upstreams ended' in asked.body:
            self._add(f'{asked.name}: blamed for what it did not do')
        if asked.status != _SUCCESS:
            return
        wanted = self._expect(asked)
        if asked.whole and asked.body != wanted:
            self._add(f'{asked.name}: not the whole answer, but ended as one')
        if not wanted.startswith(asked.body):
            self._add(f'{asked.name}: another or a broken answer')

    def check_runs(self, runs_by_request: Counter[str]) -> None:
        """Check at the end how often each request ran."""
        for asked in self.asked:
            runs = runs_by_request[asked.name]
            if runs > MOST_RUNS_BY_KIND.get(asked.kind, 1):
                self._add(f'{asked.name}: ran {runs} times')
            if asked.status in _REFUSED and runs:
                self._add(f'{asked.name}: told not run, ran {runs} times')

    def check_deadly(self, late_by_body: dict[bytes, int]) -> None:
        """Check that few upstreams end once three have, and it is known."""
        for body, late in late_by_body.items():
            self.ends[f'deadly, {late} late'] += 1
            if late > MOST_LATE:
                self._add(f'{body.decode()}: ended {late} upstreams too many')

    def check_received(self, name: str, runs: int) -> None:
        """Check a request that ends each engine as it receives it."""
        self.ends[f'deadly on receipt, {runs} received'] += 1
        if runs > 1:
            self._add(f'{name}: received by {runs} engines, ended each')

    def check_twice(self, running: Counter[str], now: float) -> None:
        """Check that no generation runs at two engines for long."""
        for name in tuple(self._twice_since):
            if running[name] < 2:
                self._twice_since.pop(name)
        for name, engines in running.items():
            if engines < 2:
                continue
            since = self._twice_since.setdefault(name, now)
            if now - since > TWICE_SECONDS:
                self._add(f'{name}: runs at {engines} engines')

    def check_version(
        self, life: tuple[str, int], status: int, version: int, due: bool
    ) -> None:
        """Check which configuration a life of an instance has in force.

        :param status: of a request on a route that ``version`` added.
        :param due: whether the version must be in force there by now.
        """
        seen = self.version_by_life.get(life, 0)
        if status in _REFUSED or not status:
            return
        if status != _NOT_FOUND:
            self.version_by_life[life] = max(seen, version)
            return
        if seen >= version:
            self._add(f'{life}: went back behind version {version}')
        if due:
            self._add(f'{life}: version {version} is not in force in time')

    def check_stop(self, asked: Asked, excused: bool) -> None:
        """Check a request that ran while its instance was told to stop."""
        # Who has read nothing for so long may give way to others.
        unread = asked.pause >= UNREAD_SECONDS
        if not asked.whole and not excused and not unread:
            self._add(f'{asked.name}: cut by a planned stop')

    def check_lost(
        self, asked: Asked, upstreams: list[str], excused: bool
    ) -> None:
        """Check a request that ran and whose connection gave no response."""
        if not excused:
            self._add(f'{asked.name}: ran at {upstreams}, no whole response')

    def check_at_stop(self, asked: Asked, seen: AtStop) -> None:
        """Check a stream that may outlast the stop of its instance."""
        if asked.whole or seen.excused:
            return
        after = seen.sent_after
        told = 'no stop' if after is None else f'{after:.3f} s'
        sent = f'sent after {told}, {seen.way}'
        if not seen.ran:
            if seen.read:
                found = f'read, not run, and not refused, {sent}'
                self._add(f'{asked.name}: {found}, status {asked.status}')
            return
        early = after is not None and after <= SERVED_SECONDS
        if not early or seen.worked_until < LAST_SIXTH_SECONDS:
            self._add(f'{asked.name}: ran and was cut, {sent}')

    def check_closed(self, name: str, upstream: str, excused: bool) -> None:
        """Check a request that reached an upstream after its bound."""
        if not excused:
            self._add(
                f'{name}: reached {upstream}, which leaves or is evacuated'
            )

    def check_tasks(self, name: str, log: bytes) -> None:
        """Check that no task of an instance failed, which it survives."""
        if _FAILED_TASK in log:
            self._add(f'{name}: a task failed')

    def check_told(self, name: str, upstream: str) -> None:
        """Note a request that an instance sent to who had said it leaves."""
        self._add(f'{name}: reached {upstream}, whose answer said it leaves')

    def check_rest(self, upstream: str, instance: str, count: int) -> None:
        """Check how many requests came while an upstream wanted none."""
        if count > MOST_IN_REST:
            self._add(f'{upstream}: {count} from {instance} while it rested')

    def check_paths(
        self, cut: str, at_cut: list[bool], others: list[bool]
    ) -> None:
        """Check how often callers were served while some paths were cut.

        :param at_cut: whether each request at cut instances was served.
        :param others: the same for the others.
        """
        if not at_cut or len(others) < MIN_OTHERS:
            return
        share = sum(others) / len(others)
        failed = len(at_cut) - sum(at_cut)
        allowed = (1 - MIN_RELATIVE_SHARE * share) * len(at_cut) + PATHS_SLACK
        # Other faults fail requests by chance, here and there.
        variance = share * (1 - share) * len(at_cut)
        variance += variance * len(at_cut) / len(others)
        if failed > allowed + CHANCE_DEVIATIONS * sqrt(variance):
            self._add(
                f'{cut}: {failed} of {len(at_cut)} not served,'
                f' at others {len(others) - sum(others)} of {len(others)}'
            )

    def check_limit(self, upstream: str, limit: float, count: int) -> None:
        """Check how many requests came in a window from all instances."""
        most = LIMIT_OVERAGE * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        if count > most:
            self._add(f'{upstream}: over its limit of {limit} a second')

    def check_limit_ended(self, upstream: str, count: int, least: int) -> None:
        """Check that an upstream is used again once its limit has ended."""
        if count < least:
            self._add(f'{upstream}: {count} requests after its limit ended')

    def check_limit_forgotten(self, upstream: str, names: list[str]) -> None:
        """Check that no instance keeps to a limit that has ended."""
        for name in names:
            self._add(f'{name}: keeps to the limit of {upstream} after its end')

    def _expect(self, asked: Asked) -> bytes:
        if asked.kind not in STREAMS:
            return f'{asked.kind}/ of {asked.name}'.encode()
        events = range(asked.after + 1, asked.tokens // STRIDE + 1)
        return b''.join(
            format_event(asked.name, event, asked.padding) for event in events
        )

    def _add(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)
