"""Serve other instances."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec
from quart import Response, request
from quart_trio import QuartTrio

from cartdale.clock import Clock
from cartdale.codec import decode_binary
from cartdale.peers.client import PATH, PeerClient
from cartdale.peers.messages import SHAPES_BY_KIND, PeerMessage
from cartdale.peers.seal import Envelope

BODY_LIMIT = 4194304
BODY_SECONDS = 10
_BINARY_TYPE = 'application/octet-stream'

Serve = Callable[[PeerMessage], Awaitable[PeerMessage]]


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

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('peers')
        app.config['MAX_CONTENT_LENGTH'] = BODY_LIMIT
        app.config['BODY_TIMEOUT'] = BODY_SECONDS
        app.add_url_rule(PATH, 'messages', self._take, methods=['POST'])
        return app

    async def _take(self) -> Response:
        sealed = await request.get_data()
        raw = sealed.encode() if isinstance(sealed, str) else sealed
        envelope = self._client.seal.open(raw, self._clock.wall())
        if envelope is None or envelope.recipient != self._name:
            self.refused += 1
            return Response(status=HTTPStatus.FORBIDDEN)
        return await self._answer(envelope)

    async def _answer(self, envelope: Envelope) -> Response:
        shape = SHAPES_BY_KIND.get(envelope.kind)
        if shape is None:
            return Response(status=HTTPStatus.BAD_REQUEST)
        try:
            message = decode_binary(bytes(envelope.body), shape)
        except msgspec.MsgspecError:
            return Response(status=HTTPStatus.BAD_REQUEST)
        reply = await self._serve(message)
        return Response(
            self._client.close(envelope.sender, reply),
            content_type=_BINARY_TYPE,
        )
