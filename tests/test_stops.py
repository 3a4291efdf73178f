"""Stops: a request that was read is answered before the process ends."""

import os
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import h11
import httpx
import pytest
import trio
from loguru import logger
from trio.lowlevel import checkpoint

from cartdale.clock import SECOND_MS
from cartdale.daemon import gateway, peers, runtime
from cartdale.daemon.inflight import InFlight
from cartdale.model.types import Hardware
from cartdale_standins.plain import HEADER_KEY
from cartdale_standins.platform_store import PlatformStoreFaults
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    count_runs,
    draft,
    make_draft,
    make_headers,
    open_platform,
    until,
)
from tests.processes import (
    ProcessInstance,
    open_instances,
    stop_as_the_platform,
    throttled,
)
from tests.stage import CALLER_KEY, open_stage
from tests.test_log_fields import recorded

#: Tasks of one pass of the loop run in random order.
ROUNDS = 5
CONNECTIONS = 12
OK = 200
HOST = ('Host', LOCAL)
NAMES = tuple(f'r{number}' for number in range(CONNECTIONS))
#: Of each call to the store, in milliseconds: an instance takes itself off the
#: list as it ends.
STORE_DELAY = 100
#: Longer than an instance takes from its last look to its end.
WORK_SECONDS = 0.4
#: Of an instance that runs as a process.
GRACE_SECONDS = 8
#: Makes a token in so long that a stream of `LONG_TOKENS` outlasts a grace.
SLOW_HARDWARE = Hardware(
    memory_tokens=20000, step_base_ms=60, step_per_sequence_ms=0.01
)
LONG_TOKENS = 300
#: Of times in log lines, in seconds; and how late a step may come.
CLOCK_ERROR = 0.02
LATENESS = 0.3
#: As many as one engine of the stage runs at once.
STREAMS = 60
#: Of each event: a few of them fill a connection.
UNREAD_BYTES = 1_000_000


@contextmanager
def call_at(event: str, action: Callable[[], None]) -> Iterator[None]:
    """Call in the pass of the loop in which a line is logged."""

    def note(message: Any) -> None:
        if message.record['message'] == event:
            action()

    sink = logger.add(note, level='INFO')
    try:
        yield
    finally:
        logger.remove(sink)


class Callers:
    """Kept connections, on each of which one request is sent at a stop.

    :param requests: one for each connection.
    """

    def __init__(
        self, streams: list[trio.SocketStream], requests: list[bytes]
    ) -> None:
        self._streams = streams
        self._requests = requests
        self._closing = trio.Event()

    async def send_at_close(self, leave: Callable[[], None]) -> None:
        """Send one request in each pass from that on which closes them."""
        pairs = list(zip(self._streams, self._requests, strict=True))
        with call_at('closing connections', self._closing.set):
            with call_at('closing connections', partial(_write, *pairs[0])):
                leave()
                await self._closing.wait()
        for pair in pairs[1:]:
            _write(*pair)
            await checkpoint()

    async def read_statuses(self) -> list[int]:
        """Return the statuses of whole responses; 0 for none."""
        return [await _read_status(stream) for stream in self._streams]


def _write(stream: trio.SocketStream, request: bytes) -> None:
    os.write(stream.socket.fileno(), request)


@asynccontextmanager
async def open_connections(
    port: int, request: bytes
) -> AsyncIterator[list[trio.SocketStream]]:
    """Open connections on each of which one request was answered."""
    streams = [
        await trio.open_tcp_stream(LOCAL, port) for _ in range(CONNECTIONS)
    ]
    for stream in streams:
        await stream.send_all(request)
        assert await _read_status(stream) == OK
    yield streams
    for stream in streams:
        await stream.aclose()


