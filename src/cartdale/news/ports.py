"""Network interface that the news exchange depends on."""

from typing import Protocol

from cartdale.news.types import PeerEntry


class Datagrams(Protocol):
    """Send and receive messages that may be lost in transit."""

    def send(self, raw: bytes, peer: PeerEntry) -> None:
        """Send a message without blocking.

        :raises OSError: if it can't be sent now, for example because the send
            buffer is full.
        """

    async def receive(self) -> bytes:
        """Wait for a message.

        :raises OSError: if the network reports the failure of an earlier send
            instead.
        """
