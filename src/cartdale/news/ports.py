"""What the exchange of news needs of the network."""

from typing import Protocol

from cartdale.news.types import PeerEntry


class Datagrams(Protocol):
    """Send and receive messages that may be lost on their way."""

    def send(self, raw: bytes, peer: PeerEntry) -> None:
        """Send a message without waiting.

        :raises OSError: when it can't be sent now; a full buffer included.
        """

    async def receive(self) -> bytes:
        """Wait for a message.

        :raises OSError: when the network told of a failed one instead.
        """
