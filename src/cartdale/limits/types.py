"""Messages and state of rate limits across instances.

One instance, chosen by rendezvous hashing, owns the token bucket of an
account. The others borrow credits from it and spend them locally.
"""

from dataclasses import dataclass, field

from cartdale.clock import SECOND_MS, Millis

#: Time after which unspent credits expire.
CREDIT_LIFETIME_MS: Millis = SECOND_MS
#: Duration of the demand that one loan covers.
LOAN_DEMAND_MS: Millis = 500
#: Maximum number of credits in one loan.
MAX_LOAN_CREDITS = 64


@dataclass(frozen=True, slots=True)
class Rate:
    """Rate limit of an account.

    :param per_second: sustained rate.
    :param burst: size of the bucket.
    """

    per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class Bucket:
    """Token bucket with its content at ``filled_at``."""

    tokens: float
    filled_at: Millis


@dataclass(frozen=True, slots=True)
class BucketOwnerState:
    """Buckets of the accounts that this instance owns."""

    buckets_by_account: dict[str, Bucket] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class BorrowedCredits:
    """Borrowed credits of one account.

    :param recent_requests: requests since ``counted_since``; forecasts
        demand.
    """

    credits: int = 0
    expires_at: Millis = 0
    recent_requests: int = 0
    counted_since: Millis = 0


@dataclass(frozen=True, slots=True)
class BorrowerState:
    """Borrowed credits, and the buckets used while an owner is silent."""

    credits_by_account: dict[str, BorrowedCredits] = field(default_factory=dict)
    fallback: BucketOwnerState = field(default_factory=BucketOwnerState)


@dataclass(frozen=True, slots=True)
class Loan:
    """Credits granted to a borrower.

    :param credits: granted requests; 0 if the limit is reached.
    :param retry_after: time until a credit is available, if none is now.
    """

    credits: int
    retry_after: Millis


@dataclass(frozen=True, slots=True)
class Borrow:
    """Request credits from the bucket owner of an account."""

    account: str
    wanted: int
