"""Requests with an idempotency key run at most once.

This must hold across owner changes, paused owners and lost responses. A
second grant for the same key would execute the request twice.
"""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cartdale.exceptions import InvariantError
from cartdale.ledger import decide as ledger
from cartdale.ledger.decide import decide, initial_cutoff
from cartdale.ledger.keys import read_key_time
from cartdale.ledger.types import (
    CLOCK_ERROR_MS,
    KEY_AHEAD_MS,
    LEASE_MARGIN_MS,
    LEASE_MS,
    RETENTION_MS,
    SLOT_LIMIT,
    Claim,
    ClaimAnswer,
    KeptAnswer,
    Record,
    RecordPhase,
    Release,
    Settle,
    SlotState,
    Verdict,
)

EPOCH = 1_000_000


def make_slot(**fields: object) -> SlotState:
    return replace(SlotState(1, 1, 0, 1_000_000_000), **fields)


def make_claim(**fields: object) -> Claim:
    return replace(Claim('k', 'a', 'body', EPOCH, once=True), **fields)


def claim(state: SlotState, asked: Claim, wall: int = EPOCH) -> ClaimAnswer:
    return decide(state, asked, 0, wall)[1]


def test_a_second_attempt_is_not_granted() -> None:
    state, first = decide(make_slot(), make_claim(), 0, EPOCH)
    assert first.verdict is Verdict.GRANTED
    assert claim(state, make_claim(claim_id='b')).verdict is Verdict.RUNNING


def test_the_same_attempt_may_repeat_its_claim() -> None:
    state, _ = decide(make_slot(), make_claim(), 0, EPOCH)
    assert claim(state, make_claim()).verdict is Verdict.GRANTED


def test_a_different_body_is_a_conflict() -> None:
    state, _ = decide(make_slot(), make_claim(), 0, EPOCH)
    other = make_claim(claim_id='b', body_digest='else')
    assert claim(state, other).verdict is Verdict.CONFLICT


def test_a_released_key_can_be_granted_again() -> None:
    state, _ = decide(make_slot(), make_claim(), 0, EPOCH)
    state, _ = decide(state, Release('k', 'a'), 0, EPOCH)
    assert claim(state, make_claim(claim_id='b')).verdict is Verdict.GRANTED


def test_a_settled_key_cannot_be_released() -> None:
    state, _ = decide(make_slot(), make_claim(), 0, EPOCH)
    answer = KeptAnswer(200, 'text/plain', b'cut')
    settled = Settle('k', 'a', RecordPhase.FINISHED, answer)
    state, _ = decide(state, settled, 0, EPOCH)
    state, _ = decide(state, Release('k', 'a'), 0, EPOCH)
    again = claim(state, make_claim(claim_id='b'))
    assert again == ClaimAnswer(Verdict.FINISHED, 1, answer)


def test_an_owner_past_its_lease_grants_nothing() -> None:
    state = make_slot(valid_until=100)
    answer = decide(state, make_claim(), 100, EPOCH)[1]
    assert answer.verdict is Verdict.NOT_OWNER


def test_a_key_older_than_the_ownership_is_unknown() -> None:
    state = make_slot(unknown_until_wall_ms=initial_cutoff(EPOCH))
    assert claim(state, make_claim()).verdict is Verdict.UNKNOWN
    assert claim(state, make_claim(once=False)).verdict is Verdict.GRANTED


def test_a_key_ahead_of_the_clock_is_rejected() -> None:
    ahead = make_claim(key_wall_ms=EPOCH + KEY_AHEAD_MS + 1)
    assert claim(make_slot(), ahead).verdict is Verdict.KEY_AHEAD


def test_expired_keys_stay_unknown() -> None:
    state, _ = decide(make_slot(), make_claim(), 0, EPOCH)
    later = EPOCH + 3 * RETENTION_MS
    fresh = make_claim(key='other', key_wall_ms=later)
    state, _ = decide(state, fresh, 0, later)
    assert 'k' not in state.records_by_key
    again = make_claim(claim_id='b')
    assert claim(state, again, later).verdict is Verdict.UNKNOWN


