"""Track the planned stop of this instance and the work that waits for it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from cartdale.clock import SECOND_MS, Millis
from cartdale.stopping.decide import find_last_start
from cartdale.stopping.types import Work

#: Returns what is known of the work at the moment of the call.
FindWork = Callable[[], Work]


class PlannedStop:
    """Know when this instance cuts what it still does."""

    def __init__(self) -> None:
        self._stops_at: Millis | None = None
        self._finders_by_wait: dict[trio.CancelScope, FindWork] = {}

    def schedule(self, stops_at: Millis, now: Millis) -> None:
        """Begin the stop, or change when it cuts what is left.

        Waits for room end as soon as their work would no longer end in time.
        """
        self._stops_at = stops_at
        for wait, find_work in self._finders_by_wait.items():
            self._bound(wait, find_work, now)

    def time_left(self, now: Millis) -> Millis | None:
        """Return the time that is left; ``None`` if no stop has begun."""
        return None if self._stops_at is None else self._stops_at - now

    def allows(self, find_work: FindWork, now: Millis) -> bool:
        """Tell whether work that begins now ends in time.

        :param find_work: called during a stop only.
        """
        stops_at = self._stops_at
        return stops_at is None or now <= find_last_start(find_work(), stops_at)

    @contextmanager
    def bound_wait(self, find_work: FindWork, now: Millis) -> Iterator[None]:
        """Cancel the context once its work could not end in time any more.

        :param find_work: called during a stop only.
        """
        with trio.CancelScope() as wait:
            self._finders_by_wait[wait] = find_work
            self._bound(wait, find_work, now)
            try:
                yield
            finally:
                self._finders_by_wait.pop(wait)

    def _bound(
        self, wait: trio.CancelScope, find_work: FindWork, now: Millis
    ) -> None:
        if self._stops_at is not None:
            left = find_last_start(find_work(), self._stops_at) - now
            wait.deadline = trio.current_time() + left / SECOND_MS
