"""ASGI application that carries requests of other instances to upstreams."""

from collections.abc import Callable
from http import HTTPStatus

import httpcore
import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.asgi import (
    TYPE,
    AsgiEvent,
    Receive,
    Send,
    discard_body,
    read_announced_size,
    read_body,
    send_response,
)
from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.detours.calls import REPLY_HEADER, encode_header
from cartdale.detours.capacity import RETRY_AFTER, CarryingCapacity
from cartdale.detours.ports import DetourCarrier, DetourPeers
from cartdale.detours.types import (
    DetourOutcome,
    DetourReply,
    UpstreamRequest,
)
from cartdale.formatting import format_error
from cartdale.pressure.driver import Account
from cartdale.transport import HTTPCORE_UNKNOWN_OUTCOME_ERRORS, is_framed

#: Room for the headers of a request, and for its envelope.
_HEAD_BYTES = 65536
#: Time for which the connection of a response without framing stays open after
#: its end: the other instance finds out meanwhile whether it is complete.
_KEPT_OPEN: Millis = SECOND_MS


class DetourApp:
    """Carry signed requests to upstreams, and pass the responses back.

    :param carrier: reaches upstreams over direct paths only.
    :param accepts: whether this instance takes new work.
    :param body_limit: returns the maximum size of a request's body.
    :param account: of the bodies of requests; ``None`` for none.
    """

    def __init__(
        self,
        peers: DetourPeers,
        carrier: DetourCarrier,
        capacity: CarryingCapacity,
        accepts: Callable[[], bool],
        body_limit: Callable[[], int],
        account: Account | None = None,
    ) -> None:
        self._peers = peers
        self._carrier = carrier
        self._capacity = capacity
        self._accepts = accepts
        self._body_limit = body_limit
        self._account = account

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Handle one HTTP request."""
        limit = self._body_limit() + _HEAD_BYTES
        if self._account is None:
            await self._answer(receive, send, limit)
            return
        # Other instances announce the size; what announces none counts whole.
        size = read_announced_size(scope['headers'], limit) or limit
        with self._account.open_body('', size) as intake:
            if intake.note_read(0) is None:
                await self._answer(receive, send, limit)
                return
        await discard_body(receive)
        await send_response(send, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    async def _answer(self, receive: Receive, send: Send, limit: int) -> None:
        signed = await read_body(receive, limit)
        if signed is None:
            await send_response(send, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        verified = self._peers.open_message(signed, UpstreamRequest)
        if verified is None:
            await send_response(send, HTTPStatus.FORBIDDEN)
            return
        reply = _ReplyWriter(self._peers, verified.sender, send)
        if not self._accepts():
            await reply.refuse(_make_busy('it is leaving'))
            return
        if not self._capacity.accept():
            busy = _make_busy('it has no capacity left', RETRY_AFTER)
            await reply.refuse(busy)
            return
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _watch_disconnect, receive, reply, nursery.cancel_scope
                )
                await self._carry(verified.message, reply)
                nursery.cancel_scope.cancel()
        finally:
            self._capacity.release()

    async def _carry(
        self, request: UpstreamRequest, reply: '_ReplyWriter'
    ) -> None:
        async with self._carrier.carry(request) as carried:
            match carried:
                case Failure(refusal):
                    await reply.refuse(refusal)
                case Success(response):
                    await reply.pass_response(response, request)


class _ReplyWriter:
    """Write the reply to one peer.

    :param peer: its name.
    """

    def __init__(self, peers: DetourPeers, peer: str, send: Send) -> None:
        self._peers = peers
        self._peer = peer
        self._send = send
        #: Whether the reply was passed on whole.
        self.ended = False

    async def refuse(self, reply: DetourReply) -> None:
        """Say why there is no response of the upstream."""
        await self._start(reply)
        await self._send(_make_part(b'', more=False))

    async def pass_response(
        self, response: httpcore.Response, request: UpstreamRequest
    ) -> None:
        """Pass a response on; it ends early here if it does there."""
        opened = DetourReply(
            DetourOutcome.OPENED, response.status, tuple(response.headers)
        )
        await self._start(opened)
        try:
            async for chunk in response.aiter_stream():
                await self._send(_make_part(chunk, more=True))
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as error:
            # The body is left without its end, so that the server closes the
            # connection and the other side sees it broken too.
            logger.info(
                'carried response broke',
                request=request.request_id,
                upstream=request.upstream,
                detail=format_error(error),
            )
            return
        if request.is_work:
            logger.info(
                'carried response ended',
                request=request.request_id,
                upstream=request.upstream,
                status=response.status,
                framed=is_framed(response),
            )
        self.ended = True
        await self._send(_make_part(b'', more=False))
        if request.is_work and not is_framed(response):
            # An engine that still runs what its stream no longer shows would
            # drop it with the connection, before the other instance asks.
            await trio.sleep(as_seconds(_KEPT_OPEN))

    async def _start(self, reply: DetourReply) -> None:
        signed = self._peers.sign_message(self._peer, reply)
        await self._send(
            {
                TYPE: 'http.response.start',
                'status': int(HTTPStatus.OK),
                'headers': [(REPLY_HEADER, encode_header(signed))],
            }
        )


def _make_busy(detail: str, retry_after: Millis = 0) -> DetourReply:
    return DetourReply(DetourOutcome.BUSY, detail=detail, backoff=retry_after)


def _make_part(chunk: bytes, *, more: bool) -> AsgiEvent:
    return {TYPE: 'http.response.body', 'body': chunk, 'more_body': more}


async def _watch_disconnect(
    receive: Receive, reply: _ReplyWriter, scope: trio.CancelScope
) -> None:
    """Cancel a carried request when the other instance disconnects early."""
    while True:
        event = await receive()
        if event[TYPE] == 'http.disconnect':
            if not reply.ended:
                scope.cancel()
            return
