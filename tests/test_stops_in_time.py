"""Stops: an instance that has an end begins only what it can end by then."""

import signal
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import httpx
import pytest
import trio

from cartdale.clock import as_seconds
from cartdale.daemon import gateway
from cartdale.daemon.gateway import GatewayRuntime
from cartdale_standins.platform_engine import STRIDE
from cartdale_standins.platform_entries import describe_upstream
from tests.network_cuts import CutWay, NetworkCuts
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    count_runs,
    make_draft,
    make_headers,
    open_platform,
    until,
    whole,
)
from tests.processes import open_instances
from tests.test_signals import has_begun
from tests.test_stops import OK, Callers, make_request
from tests.test_unreached_upstreams import list_upstream_ports

REFUSED = 503
PAUSE = 300
GRACE = 2000
#: Seconds from a stop at which a request is sent, and what it takes: more than
#: is left then.
SENT_AFTER = 1
WORK_SECONDS = 1.5
#: Seconds from SIGTERM until a process that starts goes on, and until the
#: platform ends it.
STANDS_STILL = 4.5
KILLED_AFTER = 8
TOKENS = 400
#: Of streams that outlast a stop.
LONG_TOKENS = 1000


def shorten(
    monkeypatch: pytest.MonkeyPatch,
    runtime: GatewayRuntime,
    pause: int = PAUSE,
    grace: int = GRACE,
) -> None:
    """Give an instance less time for a stop."""
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', pause)
    bounds = replace(runtime.bounds, grace=grace)
    runtime._settings = replace(runtime._settings, bounds=bounds)


async def teach(stage: PlatformStage, path: str) -> None:
    """Let an instance see how long requests take."""
    async with trio.open_nursery() as nursery:
        for number in range(5):
            headers = make_headers(f'before-{number}')
            nursery.start_soon(ask_plain, stage, path, headers)


async def ask_plain(
    stage: PlatformStage, path: str, headers: dict[str, str]
) -> int:
    """Return the status of an answer; 0 for none."""
    try:
        answer = await stage.client.post(stage.url(path), headers=headers)
    except httpx.TransportError:
        return 0
    return answer.status_code


# Guards against plain requests that begin at a leaving instance and are cut,
# though all requests of their kind took longer than what is left.
@pytest.mark.parametrize('kind', ['cut', 'look'])
async def test_plain_request_that_outlasts_a_stop_is_refused(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    async with open_platform(engines=0) as stage:
        instance = stage.runtimes[0]
        stage.plains[0].speed.work_seconds = WORK_SECONDS
        await teach(stage, f'/{kind}/a')
        shorten(monkeypatch, instance)
        instance.leave()
        await trio.sleep(as_seconds(PAUSE) - 0.1)
        stream = await trio.open_tcp_stream(LOCAL, instance.caller_port)
        async with stream:
            await trio.sleep(SENT_AFTER - as_seconds(PAUSE))
            request = make_request(f'/{kind}/a', make_headers('late'))
            await stream.send_all(request)
            statuses = await Callers([stream], [request]).read_statuses()
        assert not count_runs(stage, 'late')
        assert statuses == [REFUSED]


# Guards against requests that wait for room as their instance ends, and get
# neither a run nor an answer.
async def test_request_that_waits_as_its_instance_ends_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    statuses: list[int] = []

    async def ask(stage: PlatformStage, name: str) -> None:
        headers = make_draft(name, LONG_TOKENS)
        statuses.append(await ask_plain(stage, '/draft/a', headers))

    async with open_platform(plains=0) as stage:
        instance = stage.runtimes[0]
        name = stage.engines[0].name
        entry = instance.fleet.find(name).entry
        narrow = describe_upstream(
            'writers', entry.address, slots=1, born=entry.born
        )
        stage.store.put(f'servers/{name}', narrow)
        await until(lambda: instance.fleet.find(name).entry.slots == 1)
        shorten(monkeypatch, instance)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, stage, 'first')
            await until(lambda: count_runs(stage, 'first'))
            instance.leave()
            await trio.sleep(SENT_AFTER)
            await ask(stage, 'second')
        assert not count_runs(stage, 'second')
        assert REFUSED in statuses


# Guards against an instance that is killed before it has ended in order, where
# its pause takes all of the grace.
async def test_stop_ends_before_a_grace_shorter_than_its_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_platform(engines=0) as stage:
        instance = stage.runtimes[0]
        shorten(monkeypatch, instance, 2 * GRACE, GRACE)
        instance.leave()
        with trio.move_on_after(as_seconds(GRACE)):
            await stage.stopped[0].wait()
        assert stage.stopped[0].is_set()


# Guards against an instance that is told to stop while it starts, serves all
# the same, and is killed with what it has begun.
async def test_instance_that_is_told_to_stop_as_it_starts_begins_nothing(
    tmp_path: Path,
) -> None:
    statuses_by_name: dict[str, int] = {}

    async def ask(name: str, client: httpx.AsyncClient, url: str) -> None:
        statuses_by_name[name] = 0
        headers = make_draft(name, TOKENS)
        try:
            answer = await client.post(url, headers=headers)
        except httpx.TransportError:
            return
        statuses_by_name[name] = answer.status_code

    async with open_platform(instances=0) as stage:
        with open_instances(stage, tmp_path, 'one') as started:
            process = started[0]
            process.start()
            await until(lambda: has_begun(process))
            told_at = trio.current_time()
            process.process.send_signal(signal.SIGTERM)
            process.process.send_signal(signal.SIGSTOP)
            await trio.sleep(STANDS_STILL)
            process.process.send_signal(signal.SIGCONT)
            url = f'http://{LOCAL}:{process.ports[0]}/draft/a'
            async with trio.open_nursery() as nursery:
                number = 0
                while trio.current_time() < told_at + KILLED_AFTER:
                    name = f'draft-{number}'
                    nursery.start_soon(ask, name, stage.client, url)
                    number += 1
                    await trio.sleep(0.1)
                process.process.send_signal(signal.SIGKILL)
        lost = {
            name: status
            for name, status in statuses_by_name.items()
            if count_runs(stage, name) and status != OK
        }
        assert not lost


# Guards against a stream whose instance goes on, and that is cut since another
# one leaves, which carries it.
async def test_carried_stream_outlasts_its_carrier(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bodies: list[bytes] = []

    async def ask(stage: PlatformStage) -> None:
        headers = make_draft('carried', LONG_TOKENS)
        with suppress(httpx.TransportError):
            answer = await stage.client.post(
                stage.url('/draft/a'), headers=headers
            )
            bodies.append(answer.content)

    cuts = NetworkCuts(monkeypatch)
    async with open_platform(engines=2, plains=0, instances=3) as stage:
        cuts.cut('entry-0', list_upstream_ports(stage), CutWay.REFUSE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, stage)
            await until(lambda: count_runs(stage, 'carried'))
            await trio.sleep(1)
            carriers = [
                each for each in stage.runtimes if each.detours.capacity.carried
            ]
            shorten(monkeypatch, carriers[0])
            carriers[0].leave()
        assert bodies == [whole('carried', LONG_TOKENS // STRIDE)]
