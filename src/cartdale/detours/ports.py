"""Dependencies of detours."""

from collections.abc import Iterable
from contextlib import AbstractAsyncContextManager
from typing import Protocol, TypeVar

import httpcore
from returns.result import Result

from cartdale.detours.types import DetourReply, UpstreamRequest
from cartdale.news.types import PeerEntry
from cartdale.peers.client import VerifiedMessage

Reply = TypeVar('Reply')

#: The upstream's response, or why there is none.
CarriedResponse = AbstractAsyncContextManager[
    Result[httpcore.Response, DetourReply]
]


class DetourPeers(Protocol):
    """Find the other instances, and authenticate messages with them."""

    def list_alive(self) -> Iterable[PeerEntry]:
        """Return the other instances, without those known to be silent."""

    def sign_message(self, recipient: str, message: object) -> bytes:
        """Return a message to a peer, wrapped and signed."""

    def open_message(
        self, signed: bytes, shape: type[Reply]
    ) -> VerifiedMessage[Reply] | None:
        """Return a message to this instance; ``None`` if it is not genuine."""


class SendObserver(Protocol):
    """Follow one request on its way out."""

    async def __call__(self) -> None:
        """Handle that the first byte leaves next; raises to withhold it."""

    def retract(self) -> None:
        """Handle proof that nothing was sent to the upstream after all."""


class RequestHandler(Protocol):
    """Send HTTP requests, as httpcore's connection pools do."""

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return its response, with the body unread."""


class UpstreamTransport(Protocol):
    """Send HTTP requests to upstreams."""

    async def send(
        self,
        request: UpstreamRequest,
        observer: SendObserver | None = None,
        *,
        through: str = '',
    ) -> httpcore.Response:
        """Send a request and return its response, with the body unread.

        :param through: instance to try first; empty for the direct path.
        :raises httpcore.ConnectError: or another error of
            ``HTTPCORE_NOT_SENT_ERRORS`` if nothing was sent.
        :raises UnwritableError: if the request can be sent to nobody.
        """


class DetourCarrier(Protocol):
    """Carry requests of other instances to upstreams."""

    def carry(self, request: UpstreamRequest) -> CarriedResponse:
        """Send a request over the direct path and read its response's head."""
