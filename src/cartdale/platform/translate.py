"""Translate between the platform's wire and cartdale's interfaces."""

from dataclasses import replace

from cartdale.clock import Millis
from cartdale.failures import log_failure
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.store_changes import (
    EvacuationWritten,
    OwnKey,
    StoredChange,
    TableWritten,
    Unreadable,
)
from cartdale.fleet.types import (
    EntryRefused,
    EntryRemoved,
    EntryWritten,
    RefusedIntent,
)
from cartdale.platform.callers import read_request, write_refusal
from cartdale.platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
    BadDocumentError,
    decode_table,
    decode_upstream,
)
from cartdale.platform.refused_upstreams import read_refused_upstream
from cartdale.relay.types import CallerRequest, Headers
from cartdale.store.types import Entry, Removed

#: Prefix of the keys that instances write for each other.
_OWN_PREFIX = 'cartdale/'


def read_table(raw: bytes) -> StoredChange:
    """Decode a configuration from the store or a peer."""
    try:
        return TableWritten(decode_table(raw), raw)
    except BadDocumentError as error:
        return _describe_unreadable(error, raw)


class PlatformWire:
    """Translator of callers' headers."""

    def read_request(
        self, method: str, target: bytes, headers: Headers
    ) -> CallerRequest:
        """Read the head of a request."""
        return read_request(method, target, headers)

    def write_refusal(self, status: int, retry_after: Millis) -> Headers:
        """Return the headers of a refusal by this instance."""
        return write_refusal(status, retry_after)


def decode_change(change: Entry | Removed) -> StoredChange | None:
    """Decode a change of one of the platform's keys.

    An error that no decoder expects costs only this change.
    """
    try:
        return _decode_change(change)
    except Exception as error:
        size = 0 if isinstance(change, Removed) else len(change.value)
        log_failure('stored value failed', error, key=change.key, size=size)
        refused = None
        if change.key.startswith(UPSTREAM_PREFIX):
            name = change.key.removeprefix(UPSTREAM_PREFIX)
            refused = EntryRefused(name, RefusedIntent.UNCHANGED)
        detail = type(error).__name__
        return Unreadable(change.key, detail, size, refused=refused)


def _decode_change(change: Entry | Removed) -> StoredChange | None:
    if change.key.startswith(_OWN_PREFIX):
        stored = b'' if isinstance(change, Removed) else change.value
        return OwnKey(change.key, stored)
    if change.key.startswith(EVACUATION_PREFIX):
        return _read_evacuation(change)
    if isinstance(change, Removed):
        if not change.key.startswith(UPSTREAM_PREFIX):
            return None
        return EntryRemoved(change.key.removeprefix(UPSTREAM_PREFIX))
    if change.key == CONFIGURATION_KEY:
        return read_table(change.value)
    if change.key.startswith(UPSTREAM_PREFIX):
        return _read_upstream(change)
    return None


def _read_upstream(change: Entry) -> StoredChange:
    revision = change.mod_revision
    try:
        entry = decode_upstream(change.key, change.value)
    except BadDocumentError as error:
        refused = read_refused_upstream(change.key, change.value)
        stated = replace(refused, revision=revision)
        return _describe_unreadable(error, change.value, stated)
    return EntryWritten(replace(entry, revision=revision))


def _describe_unreadable(
    error: BadDocumentError, raw: bytes, refused: EntryRefused | None = None
) -> Unreadable:
    return Unreadable(error.key, error.detail, len(raw), error.field, refused)


def _read_evacuation(change: Entry | Removed) -> EvacuationWritten:
    """Decode the evacuation of a failure domain, which only the key names."""
    domain = change.key.removeprefix(EVACUATION_PREFIX)
    revision = change.mod_revision
    active = not isinstance(change, Removed)
    return EvacuationWritten(Evacuation(domain, revision, active=active))
