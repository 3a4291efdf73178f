"""Responses whose heads have no end: informational ones, and trickles."""

import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import httpcore
import httpx
import pytest
import trio

from cartdale.bodies import read_bounded, take_turns
from cartdale.bounded_pool import (
    MAX_HEAD,
    MAX_INFORMATIONAL,
    BoundedPool,
    count_endless_heads,
)
from cartdale.daemon.clients import make_client
from cartdale.peers.pool import make_peer_pool
from cartdale.platform.pools import make_pool
from cartdale.transport import make_timeouts
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    make_draft,
    make_headers,
    open_platform,
    until,
)
from tests.pouring import INFORMATIONAL, LoopTicker, PouringServer, chunk
from tests.processes import (
    ProcessInstance,
    open_instances,
    stop_as_the_platform,
)

#: Longest time that one task may keep others from running, in seconds.
HELD = 0.1
REQUESTS = 40
#: Time in which sound upstreams answer them, beside a faulty one, in seconds.
IN_TIME = 1.5
PLAIN_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %(id)s\r\nResponse-Seal: x\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)
STREAM_HEAD = b'%s\r\ncontent-type: text/event-stream\r\n\r\n' % (
    PLAIN_HEAD.rstrip()
)
GIVEN_UP = (httpcore.RemoteProtocolError, httpcore.ReadTimeout)
LONG_FIELD = b'x: %s\r\n' % (b'y' * 1000)


async def fetch(pool: httpcore.AsyncConnectionPool, port: int) -> None:
    async with pool.stream(
        'GET', f'http://{LOCAL}:{port}/', extensions=make_timeouts(500)
    ) as response:
        await read_bounded(response, MAX_HEAD)


# Guards against informational responses, or a head, that are read for ever, and
# that keep all other tasks from running meanwhile.
@pytest.mark.parametrize('pause', [0, 0.02])
@pytest.mark.parametrize(
    ('prefix', 'piece'),
    [
        (b'', INFORMATIONAL),
        (b'', b'HTTP/1.1 100 Continue\n\n'),
        (b'', b'HTTP/1.1 103 Early Hints\r\n%s\r\n' % LONG_FIELD),
        (b'HTTP/1.1 200 OK\r\n', LONG_FIELD),
        (b'HTTP/1.1 200 OK\r\nx: ', b'y'),
    ],
)
async def test_a_head_without_an_end_is_given_up(
    prefix: bytes, piece: bytes, pause: float
) -> None:
    server, ticker = PouringServer(piece, prefix, pause), LoopTicker()
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        nursery.start_soon(ticker.run)
        for pool in (make_pool(), make_peer_pool(None)):
            with trio.fail_after(2), pytest.raises(GIVEN_UP):
                await fetch(pool, server.port)
            await pool.aclose()
        nursery.cancel_scope.cancel()
    assert server.poured == 2
    assert ticker.longest < HELD


# Guards against the same at engines and the store of the own interface.
async def test_clients_of_the_own_interface_give_up_such_heads() -> None:
    server = PouringServer(INFORMATIONAL)
    before = count_endless_heads()
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        async with make_client(f'http://{LOCAL}:{server.port}') as client:
            with trio.fail_after(2), pytest.raises(httpx.RemoteProtocolError):
                await client.get('/', timeout=None)
        nursery.cancel_scope.cancel()
    assert count_endless_heads() == before + 1


# Guards against sound upstreams that are given up for some early hints, or for
# what they sent on the same connection before.
async def test_some_informational_responses_are_passed_over() -> None:
    answer = (
        INFORMATIONAL * MAX_INFORMATIONAL
        + b'HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n'
        + b'\r\n\r\n' * 50000
    )
    async with trio.open_nursery() as nursery, BoundedPool() as pool:
        listeners = await trio.open_tcp_listeners(0, host=LOCAL)

        async def handle(stream: trio.SocketStream) -> None:
            while await stream.receive_some(65536):
                await stream.send_all(answer)

        nursery.start_soon(trio.serve_listeners, handle, listeners)
        port = listeners[0].socket.getsockname()[1]
        for _ in range(3):
            response = await pool.request('GET', f'http://{LOCAL}:{port}/')
            assert len(response.content) == 200000
        nursery.cancel_scope.cancel()


# Guards against a body of many small parts that are passed on in one go.
async def test_small_parts_of_a_body_let_other_tasks_run() -> None:
    turns: list[float] = []

    async def take_others_turns() -> None:
        while True:
            await trio.lowlevel.checkpoint()
            turns.append(trio.current_time())

    async def receive_at_once() -> AsyncIterator[bytes]:
        for _ in range(100):
            time.sleep(0.001)
            yield b'x'

    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_others_turns)
        body = [part async for part in take_turns(receive_at_once())]
        nursery.cancel_scope.cancel()
    assert b''.join(body) == b'x' * 100
    assert len(turns) >= 5


