"""Message types of the platform's store on the wire."""

from collections.abc import Iterable, Iterator

import msgspec
from loguru import logger

from cartdale.clock import Millis
from cartdale.codec import decode_base64, decode_json
from cartdale.exceptions import UndecodableError
from cartdale.ranges import FractionalSpan, Ordinal, Revision


class StoredItem(msgspec.Struct):
    """A key, or its removal, as the store encodes it."""

    key: str
    #: Base64; empty in the event of a removal.
    value: str = ''
    #: Store revision of the last write.
    revision: Revision = 0
    #: Store revision of the creation.
    created: Revision = 0
    lease: Ordinal = 0
    deleted: bool = False

    def decode(self) -> bytes:
        """Return the value; empty if its base64 is invalid."""
        try:
            return decode_base64(self.value)
        except UndecodableError as error:
            logger.error(
                'stored value unreadable',
                key=self.key,
                size=len(self.value),
                detail=error.detail,
            )
            return b''


class _Keyed(msgspec.Struct):
    """What is needed of a row to name it."""

    key: str


class Page(msgspec.Struct, rename='camel'):
    """Response to a read of several keys."""

    rows: tuple[msgspec.Raw, ...] = msgspec.field(name='items')
    truncated: bool = False
    #: Revision of the store at the time of the read.
    as_of: Revision = 0


class Events(msgspec.Struct, rename='camel'):
    """Response to a watch."""

    events: tuple[msgspec.Raw, ...] = ()
    #: Revision from which the next watch continues.
    as_of: Revision = 0


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

    revision: Revision = 0


class LeaseAnswer(msgspec.Struct, rename='camel'):
    """Response to a grant or renewal of a lease."""

    lease: Ordinal = 0
    ttl_ms: FractionalSpan = 0


class LeaseRequest(msgspec.Struct, rename='camel'):
    """Request of a lease."""

    ttl_ms: Millis


def decode_rows(rows: Iterable[msgspec.Raw]) -> Iterator[StoredItem]:
    """Decode rows one by one, so that a malformed one does not cost the others.

    A malformed row whose key can be read is returned without a value: a row
    that is missing would count as removed. Others are left out.
    """
    for row in rows:
        raw = bytes(row)
        try:
            yield decode_json(raw, StoredItem)
        except UndecodableError as error:
            key = _find_key(raw)
            logger.error(
                'stored row unreadable',
                key=key,
                size=len(raw),
                detail=error.detail,
            )
            if key:
                yield StoredItem(key)


def _find_key(raw: bytes) -> str:
    """Return the key of a malformed row; empty if it can't be read either."""
    try:
        return decode_json(raw, _Keyed).key
    except UndecodableError:
        return ''
