"""Receive a link's events within the account of bytes held."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from cartdale.pressure.driver import Account
from cartdale.pressure.types import MAX_EVENT, HeldBytes
from cartdale.relay.frames import EventFrames

#: Smaller parts of events are not counted: there is one for each stream.
_COUNTED_FROM: Final = 8192


class EventIntake:
    """Split the bytes of one link into events, and bound those held.

    :param account: of the bytes held; ``None`` for none.
    :param stop_reading: cancels the read in progress, if any.
    """

    def __init__(
        self, account: Account | None, stop_reading: Callable[[], None]
    ) -> None:
        self._account = account
        self._stop_reading = stop_reading
        self._frames = EventFrames()
        self._held: HeldBytes | None = None
        self._is_exceeded = False

    @property
    def pending(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return self._frames.pending

    def is_exceeded(self) -> bool:
        """Tell whether the incomplete event is too large to be held."""
        return self._is_exceeded

    @contextmanager
    def open(self, request_id: str) -> Iterator['EventIntake']:
        """Account for the events of a request while the context is open."""
        if self._account is None:
            yield self
            return
        events = self._account.events
        with events.open(request_id, self._give_way) as held:
            self._held = held
            yield self

    def feed(self, received: bytes) -> list[bytes]:
        """Append bytes and return the events that are complete."""
        events = self._frames.feed(received)
        size = self._frames.pending_size
        if size > MAX_EVENT:
            self._give_way()
        elif self._account is not None and self._held is not None:
            self._count(self._account, self._held, size)
        return events

    def _count(self, account: Account, held: HeldBytes, size: int) -> None:
        counted = size if size >= _COUNTED_FROM else 0
        if counted != held.count:
            account.events.resize(held, counted, account.limits.events)

    def _give_way(self) -> None:
        self._is_exceeded = True
        self._frames = EventFrames()
        self._stop_reading()
