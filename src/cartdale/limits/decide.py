"""Lend credits, spend them, and limit requests without the bucket owner.

The rate may be exceeded, at most, by the credits already lent when the
bucket owner changes (up to ``MAX_LOAN_CREDITS`` per instance, expiring
after ``CREDIT_LIFETIME_MS``), by one second's rate in the new owner's first
bucket, and, at instances that reach no owner, by one more rate divided
among the members that they see.
"""

import math
from dataclasses import replace

from cartdale.clock import SECOND_MS, Millis
from cartdale.limits.types import (
    CREDIT_LIFETIME_MS,
    LOAN_DEMAND_MS,
    MAX_LOAN_CREDITS,
    Borrow,
    BorrowedCredits,
    BorrowerState,
    Bucket,
    BucketOwnerState,
    Loan,
    Rate,
)

_DEMAND_WINDOW: Millis = 2 * SECOND_MS


def lend(
    state: BucketOwnerState, request: Borrow, rate: Rate, now: Millis
) -> tuple[BucketOwnerState, Loan]:
    """Grant as many of the requested credits as the bucket holds."""
    bucket = _fill(state.buckets_by_account.get(request.account), rate, now)
    wanted = min(request.wanted, MAX_LOAN_CREDITS)
    granted = min(wanted, int(bucket.tokens))
    remaining = replace(bucket, tokens=bucket.tokens - granted)
    after = _store_bucket(state, request.account, remaining)
    if granted:
        return after, Loan(granted, 0)
    missing_tokens = 1 - bucket.tokens
    wait = math.ceil(missing_tokens / rate.per_second * SECOND_MS)
    return after, Loan(0, wait)


def spend(
    state: BorrowerState, account: str, now: Millis
) -> tuple[BorrowerState, bool]:
    """Spend one borrowed credit, if one is left that has not expired."""
    borrowed = _note_demand(
        state.credits_by_account.get(account, BorrowedCredits()), now
    )
    paid = borrowed.credits > 0 and now <= borrowed.expires_at
    if paid:
        borrowed = replace(borrowed, credits=borrowed.credits - 1)
    return _store_credits(state, account, borrowed), paid


def make_loan_request(
    state: BorrowerState, account: str, now: Millis
) -> Borrow:
    """Return a request for the forecast demand, at least one credit."""
    borrowed = state.credits_by_account.get(account, BorrowedCredits())
    elapsed = max(LOAN_DEMAND_MS, now - borrowed.counted_since)
    wanted = math.ceil(borrowed.recent_requests * LOAN_DEMAND_MS / elapsed)
    return Borrow(account, max(1, min(MAX_LOAN_CREDITS, wanted)))


def receive_loan(
    state: BorrowerState, account: str, loan: Loan, now: Millis
) -> BorrowerState:
    """Store a loan; one of its credits pays for the current request."""
    borrowed = state.credits_by_account.get(account, BorrowedCredits())
    filled = replace(
        borrowed,
        credits=max(0, loan.credits - 1),
        expires_at=now + CREDIT_LIFETIME_MS,
    )
    return _store_credits(state, account, filled)


def spend_without_owner(
    state: BorrowerState,
    account: str,
    rate: Rate,
    members: int,
    now: Millis,
) -> tuple[BorrowerState, Loan]:
    """Admit a request from this instance's share of the rate.

    Used while the bucket owner is unreachable.

    :param members: number of instances assumed to be alive.
    """
    own_rate = Rate(
        rate.per_second / max(1, members),
        max(1, rate.burst / max(1, members)),
    )
    fallback, loan = lend(state.fallback, Borrow(account, 1), own_rate, now)
    return replace(state, fallback=fallback), loan


def _fill(bucket: Bucket | None, rate: Rate, now: Millis) -> Bucket:
    if bucket is None:
        # The bucket of the previous owner may have been empty, so a new
        # owner starts with one second's rate and not with the burst.
        return Bucket(max(1, min(rate.burst, rate.per_second)), now)
    gained = rate.per_second * (now - bucket.filled_at) / SECOND_MS
    return Bucket(min(rate.burst, bucket.tokens + gained), now)


def _note_demand(borrowed: BorrowedCredits, now: Millis) -> BorrowedCredits:
    if now - borrowed.counted_since > _DEMAND_WINDOW:
        return replace(borrowed, recent_requests=1, counted_since=now)
    return replace(borrowed, recent_requests=borrowed.recent_requests + 1)


def _store_bucket(
    state: BucketOwnerState, account: str, bucket: Bucket
) -> BucketOwnerState:
    buckets_by_account = dict(state.buckets_by_account)
    buckets_by_account[account] = bucket
    return BucketOwnerState(buckets_by_account)


def _store_credits(
    state: BorrowerState, account: str, borrowed: BorrowedCredits
) -> BorrowerState:
    credits_by_account = dict(state.credits_by_account)
    credits_by_account[account] = borrowed
    return replace(state, credits_by_account=credits_by_account)
