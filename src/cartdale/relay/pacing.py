"""Measure the pace of one generation at its engines."""

from cartdale.clock import Clock, Millis
from cartdale.fleet.driver import Fleet
from cartdale.relay.recent_times import RecentTimes
from cartdale.scheduling.pace import Progress
from cartdale.speeds.windows import GenerationTimer

#: Events after the first, over which the time of a token is measured.
_EARLY_EVENTS = 10


class PaceMeter:
    """Time a generation's events, and report to the fleet.

    The pace of the service is reported at the end at the first engine, the
    speed of each engine during the generation. The time of a token is recorded
    once some events have come.

    :param service: service whose engines are timed.
    :param event_tokens: tokens per event.
    :param token_times: records the time of a token.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        service: str,
        event_tokens: int,
        token_times: RecentTimes,
    ) -> None:
        self._fleet = fleet
        self._token_times = token_times
        self._clock = clock
        self._service = service
        self._event_tokens = event_tokens
        self._tokens_to_read = 0
        self._sent_at: Millis = 0
        self._first_at: Millis = 0
        self._last_at: Millis = 0
        self._events = 0
        #: Whether its caller delayed any events.
        self._delayed = False
        self._timer = GenerationTimer(fleet.speeds, event_tokens)

    def begin(self, tokens_to_read: int) -> None:
        """Start when the generation is sent.

        :param tokens_to_read: prompt tokens that its engine reads before the
            first event: its own and those queued ahead of it.
        """
        self._tokens_to_read = tokens_to_read
        self._sent_at = self._clock.now()
        self._events = 0

    def advance(self) -> None:
        """Count an event of the first engine."""
        self._last_at = self._clock.now()
        if not self._events:
            self._first_at = self._last_at
        if self._events == _EARLY_EVENTS and not self._delayed:
            tokens = self._events * self._event_tokens
            span = self._last_at - self._first_at
            self._token_times.note(self._service, span / tokens)
        self._events += 1

    def time_event(self, upstream: str) -> None:
        """Count an event for the speed of the engine that generated it."""
        self._timer.add(upstream, self._clock.now())

    def skip(self) -> None:
        """Note that the events so far were delayed by their caller."""
        self._delayed = True
        self._timer.skip()

    def end(self) -> None:
        """Report the measured progress, if any event was received."""
        self._timer.end(self._clock.now())
        if not self._events:
            return
        progress = Progress(
            read=self._tokens_to_read,
            first_after=self._first_at - self._sent_at,
            events=self._events - 1,
            span=self._last_at - self._first_at,
            event_tokens=self._event_tokens,
        )
        self._events = 0
        self._fleet.note_progress(self._service, progress)
