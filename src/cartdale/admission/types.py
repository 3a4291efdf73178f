"""Requests that wait for room, and the decisions about them."""

from dataclasses import dataclass, field, replace

import msgspec

from cartdale.clock import Millis
from cartdale.ranges import Age, Amount, SmallInteger, Total


class WaitingWork(msgspec.Struct, frozen=True, array_like=True):
    """Sum up the waiting requests of one rank and customer at an instance.

    :param priority: rank; 0 is the most urgent.
    :param customer: empty for all customers without a row of their own.
    :param tokens: memory that they need in total.
    :param oldest: time since the oldest of them arrived.
    :param returned: number of them that came back when they were told to.
    """

    priority: SmallInteger
    customer: str
    count: Total
    tokens: Total
    oldest: Age
    returned: Total = 0


class RankDemand(msgspec.Struct, frozen=True, array_like=True):
    """Sum up the recent arrivals of one rank.

    :param per_second: arrivals per second.
    :param tokens: memory that one needs, as the root of the mean square.
    :param stay: mean time that one holds it.
    :param running: number of them that run now.
    """

    per_second: Amount = 0
    tokens: Total = 0
    stay: Age = 0
    running: Total = 0


class ServiceAdmissionNews(msgspec.Struct, frozen=True, array_like=True):
    """Publish the waiting and served requests of one service.

    The field names are left out on the wire. A further field goes to the end,
    with a default: both versions then read each other's news.

    :param waiting: the largest rows, the remaining ones summed by rank.
    :param demand_by_priority: recent arrivals by rank.
    :param served_by_customer: decayed tokens read and generated for the
        customers served most.
    :param promised_by_priority: callers told to return that have not yet.
    :param refused: decayed number of refusals.
    :param told: which requests were told to return and when, see
        :mod:`cartdale.admission.returns`.
    """

    waiting: tuple[WaitingWork, ...] = ()
    demand_by_priority: dict[SmallInteger, RankDemand] = {}
    served_by_customer: dict[str, Total] = {}
    promised_by_priority: dict[SmallInteger, Total] = {}
    refused: Total = 0
    told: bytes = b''


@dataclass(frozen=True, slots=True)
class Applicant:
    """Describe a request that asks for room.

    :param number: orders requests that arrived in the same millisecond.
    :param tokens: memory that it needs, with the expected growth.
    :param returned: whether it comes back when it was told to.
    """

    service: str
    priority: int
    customer: str
    arrived_at: Millis
    number: int
    tokens: int
    returned: bool = False


@dataclass(frozen=True, slots=True)
class Ahead:
    """Count the requests of all instances that go before another one.

    :param urgent: those of more urgent ranks.
    :param alike: those of the same rank at other instances that are older.
    :param own: those of the same rank at this instance.
    :param tokens: memory that all of them need.
    :param owed: those of the same rank at other instances whose customers were
        served less.
    :param news_age: mean time since news of other instances arrived.
    """

    urgent: float = 0
    alike: float = 0
    own: int = 0
    tokens: float = 0
    owed: float = 0
    news_age: Millis = 0

    @property
    def count(self) -> float:
        """Return the number of all of them."""
        return self.urgent + self.owed + self.alike + self.own

    def add(self, count: int, tokens: int) -> 'Ahead':
        """Return it with other requests of the same rank.

        :param tokens: memory that each of them needs.
        """
        return replace(
            self,
            alike=self.alike + count,
            tokens=self.tokens + count * tokens,
        )


@dataclass(frozen=True, slots=True)
class Reserve:
    """Describe what less urgent requests must leave free at each engine.

    :param tokens: memory.
    :param slots: number of requests.
    """

    tokens: float = 0
    slots: int = 0


@dataclass(frozen=True, slots=True)
class Admit:
    """Let the request in if an upstream has room for it."""

    ahead: Ahead
    reserve: Reserve


@dataclass(frozen=True, slots=True)
class Wait:
    """Let others go first, or leave the room to more urgent requests.

    :param deferring: whether there is room that is left to others.
    """

    ahead: Ahead
    reserve: Reserve
    deferring: bool = False


Verdict = Admit | Wait


@dataclass(frozen=True, slots=True)
class Queue:
    """Hold the waiting requests of one rank and customer at other instances.

    :param arrivals: arrival times in order.
    :param counts: number of requests up to each of them.
    :param tokens: memory of the requests up to each of them.
    :param returned: number of requests that came back as told.
    """

    arrivals: tuple[Millis, ...] = ()
    counts: tuple[float, ...] = ()
    tokens: tuple[float, ...] = ()
    returned: float = 0

    @property
    def mean_tokens(self) -> float:
        """Return the memory that one of them needs on average."""
        return self.tokens[-1] / self.counts[-1] if self.counts else 0


@dataclass(frozen=True, slots=True)
class PeerView:
    """Hold what the other instances published of one service.

    :param heard_at: mean time at which the rows were received.
    :param told: when each request that was told to return is due, by digest.
    :param sources: number of instances and failure domains that published it.
    """

    queues_by_priority: dict[int, dict[str, Queue]] = field(
        default_factory=dict
    )
    demand_by_priority: dict[int, RankDemand] = field(default_factory=dict)
    served_by_customer: dict[str, int] = field(default_factory=dict)
    promised_by_priority: dict[int, int] = field(default_factory=dict)
    refused: float = 0
    heard_at: Millis = 0
    told: dict[bytes, Millis] = field(default_factory=dict)
    sources: int = 0


@dataclass(frozen=True, slots=True)
class OrderGauges:
    """Show operators what an instance's order of admission holds.

    :param waiting: requests that wait for room here.
    :param urgent: those of the most urgent rank.
    :param reserved: memory kept free at each engine, as last decided.
    :param promised: callers told to return that have not yet.
    """

    waiting: int
    urgent: int
    reserved: int
    promised: int
