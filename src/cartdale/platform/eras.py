"""Keep the store's revisions monotonic when it is restored from a copy.

The store may be restored from a copy that is some seconds old: its revisions go
back, and are assigned again. After each restore its responses carry a new era.
Inside cartdale a revision is the store's revision prefixed by the era, so that
comparisons of revisions (watches, evacuations, conditions) stay correct: a
write in a later era is newer, whatever its revision there.
"""

from http import HTTPStatus

import httpcore
from loguru import logger

from cartdale.codec import decode_integer
from cartdale.exceptions import UndecodableError
from cartdale.platform.names import HEADER_ERA
from cartdale.ranges import LARGEST_ERA, REVISION_BITS

_REVISIONS_PER_ERA = 1 << REVISION_BITS
#: Responses in a row that prove that a later era was wrong.
_REPEATS_FOR_PROOF = 3


class EraTracker:
    """Follow the era that a store's responses name.

    A later one counts at once. An earlier one counts after several responses
    in a row to calls that began after the later one was read: that one was
    wrong. Single ones may be responses that were overtaken.
    """

    def __init__(self) -> None:
        self.current = 0
        #: How often it has changed; calls note it as they begin.
        self.changes = 0
        self._earlier = 0
        self._repeats = 0

    def update(self, response: httpcore.Response, changes: int) -> None:
        """Take over the era of a response.

        :param changes: as the call began.
        """
        era = read_era(response)
        if era > self.current:
            logger.warning(
                'store came back older', era=era, before=self.current
            )
            self._change(era)
        elif era == self.current:
            self._repeats = 0
        elif (
            changes == self.changes
            and response.status < HTTPStatus.MULTIPLE_CHOICES
        ):
            self._count_earlier(era)

    def _count_earlier(self, era: int) -> None:
        self._repeats = self._repeats + 1 if era == self._earlier else 1
        self._earlier = era
        if self._repeats >= _REPEATS_FOR_PROOF:
            logger.warning('store era was wrong', era=era, before=self.current)
            self._change(era)

    def _change(self, era: int) -> None:
        self.current = era
        self.changes += 1
        self._repeats = 0


def read_era(response: httpcore.Response) -> int:
    """Return the era of a response; 0 if the store sends none.

    A larger one than revisions can carry is none: no later one would be newer.
    """
    for name, text in response.headers:
        if name.lower() != HEADER_ERA.encode() or not text.isdigit():
            continue
        try:
            era = decode_integer(text)
        except UndecodableError:
            return 0
        return era if era <= LARGEST_ERA else 0
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
