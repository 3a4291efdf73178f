"""Guard a request by its idempotency key."""

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
    """Describe a request that carries an idempotency key.

    :param once: whether it must not run a second time.
    """

    customer: str
    service: str
    key: str
    body_digest: str
    once: bool


@dataclass(frozen=True, slots=True)
class Grant:
    """Allow one attempt.

    :param key: customer, service and key together; empty without a key.
    :param fence: epoch for upstreams that check it; 0 for none.
    """

    key: str = ''
    claim_id: str = ''
    fence: int = 0


@dataclass(frozen=True, slots=True)
class Repeated:
    """The key ran before, or runs now; this is what it answers."""

    answer: KeptAnswer


Admission = Grant | Repeated


class KeyGuard:
    """Admit keyed requests once, and report how they went."""

    def __init__(self, claimer: Claimer) -> None:
        self._claimer = claimer

    async def admit(self, asked: KeyedRequest) -> Result[Admission, Problem]:
        """Claim the key, if there is one."""
        if not asked.key:
            return Success(Grant())
        fault = _find_fault(asked)
        if fault is not None:
            return Failure(fault)
        parts = (asked.customer, asked.service, asked.key)
        claim = Claim(
            key=_SEPARATOR.join(parts),
            claim_id=token_hex(_CLAIM_BYTES),
            body_digest=asked.body_digest,
            key_wall_ms=read_key_time(asked.key),
            once=asked.once,
        )
        answer = await self._claimer.claim(claim)
        match answer:
            case Success(found):
                return _judge(claim, found)
        return _without_owner(asked)

    async def settle(
        self, grant: Grant, phase: RecordPhase, answer: KeptAnswer | None
    ) -> None:
        """Report how an attempt stands or ended."""
        if grant.key:
            settled = Settle(grant.key, grant.claim_id, phase, answer)
            await self._claimer.report(settled)

    async def release(self, grant: Grant) -> None:
        """Report that an attempt certainly did not run."""
        if grant.key:
            await self._claimer.report(Release(grant.key, grant.claim_id))


def _find_fault(asked: KeyedRequest) -> BadRequest | None:
    if len(asked.key) > LONGEST_KEY or _SEPARATOR in asked.key:
        return BadRequest(HEADER_KEY, f'at most {LONGEST_KEY} characters')
    if asked.once and not read_key_time(asked.key):
        return BadRequest(
            HEADER_KEY, 'a UUID version 7, as this service never repeats'
        )
    return None


def _without_owner(asked: KeyedRequest) -> Result[Admission, Problem]:
    if asked.once:
        return Failure(NotRun(NotRunReason.NO_OWNER, _OWNER_RETRY))
    # It may be repeated: an answer now is worth more than a single run.
    return Success(Grant())


def _judge(claim: Claim, answer: ClaimAnswer) -> Result[Admission, Problem]:
    match answer.verdict:
        case Verdict.GRANTED:
            return Success(Grant(claim.key, claim.claim_id, answer.fence))
        case Verdict.RUNNING | Verdict.FINISHED:
            return _repeat(answer)
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


def _repeat(answer: ClaimAnswer) -> Result[Admission, Problem]:
    if answer.answer is not None:
        return Success(Repeated(answer.answer))
    if answer.verdict is Verdict.RUNNING:
        return Failure(InProgress(_RETRY_AFTER))
    return Failure(OutcomeUnknown('it ran; its answer was too large to keep'))
