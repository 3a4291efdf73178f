"""Decision function of the ledger: each key is granted at most once.

The guarantee holds across all successive owners of a slot.
"""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import Millis
from cartdale.invariants import AT_MOST_ONCE, check_invariant
from cartdale.ledger.types import (
    CLOCK_ERROR_MS,
    KEY_AHEAD_MS,
    RETENTION_MS,
    SLOT_LIMIT,
    Claim,
    ClaimAnswer,
    Message,
    Record,
    RecordPhase,
    Release,
    Renewed,
    Settle,
    SlotState,
    Verdict,
)

Decision = tuple[SlotState, ClaimAnswer | None]


def decide(
    state: SlotState, message: Message, now: Millis, wall: Millis
) -> Decision:
    """Apply one message to a slot that this instance believes it owns.

    :param now: monotonic time in milliseconds, compared with the lease.
    :param wall: wall time in milliseconds, compared with key times.
    :returns: the next state, and the answer if the message is a claim.
    """
    match message:
        case Claim():
            return _claim(_expire(state, wall), message, now, wall)
        case Settle():
            return _settle(state, message), None
        case Release():
            return _release(state, message), None
        case Renewed(valid_until=valid_until):
            return replace(state, valid_until=valid_until), None
        case _:
            assert_never(message)


def initial_cutoff(wall: Millis) -> Millis:
    """Return the cutoff of a slot whose previous ledger is not available.

    The previous owner may have granted keys up to ``KEY_AHEAD_MS`` ahead
    of its clock, and each of the two clocks may be off by up to
    ``CLOCK_ERROR_MS``.
    """
    return wall + KEY_AHEAD_MS + 2 * CLOCK_ERROR_MS


def _claim(
    state: SlotState, claim: Claim, now: Millis, wall: Millis
) -> Decision:
    if now >= state.valid_until:
        return state, ClaimAnswer(Verdict.NOT_OWNER)
    record = state.records_by_key.get(claim.key)
    if record is not None:
        return state, _answer_recorded(state, claim, record)
    if claim.once and claim.key_wall_ms <= state.unknown_until_wall_ms:
        return state, ClaimAnswer(Verdict.UNKNOWN)
    if claim.key_wall_ms > wall + KEY_AHEAD_MS:
        return state, ClaimAnswer(Verdict.KEY_AHEAD)
    return _grant(state, claim, wall)


def _answer_recorded(
    state: SlotState, claim: Claim, record: Record
) -> ClaimAnswer:
    if record.body_digest != claim.body_digest:
        return ClaimAnswer(Verdict.CONFLICT)
    if record.claim_id == claim.claim_id:
        # The same attempt retries because the response was lost.
        return ClaimAnswer(Verdict.GRANTED, state.epoch)
    match record.phase:
        case RecordPhase.FINISHED:
            return ClaimAnswer(Verdict.FINISHED, state.epoch, record.answer)
        case RecordPhase.UNKNOWN:
            return ClaimAnswer(Verdict.UNKNOWN)
        case RecordPhase.GRANTED:
            return ClaimAnswer(Verdict.RUNNING, state.epoch, record.answer)
        case _:
            assert_never(record.phase)


def _grant(state: SlotState, claim: Claim, wall: Millis) -> Decision:
    check_invariant(
        AT_MOST_ONCE,
        holds=claim.key not in state.records_by_key,
        detail=f'{claim.key} granted twice in slot {state.slot}',
    )
    records_by_key = dict(state.records_by_key)
    records_by_key[claim.key] = Record(
        claim_id=claim.claim_id,
        body_digest=claim.body_digest,
        key_wall_ms=claim.key_wall_ms,
        granted_wall_ms=wall,
    )
    after = replace(state, records_by_key=records_by_key)
    return after, ClaimAnswer(Verdict.GRANTED, state.epoch)


def _settle(state: SlotState, settled: Settle) -> SlotState:
    record = state.records_by_key.get(settled.key)
    if record is None or record.claim_id != settled.claim_id:
        return state
    records_by_key = dict(state.records_by_key)
    records_by_key[settled.key] = replace(
        record, phase=settled.phase, answer=settled.answer
    )
    return replace(state, records_by_key=records_by_key)


def _release(state: SlotState, released: Release) -> SlotState:
    record = state.records_by_key.get(released.key)
    if record is None or record.claim_id != released.claim_id:
        return state
    if record.phase is not RecordPhase.GRANTED:
        return state
    records_by_key = dict(state.records_by_key)
    records_by_key.pop(released.key)
    return replace(state, records_by_key=records_by_key)


def _expire(state: SlotState, wall: Millis) -> SlotState:
    oldest_kept = wall - RETENTION_MS
    is_full = len(state.records_by_key) >= SLOT_LIMIT
    if (
        not is_full
        and state.unknown_until_wall_ms >= oldest_kept - RETENTION_MS
    ):
        return state
    kept_by_key = {
        key: record
        for key, record in state.records_by_key.items()
        if record.granted_wall_ms > oldest_kept
    }
    unknown_until = max(state.unknown_until_wall_ms, oldest_kept + KEY_AHEAD_MS)
    excess = max(0, len(kept_by_key) - SLOT_LIMIT + 1)
    for key, dropped in sorted(kept_by_key.items(), key=_granted_at)[:excess]:
        kept_by_key.pop(key)
        unknown_until = max(unknown_until, dropped.key_wall_ms)
    return replace(
        state, records_by_key=kept_by_key, unknown_until_wall_ms=unknown_until
    )


def _granted_at(keyed_record: tuple[str, Record]) -> Millis:
    return keyed_record[1].granted_wall_ms
