"""Crash probes, and the log lines of broken links that they write."""

import trio
from loguru import logger

from cartdale.clock import VirtualClock
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.identity import Fingerprint, identify
from cartdale.relay.crash_probes import BrokenLink, CrashProber
from cartdale.relay.liveness import LifeCheck, LifeEvidence
from tests.platform_stage import count_runs, make_headers, open_platform, until

UPSTREAM = UpstreamEntry('a', 's', 'a:80', 'west', 4)


class CountingUpstreams:
    """Report every upstream as gone, and count the probes."""

    def __init__(self) -> None:
        self.asked = 0

    async def check_life(
        self, upstream, spec, through='', patience=0
    ) -> LifeCheck:
        self.asked += 1
        await trio.sleep(0.1)
        return LifeCheck(LifeEvidence.REFUSED, 0)


def collect_lines(event: str) -> list[dict]:
    lines: list[dict] = []

    def take(message) -> None:
        if message.record['message'] == event:
            lines.append(message.record['extra'])

    logger.add(take)
    return lines


def test_submissions_of_one_request_have_one_identity() -> None:
    asked = ('POST', 'mill.example', b'/draft/a?x=1', 'mill', b'brief')
    same = identify(*asked)
    assert identify('POST', 'Mill.Example', *asked[2:]) == same
    for place, other in enumerate(
        ('PUT', 'other.example', b'/draft/a?x=2', 'loom', b'briefs')
    ):
        changed = (*asked[:place], other, *asked[place + 1 :])
        assert identify(*changed) != same


def test_identity_keeps_its_parts_apart() -> None:
    one = identify('GET', 'h', b'/a', 'b', b'')
    assert one != identify('GET', 'h', b'/ab', '', b'')
    assert one != identify('GET', 'h', b'/a', '', b'b')


async def test_an_upstream_is_probed_once_for_all_its_links(
    autojump_clock,
) -> None:
    upstreams = CountingUpstreams()
    crash_prober = CrashProber(upstreams, Fleet(VirtualClock(), 'west', 1))
    lines = collect_lines('link broke')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(crash_prober.run)
        for number in range(3):
            crash_prober.probe(
                BrokenLink(
                    f'r{number}', Fingerprint(b'i'), UPSTREAM, 0, 0, number
                )
            )
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert upstreams.asked == 1
    assert [line['events'] for line in lines] == [0, 1, 2]
    assert all(line['upstream_gone'] for line in lines)


async def test_a_lost_response_is_no_lost_upstream() -> None:
    lines = collect_lines('link broke')
    async with open_platform() as stage:
        stage.plains[0].faults.lost_responses = 1
        headers = make_headers('r1')
        await stage.client.post(stage.url('/cut/one'), headers=headers)
        assert count_runs(stage, 'r1') == 1
        await until(lambda: lines)
    assert not lines[0]['upstream_gone']
