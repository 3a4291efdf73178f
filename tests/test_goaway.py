"""What callers of HTTP/2 are told before their connection ends."""

import random
from contextlib import suppress
from functools import partial
from pathlib import Path
from ssl import SSLContext, create_default_context

import httpx
import pytest
import trio
import trustme
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, StreamEnded
from hyperframe.frame import GoAwayFrame
from trio.testing import wait_all_tasks_blocked

from cartdale.daemon import gateway
from cartdale.daemon.http2 import OPENED_SINCE
from cartdale.daemon.serve import BoundListener
from cartdale.settings.types import Listener, Tls
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    ask,
    count_runs,
    make_headers,
    open_platform,
)
from tests.stage import open_stage
from tests.test_connection_ends import NotingApplication, open_server
from tests.test_connection_faults import (
    HEADERS,
    H2Caller,
    open_h2,
)
from tests.test_connection_protocols import answer_late
from tests.test_log_fields import recorded
from tests.test_transport import make_tls


def make_h2_headers(request_id: str) -> list[tuple[str, str]]:
    """Return the headers of a request to a plain service."""
    by_name = make_headers(request_id)
    host = by_name.pop('Host')
    more = [(name.lower(), text) for name, text in by_name.items()]
    return [*HEADERS[:2], (':authority', host), HEADERS[3], *more]


async def begin_named(caller: H2Caller, request_id: str) -> int:
    number = caller.begin(b'x', make_h2_headers(request_id))
    await caller.flush()
    return number


# Guards against requests that run and are lost as their library fails them all
# at a GOAWAY, and against callers who are not told of the stop in the end.
async def test_instance_that_leaves_tells_callers_of_h2(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', 500)
    async with open_platform(engines=0) as stage:
        instance = stage.runtimes[0]
        assert (await ask(stage, 'first')).is_success
        stage.plains[0].speed.work_seconds = 1
        caller = await open_h2(instance.caller_port)
        names = ('before', 'leaving', 'stopping')
        numbers = []
        for name in names:
            numbers.append(await begin_named(caller, name))
            await trio.sleep(0.4)
            instance.leave()
        assert instance._stopping.is_set()
        for number in numbers:
            assert not caller.goaways
            assert await caller.read_until_ended(number) == 'ended'
        await caller.read_until_goaways(numbers[-1])
        late = await begin_named(caller, 'late')
        assert await caller.read_until_ended(late) == 'closed'
        assert _count_all(stage, *names, 'late') == [1, 1, 1, 0]
        await stage.stopped[0].wait()


# Guards against requests in progress of the most used client of this language,
# which it fails at a GOAWAY.
async def test_client_loses_no_request_in_progress_at_a_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, 'LEAVE_PAUSE', 500)
    statuses: dict[str, int] = {}
    async with open_platform(engines=0) as stage:
        instance = stage.runtimes[0]
        assert (await ask(stage, 'first')).is_success
        stage.plains[0].speed.work_seconds = 1.2
        open_client = partial(httpx.AsyncClient, http1=False, http2=True)
        async with (
            open_client(timeout=10) as client,
            trio.open_nursery() as nursery,
        ):

            async def post(name: str) -> None:
                answer = await client.post(
                    stage.url('/cut/a'),
                    headers=make_headers(name),
                    content=b'x',
                )
                statuses[name] = answer.status_code

            for number in range(10):
                nursery.start_soon(post, f'before-{number}')
            await trio.sleep(0.2)
            instance.leave()
            for number in range(10):
                nursery.start_soon(post, f'later-{number}')
                await trio.sleep(0.09)
            assert instance._stopping.is_set()
        assert len(statuses) == 20
        for name, status in statuses.items():
            assert status in {200, 503}
            assert status == 200 or name.startswith('later')
            assert count_runs(stage, name) == (status == 200)
        await stage.stopped[0].wait()


# Guards against the same at a connection that has served many requests.
async def test_client_loses_no_request_as_its_connection_has_served_many() -> (
    None
):
    async with open_server(answer_late) as server:
        server.listener._config.keep_alive_max_requests = 10
        address = f'http://{LOCAL}:{server.listener.port}/cut/a'
        ports: list[int] = []
        async with httpx.AsyncClient(http1=False, http2=True) as client:

            async def post_many() -> None:
                for _ in range(10):
                    ports.append(await _ask(client, address))

            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(post_many)
        assert len(ports) == 40
        server.stopping.set()


# Guards against the same at the own interface.
async def test_own_interface_that_leaves_tells_callers_of_h2(
    tmp_path: Path,
) -> None:
    async with open_stage(tmp_path) as stage:
        instance = stage.runtimes[0]
        caller = await open_h2(instance.caller_port)
        number = caller.begin(b'brief')
        await caller.flush()
        assert await caller.read_until_ended(number) == 'ended'
        instance.leave()
        with trio.fail_after(1):
            await caller.read_until_goaways(number)


