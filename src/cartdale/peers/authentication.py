"""Authentication of messages between instances with the cluster's keys."""

import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from cartdale.clock import Millis
from cartdale.codec import decode_binary, encode_binary
from cartdale.exceptions import UndecodableError
from cartdale.ranges import WallTime

_MAC_BYTES = 16
_KEY_BYTES = 64
#: Maximum difference between the sender's and the recipient's wall clock;
#: messages beyond it are rejected.
FRESH_MS: Millis = 30_000


@dataclass(frozen=True, slots=True)
class Envelope:
    """Message between instances with its addressing.

    :param kind: name of the message's type.
    :param wall_ms: the sender's wall-clock time at sending.
    """

    sender: str
    recipient: str
    kind: str
    wall_ms: WallTime
    body: msgspec.Raw


def wrap(
    sender: str, recipient: str, message: object, wall_ms: Millis
) -> Envelope:
    """Return an envelope with the message, labelled by its type name."""
    return Envelope(
        sender=sender,
        recipient=recipient,
        kind=type(message).__name__,
        wall_ms=wall_ms,
        body=msgspec.Raw(encode_binary(message)),
    )


class Authenticator:
    """Sign and verify envelopes.

    :param keys: accepted keys, newest first; the newest one signs.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = tuple(key[:_KEY_BYTES] for key in keys)

    def sign(self, envelope: Envelope) -> bytes:
        """Return the encoded envelope, prefixed with its MAC."""
        raw = encode_binary(envelope)
        return _mac(self._keys[0], raw) + raw

    def verify(self, signed: bytes, now_wall: Millis) -> Envelope | None:
        """Return the envelope, or ``None`` if its MAC or time is invalid."""
        envelope = self.open(signed)
        if envelope is None or abs(envelope.wall_ms - now_wall) > FRESH_MS:
            return None
        return envelope

    def open(self, signed: bytes) -> Envelope | None:
        """Return the envelope of any age, or ``None`` if its MAC is invalid."""
        mac, raw = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
        genuine = any(
            hmac.compare_digest(mac, _mac(key, raw)) for key in self._keys
        )
        if not genuine:
            return None
        try:
            return decode_binary(raw, Envelope)
        except UndecodableError:
            return None


def _mac(key: bytes, raw: bytes) -> bytes:
    return hashlib.blake2b(raw, key=key, digest_size=_MAC_BYTES).digest()
