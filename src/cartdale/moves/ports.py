"""What the mover needs of a running generation."""

from typing import Protocol

from cartdale.moves.estimates import Departure


class MovableGeneration(Protocol):
    """Move one generation away from its engine."""

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""

    @property
    def upstream(self) -> str:
        """Return the id of the engine that runs it; empty for none."""

    @property
    def tokens(self) -> int:
        """Return the memory that it holds, in tokens."""

    @property
    def events(self) -> int:
        """Return how many events the caller got."""

    @property
    def most_left(self) -> int:
        """Return how many tokens it makes at the most from here."""

    @property
    def backup(self) -> str:
        """Return the id of the engine that keeps its backup; empty for none."""

    def lose_backup(self) -> None:
        """Count on its backup no more: the backup's engine leaves."""

    def stay(self) -> None:
        """Tell others that it needs no copy: it ends before the engine."""

    async def leave(self, departure: Departure) -> None:
        """Move away from the engine."""