def _count_all(stage: PlatformStage, *names: str) -> list[int]:
    return [count_runs(stage, name) for name in names]


# Guards against a stop that is held up, or other requests cut, by a caller who
# goes on opening streams, sends bodies and takes them back: those beyond a
# bound are reset as not processed.
async def test_further_streams_are_bounded_at_a_stop() -> None:
    generator = random.Random(1)
    refused = f'reset {int(ErrorCodes.REFUSED_STREAM)}'
    with recorded() as logged:
        async with open_server() as server:
            caller = await open_h2(server.listener.port)
            server.app.answering = trio.Event()
            first = caller.begin(b'brief')
            await caller.flush()
            await wait_all_tasks_blocked(0.02)
            server.stopping.set()
            await wait_all_tasks_blocked(0.02)
            kept = []
            for _ in range(60):
                while caller.connection.outbound_flow_control_window < 4000:
                    assert await caller.read_some()
                number = caller.begin(b'b' * generator.randrange(4000))
                if generator.random() < 0.1:
                    caller.connection.reset_stream(number)
                else:
                    kept.append(number)
                if generator.random() < 0.3:
                    await caller.flush()
            await caller.flush()
            await wait_all_tasks_blocked(0.02)
            assert server.app.handed == 1 + OPENED_SINCE
            server.app.answering.set()
            assert await caller.read_until_ended(first) == 'ended'
            ends = [await caller.read_until_ended(each) for each in kept]
            beyond = ends.index(refused)
            assert set(ends[:beyond]) == {'ended'}
            assert set(ends[beyond:]) == {refused}
            await caller.read_until_goaways(number)
            await server.ended.wait()
    failed = [each['event'] for each in logged if 'failed' in each['event']]
    assert failed == []


# Guards against a stop that lasts for as long as streams are opened.
async def test_refused_streams_do_not_hold_up_a_stop() -> None:
    async with open_server() as server:
        caller = await open_h2(server.listener.port)
        first = caller.begin(b'brief')
        await caller.flush()
        assert await caller.read_until_ended(first) == 'ended'
        server.stopping.set()
        await caller.read_until_goaways(first)
        with trio.move_on_after(2):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_open_streams, caller)
                await server.ended.wait()
                nursery.cancel_scope.cancel()
        assert server.ended.is_set()
        assert server.app.handed == 1


async def _open_streams(caller: H2Caller) -> None:
    """Open streams, whatever a GOAWAY says, until the connection ends."""
    with suppress(trio.BrokenResourceError):
        while True:
            caller.begin(b'brief')
            await caller.flush()
            await trio.sleep(0.05)


# Guards against a request whose library fails it at a GOAWAY though its
# connection was opened after the stop had begun.
async def test_first_request_after_the_stop_began_ends_before_the_goaway() -> (
    None
):
    async with open_server(answer_late) as server:
        server.listener.leaving.set()
        caller = await open_h2(server.listener.port)
        number = caller.begin(b'brief')
        await caller.flush()
        ended, goaway = await read_until_terminated(caller)
        assert ended == [number]
        assert goaway.error_code == ErrorCodes.NO_ERROR
        assert goaway.last_stream_id == number


async def read_until_terminated(
    caller: H2Caller,
) -> tuple[list[int], ConnectionTerminated]:
    """Return the streams that ended before a GOAWAY, and what it says.

    The library fails if anything follows it.
    """
    ended = []
    while True:
        raw = await caller.stream.receive_some()
        for event in caller.connection.receive_data(raw):
            match event:
                case StreamEnded(stream_id=number):
                    ended.append(number)
                case ConnectionTerminated():
                    return ended, event


# Guards against a connection without a request that ends without a word.
async def test_unused_connection_is_told_that_nothing_was_served() -> None:
    async with open_server() as server:
        caller = await open_h2(server.listener.port)
        server.stopping.set()
        await caller.read_until_goaways(0)
        assert not await caller.read_some()
        await server.ended.wait()


# Guards against a caller who can't tell whether a request ran that it sent as
# its connection's rest ended.
async def test_rest_that_ends_is_told() -> None:
    async with open_server() as server:
        server.listener.limit(1000, 1000, 300)
        caller = await open_h2(server.listener.port)
        number = caller.begin(b'brief')
        await caller.flush()
        assert await caller.read_until_ended(number) == 'ended'
        await caller.read_until_goaways(number)
        assert not await caller.read_some()


# Guards against errors of connections that end as they are to be told.
@pytest.mark.parametrize('half', [False, True])
async def test_connections_that_end_as_a_stop_begins_fail_nothing(
    *, half: bool
) -> None:
    with recorded() as logged:
        async with open_server(answer_late) as server:
            callers = [await open_h2(server.listener.port) for _ in range(16)]
            for caller in callers:
                caller.begin(b'brief')
                await caller.flush()
            await wait_all_tasks_blocked(0.02)
            for position, caller in enumerate(callers):
                if position == 8:
                    server.listener.leaving.set()
                if half:
                    await caller.stream.send_eof()
                else:
                    await caller.stream.aclose()
            server.stopping.set()
            await server.ended.wait()
    failed = [each['event'] for each in logged if 'failed' in each['event']]
    assert failed == []


