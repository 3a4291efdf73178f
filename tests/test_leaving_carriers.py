"""Requests that another instance carries, and that one leaves."""

from collections import Counter

import pytest
import trio

from tests.network_cuts import CutWay, NetworkCuts
from tests.platform_stage import (
    PlatformStage,
    count_runs,
    make_headers,
    open_platform,
    until,
)
from tests.test_accepted_values import carries
from tests.test_stops_in_time import ask_plain, shorten
from tests.test_unreached_upstreams import list_upstream_ports

WORK_SECONDS = 0.6
REQUESTS = 60
PAUSE_SECONDS = 0.05
#: Of the requests sent before the carriers are told to stop.
BEFORE = 10


# Guards against requests of an instance that stays, which are cut, or run and
# are told as not run, since the instance that carries them leaves.
@pytest.mark.parametrize('path', ['/cut/a', '/look/a'])
@pytest.mark.parametrize('instances', [2, 3])
async def test_what_a_carrier_took_on_ends_before_its_stop(
    instances: int, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    statuses_by_name: dict[str, int] = {}

    async def ask(stage: PlatformStage, name: str) -> None:
        status = await ask_plain(stage, path, make_headers(name))
        statuses_by_name[name] = status

    cuts = NetworkCuts(monkeypatch)
    async with open_platform(engines=0, plains=2, instances=instances) as stage:
        for plain in stage.plains:
            plain.speed.work_seconds = WORK_SECONDS
        first, carrier = stage.runtimes[:2]
        await until(lambda: all(map(carries, stage.runtimes)))
        cuts.cut('entry-0', list_upstream_ports(stage), CutWay.REFUSE)
        shorten(monkeypatch, carrier)
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(ask, stage, f'r{number}')
                await trio.sleep(PAUSE_SECONDS)
                if number == BEFORE:
                    assert carrier.detours.capacity.accepted
                    carrier.leave()
        await stage.stopped[1].wait()
        assert len(statuses_by_name) == REQUESTS
        wrong = {
            name: status
            for name, status in statuses_by_name.items()
            if status not in {200, 503}
            or count_runs(stage, name) != (status == 200)
        }
        served = Counter(statuses_by_name.values())[200]
        assert not wrong
        assert first.detours.router.detours
        assert served > BEFORE
        assert instances == 2 or served == REQUESTS
