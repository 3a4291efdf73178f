"""ASGI application that sends briefings to instances that have just started.

Its listener isn't reachable from outside the system. A new instance doesn't
have the cluster's key yet, so it sends a random key, with which the response is
signed. Any client that can reach this listener could read the same data from
the store, which requires no credentials either.
"""

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Final

from returns.result import Success

from cartdale.asgi import (
    BINARY_HEADERS,
    AsgiEvent,
    Receive,
    Send,
    accept_http_request,
    read_body,
    send_response,
)
from cartdale.briefing.types import Briefing
from cartdale.clock import Clock
from cartdale.codec import decode_binary
from cartdale.exceptions import UndecodableError
from cartdale.peers.authentication import Authenticator, wrap
from cartdale.peers.documents import Document, decode_document

PATH: Final = '/briefing/v1'
#: Length of the random key in a request; shorter keys are rejected.
KEY_BYTES: Final = 32
#: Lists the document encodings that the requester accepts.
ACCEPT_HEADER: Final = b'accept-encoding'
_MAX_BODY_BYTES = 1024


class BriefingApp:
    """Respond to briefing requests with the state of this instance.

    :param name: this instance's name.
    :param describe: returns the briefing; its document is in one of the given
        encodings or as stored.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        describe: Callable[[tuple[str, ...]], Briefing],
    ) -> None:
        self._name = name
        self._clock = clock
        self._describe = describe

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        if scope['path'] != PATH:
            await send_response(send, HTTPStatus.NOT_FOUND)
            return
        key = await read_body(receive, _MAX_BODY_BYTES)
        if key is None or len(key) < KEY_BYTES:
            await send_response(send, HTTPStatus.BAD_REQUEST)
            return
        wall = self._clock.wall_time()
        # The recipient is empty, since the requester's name isn't known here
        # yet; the key identifies it.
        briefing = self._describe(_list_accepted(scope))
        envelope = wrap(self._name, '', briefing, wall)
        signed = Authenticator((key,)).sign(envelope)
        await send_response(send, HTTPStatus.OK, BINARY_HEADERS, signed)


def open_briefing(raw: bytes, key: bytes, now_wall: int) -> Briefing | None:
    """Return a verified briefing, or ``None`` if the response is invalid.

    :param key: the key that the request carried.
    :returns: a briefing with the document in its stored form.
    """
    envelope = Authenticator((key,)).verify(raw, now_wall)
    if envelope is None or envelope.kind != Briefing.__name__:
        return None
    try:
        briefing = decode_binary(bytes(envelope.body), Briefing)
    except UndecodableError:
        return None
    match decode_document(Document(briefing.document, briefing.encoding)):
        case Success(stored):
            return replace(briefing, document=stored, encoding='')
    return None


def _list_accepted(scope: AsgiEvent) -> tuple[str, ...]:
    """Return the document encodings that the requester accepts."""
    header = dict(scope['headers']).get(ACCEPT_HEADER, b'')
    return tuple(header.decode('latin-1').replace(',', ' ').split())
