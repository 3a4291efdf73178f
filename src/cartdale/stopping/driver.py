"""Track the planned stop of this instance and the work that waits for it."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from cartdale.clock import SECOND_MS, Millis
from cartdale.stopping.decide import find_last_start
from cartdale.stopping.types import Work


class PlannedStop:
    """Know when this instance cuts what it still does."""

    def __init__(self) -> None:
        self._stops_at: Millis | None = None
        self._work_by_wait: dict[trio.CancelScope, Work] = {}

    def schedule(self, stops_at: Millis, now: Millis) -> None:
        """Begin the stop, or change when it cuts what is left.

        Waits for room end as soon as their work would no longer end in time.
        """
        self._stops_at = stops_at
        for wait, work in self._work_by_wait.items():
            self._bound(wait, work, now)

    def time_left(self, now: Millis) -> Millis | None:
        """Return the time that is left; ``None`` if no stop has begun."""
        return None if self._stops_at is None else self._stops_at - now

    def allows(self, work: Work, now: Millis) -> bool:
        """Tell whether work that begins now ends in time."""
        stops_at = self._stops_at
        return stops_at is None or now <= find_last_start(work, stops_at)

    @contextmanager
    def bound_wait(self, work: Work, now: Millis) -> Iterator[None]:
        """Cancel the context once its work could not end in time any more."""
        with trio.CancelScope() as wait:
            self._work_by_wait[wait] = work
            self._bound(wait, work, now)
            try:
                yield
            finally:
                self._work_by_wait.pop(wait)

    def _bound(self, wait: trio.CancelScope, work: Work, now: Millis) -> None:
        if self._stops_at is not None:
            left = find_last_start(work, self._stops_at) - now
            wait.deadline = trio.current_time() + left / SECOND_MS
