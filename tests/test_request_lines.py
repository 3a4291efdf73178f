"""The method and the target of a request reach the upstream unchanged."""

import pytest
import trio

from tests.platform_stage import LOCAL, make_headers, open_platform
from tests.raw_upstream import RawUpstream, add_raw

SEAL = b'Response-Seal: 3e1b.07'
TARGETS = (
    b'/look/a',
    b'/look/a?',
    b'/look/a??',
    b'/look/a?x=1',
    b'/look/a?x=1?',
    b'/look/a?x=%3F&y=+',
    b'/look/%61/..;b/',
    b'/look/a',
)


def write_request(number: int, method: bytes, target: bytes) -> bytes:
    headers = make_headers(f'r{number}')
    lines = [f'{name}: {text}'.encode() for name, text in headers.items()]
    first = b'%b %b HTTP/1.1' % (method, target)
    return b'\r\n'.join((first, *lines, b'Content-Length: 0', b'', b''))


async def receive_answer(stream: trio.SocketStream) -> bytes:
    """Read until the body of the upstream, which is the whole answer's end."""
    raw = b''
    while b'upstream says' not in raw:
        received = await stream.receive_some()
        assert received, raw
        raw += received
    return raw


# Guards against a target that loses its empty query, which is another one than
# none, and against a request that gets the target of the one before it.
@pytest.mark.parametrize('method', [b'GET', b'POST', b'get'])
async def test_request_line_is_not_changed(method: bytes) -> None:
    upstream = RawUpstream(b'200', (SEAL,))
    async with open_platform(engines=0, plains=0) as stage:
        await add_raw(stage, 'portal', upstream)
        port = stage.runtimes[0].caller_port
        stream = await trio.open_tcp_stream(LOCAL, port)
        async with stream:
            for number, target in enumerate(TARGETS):
                await stream.send_all(write_request(number, method, target))
                answer = await receive_answer(stream)
                assert answer.startswith(b'HTTP/1.1 200')
    expected = [b'%b %b HTTP/1.1' % (method, target) for target in TARGETS]
    assert upstream.lines == expected
