"""Simulate many instances that share the rate limit of one upstream.

The model runs in virtual time. Each instance has its own callers, and knows
the demand at the other instances with a delay. It yields the maximum number of
requests that the upstream receives in any four seconds, and the share of the
limit that is used while callers are refused. ``python -m tests.load.limited``
prints a comparison of the ways to divide a limit.
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
TICK_MS = 20
WINDOW_MS = 4000
#: Age of the demand known of other instances, and interval of divisions.
NEWS_AGE, LOOK_EVERY = 400, 1000
#: Maximum wait of a request for a permit.
TIMEOUT_MS = 300
#: With more instances, the demand of other domains is known as sums.
MAX_FLAT_INSTANCES = 16
DOMAINS = ('east', 'north', 'south', 'west')


class Gate(Protocol):
    """Limits the requests that an instance sends."""

    def send(self, now: int) -> bool:
        """Count a request and return true if it may be sent."""


class Alone:
    """Applies the full limit at each instance independently."""

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
    """Accumulates an equal share of the limit up to one request."""

    def __init__(self, limit: float, size: int, *_: object) -> None:
        super().__init__(limit / size, size)


class WholePerSecond:
    """Divides integral requests per second, as for cold upstreams."""

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
    """Divides permits, as the production code does."""

    lends = True

    def __init__(self, limit: float, *_: object) -> None:
        self.gate = LimitGate()
        self._limit = limit

    def begin(self, now: int) -> None:
        self.gate.limit(UPSTREAM, SERVICE, self._limit, now)

    def send(self, now: int) -> bool:
        return self.gate.spend(UPSTREAM, now, resumes=False)


class PermittedAtHome(Permitted):
    """Divides permits without lending idle ones."""

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
    #: Requests per second of its callers.
    demand: float
    meter: DemandMeter = field(default_factory=DemandMeter)
    reported_demand: dict[str, float] | None = None
    waiting: list[int] = field(default_factory=list)
    #: Whether the instance is paused.
    frozen: bool = False
    #: Side of a network partition; news arrives from the same side only.
    side: int = 0


@dataclass(frozen=True)
class Outcome:
    """Arrival times of requests at the upstream, in milliseconds."""

    limit: float
    sent: list[int]
    seconds: int

    @property
    def most(self) -> int:
        """The maximum number of requests in any four seconds."""
        return max(
            sum(start <= at < start + WINDOW_MS for at in self.sent)
            for start in self.sent or [0]
        )

    @property
    def used(self) -> float:
        """Share of the limit that was used after the first four seconds."""
        counted = sum(at >= WINDOW_MS for at in self.sent)
        return counted / (self.limit * (self.seconds - WINDOW_MS / 1000))

    @property
    def allowed(self) -> float:
        """Maximum number of requests that are allowed in four seconds."""
        return 1.5 * self.limit * WINDOW_MS / 1000 + 5


Event = Callable[[list[Instance], int, Random], None]


class Play:
    """One simulation of callers and instances.

    :param demands: requests per second of each instance's callers.
    :param event: called with the instances at each tick.
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
        for now in range(0, self._seconds * 1000, TICK_MS):
            if self._event is not None:
                self._event(self.instances, now, self._random)
            if now % LOOK_EVERY == 0:
                self._divide(now)
            if now % LOOK_EVERY == LOOK_EVERY - NEWS_AGE:
                self._report_demand(now)
            for each in self._random.sample(
                self.instances, len(self.instances)
            ):
                sent.extend([now] * self._serve(each, now))
        return Outcome(self._limit, sent, self._seconds)

    def _fill_meters(self) -> None:
        """Record demand from before the limit is advertised."""
        for now in range(-16_000, 0, TICK_MS):
            for each in self.instances:
                for _ in range(self._count_arrivals(each)):
                    each.meter.note(SERVICE, now)

    def _count_arrivals(self, each: Instance) -> int:
        arrivals = each.demand * TICK_MS / 1000
        return int(arrivals + self._random.random())

    def _serve(self, each: Instance, now: int) -> int:
        """Return the number of requests that an instance sends now."""
        if each.frozen:
            return 0
        for _ in range(self._count_arrivals(each)):
            each.meter.note(SERVICE, now)
            each.waiting.append(now)
        each.waiting = [at for at in each.waiting if now - at < TIMEOUT_MS]
        sent = 0
        while each.waiting and each.gate.send(now):
            each.waiting.pop(0)
            sent += 1
        return sent

    def _report_demand(self, now: int) -> None:
        for each in self.instances:
            if not each.frozen:
                each.reported_demand = each.meter.measure((SERVICE,), now)

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
        demand_by_instance: dict[str, DemandByService] = {
            each.name: each.reported_demand
            if lends and each.side == own.side and not each.frozen
            else None
            for each in self.instances
        }
        if len(self.instances) <= MAX_FLAT_INSTANCES:
            return LimitParticipants(
                own.name, '', {'': None}, demand_by_instance
            )
        groups: dict[str, DemandByService] = {}
        for domain in DOMAINS:
            domain_demand = [
                demand_by_instance[each.name]
                for each in self.instances
                if each.domain == domain
            ]
            known = [each for each in domain_demand if each is not None]
            total = sum(each[SERVICE] for each in known)
            groups[domain] = {SERVICE: total} if known else None
        domain_peers = {
            each.name: demand_by_instance[each.name]
            for each in self.instances
            if each.domain == own.domain
        }
        return LimitParticipants(own.name, own.domain, groups, domain_peers)


def spread_evenly(size: int, each: float) -> list[float]:
    """Return an equal demand at each instance."""
    return [each] * size


def gather(size: int, total: float) -> list[float]:
    """Return demand at an eighth of the instances, and at two at least.

    Customers with few persistent connections cause such a demand.
    """
    chosen = max(size // 8, 2)
    return [total / chosen if number < chosen else 0 for number in range(size)]


def print_ways() -> None:
    """Print the outcome of each way to divide a limit."""
    sizes, limits = (8, 62, 370), (1.6, 6.0)
    for size, limit, concentrated in product(sizes, limits, (False, True)):
        demands = (
            gather(size, 4 * limit)
            if concentrated
            else spread_evenly(size, max(0.56, 4 * limit / size))
        )
        where = 'gathered' if concentrated else 'even'
        for way in WAYS:
            outcome = Play(way, limit, demands).run()
            sys.stdout.write(
                f'{size:4} instances, {limit} a second, {where:8}: {way:24}'
                f' most {outcome.most:4} of {outcome.allowed:.0f},'
                f' used {outcome.used:.2f}\n'
            )


if __name__ == '__main__':
    print_ways()