def make_request(path: str, headers: dict[str, str]) -> bytes:
    """Return a request that ends with its one byte of body."""
    lines = [f'POST {path} HTTP/1.1', 'Content-Length: 1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join((*lines, '', 'x')).encode()


async def _read_status(stream: trio.SocketStream) -> int:
    """Return the status of a response once it is complete; 0 for none."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method='GET', target='/', headers=[HOST]))
    connection.send(h11.EndOfMessage())
    status = 0
    while True:
        try:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some())
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            return 0
        if isinstance(event, h11.Response):
            status = event.status_code
        if isinstance(event, h11.EndOfMessage):
            return status


class RecordedInFlight(InFlight):
    """Count as usual, and note the paths of requests."""

    def __init__(self, paths: list[bytes], application: Any) -> None:
        super().__init__(application)
        self._paths = paths

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope['type'] == 'http':
            self._paths.append(scope['raw_path'])
        await super().__call__(scope, receive, send)


@pytest.fixture
def handed(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Return the paths that instances' applications are handed."""
    paths: list[bytes] = []
    for module in (gateway, runtime):
        recorded = partial(RecordedInFlight, paths)
        monkeypatch.setattr(module, 'InFlight', recorded)
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', 50)
    monkeypatch.setattr(runtime, '_LEAVE_PAUSE', 50)
    return paths


# Guards against a request that an instance on the platform has read, that runs
# at an upstream, and that is cut as the process ends.
async def test_requests_read_at_a_stop_are_answered(
    handed: list[bytes],
) -> None:
    for _ in range(ROUNDS):
        await stop_on_the_platform(handed)


# Guards against the same at the own interface.
async def test_requests_read_at_a_stop_of_the_own_interface_are_answered(
    tmp_path: Path, handed: list[bytes]
) -> None:
    for _ in range(ROUNDS):
        await stop_the_own_interface(tmp_path, handed)


# Guards against an instance that does not end where the pause takes all of the
# grace.
async def test_stop_ends_within_a_short_grace(handed: list[bytes]) -> None:
    async with open_platform(engines=0) as stage:
        instance = stage.runtimes[0]
        bounds = replace(instance.bounds, grace=1)
        instance._settings = replace(instance._settings, bounds=bounds)
        instance.leave()
        with trio.fail_after(5):
            await stage.stopped[0].wait()


# Guards against a stop whose last work is cut, and logged, only after the store
# has answered or its time is over.
async def test_what_still_runs_is_cut_without_a_wait_for_the_store(
    handed: list[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peers, '_WITHDRAW_TIMEOUT', 3000)
    async with open_platform(engines=0) as stage:
        stage.add_engine(SLOW_HARDWARE)
        await stage.settle()
        instance = stage.runtimes[0]
        bounds = replace(instance.bounds, grace=1500)
        instance._settings = replace(instance._settings, bounds=bounds)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_cut_stream, partial(draft, stage, 'r1'))
            await until(lambda: count_runs(stage, 'r1'))
            stage.store.faults = PlatformStoreFaults(silent=True)
            with recorded() as lines:
                instance.leave()
                await trio.sleep(bounds.grace / 1000)
            cut = [each for each in lines if each['event'] == 'request cut']
            assert [each['request'] for each in cut] == ['r1']
            await stage.stopped[0].wait()


# Guards against an end that SIGKILL overtakes, whose last lines are lost: by
# half a processor, many streams and a store that does not answer.
async def test_a_slow_process_ends_within_the_grace(tmp_path: Path) -> None:
    async with open_platform(engines=0, instances=0) as stage:
        stage.add_engine(SLOW_HARDWARE)
        with open_instances(stage, tmp_path, 'one') as started:
            one = started[0]
            one.start()
            await one.wait_ready(stage.client)
            names = [f'r{number}' for number in range(STREAMS)]
            async with trio.open_nursery() as nursery:
                for name in names:
                    ask = partial(ask_process, stage.client, one, name)
                    nursery.start_soon(read_cut_stream, ask)
                await until(lambda: have_begun(stage, names))
                stage.store.faults = PlatformStoreFaults(silent=True)
                with throttled(one):
                    await stop_as_the_platform(one, GRACE_SECONDS)
        cut = one.read_lines('request cut')
        assert sorted(each['request'] for each in cut) == sorted(names)
        assert one.read_lines('stopped')
        assert one.process is not None
        assert one.process.returncode == 0


# Guards against an end by bounds that are not in force any more: a process that
# SIGKILL overtakes, or one that cuts what would have ended in time.
@pytest.mark.parametrize(
    ('at_first', 'changed_after', 'changed'),
    [
        pytest.param(8, 0.3, 2, id='shorter in the pause'),
        pytest.param(8, 1.5, 1, id='passed in the pause'),
        pytest.param(8, 3.3, 5, id='shorter after the pause'),
        pytest.param(8, 3.3, 3, id='passed after the pause'),
        pytest.param(5, 3.2, 7, id='longer'),
    ],
)
async def test_end_is_that_of_the_bounds_in_force(
    tmp_path: Path, at_first: float, changed_after: float, changed: float
) -> None:
    async with open_long_stream(tmp_path, at_first) as one:
        one.process.send_signal(signal.SIGTERM)
        await trio.sleep(changed_after)
        one.write_settings(bounds__graceS=changed)
        one.process.send_signal(signal.SIGHUP)
        await until(lambda: one.ended)
    check_end(one)
    leaving, reloaded, left = (
        one.read_lines(event)[0]['at']
        for event in ('leaving', 'settings reloaded', 'left')
    )
    cut_after = gateway.find_cut(int(changed * SECOND_MS)) / SECOND_MS
    due = max(leaving + cut_after, reloaded)
    assert due - CLOCK_ERROR <= left <= due + LATENESS


# Guards against a stop that a second signal ends, holds up or begins again.
async def test_further_signals_do_not_disturb_a_stop(tmp_path: Path) -> None:
    async with open_long_stream(tmp_path, 4) as one:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_as_the_platform, one, 4)
            while not one.ended:
                one.process.send_signal(signal.SIGTERM)
                one.process.send_signal(signal.SIGHUP)
                await trio.sleep(0.002)
    assert len(one.read_lines('leaving')) == 1
    check_end(one)


