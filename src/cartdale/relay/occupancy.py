"""Count a generation in the loads of the engines that it occupies."""

from collections.abc import Iterator
from contextlib import contextmanager

from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import UpstreamEntry
from cartdale.relay.request_needs import make_assignment
from cartdale.relay.targets import choose_backup
from cartdale.relay.types import RoutedRequest
from cartdale.scheduling.loads import Assignment, Load


class Occupancy:
    """Track the load of one generation at its engines.

    :param event_tokens: tokens per event.
    """

    def __init__(
        self, fleet: Fleet, routed: RoutedRequest, event_tokens: int
    ) -> None:
        self._fleet = fleet
        self._routed = routed
        self._event_tokens = event_tokens
        self._assignment: Assignment | None = None
        #: Its load at the target of a copy in progress.
        self._reserved: Assignment | None = None
        #: Events passed on to the caller, from all engines.
        self.events = 0

    @property
    def load(self) -> Load | None:
        """Return its load at the engine that runs it; ``None`` if none does."""
        return self._assignment.load() if self._assignment else None

    def assign(self, upstream: UpstreamEntry) -> None:
        """Count it at an engine, and no longer at the previous one."""
        self.release()
        self._assignment = self._make_assignment(upstream)
        self._fleet.loads.assign(self._assignment)
        self._fleet.announce()

    def release(self) -> None:
        """Stop counting it, and wake requests that wait for capacity."""
        if self._assignment is not None:
            self._fleet.loads.release(self._assignment)
            self._assignment = None
            self._fleet.notify()

    def end(self) -> None:
        """Stop counting it anywhere.

        A copy in progress is not resumed from, and its response may take
        seconds: requests that wait for capacity need not wait for it.
        """
        self._release_reserved()
        self.release()

    def choose_backup(
        self, source: UpstreamEntry, *, unframed: bool
    ) -> UpstreamEntry | None:
        """Return an engine for its backup, if any, and count it there.

        :param unframed: whether streams of the service have no framing.
        """
        chosen = choose_backup(
            self._fleet, self._routed, source, unframed=unframed
        )
        if chosen is not None and self._assignment is not None:
            self._assignment.backup = chosen.upstream
        return chosen

    def exempt(self) -> None:
        """Note that other generations need not wait for its copy.

        It stops now, ends before its engine, or finds no capacity elsewhere.
        """
        if self._assignment is not None and not self._assignment.exempt:
            self._fleet.loads.exempt(self._assignment)
            self._fleet.notify()

    def lose_backup(self) -> None:
        """Stop counting its backup."""
        if self._assignment is not None:
            self._assignment.backup = ''

    def advance(self) -> None:
        """Count an event passed on to the caller."""
        self.events += 1
        if self._assignment is not None:
            self._assignment.advance(self._event_tokens)

    @contextmanager
    def reserve(self, target: UpstreamEntry) -> Iterator[None]:
        """Count it at its target too while it is copied there.

        Generations that wait to leave the same engine are notified that its
        link is in use.
        """
        reserved = self._make_assignment(target)
        source = self._assignment
        self._reserved = reserved
        self._fleet.loads.assign(reserved)
        if source is not None:
            self._fleet.loads.mark_copying(source, copying=True)
        self._fleet.notify()
        try:
            yield
        finally:
            self._release_reserved()
            if source is not None:
                self._fleet.loads.mark_copying(source, copying=False)

    def _release_reserved(self) -> None:
        if self._reserved is not None:
            self._fleet.loads.release(self._reserved)
            self._reserved = None

    def _make_assignment(self, upstream: UpstreamEntry) -> Assignment:
        made = self.events * self._event_tokens
        return make_assignment(self._routed, upstream, made)
