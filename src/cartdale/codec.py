"""Codec: JSON and MessagePack for typed messages, by msgspec."""

import hashlib
from typing import TypeVar

import msgspec

Message = TypeVar('Message')

DIGEST_BYTES = 16


def encode_json(message: object) -> bytes:
    """Encode a data class as JSON with a stable field order."""
    return msgspec.json.encode(message, order='deterministic')


def decode_json(raw: bytes | str, shape: type[Message]) -> Message:
    """Decode JSON into a data class.

    :raises msgspec.MsgspecError: when the value does not fit the shape.
    """
    return msgspec.json.decode(raw, type=shape)


def encode_binary(message: object) -> bytes:
    """Encode a data class as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_binary(raw: bytes, shape: type[Message]) -> Message:
    """Decode MessagePack into a data class.

    :raises msgspec.MsgspecError: when the value does not fit the shape.
    """
    return msgspec.msgpack.decode(raw, type=shape)


def digest(raw: bytes) -> str:
    """Return a short content digest, in hexadecimal."""
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()
