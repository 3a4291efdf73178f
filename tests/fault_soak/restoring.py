"""A store that comes back from a copy which is some seconds old."""

from typing import Any

import trio

from cartdale_standins.platform_store import PlatformStoreFaults
from tests.fault_soak.watch import Upstream

#: How old the copy is, and how long the store is away before, in seconds.
_AGES = (0.5, 4)
_AWAY_SECONDS = 0.4
#: Within so long those that live have written again; the entry of one that
#: does not has lapsed after the longer one.
_WRITTEN_AGAIN_SECONDS = 1.5
_LAPSED_SECONDS = 3.6


async def go_back(soak: Any) -> None:
    """Bring the store back older, and let others write again."""
    copy = soak.store.state.copy()
    await trio.sleep(soak.random.uniform(*_AGES))
    whole_for = _AWAY_SECONDS + _LAPSED_SECONDS
    soak.store_disturbed_at = trio.current_time() + whole_for
    soak.store.faults = PlatformStoreFaults(busy=True)
    await trio.sleep(_AWAY_SECONDS)
    evacuated = set(soak.evacuated_since)
    soak.store.restore(copy)
    soak.store.faults = PlatformStoreFaults()
    for upstream in tuple(soak.upstreams):
        soak.nursery.start_soon(_write_again, soak, upstream)
    await trio.sleep(soak.random.uniform(0, _WRITTEN_AGAIN_SECONDS))
    _operate_again(soak, evacuated)


async def _write_again(soak: Any, upstream: Upstream) -> None:
    """Write an upstream's entry as it is, or let it lapse."""
    if not upstream.gone:
        await trio.sleep(soak.random.uniform(0, _WRITTEN_AGAIN_SECONDS))
    if upstream.gone:
        await trio.sleep(_LAPSED_SECONDS)
        soak.store.remove(f'servers/{upstream.worker.name}')
        return
    drains = upstream.drained_at is not None
    soak.list_upstream(upstream, 'draining' if drains else 'ready')


def _operate_again(soak: Any, evacuated: set[str]) -> None:
    """Write the operator's documents as they are."""
    soak.store.put('op/config', soak.make_document())
    for domain in evacuated | set(soak.evacuated_since):
        key = f'op/evacuate/{domain}'
        if domain in soak.evacuated_since:
            soak.store.put(key, {})
        else:
            soak.store.remove(key)
