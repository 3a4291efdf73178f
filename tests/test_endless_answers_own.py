"""Answers without an end at the own interface: engines, services, the store."""

import httpx
import pytest
import trio
from returns.pipeline import is_successful

from cartdale.daemon.clients import make_client
from cartdale.engines.http import STREAM_ERRORS, HttpEngine
from cartdale.engines.plain import PlainRequest, PlainService
from cartdale.store.etcd import EtcdStore
from cartdale.store.types import Put
from tests.platform_stage import LOCAL
from tests.pouring import PouringServer, chunk

CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
PIECE = chunk(b'x' * 65536)
TIMEOUT = 300
#: In which each call must be given up, in seconds.
GIVEN_UP = 3


async def call(server: PouringServer, client: httpx.AsyncClient, kind: str):
    address = f'http://{LOCAL}:{server.port}'
    match kind:
        case 'engine':
            return await HttpEngine(client, address, TIMEOUT).report()
        case 'service':
            service = PlainService(client, address, TIMEOUT)
            return await service.call(PlainRequest('GET', 'a', b'', {}))
        case 'watch':
            return await EtcdStore(client, TIMEOUT).wait_change('k', 1, 60_000)
        case _:
            store = EtcdStore(client, TIMEOUT)
            return await store.transact((), (Put('k', b'x'),))


# Guards against answers that are kept until the memory of the process is
# exceeded, or are waited for as long as some of them comes.
@pytest.mark.parametrize(
    ('kind', 'pause'),
    [
        ('engine', 0),
        ('engine', 0.05),
        ('service', 0),
        ('service', 0.05),
        ('store', 0),
        ('store', 0.05),
        ('watch', 0),
    ],
)
async def test_answers_without_an_end_are_given_up(
    kind: str, pause: float
) -> None:
    server = PouringServer(PIECE if pause == 0 else chunk(b'x'), CHUNKED, pause)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        async with make_client(f'http://{LOCAL}:{server.port}') as client:
            with trio.fail_after(GIVEN_UP):
                assert not is_successful(await call(server, client, kind))
        nursery.cancel_scope.cancel()


# Guards against an event of an engine that has no end.
async def test_an_event_without_an_end_is_given_up() -> None:
    server = PouringServer(PIECE, CHUNKED)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        async with make_client() as client:
            engine = HttpEngine(
                client, f'http://{LOCAL}:{server.port}', TIMEOUT
            )
            with trio.fail_after(GIVEN_UP), pytest.raises(STREAM_ERRORS):
                async with engine.attach('g', 0) as opened:
                    await anext(opened.unwrap())
        nursery.cancel_scope.cancel()


# Guards against an answer without framing that counts as framed once it is
# read whole.
async def test_a_whole_answer_keeps_its_headers() -> None:
    server = PouringServer(b'', path=b'never')
    server.whole = b'HTTP/1.1 200 OK\r\nx: y\r\n\r\nwhole'
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        async with make_client() as client:
            service = PlainService(
                client, f'http://{LOCAL}:{server.port}', 2000
            )
            asked = PlainRequest('GET', 'a', b'', {})
            # Its upstream takes connections on, which proves the end.
            answer = (await service.call(asked)).unwrap()
        nursery.cancel_scope.cancel()
    assert answer.body == b'whole'
