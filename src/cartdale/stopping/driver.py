"""Track the planned stop of this instance, and the requests that it bounds."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import trio

from cartdale.clock import SECOND_MS, Millis
from cartdale.formatting import Plain
from cartdale.stopping.decide import find_last_start
from cartdale.stopping.types import Schedule, Work

#: Returns what is known of the work at the moment of the call.
FindWork = Callable[[], Work]


class Response(Protocol):
    """A response to a caller."""

    @property
    def started(self) -> bool:
        """Return whether its head is being sent, or was."""


class PlannedStop:
    """Know when this instance cuts what it still does."""

    def __init__(self) -> None:
        self._schedule: Schedule | None = None
        self._finders_by_wait: dict[trio.CancelScope, FindWork] = {}
        self._responses_by_answer: dict[trio.CancelScope, Response] = {}
        #: Whether what still runs is about to be cut.
        self._ended = False

    def schedule(
        self,
        sure_from: Millis,
        stops_at: Millis,
        now: Millis,
        *,
        has_others: bool = False,
    ) -> None:
        """Begin the stop, or change when it cuts what is left.

        Waits for room end as soon as their work would no longer end in time.

        :param sure_from: from then on nothing begins by an assumed time.
        :param stops_at: when what still runs is cut.
        :param has_others: whether another instance serves meanwhile.
        """
        self._schedule = Schedule(sure_from, stops_at, has_others)
        for wait, find_work in self._finders_by_wait.items():
            self._bound(wait, find_work, now)

    def describe(self, now: Millis) -> dict[str, Plain]:
        """Return the time that is left, for a log line, if a stop began."""
        schedule = self._schedule
        return {} if schedule is None else {'stops_in': schedule.stops_at - now}

    def allows(self, find_work: FindWork, now: Millis) -> bool:
        """Tell whether work that begins now ends in time.

        :param find_work: called during a stop only.
        """
        schedule = self._schedule
        return schedule is None or now <= find_last_start(find_work(), schedule)

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

    async def bound_answer(
        self, response: Response, respond: Callable[[], Awaitable[None]]
    ) -> bool:
        """Respond to a request; tell whether the stop ended before that.

        A response that has begun by then can only be cut.
        """
        if self._ended:
            return True
        answer = trio.CancelScope()
        self._responses_by_answer[answer] = response
        try:
            with answer:
                await respond()
        finally:
            self._responses_by_answer.pop(answer)
        return answer.cancelled_caught

    def end(self) -> None:
        """Cancel what has no response yet, and respond to nothing more."""
        self._ended = True
        for answer, response in self._responses_by_answer.items():
            if not response.started:
                answer.cancel()

    def _bound(
        self, wait: trio.CancelScope, find_work: FindWork, now: Millis
    ) -> None:
        if self._schedule is not None:
            left = find_last_start(find_work(), self._schedule) - now
            wait.deadline = trio.current_time() + left / SECOND_MS