def test_a_full_slot_advances_its_cutoff() -> None:
    records = {
        f'k{number}': Record('a', 'body', EPOCH + number, EPOCH + number)
        for number in range(SLOT_LIMIT)
    }
    state = make_slot(records_by_key=records)
    wall = EPOCH + SLOT_LIMIT
    state, _ = decide(state, make_claim(key_wall_ms=wall), 0, wall)
    assert len(state.records_by_key) <= SLOT_LIMIT
    assert state.unknown_until_wall_ms >= EPOCH
    dropped = make_claim(key='k0', claim_id='b', key_wall_ms=EPOCH)
    assert claim(state, dropped, wall).verdict is Verdict.UNKNOWN


def test_only_time_ordered_keys_carry_a_time() -> None:
    assert read_key_time('01890a5d-ac96-774b-bcce-b302099a8057') > 0
    assert read_key_time('9b2f1e5c-3d7a-4e11-8a55-111111111111') == 0
    assert read_key_time('order-17') == 0


class Owners(RuleBasedStateMachine):
    """Owners acquire the slot and pause past their lease; callers retry.

    Each owner has its own clock, within the assumed error. A key must be
    granted to a single attempt, whichever owner is asked and at any time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = EPOCH
        self.lease_ends = 0
        self.owners: list[tuple[SlotState, int]] = []
        self.granted: dict[str, str] = {}
        self.attempts = 0
        self.key_times: list[int] = []

    def choose_horizon(self, wall: int) -> int:
        return initial_cutoff(wall)

    @rule(skew=st.integers(-CLOCK_ERROR_MS, CLOCK_ERROR_MS))
    def take_over(self, skew: int) -> None:
        if self.now < self.lease_ends:
            return
        self.lease_ends = self.now + LEASE_MS
        state = SlotState(
            slot=1,
            epoch=len(self.owners) + 1,
            unknown_until_wall_ms=self.choose_horizon(self.now + skew),
            valid_until=self.lease_ends - LEASE_MARGIN_MS,
        )
        self.owners.append((state, skew))

    @rule(step=st.integers(1, LEASE_MS))
    def wait(self, step: int) -> None:
        self.now += step

    @rule(ahead=st.integers(-LEASE_MS, KEY_AHEAD_MS))
    def make_key(self, ahead: int) -> None:
        self.key_times.append(self.now + ahead)

    @rule(owner=st.integers(0, 3), key=st.integers(0, 3))
    def ask(self, owner: int, key: int) -> None:
        if not self.owners or not self.key_times:
            return
        index = -1 - owner % len(self.owners)
        state, skew = self.owners[index]
        number = len(self.key_times) - 1 - key % len(self.key_times)
        name = f'key-{number}'
        self.attempts += 1
        asked = Claim(
            name,
            f'a{self.attempts}',
            'body',
            self.key_times[number],
            once=True,
        )
        state, answer = decide(state, asked, self.now, self.now + skew)
        self.owners[index] = (state, skew)
        if answer.verdict is Verdict.GRANTED:
            earlier = self.granted.setdefault(name, asked.claim_id)
            assert earlier == asked.claim_id, f'{name} granted twice'

    @invariant()
    def owners_do_not_overlap(self) -> None:
        valid = [
            state.slot
            for state, _ in self.owners
            if self.now < state.valid_until
        ]
        assert len(valid) <= 1


class ForgetfulOwners(Owners):
    """The mutant: a new owner trusts every key."""

    def choose_horizon(self, wall: int) -> int:
        return 0


RUN = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestOwners = Owners.TestCase
TestOwners.settings = RUN


def test_the_state_machine_detects_an_owner_without_a_cutoff() -> None:
    case = ForgetfulOwners.TestCase
    case.settings = settings(
        RUN, max_examples=400, database=None, phases=(Phase.generate,)
    )
    with pytest.raises(AssertionError, match='granted twice'):
        case().runTest()


def test_a_broken_grant_is_an_invariant_violation() -> None:
    state, _ = decide(make_slot(), make_claim(), 0, EPOCH)
    with pytest.raises(InvariantError):
        ledger._grant(state, make_claim(claim_id='b'), EPOCH)
