"""Memory that less urgent requests leave free for more urgent ones.

By Little's law, arrivals times stay is the mean number of requests at a time.
It fluctuates like a Poisson count, and more quickly than long requests end, so
that they must leave free what a high quantile of it needs (trunk reservation).
"""

from collections.abc import Mapping
from math import sqrt

from cartdale.admission.types import RankDemand, Reserve
from cartdale.clock import SECOND_MS
from cartdale.scheduling.room import ServiceRoom
from cartdale.scheduling.types import MAX_FILLED_SHARE

#: Standard deviations above the mean number of urgent requests for which room
#: is kept: exceeded once in seven hundred times.
_DEVIATIONS = 3
#: Requests of a rank are not foreseen if so few run on average.
_MIN_FORESEEN = 0.1
#: Least urgent requests get the remaining share of the memory and the slots,
#: whatever is foreseen.
_MAX_RESERVED = 0.3


def find_reserve(
    demand_by_priority: Mapping[int, RankDemand],
    priority: int,
    tokens: int,
    room: ServiceRoom,
) -> Reserve:
    """Return what a request must leave free at each engine.

    :param tokens: that it needs. At an empty engine it finds room, whatever is
        foreseen.
    """
    if not room.engines or not room.memory:
        return Reserve()
    requests: float = 0
    memory: float = 0
    for urgent, demand in demand_by_priority.items():
        foreseen = demand.per_second * demand.stay / SECOND_MS
        if urgent >= priority or foreseen < _MIN_FORESEEN:
            continue
        most = foreseen + _DEVIATIONS * sqrt(foreseen)
        # Those that run now end and are followed by others.
        requests += max(most - demand.running, 1)
        memory = max(memory, demand.tokens)
    if not requests:
        return Reserve()
    # One that is spread over all engines in parts is found nowhere.
    by_engine = max(requests / len(room.engines), 1)
    bound = min(
        _MAX_RESERVED * room.memory, MAX_FILLED_SHARE * room.memory - tokens
    )
    slots = int(_MAX_RESERVED * room.slots / len(room.engines))
    return Reserve(
        max(min(by_engine * memory, bound), 0), min(int(by_engine), slots)
    )


def find_share_left(
    demand_by_priority: Mapping[int, RankDemand],
    priority: int,
    freed_per_second: float,
) -> float:
    """Return the share of freed memory that more urgent arrivals leave.

    :param freed_per_second: memory that requests which end set free.
    """
    taken = sum(
        demand.per_second * demand.tokens
        for urgent, demand in demand_by_priority.items()
        if urgent < priority
    )
    if not freed_per_second:
        return 1
    return max(1 - taken / freed_per_second, _MIN_SHARE_LEFT)


#: Lower bound of the share, since arrivals fluctuate.
_MIN_SHARE_LEFT = 0.05
