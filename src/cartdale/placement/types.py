"""Messages between the instance that serves a caller and a placer."""

from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.problems.types import NotRunReason
from cartdale.routing.types import Work


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Request an engine from a placer; answered when the work may run.

    :param work: its times are relative to the time of sending, in
        milliseconds.
    """

    work: Work


@dataclass(frozen=True, slots=True)
class PlaceAnswer:
    """The chosen engine, or the reason for a refusal.

    :param upstream: empty for a refusal.
    """

    upstream: str = ''
    reason: NotRunReason = NotRunReason.NO_UPSTREAM
    retry_after: Millis = 0


@dataclass(frozen=True, slots=True)
class EndedWork:
    """Work that ended on its engine."""

    work_id: str
    produced: int
    finished: bool


@dataclass(frozen=True, slots=True)
class EndReport:
    """Report ended work and failed engines to a placer."""

    ended: tuple[EndedWork, ...] = ()
    failed: tuple[str, ...] = ()
