"""Reserve capacity for requests that were placed but not sent yet."""

from collections import deque

from cartdale.clock import SECOND_MS, Millis

#: How long a reservation lasts while a request's connection is established. A
#: request that takes longer is checked again when it is sent.
_KEPT: Millis = SECOND_MS // 4


class Reservations:
    """Count the requests with a reservation."""

    def __init__(self) -> None:
        self._until: deque[Millis] = deque()

    def add(self, now: Millis) -> None:
        """Add a reservation for one request."""
        self._until.append(now + _KEPT)

    def drop(self, now: Millis) -> None:
        """Drop the oldest, whose request is sent or withheld."""
        if self.count(now):
            self._until.popleft()

    def count(self, now: Millis) -> int:
        """Return the number of unexpired reservations."""
        while self._until and self._until[0] <= now:
            self._until.popleft()
        return len(self._until)
