"""How an instance on the platform reaches the other instances."""

import secrets
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from math import inf, isfinite
from types import MappingProxyType
from typing import Protocol

import trio
from returns.result import Result

from cartdale.asgi import AsgiEvent, Receive, Send
from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.daemon.binding import (
    BIND_ERRORS,
    Place,
    bind_socket,
    bind_with_retries,
)
from cartdale.daemon.inflight import GuardedApp
from cartdale.daemon.serve import BoundListener
from cartdale.detours.app import DetourApp
from cartdale.detours.calls import PATH as DETOUR_PATH
from cartdale.news.datagrams import SocketDatagrams
from cartdale.news.ports import Datagrams
from cartdale.news.types import PeerEntry
from cartdale.peers.app import PeerApp
from cartdale.peers.authentication import Authenticator
from cartdale.peers.client import PeerClient, PeerFailure
from cartdale.peers.documents import ENCODINGS, Document, FetchDocument
from cartdale.peers.pool import make_peer_pool
from cartdale.settings.types import Listener

#: Longest wait for an answer of a peer.
PEER_TIMEOUT: Millis = SECOND_MS
#: What instances ask each other besides news.
_SHAPES_BY_KIND = MappingProxyType(
    {shape.__name__: shape for shape in (FetchDocument, Document)}
)
#: Length of the key that seals nothing that anyone opens, until the
#: cluster's own is known.
_KEY_BYTES = 32

MessageHandler = Callable[[object], Awaitable[object]]


class PeerLinks(Protocol):
    """Carry news and documents between instances."""

    @property
    def own(self) -> PeerEntry:
        """Return how this instance is reached."""

    @property
    def datagrams(self) -> Datagrams:
        """Return what carries news."""

    def set_authenticator(self, authenticator: Authenticator) -> None:
        """Seal calls from now on."""

    async def serve(self, answer: MessageHandler, stopping: trio.Event) -> None:
        """Answer the calls of others until told to stop."""

    async def fetch_document(
        self, peer: PeerEntry, *, may_wait: bool
    ) -> Result[Document, PeerFailure]:
        """Ask a peer for the configuration that it has in force.

        :param may_wait: whether the peer may respond to ask again later.
        """


class PeerInterface:
    """ASGI application that serves all that other instances ask.

    :param detour_app: serves detours; ``None`` if none are carried.
    """

    def __init__(self, peer_app: PeerApp, detour_app: DetourApp | None) -> None:
        self._peer_app = peer_app
        self._detour_app = detour_app

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if self._detour_app is not None and scope.get('path') == DETOUR_PATH:
            await self._detour_app(scope, receive, send)
            return
        await self._peer_app(scope, receive, send)


class SocketLinks:
    """Reach the others by datagrams and by calls on the same port.

    :param name: this instance's name.
    :param listener: where datagrams and calls arrive.
    :param link_mbps: bandwidth of this instance's link, in megabits per second;
        infinite if it is not known.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        listener: Listener,
        clock: Clock,
        link_mbps: float = inf,
    ) -> None:
        both = _bind_both(listener)
        self._listener = both.connections
        self._clock = clock
        self.own = PeerEntry(
            name,
            listener.address,
            self._listener.port,
            failure_domain,
            link_mbps if isfinite(link_mbps) else 0,
        )
        self.datagrams = both.datagrams
        #: Carries requests of other instances to upstreams, if set.
        self.detour_app: DetourApp | None = None
        self.client = PeerClient(
            make_peer_pool(None),
            name,
            Authenticator((secrets.token_bytes(_KEY_BYTES),)),
            clock,
            PEER_TIMEOUT,
        )

    def set_authenticator(self, authenticator: Authenticator) -> None:
        """Seal calls from now on."""
        self.client.authenticator = authenticator

    async def serve(self, answer: MessageHandler, stopping: trio.Event) -> None:
        """Answer the calls of others until told to stop."""
        app = PeerApp(
            self.own.name, self.client, self._clock, answer, _SHAPES_BY_KIND
        )
        served = PeerInterface(app, self.detour_app)
        await self._listener.serve(GuardedApp('peers', served), stopping)

    async def fetch_document(
        self, peer: PeerEntry, *, may_wait: bool
    ) -> Result[Document, PeerFailure]:
        """Ask a peer for the configuration that it has in force.

        :param may_wait: whether the peer may respond to ask again later.
        """
        address = f'http://{peer.address}:{peer.port}'
        return await self.client.request(
            peer.name,
            address,
            FetchDocument(ENCODINGS, may_wait),
            Document,
        )


@dataclass(frozen=True, slots=True)
class _BothKinds:
    """Hold one port bound for connections and for datagrams."""

    connections: BoundListener
    datagrams: SocketDatagrams


def _bind_both(listener: Listener) -> _BothKinds:
    """Bind a port for connections and the same one for datagrams.

    With port 0 the system picks one that is free for connections only, so
    that another has to be tried when it is taken for datagrams.
    """
    while True:
        connections = BoundListener(listener, 'peers', http2=False)
        place = Place('news', listener.address, connections.port)
        bind = partial(bind_socket, place, socket.SOCK_DGRAM)
        try:
            return _BothKinds(connections, SocketDatagrams(bind()))
        except BIND_ERRORS:
            if listener.port or not connections.is_bound:
                later = partial(bind_with_retries, bind, place)
                return _BothKinds(connections, SocketDatagrams(None, later))
        connections.close()
