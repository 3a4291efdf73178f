"""What a caller of HTTP/2 gets while others of its streams are given up."""

import trio
from h2.settings import SettingCodes
from trio.testing import wait_all_tasks_blocked

from cartdale.asgi import (
    AsgiEvent,
    Receive,
    Send,
    accept_http_request,
    read_body,
    send_response,
)
from tests.test_connection_ends import open_server
from tests.test_connection_faults import HEADERS, H2Caller, open_h2

#: More than the system holds for a connection that nobody reads.
LARGE = 1 << 24
WINDOW = 1 << 28
#: The second time, a header is sent by its place in a table of both sides.
INDEXED = ((b'x-service', b'writers'),)


class GivingUp:
    """ASGI application that gives up what waits for a caller to read."""

    def __init__(self) -> None:
        self.giving_up = trio.CancelScope()

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        if not await accept_http_request(scope, receive, send):
            return
        await read_body(receive, 100)
        match scope['path']:
            case '/large':
                await send_response(send, 200, (), b'x' * LARGE)
            case '/given-up':
                with self.giving_up:
                    await send_response(send, 200, INDEXED, b'late')
            case _:
                await send_response(send, 200, INDEXED, b'whole')


def begin(caller: H2Caller, path: str) -> int:
    return caller.begin(b'x', [*HEADERS[:3], (':path', path)])


# Guards against a response that is given up while it waits to be written, and
# takes along bytes of the connection that its other streams need.
async def test_response_that_is_given_up_breaks_no_other() -> None:
    app = GivingUp()
    async with open_server(app) as server:
        caller = await open_h2(server.listener.port)
        window = {SettingCodes.INITIAL_WINDOW_SIZE: WINDOW}
        caller.connection.update_settings(window)
        caller.connection.increment_flow_control_window(WINDOW)
        numbers = []
        for path in ('/large', '/given-up', '/next'):
            numbers.append(begin(caller, path))
            await caller.flush()
            await wait_all_tasks_blocked(0.05)
            if path == '/given-up':
                app.giving_up.cancel()
                await wait_all_tasks_blocked(0.05)
        assert await caller.read_until_ended(numbers[2]) == 'ended'
        assert await caller.read_until_ended(numbers[0]) == 'ended'
        server.stopping.set()
