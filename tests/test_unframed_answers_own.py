"""Own interface: answers of plain services that end with their connection."""

import httpx
import pytest
import trio
from returns.pipeline import is_successful

from cartdale.engines.plain import PlainRequest, PlainService

LOCAL = '127.0.0.1'
HEAD_END = b'connection: close\r\n\r\npart'


async def answer_once(
    listener: trio.SocketListener,
    served: trio.Event,
    status: int,
    ends_after: float | None,
) -> None:
    """Answer without a length.

    :param ends_after: time after which the service ends, in seconds, if it
        does.
    """
    stream = await listener.accept()
    await stream.receive_some()
    await stream.send_all(b'HTTP/1.1 %d x\r\n' % status + HEAD_END)
    if ends_after == 0:
        await listener.aclose()
    await stream.aclose()
    if ends_after:
        await trio.sleep(ends_after)
        await listener.aclose()
    await served.wait()


# Guards against a part of an answer, or of a failure, that looks whole: its
# service ended as it wrote it, or shut down and answered a little longer.
@pytest.mark.parametrize('status', [200, 500])
@pytest.mark.parametrize('ends_after', [0, 0.005, 0.05, 0.2, None])
async def test_unframed_answer_is_whole_only_if_its_service_serves_on(
    ends_after: float | None, status: int
) -> None:
    listener = (await trio.open_tcp_listeners(0, host=LOCAL))[0]
    port = listener.socket.getsockname()[1]
    served = trio.Event()
    async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
        nursery.start_soon(answer_once, listener, served, status, ends_after)
        service = PlainService(client, f'http://{LOCAL}:{port}', 2000)
        answer = await service.call(PlainRequest('GET', 'a', b'', {}))
        assert is_successful(answer) is (ends_after is None)
        served.set()
    await listener.aclose()
