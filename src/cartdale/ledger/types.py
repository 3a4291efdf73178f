"""Messages, state and answers of the at-most-once ledger.

Idempotency keys are divided over slots. A slot belongs to the instance
that holds its lease at the store; its ledger lives in that instance's
memory. A new owner does not know the keys of the one before, so it
treats every key that could have been granted before its time as unknown:
such keys carry their time of creation (UUID version 7).
"""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import MINUTE_MS, Millis

SLOTS = 64
LEASE_MS: Millis = 15_000
#: The owner stops so long before its lease can lapse at the store.
LEASE_MARGIN_MS: Millis = 3_000
#: Largest difference assumed between an instance's clock and the truth.
CLOCK_ERROR_MS: Millis = 500
#: How far ahead of the owner's clock a key's time may be.
KEY_AHEAD_MS: Millis = 1_000
#: How long keys are remembered; older ones are answered as unknown.
RETENTION_MS: Millis = 10 * MINUTE_MS
#: Largest answer that is kept for a repeated key, in bytes.
ANSWER_LIMIT = 16384
#: Most keys remembered in one slot; the horizon moves up beyond it.
SLOT_LIMIT = 4096


class RecordPhase(StrEnum):
    """Say what is known of a granted key."""

    GRANTED = 'granted'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Hold an answer for callers that repeat the key.

    :param origin: sealed origin of a generation; empty for plain answers.
    """

    status: int = 0
    content_type: str = ''
    body: bytes = b''
    origin: str = ''


@dataclass(frozen=True, slots=True)
class Record:
    """Remember one key.

    :param claim_id: the attempt that holds the grant.
    :param key_wall_ms: the key's own time; 0 when it carries none.
    """

    claim_id: str
    body_digest: str
    key_wall_ms: Millis
    granted_wall_ms: Millis
    phase: RecordPhase = RecordPhase.GRANTED
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class SlotState:
    """Hold one slot that this instance owns.

    :param epoch: fence; larger for every later owner.
    :param horizon_wall_ms: keys of this time or before may have been
        granted by someone else, or were forgotten.
    :param valid_until: monotonic end of the lease as far as is certain.
    """

    slot: int
    epoch: int
    horizon_wall_ms: Millis
    valid_until: Millis
    records_by_key: dict[str, Record] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask to run a keyed request.

    :param key: customer and idempotency key together.
    :param once: whether the request must not run a second time.
    """

    key: str
    claim_id: str
    body_digest: str
    key_wall_ms: Millis
    once: bool


@dataclass(frozen=True, slots=True)
class Settle:
    """Report how a granted request went."""

    key: str
    claim_id: str
    phase: RecordPhase
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class Release:
    """Report that a granted request certainly did not run."""

    key: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class Renewed:
    """The lease was renewed."""

    valid_until: Millis


Message = Claim | Settle | Release | Renewed


class Verdict(StrEnum):
    """Answer a claim."""

    GRANTED = 'granted'
    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    NOT_OWNER = 'not_owner'
    KEY_AHEAD = 'key_ahead'


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer a claim.

    :param fence: the slot's epoch, for upstreams that check it.
    """

    verdict: Verdict
    fence: int = 0
    answer: KeptAnswer | None = None