# Guards against callers who get late answers, or none, beside upstreams that
# send informational responses without an end. Their requests may reach two
# upstreams: all succeed only if one of them is sound.
@pytest.mark.parametrize(
    ('faulty', 'allowed'),
    [
        (1, {httpx.codes.OK}),
        (3, {httpx.codes.OK, httpx.codes.BAD_GATEWAY}),
    ],
)
async def test_requests_are_answered_beside_faulty_upstreams(
    faulty: int, allowed: set[int], tmp_path: Path
) -> None:
    servers = [PouringServer(INFORMATIONAL) for _ in range(faulty)]
    statuses: Counter[int] = Counter()
    async with open_platform(engines=0, plains=1, instances=0) as stage:
        for number, server in enumerate(servers):
            await stage.nursery.start(server.run)
            address = f'{LOCAL}:{server.port}'
            stage.list_upstream(f'faulty-{number}', 'portal', address)
        with open_instances(stage, tmp_path, 'one') as started:
            instance = started[0]
            instance.start()
            await instance.wait_ready(stage.client)

            async def ask(number: int) -> None:
                answer = await stage.client.get(
                    f'http://{LOCAL}:{instance.ports[0]}/look/a',
                    headers=make_headers(f'r{number}'),
                )
                statuses[answer.status_code] += 1

            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep, IN_TIME)
                nursery.cancel_scope.deadline = trio.current_time() + IN_TIME
                for number in range(REQUESTS):
                    nursery.start_soon(ask, number)
            lines = instance.read_lines('endless response head')
    assert sum(server.poured for server in servers)
    assert statuses.total() == REQUESTS
    assert statuses.keys() <= allowed
    assert statuses[httpx.codes.OK]
    assert len(lines) == len({line['address'] for line in lines})
    assert lines


# Guards against an upstream that answers nothing and goes on getting work.
async def test_a_faulty_upstream_loses_work() -> None:
    server = PouringServer(INFORMATIONAL)
    async with open_platform(engines=0, plains=1) as stage:
        await stage.nursery.start(server.run)
        stage.list_upstream('faulty', 'portal', f'{LOCAL}:{server.port}')
        fleet = stage.runtimes[0].fleet
        await until(lambda: fleet.find('faulty'))
        for number in range(REQUESTS):
            answer = await stage.client.get(
                stage.url('/look/a'), headers=make_headers(f'r{number}')
            )
            assert answer.status_code == httpx.codes.OK
        assert 0 < server.poured < REQUESTS // 4
        assert fleet.find('faulty').failing
        assert not fleet.find('plain-0').failing


# Guards against a stop that is held up, or a process that is killed at the end
# of its grace, while upstreams send without an end.
@pytest.mark.parametrize(
    ('service', 'path', 'prefix', 'piece'),
    [
        ('portal', '/look/a', b'', INFORMATIONAL),
        ('portal', '/look/a', PLAIN_HEAD, chunk(b'x' * 1000)),
        ('writers', '/draft/a', STREAM_HEAD, chunk(b'x' * 1000)),
    ],
)
async def test_a_stop_beside_faulty_upstreams_ends_in_time(
    service: str, path: str, prefix: bytes, piece: bytes, tmp_path: Path
) -> None:
    server = PouringServer(piece, prefix, 0.02, path.encode())
    async with open_platform(engines=0, plains=0, instances=0) as stage:
        await stage.nursery.start(server.run)
        stage.list_upstream('faulty', service, f'{LOCAL}:{server.port}')
        with open_instances(stage, tmp_path, 'one') as started:
            instance = started[0]
            instance.settings['bounds.graceS'] = 5
            instance.start()
            await instance.wait_ready(stage.client)
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(
                        ask_in_vain, stage, instance, path, number
                    )
                await until(lambda: server.poured)
                await stop_as_the_platform(instance, 5)
                nursery.cancel_scope.cancel()
            assert instance.process.returncode == 0
            assert instance.read_lines('stopped')


async def ask_in_vain(
    stage: PlatformStage, instance: ProcessInstance, path: str, number: int
) -> None:
    with suppress(httpx.TransportError):
        await stage.client.get(
            f'http://{LOCAL}:{instance.ports[0]}{path}',
            headers=make_draft(f'r{number}'),
        )
