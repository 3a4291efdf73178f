"""Slow peers of a real process: what it takes, and whom else it serves.

Load: a hundred callers that never read streams of 1 MB each, and twenty plain
upstreams that read bodies of 1 MB at 1 KB/s, at one instance of 128 MB. Their
sockets take little themselves, so that the instance holds what it can. Bounds
are those of the users' statement: the memory that the settings tell, and first
events within 1.2 times of those without this load.
"""

import os
import socket
import statistics
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import httpx
import trio

from cartdale.model.types import Hardware
from cartdale.platform.settings import SETTINGS_PATH_VARIABLE
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    make_configuration,
    make_draft,
    make_headers,
    open_platform,
    until,
    whole,
)

MEGABYTE = 1024 * 1024
MEMORY_MB = 128
CALLERS = 100
READERS = 20
PADDING = 20_000
GRACE_SECONDS = 8
BODY = MEGABYTE
#: Drafts whose first events are timed, one after another.
DRAFTS = 25
#: Most of the time of a draft is its instance's.
FAST = Hardware(memory_tokens=20000, step_base_ms=1, step_per_sequence_ms=0.01)
#: Scheduling on a busy machine, beside which a ratio of a few milliseconds
#: says nothing.
NOISE_SECONDS = 0.005


def find_ports(count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((LOCAL, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Instance:
    """One entry instance in a process of its own."""

    def __init__(self, stage: PlatformStage, base: Path, contracts: str):
        self.port, self.ready, self.peer, self.metrics = find_ports(4)
        settings = {
            'node': 'front-1',
            'ip': LOCAL,
            'zone': 'west',
            'region': 'here',
            'listen.front': f'{LOCAL}:{self.port}',
            'listen.ready': f'{LOCAL}:{self.ready}',
            'internalPorts': f'{self.peer},{self.metrics}',
            'bounds.graceS': GRACE_SECONDS,
            'bounds.retryBudgetRatio': 0.2,
            'bounds.budgetWindowS': 10,
            'bounds.budgetSlack': 56,
            'platform.address': f'{LOCAL}:{stage.store_port}',
            'limits.memoryMb': MEMORY_MB,
            'contracts': contracts,
        }
        path = base / 'local.conf'
        path.write_text(
            ''.join(f'{name}={text}\n' for name, text in settings.items())
        )
        self.log = base / 'log'
        self.most: float = 0
        with self.log.open('wb') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-c',
                    'from cartdale.platform.main import main; main()',
                ],
                env={**os.environ, SETTINGS_PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )

    async def watch_memory(self) -> None:
        """Note the most memory that the process takes."""
        while True:
            self.most = max(self.most, self.read_resident())
            await trio.sleep(0.05)

    def read_resident(self) -> float:
        """Return the process's memory in MB."""
        statm = Path(f'/proc/{self.process.pid}/statm').read_text()
        return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE') / MEGABYTE

    def count_lines(self, event: str) -> int:
        return self.log.read_text().count(f'"{event}"')


@asynccontextmanager
async def open_instance(
    stage: PlatformStage, base: Path, contracts: str
) -> AsyncIterator[Instance]:
    instance = Instance(stage, base, contracts)
    try:
        await until(lambda: b'"serving"' in instance.log.read_bytes())
        yield instance
    finally:
        instance.process.kill()
        instance.process.wait()


async def send_request(port: int, path: str, head: dict, body: bytes) -> None:
    """Send a request whose answer nobody reads."""
    caller = trio.socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    with caller:
        await caller.connect((LOCAL, port))
        stream = trio.SocketStream(caller)
        lines = [f'{name}: {text}' for name, text in head.items()]
        request = '\r\n'.join((f'POST {path} HTTP/1.1', *lines))
        length = f'Content-Length: {len(body)}'
        await stream.send_all(f'{request}\r\n{length}\r\n\r\n'.encode() + body)
        await trio.sleep_forever()


async def read_slowly(stream: trio.SocketStream) -> None:
    """Read 1 KB a second, and never answer."""
    while await stream.receive_some(1024):
        await trio.sleep(1)


async def add_slow_upstreams(stage: PlatformStage) -> None:
    for number in range(READERS):
        listeners = await trio.open_tcp_listeners(0, host=LOCAL)
        bound = listeners[0].socket
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        stage.nursery.start_soon(trio.serve_listeners, read_slowly, listeners)
        address = f'{LOCAL}:{bound.getsockname()[1]}'
        stage.list_upstream(f'slow-{number}', 'portal', address)


async def time_first_events(port: int, name: str) -> float:
    """Return the middle time to a first event, in seconds."""
    took = []
    async with httpx.AsyncClient(timeout=10) as client:
        for number in range(DRAFTS):
            request_id = f'{name}-{number}'
            began = trio.current_time()
            async with client.stream(
                'POST',
                f'http://{LOCAL}:{port}/draft/a',
                headers=make_draft(request_id, 40),
                content=b'brief',
            ) as answer:
                assert answer.status_code == 200
                parts = answer.aiter_bytes()
                received = await anext(parts)
                took.append(trio.current_time() - began)
                received += b''.join([part async for part in parts])
            assert received == whole(request_id, 10, padding=PADDING)
    return statistics.median(took)


async def test_slow_peers_cost_neither_memory_nor_those_that_read(
    tmp_path: Path,
) -> None:
    async with open_platform(0, 0, 0) as stage:
        stage.add_engine(FAST).stream_faults.padding = PADDING
        await add_slow_upstreams(stage)
        configuration = make_configuration(2)
        configuration['limits']['maxBodyBytes'] = 4 * MEGABYTE
        stage.store.put('op/config', configuration)
        async with open_instance(stage, tmp_path, 'base,pressure') as instance:
            port = instance.port
            before = await time_first_events(port, 'before')
            start = instance.read_resident()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance.watch_memory)
                for number in range(READERS):
                    nursery.start_soon(
                        send_request,
                        port,
                        '/cut/a',
                        make_headers(f'body-{number}'),
                        b'.' * BODY,
                    )
                for number in range(CALLERS):
                    nursery.start_soon(
                        send_request,
                        port,
                        '/draft/a',
                        make_draft(f'unread-{number}'),
                        b'brief',
                    )
                await until(lambda: instance.count_lines('response gave way'))
                beside = await time_first_events(port, 'beside')
                counts = {
                    event: instance.count_lines(event)
                    for event in (
                        'response gave way',
                        'response held up',
                        'body refused unread',
                    )
                }
                nursery.cancel_scope.cancel()
            figures = (start, instance.most, before, beside, counts)
            assert instance.process.poll() is None
            assert instance.most < MEMORY_MB, figures
            assert beside <= 1.2 * before + NOISE_SECONDS, figures


async def test_instance_leaves_in_its_time_though_a_caller_reads_nothing(
    tmp_path: Path,
) -> None:
    async with open_platform(plains=0, instances=0) as stage:
        stage.engines[0].stream_faults.padding = PADDING
        async with open_instance(stage, tmp_path, 'base,pressure') as instance:
            stage.nursery.start_soon(
                send_request,
                instance.port,
                '/draft/a',
                make_draft('unread'),
                b'brief',
            )
            await until(lambda: stage.engines[0].runs_by_request['unread'])
            await trio.sleep(1)
            instance.process.terminate()
            with trio.fail_after(GRACE_SECONDS + 1):
                await until(lambda: instance.process.poll() is not None)
            assert instance.process.returncode == 0