# Guards against requests in progress that a client's library fails, and whose
# caller opens no further ones.
async def test_connection_in_use_is_told_at_the_end_of_its_requests() -> None:
    async with open_server() as server:
        caller = await open_h2(server.listener.port)
        server.app.answering = trio.Event()
        numbers = [caller.begin(b'brief') for _ in range(2)]
        await caller.flush()
        await wait_all_tasks_blocked(0.02)
        server.listener.leaving.set()
        await wait_all_tasks_blocked(0.02)
        server.app.answering.set()
        ended, goaway = await read_until_terminated(caller)
        assert sorted(ended) == numbers
        assert goaway.last_stream_id == numbers[-1]


# Guards against a client in use, with and without TLS, that goes on using a
# connection of an instance that leaves, or whose requests fail as it leaves.
@pytest.mark.parametrize('secure', [False, True])
async def test_client_opens_another_connection_at_a_stop(
    tmp_path: Path, *, secure: bool
) -> None:
    authority = trustme.CA()
    tls = make_tls(tmp_path, authority, 'a') if secure else None
    listener = BoundListener(Listener(LOCAL, 0, tls))
    app = NotingApplication()
    app.answering.set()
    stopping = trio.Event()
    trusted = False if tls is None else make_context(tls)
    open_client = partial(
        httpx.AsyncClient, http1=secure, http2=True, verify=trusted
    )
    address = f'http{"s" * secure}://{LOCAL}:{listener.port}/cut/a'
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, app, stopping)
        async with open_client() as client:
            ports = [await _ask(client, address) for _ in range(2)]
            assert len(set(ports)) == 1
            listener.leaving.set()
            for _ in range(2):
                await trio.sleep(0.2)
                ports.append(await _ask(client, address))
            assert len(set(ports)) == 3
        stopping.set()


# Guards against a client that never rests, and whose requests fail once those
# beyond a bound are reset, or as its connection ends.
async def test_client_without_a_pause_is_served_until_the_listener_closes() -> (
    None
):
    async with open_server() as server:
        server.app.answering.set()
        address = f'http://{LOCAL}:{server.listener.port}/cut/a'
        async with httpx.AsyncClient(http1=False, http2=True) as client:
            for _ in range(20):
                await client.post(address, content=b'x')
            server.listener.leaving.set()
            for _ in range(100):
                await client.post(address, content=b'x')
            server.stopping.set()
            served = server.app.handed
            with pytest.raises(httpx.ConnectError):
                for _ in range(100):
                    await client.post(address, content=b'x')
        assert served == 120
        assert server.app.handed <= served + 1
        await server.ended.wait()


def make_context(tls: Tls) -> SSLContext:
    context = create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


async def _ask(client: httpx.AsyncClient, address: str) -> int:
    """Return the own port of the connection on which a request was served."""
    response = await client.post(address, content=b'x')
    assert response.http_version == 'HTTP/2'
    assert response.content == b'whole'
    port: int = response.extensions['network_stream'].get_extra_info(
        'client_addr'
    )[1]
    return port


def make_goaway(last_stream: int = 0) -> bytes:
    return GoAwayFrame(0, last_stream, ErrorCodes.NO_ERROR).serialize()


# Guards against requests that run and are cut as their caller, who opens no
# further ones, says so: some libraries do in answer to a GOAWAY.
async def test_caller_that_says_goaway_gets_what_is_in_progress() -> None:
    async with open_server() as server:
        caller = await open_h2(server.listener.port)
        server.app.answering = trio.Event()
        numbers = [caller.begin(b'brief') for _ in range(2)]
        await caller.flush()
        await wait_all_tasks_blocked(0.02)
        await caller.stream.send_all(make_goaway())
        await wait_all_tasks_blocked(0.02)
        assert not server.app.left
        server.app.answering.set()
        for number in numbers:
            assert await caller.read_until_ended(number) == 'ended'
        server.stopping.set()
        await server.ended.wait()


# Guards against requests that run and whose responses are never sent, as their
# connection of HTTP/2 has served many.
async def test_connection_that_served_many_goes_on() -> None:
    async with open_server() as server:
        server.listener._config.keep_alive_max_requests = 10
        caller = await open_h2(server.listener.port)
        server.app.answering = trio.Event()
        server.app.answering.set()
        for _ in range(30):
            number = caller.begin(b'brief')
            await caller.flush()
            assert await caller.read_until_ended(number) == 'ended'
        assert server.app.handed == 30
        assert not caller.goaways
        server.stopping.set()
        await caller.read_until_goaways(number)
        late = caller.begin(b'brief')
        await caller.flush()
        assert await caller.read_until_ended(late) == 'closed'
        assert server.app.handed == 30
        await server.ended.wait()
