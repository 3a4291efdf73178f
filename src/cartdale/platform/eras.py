"""Keep the store's revisions rising over its returns from older copies.

The store may come back from a copy that is some seconds old: its revisions go
back and are given out again. Each time its answers name a new era. Inside
cartdale a revision is that of the store behind its era, so that whatever
compares revisions (watches, evacuations, conditions) stays right: what was
written in a later era is newer, whatever its number there.
"""

import httpcore

from cartdale.platform.names import HEADER_ERA

#: More than a store ever counts: at 400 writes a second, in a thousand years.
_REVISION_BITS = 44
_SPAN = 1 << _REVISION_BITS


def read_era(response: httpcore.Response) -> int:
    """Return the era that an answer names; 0 where the store counts none."""
    for name, text in response.headers:
        if name.lower() == HEADER_ERA.encode() and text.isdigit():
            return int(text)
    return 0


def encode_revision(revision: int, era: int) -> int:
    """Return a revision of the store as one that only rises."""
    return era * _SPAN + revision


def decode_revision(placed: int) -> int:
    """Return the number that the store knows a revision by."""
    return placed % _SPAN


def decode_era(placed: int) -> int:
    """Return the era that a revision belongs to."""
    return placed // _SPAN
