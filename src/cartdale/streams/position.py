"""Resume positions: event ids with which a caller continues a response.

A position contains the generation, its engine and customer under a message
authentication code, the number of delivered tokens and a digest of their
chunks. Any instance can therefore continue the response without a shared
store, and can compare a repeated run with the delivered chunks.
"""

import hashlib
import hmac
from base64 import urlsafe_b64encode
from dataclasses import dataclass

import msgspec

from cartdale.codec import (
    decode_binary,
    decode_integer,
    decode_urlsafe_base64,
    encode_binary,
)
from cartdale.exceptions import UndecodableError

_MAC_BYTES = 12
_DIGEST_BYTES = 8
_SEPARATOR = '.'
_PARTS = 3


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """The generation and request that a position belongs to.

    :param body_digest: digest of the request body; a resume must send the
        same body.
    """

    generation: str
    upstream: str
    customer: str
    service: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Position:
    """Position after a delivered token.

    :param offset: tokens delivered.
    :param prefix_digest: digest of the delivered chunks, hexadecimal.
    """

    origin: Origin
    offset: int
    prefix_digest: str


class PrefixDigest:
    """Digest of the chunks of a response, in order."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=_DIGEST_BYTES)

    def add(self, text: str) -> None:
        """Append one chunk."""
        self._hash.update(text.encode())

    def read(self) -> str:
        """Return the digest of all appended chunks."""
        return self._hash.hexdigest()


class PositionSigner:
    """Sign and verify positions with keys that all instances share.

    :param keys: accepted keys, the newest first; the newest signs.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys

    def rotate(self, keys: tuple[bytes, ...]) -> None:
        """Replace the keys; positions signed with a listed key stay valid."""
        self._keys = keys

    def sign(self, origin: Origin) -> str:
        """Return the signed origin, the constant part of each event id."""
        raw = encode_binary(origin)
        return urlsafe_b64encode(_mac(self._keys[0], raw) + raw).decode()

    def verify(self, text: str) -> Position | None:
        """Return the position, or ``None`` if it is not authentic."""
        parts = text.split(_SEPARATOR)
        if len(parts) != _PARTS or not parts[1].isdecimal():
            return None
        try:
            signed = decode_urlsafe_base64(parts[0])
            offset = decode_integer(parts[1])
        except UndecodableError:
            return None
        origin = self._verify_origin(signed[:_MAC_BYTES], signed[_MAC_BYTES:])
        if origin is None:
            return None
        return Position(origin, offset, parts[2])

    def _verify_origin(self, code: bytes, raw: bytes) -> Origin | None:
        for key in self._keys:
            if not hmac.compare_digest(code, _mac(key, raw)):
                continue
            try:
                return decode_binary(raw, Origin)
            except UndecodableError:
                return None
        return None


class DeliveredPrefix:
    """Digest of the delivered chunks, and the positions after them.

    :param prefix_digest: digest of the chunks that a resuming caller has.
    """

    def __init__(
        self, position_signer: PositionSigner, prefix_digest: str
    ) -> None:
        self._position_signer = position_signer
        self._running = PrefixDigest()
        self._delivered = prefix_digest
        self.signed_origin = ''

    def bind(self, origin: Origin) -> None:
        """Sign the origin of the current run."""
        self.signed_origin = self._position_signer.sign(origin)

    def restart(self) -> None:
        """Restart the digest for a run read from its first token."""
        self._running = PrefixDigest()

    def add(self, text: str) -> None:
        """Add the next chunk of the run."""
        self._running.add(text)

    def matches(self) -> bool:
        """Return whether the run reproduced the delivered chunks."""
        return self._running.read() == self._delivered

    def deliver(self, offset: int) -> str:
        """Mark the last chunk as delivered and return its event id."""
        self._delivered = self._running.read()
        return format_position(self.signed_origin, offset, self._delivered)


def format_position(signed_origin: str, offset: int, prefix_digest: str) -> str:
    """Return the event id of a chunk."""
    return f'{signed_origin}{_SEPARATOR}{offset}{_SEPARATOR}{prefix_digest}'


def _mac(key: bytes, raw: bytes) -> bytes:
    return hashlib.blake2b(raw, key=key, digest_size=_MAC_BYTES).digest()
