"""Shapes of the platform's store on the wire."""

import base64
import binascii

import msgspec
from loguru import logger

from cartdale.clock import Millis


class StoredItem(msgspec.Struct):
    """Hold a key, or its removal, as the store writes it."""

    key: str
    #: Base64; empty in an event that tells of a removal.
    value: str = ''
    #: Store revision of the last write.
    revision: int = 0
    #: Store revision of the creation.
    created: int = 0
    lease: int = 0
    deleted: bool = False

    def decode(self) -> bytes:
        """Return the value; empty when its base64 is broken."""
        try:
            return base64.b64decode(self.value)
        except binascii.Error as error:
            logger.error(
                'stored value unreadable', key=self.key, detail=str(error)
            )
            return b''


class Page(msgspec.Struct, rename='camel'):
    """Answer a read of many keys."""

    rows: tuple[StoredItem, ...] = msgspec.field(name='items')
    truncated: bool = False
    #: Revision of the whole store when it was read.
    as_of: int = 0


class Events(msgspec.Struct, rename='camel'):
    """Answer a watch."""

    events: tuple[StoredItem, ...] = ()
    #: Where the next watch continues.
    as_of: int = 0


class Expectation(msgspec.Struct):
    """Require a key's last write to be at a revision."""

    key: str
    #: Store revision of the key's last write; 0 when it must be absent.
    revision: int


class StoredPut(msgspec.Struct):
    """Write one key."""

    key: str
    value: str
    lease: int


class TransactionRequest(msgspec.Struct, rename='camel'):
    """Ask for writes under conditions."""

    #: What must hold for the call to do anything.
    expected_revision: tuple[Expectation, ...]
    writes: tuple[StoredPut, ...]
    remove: tuple[str, ...]


class Written(msgspec.Struct):
    """Answer a transaction that was done."""

    revision: int = 0


class LeaseAnswer(msgspec.Struct, rename='camel'):
    """Answer a grant or a renewal."""

    lease: int = 0
    ttl_ms: float = 0


class LeaseRequest(msgspec.Struct, rename='camel'):
    """Ask for a lease."""

    ttl_ms: Millis
