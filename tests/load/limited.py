"""Many instances before one upstream with a rate limit, in virtual time.

A model of who sends when: each instance has callers of its own, and knows what
the others were asked for some moments ago. What is measured is the most that
the upstream gets in any four seconds, and how much of its limit is used while
callers are refused. ``python -m tests.load.limited`` prints the ways to divide
a limit side by side.
"""

import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import product
from random import Random
from types import MappingProxyType
from typing import Protocol

from cartdale.fleet.demand import DemandMeter
from cartdale.fleet.division import divide
from cartdale.fleet.limit_gate import (
    DemandByService,
    LimitGate,
    LimitParticipants,
)

UPSTREAM, SERVICE = 'i-limited', 's'
TICK = 20
WINDOW = 4000
#: How old what others offer is, and between looks at it.
NEWS_AGE, LOOK_EVERY = 400, 1000
#: How long a request waits for a permit.
PATIENCE = 300
#: With more instances, those of other domains are known as sums.
MOST_FLAT = 16
DOMAINS = ('east', 'north', 'south', 'west')


class Gate(Protocol):
    """Say whether an instance may send now, and count it."""

    def send(self, now: int) -> bool:
        """Count a request, if it may be sent."""


class Alone:
    """Keep to the whole limit at each instance by itself."""

    share = 1.0

    def __init__(self, limit: float, size: int, *_: object) -> None:
        self._rate = limit * self.share / 1000
        self._tokens, self._filled_at = 1.0, 0

    def send(self, now: int) -> bool:
        gained = self._rate * (now - self._filled_at)
        self._tokens, self._filled_at = min(1, self._tokens + gained), now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EqualPart(Alone):
    """Save up an equal part of the limit until it makes a request."""

    def __init__(self, limit: float, size: int, *_: object) -> None:
        super().__init__(limit / size, size)


class WholePerSecond:
    """Divide whole requests a second, as for cold upstreams."""

    def __init__(
        self, limit: float, size: int, name: str, names: tuple[str, ...]
    ) -> None:
        self._quota = divide(names, UPSTREAM, int(limit))[name]
        self._sent: list[int] = []

    def send(self, now: int) -> bool:
        self._sent = [at for at in self._sent if now - at < 1000]
        if len(self._sent) >= self._quota:
            return False
        self._sent.append(now)
        return True


class Permitted:
    """Hold permits, as the program does."""

    lends = True

    def __init__(self, limit: float, *_: object) -> None:
        self.gate = LimitGate()
        self._limit = limit

    def begin(self, now: int) -> None:
        self.gate.limit(UPSTREAM, SERVICE, self._limit, now)

    def send(self, now: int) -> bool:
        return self.gate.spend(UPSTREAM, now, resumes=False)


class PermittedAtHome(Permitted):
    """Hold permits that nobody is ever lent."""

    lends = False


WAYS: Mapping[str, Callable[..., Gate]] = MappingProxyType(
    {
        'each alone': Alone,
        'equal part': EqualPart,
        'whole requests a second': WholePerSecond,
        'permits, not lent': PermittedAtHome,
        'permits, idle ones lent': Permitted,
    }
)


@dataclass
class Instance:
    name: str
    domain: str
    gate: Gate
    #: Requests a second of its callers.
    demand: float
    meter: DemandMeter = field(default_factory=DemandMeter)
    told: dict[str, float] | None = None
    waiting: list[int] = field(default_factory=list)
    #: Whether it stands still.
    frozen: bool = False
    #: Of a partition: it hears of those on its own side.
    side: int = 0


@dataclass(frozen=True)
class Outcome:
    """Hold when requests came, in milliseconds."""

    limit: float
    sent: list[int]
    seconds: int

    @property
    def most(self) -> int:
        """The most requests in any four seconds."""
        return max(
            sum(start <= at < start + WINDOW for at in self.sent)
            for start in self.sent or [0]
        )

    @property
    def used(self) -> float:
        """Part of the limit that was used, after the first four seconds."""
        counted = sum(at >= WINDOW for at in self.sent)
        return counted / (self.limit * (self.seconds - WINDOW / 1000))

    @property
    def allowed(self) -> float:
        """The most requests in four seconds that an upstream must bear."""
        return 1.5 * self.limit * WINDOW / 1000 + 5


Event = Callable[[list[Instance], int, Random], None]


