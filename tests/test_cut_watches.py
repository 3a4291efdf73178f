"""What the client of the platform's store says of a watch that ends early.

Guards against a watch that was cut and is taken for an outage of the store, and
against an outage that is taken for such a cut.
"""

import socket
import struct
from types import MappingProxyType

import pytest
import trio
from returns.result import Failure

from cartdale.platform.settings import Endpoint
from cartdale.platform.store import make_store
from cartdale.store.types import StoreUnavailable, WatchCut

LOCAL = '127.0.0.1'
#: A response that ends inside its body.
PARTIAL = b'HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n{"asOf"'
STATUSES = MappingProxyType(
    {'busy': b'503', 'limited': b'429', 'failed': b'500'}
)
#: Linger for no time: the peer sees a reset instead of an end.
_RESET = struct.pack('ii', 1, 0)


def reset(stream: trio.SocketStream) -> None:
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


async def end_watch(stream: trio.SocketStream, how: str) -> None:
    """Answer one watch in some way."""
    await stream.receive_some()
    match how:
        case 'reset':
            reset(stream)
        case 'body':
            await stream.send_all(PARTIAL)
        case 'busy' | 'limited' | 'failed':
            status = STATUSES[how]
            await stream.send_all(
                b'HTTP/1.1 %b \r\ncontent-length: 0\r\n\r\n' % status
            )
        case 'silent':
            await trio.sleep_forever()
    await stream.aclose()


async def watch_once(how: str) -> object:
    """Return the result of a watch that ends in some way."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp, lambda stream: end_watch(stream, how), 0
        )
        port = listeners[0].socket.getsockname()[1]
        store = make_store(Endpoint(LOCAL, port), 500)
        answer = await store.watch('', 5, 500)
        nursery.cancel_scope.cancel()
    return answer


@pytest.mark.parametrize('how', ['reset', 'closed', 'body'])
async def test_watch_whose_connection_ends_is_cut(how: str) -> None:
    answer = await watch_once(how)
    assert isinstance(answer, Failure)
    assert isinstance(answer.failure(), WatchCut)


@pytest.mark.parametrize('how', ['busy', 'limited', 'failed', 'silent'])
async def test_watch_that_is_turned_away_shows_an_outage(how: str) -> None:
    answer = await watch_once(how)
    assert isinstance(answer, Failure)
    assert isinstance(answer.failure(), StoreUnavailable)


async def test_store_that_is_not_reached_shows_an_outage() -> None:
    with socket.socket() as unused:
        unused.bind((LOCAL, 0))
        port = unused.getsockname()[1]
        store = make_store(Endpoint(LOCAL, port), 500)
        answer = await store.watch('', 5, 500)
    assert isinstance(answer, Failure)
    assert isinstance(answer.failure(), StoreUnavailable)
