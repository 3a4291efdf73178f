"""Resume positions: what a caller hands back to continue an answer.

A position names the generation, its engine and customer under a message
authentication code, and carries the number of tokens delivered with a
digest of their chunks, so that any instance can continue without a shared
store and a repeated run can be compared with what was delivered.
"""

import hashlib
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

import msgspec

from cartdale.codec import decode_binary, encode_binary

_MAC_BYTES = 12
_DIGEST_BYTES = 8
_SEPARATOR = '.'
_PARTS = 3


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """Name what a position belongs to.

    :param body_digest: digest of the request body, which a resume repeats.
    """

    generation: str
    upstream: str
    customer: str
    service: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Position:
    """Point behind a delivered token.

    :param offset: tokens delivered.
    :param prefix_digest: digest of the delivered chunks, hexadecimal.
    """

    origin: Origin
    offset: int
    prefix_digest: str


class PrefixDigest:
    """Digest the chunks of an answer in order."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=_DIGEST_BYTES)

    def add(self, text: str) -> None:
        """Append one chunk."""
        self._hash.update(text.encode())

    def read(self) -> str:
        """Return the digest of everything appended."""
        return self._hash.hexdigest()


class PositionSigner:
    """Seal and open positions with keys that all instances know.

    :param keys: accepted keys, the newest first; it seals.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys

    def rotate(self, keys: tuple[bytes, ...]) -> None:
        """Take other keys; positions of keys still listed stay valid."""
        self._keys = keys

    def sign(self, origin: Origin) -> str:
        """Return the sealed origin, the constant part of every event id."""
        raw = encode_binary(origin)
        return urlsafe_b64encode(_mac(self._keys[0], raw) + raw).decode()

    def verify(self, text: str) -> Position | None:
        """Return the position, or ``None`` when it is not genuine."""
        parts = text.split(_SEPARATOR)
        if len(parts) != _PARTS or not parts[1].isdecimal():
            return None
        try:
            sealed = urlsafe_b64decode(parts[0])
        except ValueError:
            return None
        origin = self._open_origin(sealed[:_MAC_BYTES], sealed[_MAC_BYTES:])
        if origin is None:
            return None
        return Position(origin, int(parts[1]), parts[2])

    def _open_origin(self, code: bytes, raw: bytes) -> Origin | None:
        for key in self._keys:
            if not hmac.compare_digest(code, _mac(key, raw)):
                continue
            try:
                return decode_binary(raw, Origin)
            except msgspec.MsgspecError:
                return None
        return None


class DeliveredPrefix:
    """Follow what the caller has, and seal positions behind it.

    :param prefix_digest: digest of what a resumed caller already has.
    """

    def __init__(
        self, position_signer: PositionSigner, prefix_digest: str
    ) -> None:
        self._position_signer = position_signer
        self._running = PrefixDigest()
        self._delivered = prefix_digest
        self.sealed = ''

    def bind(self, origin: Origin) -> None:
        """Seal the origin of the run that is followed from now on."""
        self.sealed = self._position_signer.sign(origin)

    def restart(self) -> None:
        """Begin to read a run from its first token."""
        self._running = PrefixDigest()

    def add(self, text: str) -> None:
        """Take the next token of the run."""
        self._running.add(text)

    def matches(self) -> bool:
        """Tell whether the run reproduced what the caller has."""
        return self._running.read() == self._delivered

    def deliver(self, offset: int) -> str:
        """Count the last token as delivered and return its event id."""
        self._delivered = self._running.read()
        return format_position(self.sealed, offset, self._delivered)


def format_position(sealed: str, offset: int, prefix_digest: str) -> str:
    """Return the event id of a chunk."""
    return f'{sealed}{_SEPARATOR}{offset}{_SEPARATOR}{prefix_digest}'


def _mac(key: bytes, raw: bytes) -> bytes:
    return hashlib.blake2b(raw, key=key, digest_size=_MAC_BYTES).digest()
