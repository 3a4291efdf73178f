"""Remember which callers were told to return, and when.

News carry a few bytes for each: the start of a digest of the request, and the
time until it is due. Any instance then recognises a caller who comes back.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil

from cartdale.clock import SECOND_MS, Millis

#: Bytes of the digest that news carry; another request has the same by chance
#: once in seventeen million times.
DIGEST_BYTES = 3
_ENTRY_BYTES = DIGEST_BYTES + 1
#: Unit of the time until a return is due, so that a byte suffices.
_UNIT: Millis = 50
_LONGEST = 255
#: Entries of an instance, and of a failure domain.
MAX_TOLD = 96
MAX_DOMAIN_TOLD = 384
#: A caller counts as returned as told if it comes at most this early, for the
#: unit above and the time that its answer took,
_EARLY: Millis = 150
#: and at most this late.
_LATE: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class Told:
    """Record that a caller was told to return.

    :param due: when it is to return.
    """

    due: Millis
    given_at: Millis
    priority: int


def shorten(identity: bytes) -> bytes:
    """Return the part of a request's identity that news carry."""
    return identity[:DIGEST_BYTES]


def is_on_time(due: Millis, now: Millis) -> bool:
    """Tell whether a caller that was told to return at a time does so."""
    return due - _EARLY <= now <= due + _LATE


def is_over(due: Millis, now: Millis) -> bool:
    """Tell whether a return is not expected any more."""
    return now > due + _LATE


def write_told(
    due_by_digest: Iterable[tuple[bytes, Millis]], now: Millis, most: int
) -> bytes:
    """Return the returns that are due first, for news."""
    first = sorted(due_by_digest, key=_get_due)[:most]
    return b''.join(
        digest + bytes((_count_units(due - now),)) for digest, due in first
    )


def read_told(told: bytes, at: Millis) -> Iterator[tuple[bytes, Millis]]:
    """Return the digests in news, and when each is due.

    Those that are overdue by an unknown time count as due when the news came.
    """
    length = min(len(told), MAX_DOMAIN_TOLD * _ENTRY_BYTES)
    for start in range(0, length - _ENTRY_BYTES + 1, _ENTRY_BYTES):
        entry = told[start : start + _ENTRY_BYTES]
        yield entry[:DIGEST_BYTES], at + entry[DIGEST_BYTES] * _UNIT


def merge_told(parts: Iterable[tuple[bytes, Millis]], now: Millis) -> bytes:
    """Merge what several instances told, given when each was heard."""
    due_by_digest: dict[bytes, Millis] = {}
    for told, at in parts:
        due_by_digest.update(read_told(told, at))
    return write_told(due_by_digest.items(), now, MAX_DOMAIN_TOLD)


def _count_units(left: Millis) -> int:
    return min(max(ceil(left / _UNIT), 0), _LONGEST)


def _get_due(entry: tuple[bytes, Millis]) -> Millis:
    return entry[1]
