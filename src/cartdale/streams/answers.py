"""Input of a delivery, and the items that it yields to the caller."""

from dataclasses import dataclass

from cartdale.engines.types import GenerationRequest
from cartdale.problems.types import EndedEarly, OutcomeUnknown, Problem
from cartdale.quarantine.identity import Fingerprint
from cartdale.reports.types import Outcome
from cartdale.routing.types import Work
from cartdale.streams.position import Position


@dataclass(frozen=True, slots=True)
class DeliveryRequest:
    """A caller's request for a streamed response.

    :param position: resume position, for a resumed response.
    :param fingerprint: identifies all submissions of the same request.
    """

    work: Work
    generation: GenerationRequest
    may_repeat: bool
    customer: str
    body_digest: str
    position: Position | None = None
    fingerprint: Fingerprint = Fingerprint(b'')


@dataclass(frozen=True, slots=True)
class Chunk:
    """One chunk for the caller with its resume position."""

    position: str
    payload: str


@dataclass(frozen=True, slots=True)
class Completed:
    """The response is complete."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The response ended with a problem."""

    problem: Problem


Batch = tuple[Chunk, ...] | Completed | Broken


def choose_outcome(last: Completed | Broken | None) -> Outcome:
    """Return the outcome of a response, for the measurements."""
    match last:
        case None:
            return Outcome.CALLER_LEFT
        case Completed():
            return Outcome.COMPLETE
        case Broken(problem=EndedEarly()):
            return Outcome.ENDED_EARLY
        case Broken(problem=OutcomeUnknown()):
            return Outcome.UNKNOWN
        case Broken():
            return Outcome.REFUSED
