"""Decide loans, spending, and what holds while a keeper is silent.

Worst case over the bucket: credits already lent when a keeper changes
(at most ``LOAN_LIMIT`` for each instance, void after ``CREDIT_LIFE_MS``),
one second's rate for the new keeper's first bucket, and, for instances
that reach no keeper, one more rate split over the members that they see.
"""

import math
from dataclasses import replace

from cartdale.clock import SECOND_MS, Millis
from cartdale.limits.types import (
    CREDIT_LIFE_MS,
    LOAN_LIMIT,
    LOAN_MS,
    Borrow,
    Bucket,
    KeeperState,
    Loan,
    Purse,
    Rate,
    SpenderState,
)

_DEMAND_WINDOW: Millis = 2 * SECOND_MS


def lend(
    state: KeeperState, asked: Borrow, rate: Rate, now: Millis
) -> tuple[KeeperState, Loan]:
    """Grant as many of the wanted credits as the bucket holds."""
    bucket = _fill(state.buckets_by_account.get(asked.account), rate, now)
    wanted = min(asked.wanted, LOAN_LIMIT)
    granted = min(wanted, int(bucket.tokens))
    left = replace(bucket, tokens=bucket.tokens - granted)
    after = _keep(state, asked.account, left)
    if granted:
        return after, Loan(granted, 0)
    missing = 1 - bucket.tokens
    wait = math.ceil(missing / rate.per_second * SECOND_MS)
    return after, Loan(0, wait)


def spend(
    state: SpenderState, account: str, now: Millis
) -> tuple[SpenderState, bool]:
    """Take one credit from the purse, if there is a valid one."""
    purse = _note_demand(state.purses_by_account.get(account, Purse()), now)
    paid = purse.credits > 0 and now <= purse.expires_at
    if paid:
        purse = replace(purse, credits=purse.credits - 1)
    return _pocket(state, account, purse), paid


def choose_loan(state: SpenderState, account: str, now: Millis) -> Borrow:
    """Ask for what the next moments will need, at least one."""
    purse = state.purses_by_account.get(account, Purse())
    elapsed = max(LOAN_MS, now - purse.asked_since)
    wanted = math.ceil(purse.asked * LOAN_MS / elapsed)
    return Borrow(account, max(1, min(LOAN_LIMIT, wanted)))


def receive(
    state: SpenderState, account: str, loan: Loan, now: Millis
) -> SpenderState:
    """Put a loan into the purse; one credit pays the request at hand."""
    purse = state.purses_by_account.get(account, Purse())
    filled = replace(
        purse,
        credits=max(0, loan.credits - 1),
        expires_at=now + CREDIT_LIFE_MS,
    )
    return _pocket(state, account, filled)


def spend_alone(
    state: SpenderState,
    account: str,
    rate: Rate,
    members: int,
    now: Millis,
) -> tuple[SpenderState, Loan]:
    """Decide without a keeper, from this instance's part of the rate.

    :param members: instances believed to be alive.
    """
    part = Rate(
        rate.per_second / max(1, members),
        max(1, rate.burst / max(1, members)),
    )
    fallback, loan = lend(state.fallback, Borrow(account, 1), part, now)
    return replace(state, fallback=fallback), loan


def _fill(bucket: Bucket | None, rate: Rate, now: Millis) -> Bucket:
    if bucket is None:
        # A keeper that is new may follow one whose bucket was empty.
        return Bucket(max(1, min(rate.burst, rate.per_second)), now)
    gained = rate.per_second * (now - bucket.filled_at) / SECOND_MS
    return Bucket(min(rate.burst, bucket.tokens + gained), now)


def _note_demand(purse: Purse, now: Millis) -> Purse:
    if now - purse.asked_since > _DEMAND_WINDOW:
        return replace(purse, asked=1, asked_since=now)
    return replace(purse, asked=purse.asked + 1)


def _keep(state: KeeperState, account: str, bucket: Bucket) -> KeeperState:
    buckets_by_account = dict(state.buckets_by_account)
    buckets_by_account[account] = bucket
    return KeeperState(buckets_by_account)


def _pocket(state: SpenderState, account: str, purse: Purse) -> SpenderState:
    purses_by_account = dict(state.purses_by_account)
    purses_by_account[account] = purse
    return replace(state, purses_by_account=purses_by_account)
