"""Messages, state and answers of the at-most-once ledger.

Idempotency keys are partitioned into slots. A slot is owned by the
instance whose lease on it is recorded in the store; the ledger of the
slot is kept in that instance's memory. A new owner has no record of the
keys its predecessor granted, so it reports the outcome of every key that
the predecessor could have granted as unknown. To make this comparison
possible, keys carry their creation time (UUID version 7).
"""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import MINUTE_MS, Millis

SLOTS = 64
LEASE_MS: Millis = 15_000
#: An owner stops granting this long before its lease can expire in the
#: store.
LEASE_MARGIN_MS: Millis = 3_000
#: Maximum error assumed for an instance's wall clock.
CLOCK_ERROR_MS: Millis = 500
#: Maximum time by which a key may be ahead of the owner's clock.
KEY_AHEAD_MS: Millis = 1_000
#: How long keys are kept; the outcome of older keys is unknown.
RETENTION_MS: Millis = 10 * MINUTE_MS
#: Maximum size of an answer kept for repeated keys, in bytes.
ANSWER_LIMIT = 16384
#: Maximum number of keys kept per slot; beyond it, the oldest are dropped
#: and the cutoff advances.
SLOT_LIMIT = 4096


class RecordPhase(StrEnum):
    """State of the request behind a granted key."""

    GRANTED = 'granted'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Response stored for callers that repeat the key.

    :param origin: signed origin of a generation; empty for plain answers.
    """

    status: int = 0
    content_type: str = ''
    body: bytes = b''
    origin: str = ''


@dataclass(frozen=True, slots=True)
class Record:
    """Ledger entry of one key.

    :param claim_id: the attempt that holds the grant.
    :param key_wall_ms: creation time in the key; 0 if it has none.
    """

    claim_id: str
    body_digest: str
    key_wall_ms: Millis
    granted_wall_ms: Millis
    phase: RecordPhase = RecordPhase.GRANTED
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class SlotState:
    """State of one slot that this instance owns.

    :param epoch: fencing token; increases with each new owner.
    :param unknown_until_wall_ms: cutoff; keys created at or before this
        time may have been granted by a previous owner, or their records
        were dropped.
    :param valid_until: monotonic time until which the lease is certain to
        be valid.
    """

    slot: int
    epoch: int
    unknown_until_wall_ms: Millis
    valid_until: Millis
    records_by_key: dict[str, Record] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Claim:
    """Requests permission to run a request with an idempotency key.

    :param key: customer and idempotency key, combined.
    :param once: whether the request must run at most once.
    """

    key: str
    claim_id: str
    body_digest: str
    key_wall_ms: Millis
    once: bool


@dataclass(frozen=True, slots=True)
class Settle:
    """Reports the outcome of a granted request."""

    key: str
    claim_id: str
    phase: RecordPhase
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class Release:
    """Reports that a granted request is certain not to have run."""

    key: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class Renewed:
    """Reports that the lease was renewed."""

    valid_until: Millis


Message = Claim | Settle | Release | Renewed


class Verdict(StrEnum):
    """Outcome of a claim."""

    GRANTED = 'granted'
    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    NOT_OWNER = 'not_owner'
    KEY_AHEAD = 'key_ahead'


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Response to a claim.

    :param fence: epoch of the slot, for upstreams that verify it.
    """

    verdict: Verdict
    fence: int = 0
    answer: KeptAnswer | None = None
