"""Memory of a real process that is told its limit, without further contracts.

Load: callers that send large bodies at once, to upstreams that read slowly, and
upstreams whose responses have no end.
The bound is the memory that the settings tell: a process that exceeds it is
killed.
"""

import re
from contextlib import suppress
from pathlib import Path

import httpx
import pytest
import trio

from cartdale.codec import encode_json
from tests.platform_stage import (
    LOCAL,
    make_configuration,
    make_draft,
    make_headers,
    open_platform,
    until,
)
from tests.pouring import PouringServer, chunk
from tests.test_pressure_processes import (
    FAST,
    MEGABYTE,
    MEMORY_MB,
    PADDING,
    add_slow_upstreams,
    open_instance,
    send_request,
    time_first_events,
)

#: Together more than twice the memory, each within the configured size.
CALLERS = 80
BODY = 39 * MEGABYTE // 10
TRIES = 12
#: Of a body that has no end: more than the memory, should it be kept.
PART = b'10000\r\n%s\r\n' % (b'a' * 65536)
PARTS = 4000
PAUSE_SECONDS = 0.0005
HEAD = (
    b'HTTP/1.1 200 OK\r\nResponse-Seal: x\r\nContent-Type: text/event-stream'
    b'\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\n\r\n'
)
WHOLE_HEAD = (
    b'HTTP/1.1 200 OK\r\nResponse-Seal: x\r\nRequest-Id: %s\r\n'
    b'Connection: close\r\nContent-Length: %d\r\n\r\n'
)
REPORT = encode_json(
    {
        'stage': 'combined',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        'sequence': 2,
        'kvTotal': 90000,
        'state': 'ready',
    }
)
#: Something waits there: a request that it does not list may be among that.
BUSY_REPORT = REPORT.replace(b'{', b'{"queued":1,', 1)
WHOLE_REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
    len(BUSY_REPORT),
    BUSY_REPORT,
)
#: Engines whose events have no end.
POURING = 16
#: In which what has no end comes.
SECONDS = 6


async def send_body(port: int, request_id: str) -> None:
    """Send a body; who refuses it may close before all of it was sent."""
    with suppress(trio.BrokenResourceError):
        await send_request(
            port, '/cut/a', make_headers(request_id), b'.' * BODY
        )


async def ask_with_body(
    port: int, request_id: str, answers: list[httpx.Response]
) -> None:
    async with httpx.AsyncClient(timeout=30) as client:
        answers.append(
            await client.post(
                f'http://{LOCAL}:{port}/cut/a',
                headers=make_headers(request_id),
                content=b'.' * BODY,
            )
        )


# Guards against large bodies that together exceed the memory of an instance,
# which ends its process and all that runs in it.
async def test_large_bodies_at_once_end_no_instance(tmp_path: Path) -> None:
    async with open_platform(0, 0, 0) as stage:
        stage.add_engine(FAST).stream_faults.padding = PADDING
        await add_slow_upstreams(stage)
        configuration = make_configuration(2)
        configuration['limits']['maxBodyBytes'] = 4 * MEGABYTE
        stage.store.put('op/config', configuration)
        async with open_instance(stage, tmp_path, 'base') as instance:
            answers: list[httpx.Response] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance.watch_memory)
                for number in range(CALLERS):
                    nursery.start_soon(
                        send_body, instance.port, f'body-{number}'
                    )
                await until(lambda: instance.count_lines('body refused unread'))
                for number in range(TRIES):
                    nursery.start_soon(
                        ask_with_body, instance.port, f'late-{number}', answers
                    )
                await until(lambda: len(answers) == TRIES)
                await time_first_events(instance.port, 'beside')
                nursery.cancel_scope.cancel()
            assert instance.process.poll() is None
            assert instance.most < MEMORY_MB
        for answer in answers:
            assert answer.status_code == httpx.codes.SERVICE_UNAVAILABLE
            assert float(answer.headers['retry-after']) >= 1


