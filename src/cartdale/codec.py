"""Codec: JSON, MessagePack and base64 for typed messages.

Whatever comes from outside is decoded here. Every failure of a decoder is
raised as an ``UndecodableError``.
"""

import hashlib
from base64 import b64decode, urlsafe_b64decode
from collections.abc import Callable
from functools import cache
from typing import Any, Final, TypeVar

import msgspec

from cartdale.exceptions import UndecodableError
from cartdale.formatting import format_error

Message = TypeVar('Message')

_FindDecoder = Callable[[Any], Callable[..., Any]]

DIGEST_BYTES = 16

#: Beside malformed input: numbers that don't fit, nesting beyond the
#: interpreter's limit, and texts that can't be encoded.
_FAILURES: Final = (
    msgspec.MsgspecError,
    ArithmeticError,
    RecursionError,
    ValueError,
)
#: Errors may quote their input, which can be of any length.
_MAX_DETAIL: Final = 200
_INTEGER_BITS: Final = 63


def encode_json(message: object) -> bytes:
    """Encode a data class as JSON with a stable field order."""
    return msgspec.json.encode(message, order='deterministic')


def decode_json(raw: bytes | str, shape: type[Message]) -> Message:
    """Decode JSON into a data class.

    :raises UndecodableError: when the value does not fit the shape.
    """
    decode: Callable[[bytes | str], Message] = _find_json_decoder(shape)
    try:
        return decode(raw)
    except _FAILURES as error:
        raise _wrap(error) from error


def encode_binary(message: object) -> bytes:
    """Encode a data class as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_binary(raw: bytes, shape: type[Message]) -> Message:
    """Decode MessagePack into a data class.

    :raises UndecodableError: when the value does not fit the shape.
    """
    decode: Callable[[bytes], Message] = _find_binary_decoder(shape)
    try:
        return decode(raw)
    except _FAILURES as error:
        raise _wrap(error) from error


def decode_base64(text: bytes | str) -> bytes:
    """Decode standard base64 with padding.

    :raises UndecodableError: when it has other characters or is cut off.
    """
    try:
        return b64decode(text, validate=True)
    except _FAILURES as error:
        raise _wrap(error) from error


def decode_urlsafe_base64(text: str) -> bytes:
    """Decode the variant of base64 for URLs, with padding.

    :raises UndecodableError: when it is malformed.
    """
    try:
        return urlsafe_b64decode(text)
    except _FAILURES as error:
        raise _wrap(error) from error


def decode_integer(text: bytes | str) -> int:
    """Decode a signed 64-bit integer from decimal digits.

    :raises UndecodableError: when it is malformed or out of range.
    """
    try:
        number = int(text)
    except _FAILURES as error:
        raise _wrap(error) from error
    if abs(number) >> _INTEGER_BITS:
        raise UndecodableError('integer out of range')
    return number


def decode_text(raw: bytes) -> str:
    """Decode UTF-8.

    :raises UndecodableError: when it is malformed.
    """
    try:
        return raw.decode()
    except _FAILURES as error:
        raise _wrap(error) from error


def digest(raw: bytes) -> str:
    """Return a short content digest, in hexadecimal."""
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def _wrap(error: Exception) -> UndecodableError:
    if isinstance(error, msgspec.MsgspecError):
        return UndecodableError(str(error)[:_MAX_DETAIL])
    return UndecodableError(format_error(error)[:_MAX_DETAIL])


def _make_json_decoder(shape: Any) -> Callable[[bytes | str], Any]:
    return msgspec.json.Decoder(shape).decode


def _make_binary_decoder(shape: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(shape).decode


_find_json_decoder: Final[_FindDecoder] = cache(_make_json_decoder)
_find_binary_decoder: Final[_FindDecoder] = cache(_make_binary_decoder)
