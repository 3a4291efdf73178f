"""Account for events of which only a part has been received."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from loguru import logger

from cartdale.pressure.types import HeldBytes, Holding


@dataclass(frozen=True, slots=True)
class _OpenEvent:
    """One incomplete event and how to give up its stream."""

    held: HeldBytes
    end: Callable[[], None]


@dataclass(eq=False, slots=True)
class IncompleteEvents:
    """Bound the bytes of all incomplete events together.

    :param count: of these bytes.
    :param ended: streams given up since the start.
    """

    count: int = 0
    ended: int = 0
    _open_by_held: dict[int, _OpenEvent] = field(default_factory=dict)

    @contextmanager
    def open(
        self, request_id: str, end: Callable[[], None]
    ) -> Iterator[HeldBytes]:
        """Account for the events of a stream while the context is open.

        :param end: gives the stream up.
        """
        held = HeldBytes(request_id, Holding.EVENT)
        self._open_by_held[id(held)] = _OpenEvent(held, end)
        try:
            yield held
        finally:
            self._open_by_held.pop(id(held), None)
            self.count -= held.count

    def resize(self, held: HeldBytes, size: int, limit: int) -> None:
        """Count the bytes of an event; the largest gives way to the others.

        :param limit: for all incomplete events together, in bytes.
        """
        self.count += size - held.count
        held.count = size
        while self.count > limit and self._open_by_held:
            self._end_largest(limit)

    def _end_largest(self, limit: int) -> None:
        largest = max(
            self._open_by_held.values(), key=lambda each: each.held.count
        )
        self._open_by_held.pop(id(largest.held))
        logger.warning(
            'event too large to be held',
            request=largest.held.request_id,
            held=largest.held.count,
            events=self.count,
            limit=limit,
        )
        self.ended += 1
        self.count -= largest.held.count
        largest.held.count = 0
        largest.end()
