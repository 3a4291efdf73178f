"""Slot and embedded creation time of an idempotency key."""

import hashlib
from uuid import UUID

from cartdale.clock import Millis
from cartdale.ledger.types import SLOTS

_TIMESTAMP_SHIFT_BITS = 80
_TIMESTAMP_UUID_VERSION = 7
_DIGEST_BYTES = 4
LONGEST_KEY = 255


def slot_of(key: str) -> int:
    """Return the slot that a customer's key is assigned to."""
    raw = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(raw, 'big') % SLOTS


def read_key_time(key: str) -> Millis:
    """Return the wall time of a UUID version 7 key; 0 for other keys."""
    try:
        parsed = UUID(key)
    except ValueError:
        return 0
    if parsed.version != _TIMESTAMP_UUID_VERSION:
        return 0
    return parsed.int >> _TIMESTAMP_SHIFT_BITS
