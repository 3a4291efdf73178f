"""Messages between an instance that serves a caller and a placer."""

from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.problems.types import NotRunReason
from cartdale.routing.types import Work


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Ask a placer for an engine; answered when the work may run.

    :param work: its times are relative to the sending, in milliseconds.
    """

    work: Work


@dataclass(frozen=True, slots=True)
class PlaceAnswer:
    """Name the engine, or say why the work did not run.

    :param upstream: empty for a refusal.
    """

    upstream: str = ''
    reason: NotRunReason = NotRunReason.NO_UPSTREAM
    retry_after: Millis = 0


@dataclass(frozen=True, slots=True)
class EndedWork:
    """Describe work that left its engine."""

    work_id: str
    produced: int
    finished: bool


@dataclass(frozen=True, slots=True)
class EndReport:
    """Tell a placer what ended, and which engines failed."""

    ended: tuple[EndedWork, ...] = ()
    failed: tuple[str, ...] = ()
