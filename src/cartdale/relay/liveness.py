"""Say whether an upstream still lives, and how that is known."""

from dataclasses import dataclass
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.fleet.types import EngineReport


class LifeState(StrEnum):
    """State of the incarnation of an upstream that was sent a request."""

    ALIVE = 'alive'
    ENDED = 'ended'
    #: It could not be found out. This is neither of the others: who needs to
    #: know that it lives, or that it ended, does not know it.
    UNKNOWN = 'unknown'


class LifeEvidence(StrEnum):
    """Observation that decided a check."""

    #: A report of the same incarnation, or a response of a plain service.
    RESPONSE = 'response'
    #: A plain service keeps a connection open without a response yet.
    OPEN_CONNECTION = 'open connection'
    #: Another incarnation, or another upstream, answers at the address.
    OTHER_INCARNATION = 'other incarnation'
    OTHER_UPSTREAM = 'other upstream'
    #: A connection was closed without a response.
    CLOSED = 'closed'
    #: All who were asked say that connections are refused.
    REFUSED = 'refused'
    #: Connections of all who were asked get no answer, for longer than a sound
    #: upstream is silent, or not yet so long.
    UNREACHABLE = 'unreachable'
    UNANSWERED = 'unanswered'
    #: An engine accepts connections and does not respond.
    SILENT = 'silent'
    #: What answers for an engine is no report, or one that can't be told from
    #: that of another incarnation.
    NO_REPORT = 'no report'
    #: An engine answers, and nothing says which one it is.
    UNIDENTIFIED = 'unidentified'
    #: Perhaps only the path from here is at fault.
    PATH_UNCLEAR = 'path unclear'
    #: The instance that carried the question failed.
    INTERMEDIARY = 'intermediary failed'
    #: Too many checks wait already.
    NOT_ASKED = 'not asked'
    #: The check itself failed on an unexpected error.
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class LifeCheck:
    """Hold the result of a check.

    :param asked_at: when the question that decided it was sent.
    :param report: report of the engine that answers, if one was read.
    :param carrier: instance that carried the response; empty for none.
    """

    evidence: LifeEvidence
    asked_at: Millis
    report: EngineReport | None = None
    carrier: str = ''

    @property
    def state(self) -> LifeState:
        """Return what the evidence shows."""
        match self.evidence:
            case LifeEvidence.RESPONSE | LifeEvidence.OPEN_CONNECTION:
                return LifeState.ALIVE
            case (
                LifeEvidence.OTHER_INCARNATION
                | LifeEvidence.OTHER_UPSTREAM
                | LifeEvidence.CLOSED
                | LifeEvidence.REFUSED
                | LifeEvidence.UNREACHABLE
            ):
                return LifeState.ENDED
        return LifeState.UNKNOWN
