"""Messages and state of limits that are held across instances.

One instance, preferred by rendezvous hashing, keeps the token bucket of an
account; the others borrow credits from it and spend them locally.
"""

from dataclasses import dataclass, field

from cartdale.clock import SECOND_MS, Millis

#: Credits not spent by then are void.
CREDIT_LIFE_MS: Millis = SECOND_MS
#: Demand covered by one loan.
LOAN_MS: Millis = 500
#: Most credits in one loan.
LOAN_LIMIT = 64


@dataclass(frozen=True, slots=True)
class Rate:
    """Bound an account.

    :param per_second: sustained rate.
    :param burst: size of the bucket.
    """

    per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class Bucket:
    """Hold a token bucket as of a moment."""

    tokens: float
    filled_at: Millis


@dataclass(frozen=True, slots=True)
class KeeperState:
    """Hold the buckets of the accounts that are kept here."""

    buckets_by_account: dict[str, Bucket] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Purse:
    """Hold borrowed credits of one account.

    :param asked: requests since ``asked_since``, to foresee demand.
    """

    credits: int = 0
    expires_at: Millis = 0
    asked: int = 0
    asked_since: Millis = 0


@dataclass(frozen=True, slots=True)
class SpenderState:
    """Hold the purses, and the buckets used when a keeper is silent."""

    purses_by_account: dict[str, Purse] = field(default_factory=dict)
    fallback: KeeperState = field(default_factory=KeeperState)


@dataclass(frozen=True, slots=True)
class Loan:
    """Answer a borrower.

    :param credits: granted requests; 0 when the limit is reached.
    :param retry_after: when one credit will be there, if none is now.
    """

    credits: int
    retry_after: Millis


@dataclass(frozen=True, slots=True)
class Borrow:
    """Ask the keeper of an account for credits."""

    account: str
    wanted: int
