"""Keep the store's revisions monotonic when it is restored from a copy.

The store may be restored from a copy that is some seconds old: its revisions go
back, and are assigned again. After each restore its responses carry a new era.
Inside cartdale a revision is the store's revision prefixed by the era, so that
comparisons of revisions (watches, evacuations, conditions) stay correct: a
write in a later era is newer, whatever its revision there.
"""

import httpcore

from cartdale.platform.names import HEADER_ERA

#: More than a store ever uses: enough for 400 writes per second over a thousand
#: years.
_REVISION_BITS = 44
_REVISIONS_PER_ERA = 1 << _REVISION_BITS


def read_era(response: httpcore.Response) -> int:
    """Return the era of a response; 0 if the store sends none."""
    for name, text in response.headers:
        if name.lower() == HEADER_ERA.encode() and text.isdigit():
            return int(text)
    return 0


def encode_revision(revision: int, era: int) -> int:
    """Return a monotonic revision from the store's revision and its era."""
    return era * _REVISIONS_PER_ERA + revision


def decode_revision(encoded: int) -> int:
    """Return the store's own number of a revision."""
    return encoded % _REVISIONS_PER_ERA


def decode_era(encoded: int) -> int:
    """Return the era of a revision."""
    return encoded // _REVISIONS_PER_ERA
