"""Refusals as data, and their RFC 9457 form."""

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis


class NotRunReason(StrEnum):
    """Say why a request certainly did not run."""

    NO_UPSTREAM = 'no upstream accepts work'
    QUEUE_FULL = 'the queue is full'
    DEADLINE = 'the wait would exceed the deadline'
    LEAVING = 'this instance is leaving'
    REFUSED = 'the upstream refused before running it'
    NO_OWNER = 'the owner of this idempotency key cannot be reached'
    QUARANTINED = 'upstreams ended as they began to run this request'
    NOT_CURRENT = 'a newer configuration is being fetched'
    HELD_BYTES = 'this instance holds too much for slow peers'
    FAILED = 'this instance failed before it sent the request'
    UNWRITABLE = 'no upstream can be sent its headers or its target'
    NOT_READY = 'no configuration is in force on this instance yet'


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run; it is safe to send again."""

    reason: NotRunReason
    retry_after: Millis


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may or may not have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class EndedEarly:
    """The stream stopped; what was delivered is a true prefix.

    :param delivered: number of tokens delivered.
    """

    delivered: int


@dataclass(frozen=True, slots=True)
class Limited:
    """A limit of the customer or the service was reached."""

    limit: str
    retry_after: Millis


@dataclass(frozen=True, slots=True)
class Unauthorised:
    """The credentials are missing, unknown or not for this service."""


@dataclass(frozen=True, slots=True)
class BadRequest:
    """The request cannot be understood.

    :param field: the header or body field at fault.
    :param expected: what would have been accepted.
    """

    field: str
    expected: str


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """The idempotency key was used before with another body."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt with the same key is running."""

    retry_after: Millis


Problem = (
    NotRun
    | InProgress
    | OutcomeUnknown
    | EndedEarly
    | Limited
    | Unauthorised
    | BadRequest
    | KeyConflict
)


@dataclass(frozen=True, slots=True)
class ProblemDocument:
    """Carry the fields of an RFC 9457 problem document.

    :param retry_after: seconds for the Retry-After header; 0 for none.
    """

    type: str
    title: str
    status: int
    detail: str
    retry_after: int = 0


_TYPE_PREFIX = 'urn:cartdale:problem:'


def _round_up(duration: Millis) -> int:
    return max(1, -(-duration // SECOND_MS))


def describe(problem: Problem) -> ProblemDocument:
    """Translate a refusal to the document that a caller receives."""
    match problem:
        case NotRun(reason=reason, retry_after=wait):
            return ProblemDocument(
                f'{_TYPE_PREFIX}not-run',
                'Not run',
                HTTPStatus.SERVICE_UNAVAILABLE,
                reason.value,
                _round_up(wait),
            )
        case OutcomeUnknown(detail=detail):
            return ProblemDocument(
                f'{_TYPE_PREFIX}outcome-unknown',
                'Outcome unknown',
                HTTPStatus.BAD_GATEWAY,
                detail,
            )
        case EndedEarly(delivered=delivered):
            return ProblemDocument(
                f'{_TYPE_PREFIX}ended-early',
                'Ended early',
                HTTPStatus.BAD_GATEWAY,
                f'{delivered} tokens were delivered and are a true prefix',
            )
        case Limited(limit=limit, retry_after=wait):
            return ProblemDocument(
                f'{_TYPE_PREFIX}limited',
                'Limited',
                HTTPStatus.TOO_MANY_REQUESTS,
                f'limit reached: {limit}',
                _round_up(wait),
            )
        case Unauthorised():
            return ProblemDocument(
                f'{_TYPE_PREFIX}unauthorised',
                'Unauthorised',
                HTTPStatus.UNAUTHORIZED,
                'a valid key for this service is required',
            )
        case BadRequest(field=field, expected=expected):
            return ProblemDocument(
                f'{_TYPE_PREFIX}bad-request',
                'Bad request',
                HTTPStatus.BAD_REQUEST,
                f'{field}: expected {expected}',
            )
        case KeyConflict():
            return ProblemDocument(
                f'{_TYPE_PREFIX}key-conflict',
                'Idempotency key conflict',
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'this key was used with another request body',
            )
        case InProgress(retry_after=wait):
            return ProblemDocument(
                f'{_TYPE_PREFIX}in-progress',
                'In progress',
                HTTPStatus.CONFLICT,
                'a request with this key is running',
                _round_up(wait),
            )
        case _:
            assert_never(problem)