class EndlessUpstream:
    """Begin a response and never end it.

    :param path: of the requests that are answered so; reports and checks of
        others are answered whole.
    :param size: of a response that has an end all the same.
    """

    def __init__(self, path: bytes, size: int = 0) -> None:
        self._path = path
        self._size = size
        self.port = 0
        self.begun = 0

    async def run(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host=LOCAL)
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._answer, listeners)

    async def _answer(self, stream: trio.SocketStream) -> None:
        received = b''
        while b'\r\n\r\n' not in received:
            part = await stream.receive_some(65536)
            if not part:
                return
            received += part
        with suppress(trio.BrokenResourceError):
            if self._path in received.split(b'\r\n')[0]:
                await self._send_for_ever(stream, received)
            else:
                await stream.send_all(
                    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'
                    % (len(REPORT), REPORT)
                )

    async def _send_for_ever(
        self, stream: trio.SocketStream, request: bytes
    ) -> None:
        found = re.search(rb'request-id: (\S+)', request.lower())
        name = found[1] if found else b''
        if self._size:
            await stream.send_all(WHOLE_HEAD % (name, self._size))
            await stream.send_all(b'.' * self._size)
            return
        await stream.send_all(HEAD % name)
        self.begun += 1
        for _ in range(PARTS):
            await stream.send_all(PART)
            await trio.sleep(PAUSE_SECONDS)


# Guards against an upstream's response that has no end and is kept until the
# memory of the instance is exceeded, which ends its process.
@pytest.mark.parametrize(
    ('service', 'path', 'asked'),
    [
        ('portal', b'/cut/', '/cut/a'),
        ('writers', b'/cartdale/report', ''),
        ('writers', b'/draft/', '/draft/a'),
    ],
)
async def test_response_without_an_end_ends_no_instance(
    service: str, path: bytes, asked: str, tmp_path: Path
) -> None:
    upstream = EndlessUpstream(path)
    async with open_platform(0, 0, 0) as stage:
        stage.nursery.start_soon(upstream.run)
        await until(lambda: upstream.port)
        address = f'{LOCAL}:{upstream.port}'
        stage.list_upstream('endless', service, address)
        async with (
            open_instance(stage, tmp_path, 'base') as instance,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(instance.watch_memory)
            if asked:
                await ask_in_vain(instance.port, asked)
            else:
                await until(lambda: upstream.begun)
                await trio.sleep(SECONDS)
            nursery.cancel_scope.cancel()
        assert instance.count_lines('response too large to be held') <= 1
        assert upstream.begun
        assert instance.most < MEMORY_MB


async def ask_in_vain(port: int, path: str) -> None:
    """Ask for what has no end; it is given up before all of it has come."""
    async with httpx.AsyncClient(timeout=SECONDS) as client:
        with suppress(httpx.RemoteProtocolError):
            await client.post(
                f'http://{LOCAL}:{port}{path}',
                headers=make_draft('endless'),
                content=b'brief',
            )


# Guards against whole responses that nobody reads, which are kept until the
# memory of the instance is exceeded.
async def test_large_responses_that_nobody_reads_end_no_instance(
    tmp_path: Path,
) -> None:
    upstream = EndlessUpstream(b'/cut/', 2 * MEGABYTE)
    async with open_platform(0, 0, 0) as stage:
        stage.nursery.start_soon(upstream.run)
        await until(lambda: upstream.port)
        stage.list_upstream('large', 'portal', f'{LOCAL}:{upstream.port}')
        async with (
            open_instance(stage, tmp_path, 'base') as instance,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(instance.watch_memory)
            for number in range(CALLERS):
                nursery.start_soon(
                    send_request,
                    instance.port,
                    '/cut/a',
                    make_headers(f'unread-{number}'),
                    b'x',
                )
            await trio.sleep(SECONDS)
            nursery.cancel_scope.cancel()
        assert instance.most < MEMORY_MB


# Guards against events without an end, each below the largest size, that are
# kept for many streams until the memory of the instance is exceeded.
async def test_events_without_an_end_end_no_instance(tmp_path: Path) -> None:
    servers = [
        PouringServer(chunk(b'a' * 65536), HEAD.replace(b'%s', b'%(id)s'), 0.15)
        for _ in range(POURING)
    ]
    for server in servers:
        server.path = b'/draft/'
        server.whole = WHOLE_REPORT
    async with open_platform(0, 0, 0) as stage:
        stage.add_engine(FAST)
        for number, server in enumerate(servers):
            await stage.nursery.start(server.run)
            address = f'{LOCAL}:{server.port}'
            stage.list_upstream(f'pouring-{number}', 'writers', address)
        async with (
            open_instance(stage, tmp_path, 'base') as instance,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(instance.watch_memory)
            for number in range(CALLERS):
                nursery.start_soon(
                    send_request,
                    instance.port,
                    '/draft/a',
                    make_draft(f'poured-{number}'),
                    b'brief',
                )
            await trio.sleep(SECONDS)
            nursery.cancel_scope.cancel()
            assert instance.process.poll() is None
        assert sum(server.poured for server in servers) >= CALLERS // 4
        assert instance.count_lines('event too large to be held')
        assert instance.most < MEMORY_MB
