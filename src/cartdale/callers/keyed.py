"""Admit requests by their idempotency keys."""

from dataclasses import dataclass
from secrets import token_hex

from returns.result import Failure, Result, Success

from cartdale.clock import SECOND_MS, Millis
from cartdale.ledger.claims import Claimer
from cartdale.ledger.keys import LONGEST_KEY, read_key_time
from cartdale.ledger.types import (
    Claim,
    ClaimAnswer,
    KeptAnswer,
    RecordPhase,
    Release,
    Settle,
    Verdict,
)
from cartdale.problems.types import (
    BadRequest,
    InProgress,
    KeyConflict,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    Problem,
)

HEADER_KEY = 'Idempotency-Key'
_CLAIM_BYTES = 8
_RETRY_AFTER: Millis = SECOND_MS
_OWNER_RETRY: Millis = 5 * SECOND_MS
_SEPARATOR = '\x1f'


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Parts of a request that its idempotency key binds.

    :param once: whether the request must not run a second time.
    """

    customer: str
    service: str
    key: str
    body_digest: str
    once: bool


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to run a request.

    :param key: customer, service and key, joined; empty without a key.
    :param fence: fencing epoch for upstreams that check it; 0 for none.
    """

    key: str = ''
    claim_id: str = ''
    fence: int = 0


@dataclass(frozen=True, slots=True)
class Replay:
    """Kept response of a key whose request has run or is running."""

    answer: KeptAnswer


Admission = Grant | Replay


class KeyGuard:
    """Admit each key once and report the outcome to the key's owner."""

    def __init__(self, claimer: Claimer) -> None:
        self._claimer = claimer

    async def admit(
        self, keyed_request: KeyedRequest
    ) -> Result[Admission, Problem]:
        """Claim the key; grant a request without a key unconditionally."""
        if not keyed_request.key:
            return Success(Grant())
        invalid = _validate(keyed_request)
        if invalid is not None:
            return Failure(invalid)
        parts = (
            keyed_request.customer,
            keyed_request.service,
            keyed_request.key,
        )
        claim = Claim(
            key=_SEPARATOR.join(parts),
            claim_id=token_hex(_CLAIM_BYTES),
            body_digest=keyed_request.body_digest,
            key_wall_ms=read_key_time(keyed_request.key),
            once=keyed_request.once,
        )
        answer = await self._claimer.claim(claim)
        match answer:
            case Success(claim_answer):
                return _apply_verdict(claim, claim_answer)
        return _admit_without_owner(keyed_request)

    async def settle(
        self, grant: Grant, phase: RecordPhase, answer: KeptAnswer | None
    ) -> None:
        """Report the phase and the response of an admitted request."""
        if grant.key:
            settled = Settle(grant.key, grant.claim_id, phase, answer)
            await self._claimer.report(settled)

    async def release(self, grant: Grant) -> None:
        """Release the key of a request that was certainly not executed."""
        if grant.key:
            await self._claimer.report(Release(grant.key, grant.claim_id))


def _validate(keyed_request: KeyedRequest) -> BadRequest | None:
    if len(keyed_request.key) > LONGEST_KEY or _SEPARATOR in keyed_request.key:
        return BadRequest(HEADER_KEY, f'at most {LONGEST_KEY} characters')
    if keyed_request.once and not read_key_time(keyed_request.key):
        return BadRequest(
            HEADER_KEY, 'a UUID version 7, as this service never repeats'
        )
    return None


def _admit_without_owner(
    keyed_request: KeyedRequest,
) -> Result[Admission, Problem]:
    if keyed_request.once:
        return Failure(NotRun(NotRunReason.NO_OWNER, _OWNER_RETRY))
    # The request is safe to repeat, so availability comes before
    # deduplication.
    return Success(Grant())


def _apply_verdict(
    claim: Claim, answer: ClaimAnswer
) -> Result[Admission, Problem]:
    match answer.verdict:
        case Verdict.GRANTED:
            return Success(Grant(claim.key, claim.claim_id, answer.fence))
        case Verdict.RUNNING | Verdict.FINISHED:
            return _make_replay(answer)
        case Verdict.CONFLICT:
            return Failure(KeyConflict())
        case Verdict.KEY_AHEAD:
            return Failure(
                BadRequest(HEADER_KEY, 'a key whose time is not ahead')
            )
        case Verdict.UNKNOWN | Verdict.NOT_OWNER:
            return Failure(
                OutcomeUnknown('this key may have run before; its fate is lost')
            )


def _make_replay(answer: ClaimAnswer) -> Result[Admission, Problem]:
    if answer.answer is not None:
        return Success(Replay(answer.answer))
    if answer.verdict is Verdict.RUNNING:
        return Failure(InProgress(_RETRY_AFTER))
    return Failure(OutcomeUnknown('it ran; its answer was too large to keep'))
