"""Brief instances that have just started.

A plain ASGI application on a listener that nobody outside the system reaches.
A new instance has no key yet: it sends one that it made up, and the answer is
sealed with that. Whoever reaches this listener could read the same from the
store, which asks for no credentials either.
"""

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Final

import msgspec
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
from cartdale.peers.authentication import Authenticator, wrap
from cartdale.peers.documents import Document, decode_document

PATH: Final = '/briefing/v1'
#: Shortest key that an answer is sealed with.
KEY_BYTES: Final = 32
#: Names the encodings in which the asker reads the document.
ACCEPT_HEADER: Final = b'accept-encoding'
_BODY_LIMIT = 1024


class BriefingApp:
    """Answer with what this instance knows.

    :param name: this instance's name.
    :param describe: makes the briefing, with a document in one of some
        encodings or as it is stored.
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
        """Answer one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        if scope['path'] != PATH:
            await send_response(send, HTTPStatus.NOT_FOUND)
            return
        key = await read_body(receive, _BODY_LIMIT)
        if key is None or len(key) < KEY_BYTES:
            await send_response(send, HTTPStatus.BAD_REQUEST)
            return
        wall = self._clock.wall_time()
        # Whoever has the key is meant: the asker has no name here yet.
        briefing = self._describe(_list_accepted(scope))
        envelope = wrap(self._name, '', briefing, wall)
        signed = Authenticator((key,)).sign(envelope)
        await send_response(send, HTTPStatus.OK, BINARY_HEADERS, signed)


def open_briefing(raw: bytes, key: bytes, now_wall: int) -> Briefing | None:
    """Return a briefing, or ``None`` unless it is the answer to a question.

    :param key: what the question carried.
    :returns: a briefing with the document as it is stored.
    """
    envelope = Authenticator((key,)).verify(raw, now_wall)
    if envelope is None or envelope.kind != Briefing.__name__:
        return None
    try:
        briefing = decode_binary(bytes(envelope.body), Briefing)
    except msgspec.MsgspecError:
        return None
    match decode_document(Document(briefing.document, briefing.encoding)):
        case Success(stored):
            return replace(briefing, document=stored, encoding='')
    return None


def _list_accepted(scope: AsgiEvent) -> tuple[str, ...]:
    """Return the encodings in which the asker reads the document."""
    named = dict(scope['headers']).get(ACCEPT_HEADER, b'')
    return tuple(named.decode('latin-1').replace(',', ' ').split())
