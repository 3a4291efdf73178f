"""A request that must run once is sent again only with proof that it may be.

Guards against a failure in which a stream that had sent no event was resumed
from its backup: its first engine had crashed as it received it, and so did the
engine of the backup, which had no copy yet.
"""

import httpx
import pytest

from cartdale.quarantine.decide import EVENTS_PAST_START
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    make_draft,
    open_platform,
    until,
)
from tests.send_faults import play

DEADLY = b'a brief that ends engines as they receive it'
#: Tokens of a draft that is long enough for a backup.
BACKED_UP = 400
#: Orders of faults that are drawn.
DRAWS = 400
DRAWS_A_TEST = 100


async def submit_deadly(stage: PlatformStage, name: str, path: str) -> None:
    """Submit a request that ends each engine which receives it."""
    try:
        await stage.client.post(
            stage.url(path),
            headers=make_draft(name, BACKED_UP),
            content=DEADLY,
        )
    except httpx.TransportError:
        return


# Guards against a request that ends the engine of its backup too.
@pytest.mark.parametrize('events', [0, 1, EVENTS_PAST_START])
async def test_stream_at_its_start_is_not_resumed_at_its_backup(
    events: int,
) -> None:
    async with open_platform(engines=6, proxied=True) as stage:
        for engine in stage.engines:
            engine.crashes.crashing_on_receipt.add(DEADLY)
            engine.crashes.crashing_after_events = events
        await submit_deadly(stage, 'r1', '/draft/a')
        await until(lambda: not any(each.dead for each in stage.engines))
        assert count_runs(stage, 'r1') == 1


# Guards against a second run after any order of faults of connections, engines,
# copies and instances that carry the request.
@pytest.mark.parametrize('first', range(0, DRAWS, DRAWS_A_TEST))
def test_request_that_must_run_once_runs_once_whatever_fails(
    first: int,
) -> None:
    for seed in range(first, first + DRAWS_A_TEST):
        played = play(seed)
        assert played.runs <= 1, f'seed {seed}: {played}'
        assert not (played.refused and played.runs), f'seed {seed}: {played}'
        assert not played.deadly or played.receipts <= 1, f'seed {seed}'
