"""The interface of a running generation that the mover uses."""

from typing import Protocol

from cartdale.moves.estimates import Departure


class MovableGeneration(Protocol):
    """A generation that can be moved off its engine."""

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""

    @property
    def upstream(self) -> str:
        """Return the id of the engine that runs it; empty for none."""

    @property
    def tokens(self) -> int:
        """Return the size of its memory in tokens."""

    @property
    def events(self) -> int:
        """Return the number of events that the caller received."""

    @property
    def most_left(self) -> int:
        """Return the maximum number of tokens that it still generates."""

    @property
    def backup(self) -> str:
        """Return the id of the engine that keeps its backup; empty for none."""

    def lose_backup(self) -> None:
        """Drop its backup, since the backup's engine is leaving."""

    def stay(self) -> None:
        """Announce that it needs no copy, since it ends before the engine."""

    async def leave(self, departure: Departure) -> None:
        """Move off the engine."""