@asynccontextmanager
async def open_long_stream(
    folder: Path, grace_seconds: float
) -> AsyncIterator[ProcessInstance]:
    """Run an instance as a process, with a stream that it will cut."""
    async with open_platform(engines=0, instances=0) as stage:
        stage.add_engine(SLOW_HARDWARE)
        with open_instances(stage, folder, 'one') as started:
            one = started[0]
            one.settings['bounds.graceS'] = grace_seconds
            one.start()
            await one.wait_ready(stage.client)
            async with trio.open_nursery() as nursery:
                ask = partial(ask_process, stage.client, one, 'r1')
                nursery.start_soon(read_cut_stream, ask)
                await until(lambda: count_runs(stage, 'r1'))
                yield one


def check_end(instance: ProcessInstance) -> None:
    """Check that a process cut its stream, logged that, and ended."""
    cut = [each['request'] for each in instance.read_lines('request cut')]
    assert cut == ['r1']
    assert len(instance.read_lines('stopped')) == 1
    assert instance.process is not None
    assert instance.process.returncode == 0


def have_begun(stage: PlatformStage, names: list[str]) -> bool:
    return all(count_runs(stage, name) for name in names)


# Guards against a cut that no line names, since its end takes too long: what is
# written to a caller who reads nothing holds up the process until SIGKILL.
async def test_a_cut_is_logged_before_its_work_has_ended(
    tmp_path: Path,
) -> None:
    async with open_platform(instances=0) as stage:
        stage.engines[0].stream_faults.padding = UNREAD_BYTES
        with open_instances(stage, tmp_path, 'one') as started:
            one = started[0]
            one.settings['bounds.graceS'] = 2
            one.start()
            await one.wait_ready(stage.client)
            async with stage.client.stream(
                'POST',
                f'http://{LOCAL}:{one.ports[0]}/draft/a',
                headers=make_draft('r1', LONG_TOKENS),
                content=b'brief',
            ):
                await stop_as_the_platform(one, 2)
        cut = [each['request'] for each in one.read_lines('request cut')]
        assert cut == ['r1']


async def ask_process(
    client: httpx.AsyncClient, instance: ProcessInstance, request_id: str
) -> httpx.Response:
    """Ask for a stream that outlasts the grace, and read it."""
    return await client.post(
        f'http://{LOCAL}:{instance.ports[0]}/draft/a',
        headers=make_draft(request_id, LONG_TOKENS),
        content=b'brief',
    )


async def read_cut_stream(
    ask: Callable[[], Awaitable[httpx.Response]],
) -> None:
    """Ask for a stream that is to end before it is whole."""
    with pytest.raises(httpx.RemoteProtocolError):
        await ask()


async def stop_on_the_platform(handed: list[bytes]) -> None:
    first = make_request('/cut/a', make_headers('first'))
    async with open_platform(engines=0) as stage:
        instance = stage.runtimes[0]
        async with open_connections(instance.caller_port, first) as streams:
            stage.store.faults = PlatformStoreFaults(delay=STORE_DELAY)
            stage.plains[0].speed.work_seconds = WORK_SECONDS
            requests = [
                make_request('/cut/a', make_headers(name)) for name in NAMES
            ]
            callers = Callers(streams, requests)
            handed.clear()
            await callers.send_at_close(instance.leave)
            statuses = await callers.read_statuses()
        runs = [count_runs(stage, name) for name in NAMES]
        assert runs == [int(status == OK) for status in statuses]
        assert len(handed) == sum(map(bool, statuses))
        await stage.stopped[0].wait()


async def stop_the_own_interface(base: Path, handed: list[bytes]) -> None:
    path, headers = (
        '/services/portal/a',
        {'Host': LOCAL, 'Authorization': f'Bearer {CALLER_KEY}'},
    )
    first = make_request(path, {**headers, HEADER_KEY: 'first'})
    async with open_stage(base) as stage:
        await stage.settle(stage.declare())
        instance = stage.runtimes[0]
        async with open_connections(instance.caller_port, first) as streams:
            stage.plain.delay_seconds = WORK_SECONDS
            requests = [
                make_request(path, {**headers, HEADER_KEY: name})
                for name in NAMES
            ]
            callers = Callers(streams, requests)
            handed.clear()
            await callers.send_at_close(instance.leave)
            statuses = await callers.read_statuses()
        runs = [stage.plain.runs_by_key[name] for name in NAMES]
        assert runs == [int(status == OK) for status in statuses]
        assert handed.count(path.encode()) == sum(map(bool, statuses))
        await stage.stopped[0].wait()
