"""Translate between the platform's wire and cartdale's interfaces."""

from cartdale.clock import Millis
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.store_changes import (
    EvacuationWritten,
    OwnKey,
    StoredChange,
    TableWritten,
    Unreadable,
)
from cartdale.fleet.types import EntryRemoved, EntryWritten
from cartdale.platform.callers import read_request, write_refusal
from cartdale.platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
    BadDocumentError,
    decode_table,
    decode_upstream,
)
from cartdale.relay.types import CallerRequest, Headers
from cartdale.store.types import Entry, Removed

#: Prefix of the keys that instances write for each other.
_OWN_PREFIX = 'cartdale/'


def read_table(raw: bytes) -> StoredChange:
    """Decode a configuration from the store or a peer."""
    try:
        return TableWritten(decode_table(raw), raw)
    except BadDocumentError as error:
        return Unreadable(error.format_message())


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
    """Decode a change of one of the platform's keys."""
    if change.key.startswith(_OWN_PREFIX):
        stored = b'' if isinstance(change, Removed) else change.value
        return OwnKey(change.key, stored)
    if change.key.startswith(EVACUATION_PREFIX):
        return _read_evacuation(change)
    if isinstance(change, Removed):
        if not change.key.startswith(UPSTREAM_PREFIX):
            return None
        return EntryRemoved(change.key.removeprefix(UPSTREAM_PREFIX))
    try:
        if change.key == CONFIGURATION_KEY:
            return read_table(change.value)
        if change.key.startswith(UPSTREAM_PREFIX):
            return EntryWritten(decode_upstream(change.key, change.value))
    except BadDocumentError as error:
        upstream = ''
        if change.key.startswith(UPSTREAM_PREFIX):
            upstream = change.key.removeprefix(UPSTREAM_PREFIX)
        return Unreadable(error.format_message(), upstream)
    return None


def _read_evacuation(change: Entry | Removed) -> EvacuationWritten:
    """Decode the evacuation of a failure domain, which only the key names."""
    domain = change.key.removeprefix(EVACUATION_PREFIX)
    revision = change.mod_revision
    active = not isinstance(change, Removed)
    return EvacuationWritten(Evacuation(domain, revision, active=active))
