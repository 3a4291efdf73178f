"""Own interface: answers of plain services that end with their connection."""

import httpx
import pytest
import trio
from returns.pipeline import is_successful

from cartdale.engines.plain import PlainRequest, PlainService

LOCAL = '127.0.0.1'
ANSWER = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart'


async def answer_once(
    listener: trio.SocketListener, served: trio.Event, *, ends: bool
) -> None:
    """Answer without a length, and end with the answer if told to."""
    stream = await listener.accept()
    await stream.receive_some()
    await stream.send_all(ANSWER)
    if ends:
        await listener.aclose()
    await stream.aclose()
    await served.wait()


# Guards against a part of an answer that looks whole: its service ended as it
# wrote it.
@pytest.mark.parametrize('ends', [True, False])
async def test_unframed_answer_is_whole_only_if_its_service_lives(
    ends: bool,
) -> None:
    listener = (await trio.open_tcp_listeners(0, host=LOCAL))[0]
    port = listener.socket.getsockname()[1]
    served = trio.Event()
    async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
        nursery.start_soon(lambda: answer_once(listener, served, ends=ends))
        service = PlainService(client, f'http://{LOCAL}:{port}', 2000)
        answer = await service.call(PlainRequest('GET', 'a', b'', {}))
        assert is_successful(answer) is not ends
        served.set()
    await listener.aclose()
