"""What the soak's caller of HTTP/2 knows of its requests."""

import trio
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import RequestReceived
from hyperframe.frame import GoAwayFrame
from trio.testing import open_stream_to_socket_listener, wait_all_tasks_blocked

from tests.fault_soak.checks import Asked
from tests.fault_soak.http2 import Http2Caller
from tests.fault_soak.proxy import LOCAL
from tests.platform_stage import make_headers


async def _open_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    listeners = await trio.open_tcp_listeners(0, host=LOCAL)
    async with listeners[0] as listener:
        stream = await open_stream_to_socket_listener(listener)
        return stream, await listener.accept()


# Guards against a request that its caller sends although a GOAWAY has told that
# it is not served, and that counts as read.
async def test_request_after_a_goaway_is_not_sent() -> None:
    near, far = await _open_pair()
    caller = Http2Caller(near)
    server = H2Connection(H2Configuration(client_side=False))
    server.initiate_connection()
    answers: list[bool] = []

    async def ask() -> None:
        asked = Asked('draft-1', 'draft', 'entry', 0)
        answers.append(await caller.ask(asked, make_headers(asked.name)))

    async with near, trio.open_nursery() as nursery:
        nursery.start_soon(caller.read)
        await far.send_all(server.data_to_send())
        await wait_all_tasks_blocked()
        await far.send_all(GoAwayFrame(0, last_stream_id=0).serialize())
        await wait_all_tasks_blocked()
        assert caller.is_closed
        nursery.start_soon(ask)
        await wait_all_tasks_blocked()
        received = server.receive_data(bytes(await far.receive_some()))
        await far.aclose()
    assert not any(isinstance(each, RequestReceived) for each in received)
    assert answers == [False]
