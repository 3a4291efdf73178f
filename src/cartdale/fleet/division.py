"""Divide among instances what all of them together may send to an upstream.

Nobody counts for all: a counter on the wire is late, and wrong during a
partition. What may be sent is divided beforehand, into whole requests, by
rendezvous hashing of the instances' names with the upstream's (Thaler and
Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998). Neither
silence nor a restart changes the list of names, so that both sides of a
partition divide alike.
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

#: What an instance offers an upstream's service, in requests for each span of
#: its permits; ``None`` where that is not known.
Demands = Mapping[str, float | None]


@dataclass(frozen=True, slots=True)
class Participants:
    """Name those among whom a bound is divided.

    :param own: this instance's name.
    :param domain: this instance's failure domain.
    :param domains: all failure domains.
    :param domain_peers: the instances of this one's domain, itself included.
    """

    own: str
    domain: str
    domains: tuple[str, ...]
    domain_peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Share:
    """Hold which of the permits of an upstream are an instance's.

    :param count: how many.
    :param first: how many go before them, in an order that all agree on.
    """

    count: int = 0
    first: int = 0


def divide(
    participants: Iterable[str], upstream: str, total: int
) -> dict[str, int]:
    """Return each sharer's part of a whole number; the parts add up to it.

    Who gets one more than others differs from upstream to upstream.

    :returns: the parts by sharer, in the order in which they get them.
    """
    ranked = sorted(participants, key=lambda name: _weigh(name, upstream))
    share, rest = divmod(total, max(len(ranked), 1))
    return {name: share + (place < rest) for place, name in enumerate(ranked)}


def redistribute_idle(
    demands: Demands, upstream: str, total: int
) -> dict[str, int]:
    """Divide a whole number, and lend the idle parts to who can use them.

    Whoever was not heard of keeps its part, since it may use it behind a
    partition, and is lent none.

    :param demands: of all sharers, for each span in which a part may be used
        once.
    :returns: the parts by sharer; they add up to the total.
    """
    parts = divide(demands, upstream, total)
    wanted = {
        name: ceil(demand)
        for name in parts
        if (demand := demands[name]) is not None
    }
    idle = [
        name
        for name, part in parts.items()
        for _ in range(part - wanted.get(name, part))
    ]
    while idle:
        borrowers = [name for name in wanted if wanted[name] > parts[name]]
        if not borrowers:
            break
        # One each, in an order that does not change with what they lack.
        for borrower, lender in zip(borrowers, tuple(idle), strict=False):
            parts[lender] -= 1
            parts[borrower] += 1
            idle.remove(lender)
    return parts


def gave_idle_ones(
    before: Mapping[str, int], after: Mapping[str, int], demands: Demands
) -> bool:
    """Tell whether all who have less now have as much as they can use.

    They have not used what they gave for a while, then.
    """
    for name, part in after.items():
        demand = demands[name]
        given = part < before.get(name, 0)
        if given and (demand is None or ceil(demand) > part):
            return False
    return True


def find_share(own: str, parts: Mapping[str, int]) -> Share:
    """Return one sharer's part of a division.

    :param parts: by sharer, in the order in which they get parts.
    """
    first = 0
    for name, count in parts.items():
        if name == own:
            return Share(count, first)
        first += count
    return Share()


def _weigh(name: str, upstream: str) -> tuple[int, str]:
    return zlib.crc32(f'{name} {upstream}'.encode()), name
