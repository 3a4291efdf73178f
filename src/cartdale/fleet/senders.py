"""Choose which instances send requests to a brittle upstream.

An instance that may send few requests an upstream can't spread them over time.
In a system of many instances each therefore sends to a few of the upstreams of
a service only, and about as many instances send to each of them (subsetting, in
Cuervo, Load Balancing in the Datacenter, Site Reliability Engineering, 2016).
"""

import zlib
from collections.abc import Collection
from functools import partial
from math import ceil

#: Instances that send to one brittle upstream, of all groups together.
MAX_SENDERS = 20


def assign_senders(
    instances: Collection[str], upstreams: Collection[str], group_count: int
) -> dict[str, frozenset[str]]:
    """Return the instances of a group that send to each upstream.

    Instances with the same lists compute the same. When an instance or an
    upstream comes or goes, most keep what they have.

    :param instances: names of all instances of the group.
    :param upstreams: ids of the upstreams of one service in one region.
    :param group_count: number of groups of instances.
    :returns: names by upstream.
    """
    wanted = MAX_SENDERS // max(group_count, 1)
    upstreams_each = wanted * len(upstreams) // max(len(instances), 1)
    upstreams_each = min(max(upstreams_each, 1), len(upstreams))
    most = ceil(len(instances) * upstreams_each / max(len(upstreams), 1))
    senders: dict[str, set[str]] = {name: set() for name in upstreams}
    for instance in sorted(instances):
        ranked = sorted(upstreams, key=partial(_rank, instance))
        free = [name for name in ranked if len(senders[name]) < most]
        for upstream in free[:upstreams_each]:
            senders[upstream].add(instance)
    return {name: frozenset(chosen) for name, chosen in senders.items()}


def _rank(instance: str, upstream: str) -> tuple[int, str]:
    return zlib.crc32(f'{instance} {upstream}'.encode()), upstream
