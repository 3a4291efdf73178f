"""Instances that are cut from upstreams which other instances reach."""

import pytest
import trio

from tests.network_cuts import CutWay, NetworkCuts
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    make_draft,
    make_headers,
    open_platform,
)

#: From the cut to the first request that counts, in seconds.
LEARNING_TIME = 1
#: Events of the drafts that are asked for.
FEW_TOKENS = 20
ROUNDS = 10


# Guards against callers of an instance without a path to upstreams getting
# next to nothing while the callers of other instances are served.
async def test_cut_instance_serves_its_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for way in CutWay:
        cuts = NetworkCuts(monkeypatch)
        async with open_platform(engines=2, plains=2, instances=3) as stage:
            failed = await _find_failed(stage, cuts, way)
        monkeypatch.undo()
        assert not failed, way


async def _find_failed(
    stage: PlatformStage, cuts: NetworkCuts, way: CutWay
) -> list[str]:
    """Cut the first instance, and return the requests that it fails."""
    cuts.cut('entry-0', list_upstream_ports(stage), way)
    failed: list[str] = []
    async with trio.open_nursery() as early:
        for number in range(ROUNDS):
            early.start_soon(_ask_plain, stage, f'early-{number}', [])
        await trio.sleep(LEARNING_TIME)
        early.cancel_scope.cancel()
    async with trio.open_nursery() as nursery:
        for number in range(ROUNDS):
            nursery.start_soon(_ask_plain, stage, f'plain-{number}', failed)
            nursery.start_soon(_ask_draft, stage, f'draft-{number}', failed)
            await trio.sleep(0.05)
    cuts.heal()
    for number in range(ROUNDS):
        assert count_runs(stage, f'early-{number}') <= 1
        assert count_runs(stage, f'plain-{number}') <= 1
    return failed


async def _ask_plain(
    stage: PlatformStage, request_id: str, failed: list[str]
) -> None:
    answer = await stage.client.post(
        stage.url('/cut/a'),
        headers={**make_headers(request_id), 'Deadline-Ms': '1500'},
        content=b'x',
    )
    if answer.status_code != 200:
        failed.append(request_id)


async def _ask_draft(
    stage: PlatformStage, request_id: str, failed: list[str]
) -> None:
    answer = await stage.client.post(
        stage.url('/draft/a'),
        headers=make_draft(request_id, FEW_TOKENS),
        content=b'brief',
    )
    if answer.status_code != 200:
        failed.append(request_id)


def list_upstream_ports(stage: PlatformStage) -> list[int]:
    """Return the ports of all upstreams."""
    addresses = (
        upstream.entry.address
        for upstream in stage.runtimes[-1].fleet.state.upstreams_by_id.values()
    )
    return [int(address.rpartition(':')[2]) for address in addresses]
