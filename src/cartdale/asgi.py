"""Shapes of ASGI, and the answers that need no framework.

Plain ASGI applications use these where a framework would cost more than the
request itself.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import trio

from cartdale.clock import SECOND_MS, Millis, as_seconds

#: Names the kind of a scope or event.
TYPE: Final = 'type'

#: Name in the state of a scope of the request line as it was received. The
#: specification's own keys don't tell an empty query from none.
REQUEST_LINE: Final = 'request_line'

#: Who sends a body on for longer after its refusal finds the connection closed.
_LONGEST_DISCARD: Millis = 2 * SECOND_MS

#: Heads an answer whose body is a sealed message.
BINARY_HEADERS: Final = ((b'content-type', b'application/octet-stream'),)

#: Events and scopes have the shapes that the ASGI specification gives.
AsgiEvent = dict[str, Any]
Receive = Callable[[], Awaitable[AsgiEvent]]
Send = Callable[[AsgiEvent], Awaitable[None]]
Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestLine:
    """Hold what a caller asks for, unchanged.

    :param target: path and query.
    """

    method: str
    target: bytes


def read_request_line(scope: AsgiEvent) -> RequestLine:
    """Return the request line of a request."""
    received = scope.get('state', {}).get(REQUEST_LINE)
    if isinstance(received, RequestLine):
        return received
    query: bytes = scope['query_string']
    target: bytes = scope['raw_path']
    if query:
        target = b'?'.join((target, query))
    return RequestLine(scope['method'], target)


async def accept_http_request(
    scope: AsgiEvent, receive: Receive, send: Send
) -> bool:
    """Tell whether a connection carries a request; serve its lifespan else."""
    if scope[TYPE] == 'lifespan':
        await _live(receive, send)
    return bool(scope[TYPE] == 'http')


async def read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the body of a request; ``None`` when it is longer than a limit.

    :param limit: in bytes.
    """
    body = b''
    more = True
    while more:
        event = await receive()
        body += event.get('body', b'')
        more = event.get('more_body', False)
        if len(body) > limit:
            return None
    return body


async def discard_body(receive: Receive) -> None:
    """Read the rest of a body without keeping it.

    A connection that is closed while its caller still sends may lose the
    refusal on its way.
    """
    with trio.move_on_after(as_seconds(_LONGEST_DISCARD)):
        more = True
        while more:
            event = await receive()
            more = event.get('more_body', False)


def read_announced_size(headers: Iterable[Header], limit: int) -> int:
    """Return the size that a request's head announces, up to a limit.

    :return: 0 if it announces none.
    """
    for name, value in headers:
        if name.lower() == b'content-length' and value.isdigit():
            digits = value.lstrip(b'0') or b'0'
            is_longer = len(digits) > len(str(limit))
            return limit if is_longer else min(int(digits), limit)
    return 0


async def send_response(
    send: Send, status: int, headers: Iterable[Header] = (), body: bytes = b''
) -> None:
    """Write an answer that is known as a whole."""
    length = (b'content-length', str(len(body)).encode())
    start = {
        TYPE: 'http.response.start',
        'status': status,
        'headers': [*headers, length],
    }
    await send(start)
    await send({TYPE: 'http.response.body', 'body': body})


async def _live(receive: Receive, send: Send) -> None:
    """Answer the server's events of start and stop."""
    while True:
        event = await receive()
        await send({TYPE: f'{event["type"]}.complete'})
        if event[TYPE] == 'lifespan.shutdown':
            return
