"""ASGI application that handles messages from other instances.

It uses no web framework: those that serve callers and operators cost more per
request than handling the message itself (docs/design/peers.md).
"""

from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any

from cartdale.asgi import (
    BINARY_HEADERS,
    AsgiEvent,
    Receive,
    Send,
    accept_http_request,
    read_body,
    send_response,
)
from cartdale.clock import Clock
from cartdale.codec import decode_binary
from cartdale.exceptions import UndecodableError
from cartdale.peers.authentication import Envelope
from cartdale.peers.client import PATH, PeerClient

BODY_LIMIT = 4194304

Serve = Callable[[Any], Awaitable[object]]
Shapes = Mapping[str, type[Any]]


class PeerApp:
    """Verify signed messages and respond with signed replies.

    :param serve: handles one message and returns the reply.
    :param shapes_by_kind: supported message types by their name on the wire.
    """

    def __init__(
        self,
        name: str,
        client: PeerClient,
        clock: Clock,
        serve: Serve,
        shapes_by_kind: Shapes,
    ) -> None:
        self._name = name
        self._client = client
        self._clock = clock
        self._serve = serve
        self._shapes_by_kind = shapes_by_kind
        self.refused = 0

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        if scope['path'] != PATH:
            await send_response(send, HTTPStatus.NOT_FOUND)
            return
        signed = await read_body(receive, BODY_LIMIT)
        if signed is None:
            await send_response(send, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        await self._handle_signed(signed, send)

    async def _handle_signed(self, signed: bytes, send: Send) -> None:
        envelope = self._client.authenticator.verify(
            signed, self._clock.wall_time()
        )
        if envelope is None or envelope.recipient != self._name:
            self.refused += 1
            await send_response(send, HTTPStatus.FORBIDDEN)
            return
        message = self._decode(envelope)
        if message is None:
            await send_response(send, HTTPStatus.BAD_REQUEST)
            return
        reply = await self._serve(message)
        signed_reply = self._client.sign_message(envelope.sender, reply)
        await send_response(send, HTTPStatus.OK, BINARY_HEADERS, signed_reply)

    def _decode(self, envelope: Envelope) -> object | None:
        shape = self._shapes_by_kind.get(envelope.kind)
        if shape is None:
            return None
        try:
            decoded: object = decode_binary(bytes(envelope.body), shape)
        except UndecodableError:
            return None
        return decoded
