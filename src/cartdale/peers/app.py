"""Serve other instances.

A plain ASGI application: the frameworks that serve callers and operators
cost more for each call than the call itself (docs/design/peers.md).
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import msgspec

from cartdale.clock import Clock
from cartdale.codec import decode_binary
from cartdale.peers.client import PATH, PeerClient
from cartdale.peers.messages import SHAPES_BY_KIND, PeerMessage
from cartdale.peers.seal import Envelope

BODY_LIMIT = 4194304
_BINARY_TYPE = b'application/octet-stream'

Serve = Callable[[PeerMessage], Awaitable[PeerMessage]]
#: Events and scopes have the shapes that the ASGI specification gives.
AsgiEvent = dict[str, Any]
Receive = Callable[[], Awaitable[AsgiEvent]]
Send = Callable[[AsgiEvent], Awaitable[None]]


class PeerApp:
    """Answer sealed messages.

    :param serve: answers one message.
    """

    def __init__(
        self, name: str, client: PeerClient, clock: Clock, serve: Serve
    ) -> None:
        self._name = name
        self._client = client
        self._clock = clock
        self._serve = serve
        self.refused = 0

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Answer one ASGI connection."""
        if scope['type'] == 'lifespan':
            await _live(receive, send)
            return
        if scope['type'] != 'http' or scope['path'] != PATH:
            await _respond(send, HTTPStatus.NOT_FOUND)
            return
        sealed = await _read_body(receive)
        if sealed is None:
            await _respond(send, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        await self._take(sealed, send)

    async def _take(self, sealed: bytes, send: Send) -> None:
        envelope = self._client.seal.open(sealed, self._clock.wall())
        if envelope is None or envelope.recipient != self._name:
            self.refused += 1
            await _respond(send, HTTPStatus.FORBIDDEN)
            return
        message = _decode(envelope)
        if message is None:
            await _respond(send, HTTPStatus.BAD_REQUEST)
            return
        reply = await self._serve(message)
        answer = self._client.close(envelope.sender, reply)
        await _respond(send, HTTPStatus.OK, answer)


def _decode(envelope: Envelope) -> PeerMessage | None:
    shape = SHAPES_BY_KIND.get(envelope.kind)
    if shape is None:
        return None
    try:
        decoded: PeerMessage = decode_binary(bytes(envelope.body), shape)
    except msgspec.MsgspecError:
        return None
    return decoded


async def _read_body(receive: Receive) -> bytes | None:
    body = b''
    more = True
    while more:
        event = await receive()
        body += event.get('body', b'')
        more = event.get('more_body', False)
        if len(body) > BODY_LIMIT:
            return None
    return body


async def _respond(send: Send, status: int, body: bytes = b'') -> None:
    headers = [
        (b'content-type', _BINARY_TYPE),
        (b'content-length', str(len(body)).encode()),
    ]
    start = {
        'type': 'http.response.start',
        'status': int(status),
        'headers': headers,
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': body})


async def _live(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return
