"""Measure how one generation goes at the engine that it began at."""

from cartdale.clock import Clock, Millis
from cartdale.fleet.driver import Fleet
from cartdale.fleet.pace import Progress


class PaceMeter:
    """Time a generation's events, and tell the fleet once it has left.

    :param service: whose engines are timed.
    :param event_tokens: tokens that an event holds.
    """

    def __init__(
        self, fleet: Fleet, clock: Clock, service: str, event_tokens: int
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._service = service
        self._event_tokens = event_tokens
        self._read = 0
        self._sent_at: Millis = 0
        self._first_at: Millis = 0
        self._last_at: Millis = 0
        self._events = 0

    def begin(self, read: int) -> None:
        """Start when the generation is sent.

        :param read: tokens of its prompt, and of those that wait before it.
        """
        self._read = read
        self._sent_at = self._clock.now()
        self._events = 0

    def advance(self) -> None:
        """Count an event."""
        self._last_at = self._clock.now()
        if not self._events:
            self._first_at = self._last_at
        self._events += 1

    def end(self) -> None:
        """Tell what was seen, if there was anything."""
        if not self._events:
            return
        progress = Progress(
            read=self._read,
            first_after=self._first_at - self._sent_at,
            events=self._events - 1,
            span=self._last_at - self._first_at,
            event_tokens=self._event_tokens,
        )
        self._events = 0
        self._fleet.note_progress(self._service, progress)
