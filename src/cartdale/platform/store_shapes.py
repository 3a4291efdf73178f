"""Message types of the platform's store on the wire."""

import base64
import binascii

import msgspec
from loguru import logger

from cartdale.clock import Millis


class StoredItem(msgspec.Struct):
    """A key, or its removal, as the store encodes it."""

    key: str
    #: Base64; empty in the event of a removal.
    value: str = ''
    #: Store revision of the last write.
    revision: int = 0
    #: Store revision of the creation.
    created: int = 0
    lease: int = 0
    deleted: bool = False

    def decode(self) -> bytes:
        """Return the value; empty if its base64 is invalid."""
        try:
            return base64.b64decode(self.value)
        except binascii.Error as error:
            logger.error(
                'stored value unreadable', key=self.key, detail=str(error)
            )
            return b''


class Page(msgspec.Struct, rename='camel'):
    """Response to a read of several keys."""

    rows: tuple[StoredItem, ...] = msgspec.field(name='items')
    truncated: bool = False
    #: Revision of the store at the time of the read.
    as_of: int = 0


class Events(msgspec.Struct, rename='camel'):
    """Response to a watch."""

    events: tuple[StoredItem, ...] = ()
    #: Revision from which the next watch continues.
    as_of: int = 0


class Expectation(msgspec.Struct):
    """Condition on the revision of a key's last write."""

    key: str
    #: Store revision of the key's last write; 0 if it must be absent.
    revision: int


class StoredPut(msgspec.Struct):
    """Write of one key."""

    key: str
    value: str
    lease: int


class TransactionRequest(msgspec.Struct, rename='camel'):
    """Request of conditional writes."""

    #: Conditions that must all hold for the writes to be applied.
    expected_revision: tuple[Expectation, ...]
    writes: tuple[StoredPut, ...]
    remove: tuple[str, ...]


class Written(msgspec.Struct):
    """Response to a committed transaction."""

    revision: int = 0


class LeaseAnswer(msgspec.Struct, rename='camel'):
    """Response to a grant or renewal of a lease."""

    lease: int = 0
    ttl_ms: float = 0


class LeaseRequest(msgspec.Struct, rename='camel'):
    """Request of a lease."""

    ttl_ms: Millis
