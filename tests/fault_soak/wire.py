"""Raw connections of callers."""

import socket
from contextlib import suppress

import h11
import trio

from tests.fault_soak.checks import Asked

RECEIVED = 65536
#: Time in which the system tells that bytes came too late for a process.
_RESET_SECONDS = 0.02


async def ends_before(stream: trio.SocketStream, moment: float) -> bool:
    """Wait for a moment; tell whether the connection has ended by then."""
    with trio.CancelScope(deadline=moment):
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(RECEIVED)
        return True
    return False


async def read_answer(
    stream: trio.SocketStream, wire: h11.Connection, asked: Asked
) -> None:
    """Read a response, as far as it comes."""
    while True:
        event = wire.next_event()
        match event:
            case h11.NEED_DATA:
                wire.receive_data(await stream.receive_some(RECEIVED))
            case h11.Response():
                asked.status = event.status_code
            case h11.Data():
                asked.body += event.data
            case h11.EndOfMessage():
                asked.whole = True
                return
            case _:
                return


async def was_reset(stream: trio.SocketStream) -> bool:
    """Tell whether bytes came after the other side had closed."""
    await trio.sleep(_RESET_SECONDS)
    return bool(stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
