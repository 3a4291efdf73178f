"""Keep places for requests that were placed and are not sent yet."""

from collections import deque

from cartdale.clock import SECOND_MS, Millis

#: How long a place is kept while a request's connection comes up. One that
#: takes longer asks again as it is sent.
_KEPT: Millis = SECOND_MS // 4


class Reservations:
    """Count the requests for which something is kept."""

    def __init__(self) -> None:
        self._until: deque[Millis] = deque()

    def add(self, now: Millis) -> None:
        """Keep a place for one more."""
        self._until.append(now + _KEPT)

    def drop(self, now: Millis) -> None:
        """Take back the oldest, whose request is sent or held back."""
        if self.count(now):
            self._until.popleft()

    def count(self, now: Millis) -> int:
        """Return for how many a place is kept."""
        while self._until and self._until[0] <= now:
            self._until.popleft()
        return len(self._until)
