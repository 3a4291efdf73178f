"""Ask other instances to carry requests."""

from base64 import b64encode
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import httpcore

from cartdale.clock import Millis
from cartdale.codec import decode_base64
from cartdale.detours.direct import send_observed
from cartdale.detours.ports import (
    DetourPeers,
    RequestHandler,
    SendObserver,
)
from cartdale.detours.types import (
    DetourOutcome,
    DetourReply,
    UpstreamRequest,
)
from cartdale.exceptions import UndecodableError
from cartdale.formatting import format_error
from cartdale.news.types import PeerEntry
from cartdale.statuses import is_final
from cartdale.transport import (
    CARRIER_EXTENSION,
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
    IntermediaryLostError,
    IntermediaryReplyError,
    is_refusal,
    make_timeouts,
)

PATH = '/peer/v1/detours'
#: Response header with the signed ``DetourReply``; the body is the upstream's.
REPLY_HEADER = b'cartdale-detour'
#: Statuses of an instance that carries no requests, or does not know the key
#: of the sender yet. It sends nothing then. Any other answer without a reply
#: may come from one that failed after it had sent the request.
_REFUSED_STATUSES = frozenset(
    (
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ),
)
#: Maximum wait for a connection to another instance.
_CONNECT_WAIT: Millis = 250
#: Time for which the reply may come later than the upstream's response, so that
#: the intermediary is the one to say that there is none.
_REPLY_SLACK: Millis = 100

Released = Callable[[], None]


class DetourCalls:
    """Send requests to upstreams through other instances.

    Each call uses a new connection: an idle one may be dead without a sign, and
    a request that is sent over it may or may not have run.

    :param pool: makes the connections.
    """

    def __init__(self, pool: RequestHandler, peers: DetourPeers) -> None:
        self._pool = pool
        self._peers = peers

    async def send(
        self,
        peer: PeerEntry,
        request: UpstreamRequest,
        observer: SendObserver | None,
        released: Released,
    ) -> httpcore.Response | DetourReply | None:
        """Send a request through a peer.

        :param released: called once the peer no longer carries the request.
        :returns: the upstream's response, with the body unread; why there is
            none; or ``None`` if the peer did not answer.
        :raises IntermediaryLostError: if the request may have run.
        :raises IntermediaryReplyError: the same, as the peer failed.
        """
        try:
            response = await self._call(peer, request, observer)
        except HTTPCORE_NOT_SENT_ERRORS as unsent:
            released()
            if is_refusal(unsent):
                return DetourReply(
                    DetourOutcome.CLOSED, detail=format_error(unsent)
                )
            return None
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as error:
            released()
            detail = f'{peer.name} lost: {format_error(error)}'
            raise IntermediaryLostError(detail) from error
        except BaseException:
            released()
            raise
        reply = self._read_reply(peer, response)
        if reply is not None and reply.outcome is DetourOutcome.OPENED:
            body = _CarriedBody(response, released)
            return httpcore.Response(
                reply.status,
                headers=reply.headers,
                content=body,
                extensions={CARRIER_EXTENSION: peer.name},
            )
        released()
        await response.aclose()
        if reply is None and response.status in _REFUSED_STATUSES:
            reply = DetourReply(DetourOutcome.BUSY, detail=str(response.status))
        if reply is None:
            detail = f'{peer.name}: {response.status} without a sound reply'
            raise IntermediaryReplyError(detail)
        if observer is not None and reply.proves_unsent:
            observer.retract()
        return reply

    async def _call(
        self,
        peer: PeerEntry,
        request: UpstreamRequest,
        observer: SendObserver | None,
    ) -> httpcore.Response:
        signed = self._peers.sign_message(peer.name, request)
        headers = [
            (b'host', f'{peer.address}:{peer.port}'.encode()),
            (b'content-length', str(len(signed)).encode()),
            (b'connection', b'close'),
        ]
        outgoing = httpcore.Request(
            'POST',
            f'http://{peer.address}:{peer.port}{PATH}',
            headers=headers,
            content=signed,
            extensions=make_timeouts(
                request.timeout and request.timeout + _REPLY_SLACK,
                _CONNECT_WAIT,
            ),
        )
        return await send_observed(self._pool, outgoing, observer)

    def _read_reply(
        self, peer: PeerEntry, response: httpcore.Response
    ) -> DetourReply | None:
        """Return a peer's reply; ``None`` if there is no sound, genuine one."""
        for name, value in response.headers:
            if name.lower() == REPLY_HEADER:
                return self._open_reply(peer, decode_header(value))
        return None

    def _open_reply(self, peer: PeerEntry, signed: bytes) -> DetourReply | None:
        verified = self._peers.open_message(signed, DetourReply)
        if verified is None or verified.sender != peer.name:
            return None
        reply = verified.message
        if reply.outcome is DetourOutcome.OPENED and not is_final(reply.status):
            return None
        return reply


class _CarriedBody:
    """Pass on the body of a response that a peer carries."""

    def __init__(self, response: httpcore.Response, released: Released) -> None:
        self._response = response
        self._released = released
        self._closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the parts of the body."""
        async for chunk in self._response.aiter_stream():
            yield chunk

    async def aclose(self) -> None:
        """Close the connection to the peer, which ends the request there."""
        if not self._closed:
            self._closed = True
            self._released()
        await self._response.aclose()


def encode_header(signed: bytes) -> bytes:
    """Encode a signed message as the value of a header."""
    return b64encode(signed)


def decode_header(value: bytes) -> bytes:
    """Decode a signed message; empty if the value is none."""
    try:
        return decode_base64(value)
    except UndecodableError:
        return b''