class Play:
    """Let callers ask for some seconds.

    :param demands: requests a second of each instance's callers.
    :param event: done to the instances at each tick.
    """

    def __init__(
        self,
        way: str,
        limit: float,
        demands: list[float],
        seed: int = 1,
        seconds: int = 24,
        event: Event | None = None,
    ) -> None:
        self._random = Random(seed)
        self._limit, self._seconds, self._event = limit, seconds, event
        names = tuple(f'front-{number}' for number, _ in enumerate(demands))
        self.instances = [
            Instance(
                name,
                DOMAINS[number % len(DOMAINS)],
                WAYS[way](limit, len(demands), name, names),
                demands[number],
            )
            for number, name in enumerate(names)
        ]

    def run(self) -> Outcome:
        sent: list[int] = []
        self._fill_meters()
        self._divide(0)
        for each in self.instances:
            if isinstance(each.gate, Permitted):
                each.gate.begin(0)
        for now in range(0, self._seconds * 1000, TICK):
            if self._event is not None:
                self._event(self.instances, now, self._random)
            if now % LOOK_EVERY == 0:
                self._divide(now)
            if now % LOOK_EVERY == LOOK_EVERY - NEWS_AGE:
                self._tell(now)
            for each in self._random.sample(
                self.instances, len(self.instances)
            ):
                sent.extend([now] * self._serve(each, now))
        return Outcome(self._limit, sent, self._seconds)

    def _fill_meters(self) -> None:
        """Let callers have asked before the limit is named."""
        for now in range(-16_000, 0, TICK):
            for each in self.instances:
                for _ in range(self._count_arrivals(each)):
                    each.meter.note(SERVICE, now)

    def _count_arrivals(self, each: Instance) -> int:
        arrivals = each.demand * TICK / 1000
        return int(arrivals + self._random.random())

    def _serve(self, each: Instance, now: int) -> int:
        """Return how many requests an instance sends now."""
        if each.frozen:
            return 0
        for _ in range(self._count_arrivals(each)):
            each.meter.note(SERVICE, now)
            each.waiting.append(now)
        each.waiting = [at for at in each.waiting if now - at < PATIENCE]
        sent = 0
        while each.waiting and each.gate.send(now):
            each.waiting.pop(0)
            sent += 1
        return sent

    def _tell(self, now: int) -> None:
        for each in self.instances:
            if not each.frozen:
                each.told = each.meter.measure((SERVICE,), now)

    def _divide(self, now: int) -> None:
        for each in self.instances:
            gate = each.gate
            if isinstance(gate, Permitted) and not each.frozen:
                lends = gate.lends
                gate.gate.divide_among(
                    self._find_participants(each, lends), now
                )

    def _find_participants(
        self, own: Instance, lends: bool
    ) -> LimitParticipants:
        offers: dict[str, DemandByService] = {
            each.name: each.told
            if lends and each.side == own.side and not each.frozen
            else None
            for each in self.instances
        }
        if len(self.instances) <= MOST_FLAT:
            return LimitParticipants(own.name, '', {'': None}, offers)
        groups: dict[str, DemandByService] = {}
        for domain in DOMAINS:
            told = [
                offers[each.name]
                for each in self.instances
                if each.domain == domain
            ]
            known = [each for each in told if each is not None]
            total = sum(each[SERVICE] for each in known)
            groups[domain] = {SERVICE: total} if known else None
        around = {
            each.name: offers[each.name]
            for each in self.instances
            if each.domain == own.domain
        }
        return LimitParticipants(own.name, own.domain, groups, around)


def spread_evenly(size: int, each: float) -> list[float]:
    """Return the same demand at each instance."""
    return [each] * size


def gather(size: int, total: float) -> list[float]:
    """Return a demand that comes to an eighth of the instances, two at least.

    As of customers with few connections that are kept.
    """
    chosen = max(size // 8, 2)
    return [total / chosen if number < chosen else 0 for number in range(size)]


def print_ways() -> None:
    """Print what each way gives."""
    sizes, limits = (8, 62, 370), (1.6, 6.0)
    for size, limit, gathered in product(sizes, limits, (False, True)):
        demands = (
            gather(size, 4 * limit)
            if gathered
            else spread_evenly(size, max(0.56, 4 * limit / size))
        )
        where = 'gathered' if gathered else 'even'
        for way in WAYS:
            outcome = Play(way, limit, demands).run()
            sys.stdout.write(
                f'{size:4} instances, {limit} a second, {where:8}: {way:24}'
                f' most {outcome.most:4} of {outcome.allowed:.0f},'
                f' used {outcome.used:.2f}\n'
            )


if __name__ == '__main__':
    print_ways()
