"""Tell the incarnations of an upstream apart, and which of two is later.

The start that an upstream states tells its incarnations apart, but does not
order them: the clocks of machines differ, and are set back. Within an era of
the store the revision at which an incarnation wrote the upstream's key does.
"""

from typing import Protocol

from cartdale.clock import Millis
from cartdale.ranges import REVISION_BITS


class Incarnation(Protocol):
    """Anything that concerns one incarnation of an upstream."""

    @property
    def born(self) -> Millis:
        """Return its start; 0 if unknown."""

    @property
    def revision(self) -> int:
        """Return a revision of the store at which it wrote; 0 if unknown."""


def is_other(one: Incarnation, other: Incarnation) -> bool:
    """Tell whether two incarnations are known to differ."""
    return bool(one.born and other.born) and one.born != other.born


def is_earlier(
    one: Incarnation, other: Incarnation, *, settled: bool = False
) -> bool:
    """Tell whether an incarnation is known to be earlier than another.

    Revisions of different eras prove nothing unless the first is settled: a
    copy of the store that was restored carries entries of before into its era.
    If the era of the other is the later one, it was wrong.

    :param settled: whether the first wrote in the era of its revision.
    """
    if not is_other(one, other):
        return False
    if one.revision and other.revision and one.revision != other.revision:
        era, other_era = _find_era(one.revision), _find_era(other.revision)
        if era == other_era:
            return one.revision < other.revision
        if settled:
            return False
    return one.born < other.born


def _find_era(revision: int) -> int:
    return revision >> REVISION_BITS
