"""Wire format of the etcd v3 JSON gateway, as published.

Keys and values are base64; 64-bit integers are decimal strings; fields
that are zero may be left out.
"""

from base64 import b64encode
from dataclasses import dataclass, field

import msgspec

from cartdale.codec import decode_base64

_ZERO = '0'

PATH_RANGE = '/v3/kv/range'
PATH_TXN = '/v3/kv/txn'
PATH_LEASE_GRANT = '/v3/lease/grant'
PATH_LEASE_KEEP_ALIVE = '/v3/lease/keepalive'
PATH_LEASE_REVOKE = '/v3/lease/revoke'
PATH_WATCH = '/v3/watch'


def pack(raw: bytes | str) -> str:
    """Encode a key or value."""
    plain = raw.encode() if isinstance(raw, str) else raw
    return b64encode(plain).decode()


def unpack(text: str) -> bytes:
    """Decode a key or value.

    :raises UndecodableError: when it is malformed.
    """
    return decode_base64(text)


def end_of_prefix(prefix: str) -> str:
    """Return the smallest key after all keys with a prefix."""
    successor = chr(ord(prefix[-1]) + 1)
    return ''.join((prefix[:-1], successor))


@dataclass(frozen=True, slots=True)
class Header:
    """Carry the store's revision."""

    revision: str = _ZERO


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Carry one stored value."""

    key: str
    value: str = ''
    mod_revision: str = _ZERO
    create_revision: str = _ZERO
    version: str = _ZERO
    lease: str = _ZERO


@dataclass(frozen=True, slots=True)
class RangeRequest:
    """Ask for the keys in ``[key, range_end)``."""

    key: str
    range_end: str = ''
    limit: str = _ZERO


@dataclass(frozen=True, slots=True)
class RangeResponse:
    """Answer a range request."""

    header: Header = field(default_factory=Header)
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False
    count: str = _ZERO


@dataclass(frozen=True, slots=True)
class CompareClause:
    """Require that a key's mod revision equals a number."""

    key: str
    mod_revision: str
    result: str = 'EQUAL'
    target: str = 'MOD'


@dataclass(frozen=True, slots=True)
class PutRequest:
    """Write one value."""

    key: str
    value: str
    lease: str = _ZERO


@dataclass(frozen=True, slots=True)
class DeleteRangeRequest:
    """Remove one key."""

    key: str


@dataclass(frozen=True, slots=True)
class RequestOp:
    """Hold one write of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


@dataclass(frozen=True, slots=True)
class TxnRequest:
    """Ask for a transaction."""

    compare: tuple[CompareClause, ...] = ()
    success: tuple[RequestOp, ...] = ()


@dataclass(frozen=True, slots=True)
class TxnResponse:
    """Answer a transaction."""

    header: Header = field(default_factory=Header)
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct, frozen=True, rename={'ttl': 'TTL'}):
    """Ask for a lease; the time to live is in seconds."""

    ttl: str


class LeaseIdRequest(msgspec.Struct, frozen=True, rename={'lease': 'ID'}):
    """Name a lease to renew or revoke."""

    lease: str


class LeaseResponse(
    msgspec.Struct, frozen=True, rename={'lease': 'ID', 'ttl': 'TTL'}
):
    """Answer a grant or a revocation."""

    lease: str = _ZERO
    ttl: str = _ZERO
    header: Header = Header()


@dataclass(frozen=True, slots=True)
class KeepAliveResponse:
    """Answer a renewal; a time to live of 0 means the lease is gone."""

    result: LeaseResponse = field(default_factory=LeaseResponse)


@dataclass(frozen=True, slots=True)
class WatchCreate:
    """Describe a watch on one key."""

    key: str
    start_revision: str = _ZERO


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Ask for a watch."""

    create_request: WatchCreate


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Report one write."""

    kv: KeyValue
    type: str = 'PUT'


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Carry the events of one watch line."""

    header: Header = field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    events: tuple[WatchEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class WatchResponse:
    """Wrap one line of the watch stream."""

    result: WatchResult = field(default_factory=WatchResult)
