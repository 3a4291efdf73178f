"""Read idempotency keys: their slot, and the time inside them."""

import hashlib
from uuid import UUID

from cartdale.clock import Millis
from cartdale.ledger.types import SLOTS

_TIME_SHIFT = 80
_TIME_VERSION = 7
_DIGEST_BYTES = 4
LONGEST_KEY = 255


def slot_of(key: str) -> int:
    """Return the slot of a customer's key."""
    raw = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(raw, 'big') % SLOTS


def read_key_time(key: str) -> Millis:
    """Return the wall time in a UUID version 7; 0 for any other key."""
    try:
        parsed = UUID(key)
    except ValueError:
        return 0
    if parsed.version != _TIME_VERSION:
        return 0
    return parsed.int >> _TIME_SHIFT
