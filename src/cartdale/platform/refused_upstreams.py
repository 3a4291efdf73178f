"""Read what counts of upstreams' entries that can't be used as a whole."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from cartdale.clock import Millis
from cartdale.codec import decode_json
from cartdale.exceptions import UndecodableError
from cartdale.fleet.types import EntryRefused, RefusedIntent
from cartdale.platform.births import is_in_future
from cartdale.platform.documents import UPSTREAM_PREFIX
from cartdale.platform.names import STATE_DRAINING, STATE_READY
from cartdale.ranges import WallTime

_INTENTS_BY_STATE: Mapping[str, RefusedIntent] = MappingProxyType(
    {
        STATE_READY: RefusedIntent.UNCHANGED,
        STATE_DRAINING: RefusedIntent.LEAVES,
    },
)

#: Longer ones are not read: each is read by all instances, beside requests.
_MAX_BROKEN_BYTES: Final = 16_384


class _StatedState(msgspec.Struct):
    state: str


class _StatedBirth(msgspec.Struct):
    born: WallTime = 0


def read_refused_upstream(key: str, raw: bytes) -> EntryRefused:
    """Read the state and the incarnation of a malformed entry.

    A state that the platform does not define keeps new work away, as does a
    departure in an entry whose syntax is broken. Without a state that can be
    read, the previous entry stays in force.
    """
    name = key.removeprefix(UPSTREAM_PREFIX)
    try:
        stated = decode_json(raw, _StatedState)
    except UndecodableError:
        return _read_broken(name, raw)
    intent = _INTENTS_BY_STATE.get(stated.state, RefusedIntent.PAUSES)
    return EntryRefused(name, intent, _read_birth(raw))


def _read_broken(name: str, raw: bytes) -> EntryRefused:
    """Read an entry that is nested too deep, or that is broken elsewhere.

    What a broken entry says may not be what was meant, so that it is never
    final: an entry that can be used ends it.
    """
    # Starts don't wait for a parser that is seldom needed.
    from cartdale.documents import read_members  # noqa: WPS433

    unchanged = EntryRefused(name, RefusedIntent.UNCHANGED)
    if len(raw) > _MAX_BROKEN_BYTES:
        return unchanged
    members = read_members(raw)
    texts_by_name = members.texts_by_name
    try:
        state = decode_json(texts_by_name.get('state', b''), str)
    except UndecodableError:
        return unchanged
    if members.whole:
        intent = _INTENTS_BY_STATE.get(state, RefusedIntent.PAUSES)
        return EntryRefused(name, intent, _decode_birth(texts_by_name))
    if state == STATE_DRAINING:
        return EntryRefused(name, RefusedIntent.PAUSES)
    return unchanged


def _decode_birth(texts_by_name: Mapping[str, bytes]) -> Millis:
    try:
        born: Millis = decode_json(texts_by_name.get('born', b'0'), int)
    except UndecodableError:
        return 0
    return born if born > 0 and not is_in_future(born) else 0


def _read_birth(raw: bytes) -> Millis:
    """Return the start of the incarnation; 0 if it can't be read or be one."""
    try:
        born = decode_json(raw, _StatedBirth).born
    except UndecodableError:
        return 0
    return 0 if is_in_future(born) else born
