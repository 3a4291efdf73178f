"""Time the events of a generation so that pauses and moments don't count."""

from statistics import median
from typing import Protocol

from cartdale.clock import Millis

#: Events of a group; some arrive together, if the instance was busy.
_GROUP_EVENTS = 3
_WINDOW_GROUPS = 3
#: Number of last windows of a generation that are compared.
_COMPARED = 9
#: The lower quartile of the windows counts as typical: moments of which no
#: sample is known are rather slow than fast, and may follow one another.
_QUARTER = 4
#: Number of windows from which some are compared before they are reported.
_MIN_COMPARED = 4
#: Ratio of a window to the typical one from which it is bounded. A slow moment
#: changes the time by more.
_MAX_DEVIATION = 1.15


class TokenTimes(Protocol):
    """Take the time of a token at an upstream."""

    def find_usual(
        self, upstream: str, took: float, middle: Millis
    ) -> float | None:
        """Return a time under usual conditions; ``None`` if not learnt."""

    def note_token_time(
        self, upstream: str, usual: float, middle: Millis, now: Millis
    ) -> None:
        """Record a time under usual conditions."""


class GenerationTimer:
    """Measure the time of a token over windows of some ten events.

    A window is divided into groups of which the median counts: a pause for a
    prompt that is read beside it lengthens one group only. A window that takes
    much longer than others of the same generation lies in a slow moment.

    :param event_tokens: tokens per event.
    """

    def __init__(self, token_times: TokenTimes, event_tokens: int) -> None:
        self._token_times = token_times
        self._event_tokens = max(event_tokens, 1)
        self._upstream = ''
        self._events_at: list[Millis] = []
        self._windows: list[float] = []
        #: Windows that were not reported yet, and their middles.
        self._pending: list[tuple[float, Millis]] = []

    def skip(self) -> None:
        """Begin a new window, since the events were delayed by their caller."""
        self._events_at = []

    def add(self, upstream: str, now: Millis) -> None:
        """Count an event.

        :param upstream: where it was generated.
        """
        self._follow(upstream)
        self._events_at.append(now)
        if len(self._events_at) <= _GROUP_EVENTS * _WINDOW_GROUPS:
            return
        marks = self._events_at[::_GROUP_EVENTS]
        self._events_at = [now]
        spans = [
            later - earlier
            for earlier, later in zip(marks, marks[1:], strict=False)
        ]
        took = median(spans) / _GROUP_EVENTS / self._event_tokens
        self.add_window(upstream, took, (marks[0] + now) // 2, now)

    def add_window(
        self, upstream: str, took: float, middle: Millis, now: Millis
    ) -> None:
        """Count a window of events.

        :param took: milliseconds per token.
        :param middle: time of its middle.
        """
        self._follow(upstream)
        usual = self._token_times.find_usual(upstream, took, middle)
        if usual is None or usual <= 0:
            return
        self._windows = [*self._windows[1 - _COMPARED :], usual]
        self._pending.append((usual, middle))
        if len(self._windows) >= _MIN_COMPARED:
            self._report(now)

    def end(self, now: Millis) -> None:
        """Report the windows of a generation that has ended."""
        if self._pending:
            self._report(now)

    def _report(self, now: Millis) -> None:
        """Report the pending windows, bounded by the typical one."""
        typical = sorted(self._windows)[len(self._windows) // _QUARTER]
        least, most = typical / _MAX_DEVIATION, typical * _MAX_DEVIATION
        for usual, middle in self._pending:
            self._token_times.note_token_time(
                self._upstream, min(max(usual, least), most), middle, now
            )
        self._pending = []

    def _follow(self, upstream: str) -> None:
        """Begin anew if the generation moved."""
        if upstream != self._upstream:
            self._upstream = upstream
            self._events_at = []
            self._windows = []
            self._pending = []
