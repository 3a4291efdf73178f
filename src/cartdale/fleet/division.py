"""Divide the rate that an upstream accepts among the instances.

There is no shared counter, which would lag behind and be wrong during a network
partition. The permitted requests are divided in advance, in whole numbers, by
rendezvous hashing of the names of the instances and the upstream (Thaler and
Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998). Neither
silence nor a restart changes the list of names, so that both sides of a
partition compute the same division.
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

#: Demand of each participant for an upstream's service, in requests per span of
#: a permit; ``None`` if unknown.
Demands = Mapping[str, float | None]


@dataclass(frozen=True, slots=True)
class Participants:
    """Name the participants among which a bound is divided.

    :param own: name of this instance.
    :param domain: failure domain of this instance.
    :param domains: all failure domains.
    :param domain_peers: the instances of this instance's domain, including
        itself.
    """

    own: str
    domain: str
    domains: tuple[str, ...]
    domain_peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Share:
    """Hold an instance's share of the permits of an upstream.

    :param count: number of permits.
    :param first: number of permits before them, in an order on which all
        instances agree.
    """

    count: int = 0
    first: int = 0


def divide(
    participants: Iterable[str], upstream: str, total: int
) -> dict[str, int]:
    """Divide a whole number into shares, which add up to it.

    Which participants get one more than the others depends on the upstream.

    :returns: the shares by participant, in order of allocation.
    """
    ranked = sorted(participants, key=lambda name: _hash_rank(name, upstream))
    share, remainder = divmod(total, max(len(ranked), 1))
    return {
        name: share + (rank < remainder) for rank, name in enumerate(ranked)
    }


def redistribute_idle(
    demands: Demands, upstream: str, total: int
) -> dict[str, int]:
    """Divide a whole number, and lend idle shares to participants in need.

    A participant whose demand is unknown keeps its share, since it may use it
    on the other side of a network partition, and borrows none.

    :param demands: of all participants, per span in which a permit may be used
        once.
    :returns: the shares by participant; they add up to the total.
    """
    shares = divide(demands, upstream, total)
    wanted = {
        name: ceil(demand)
        for name in shares
        if (demand := demands[name]) is not None
    }
    idle = [
        name
        for name, share in shares.items()
        for _ in range(share - wanted.get(name, share))
    ]
    while idle:
        borrowers = [name for name in wanted if wanted[name] > shares[name]]
        if not borrowers:
            break
        # One each, in an order that does not depend on their demand.
        for borrower, lender in zip(borrowers, tuple(idle), strict=False):
            shares[lender] -= 1
            shares[borrower] += 1
            idle.remove(lender)
    return shares


def gave_idle_ones(
    before: Mapping[str, int], after: Mapping[str, int], demands: Demands
) -> bool:
    """Tell whether a new division takes only idle permits from participants.

    True if all participants with a smaller share than before can still meet
    their demand: they have not used the lent permits for a while.
    """
    for name, share in after.items():
        demand = demands[name]
        reduced = share < before.get(name, 0)
        if reduced and (demand is None or ceil(demand) > share):
            return False
    return True


def find_share(own: str, shares: Mapping[str, int]) -> Share:
    """Return the share of one participant.

    :param shares: by participant, in order of allocation.
    """
    first = 0
    for name, count in shares.items():
        if name == own:
            return Share(count, first)
        first += count
    return Share()


def _hash_rank(name: str, upstream: str) -> tuple[int, str]:
    return zlib.crc32(f'{name} {upstream}'.encode()), name
