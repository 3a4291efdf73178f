"""Retry budget: decide whether a failed attempt may be retried.

Each first attempt credits its customer and its upstream with a fraction of
a retry; a retry costs one credit of each. When most attempts fail, retries
are therefore limited to ``RETRY_CREDIT_PER_ATTEMPT`` of the first attempts
plus the initial credit.
"""

from dataclasses import dataclass, field

#: Fraction of a retry that each first attempt credits.
RETRY_CREDIT_PER_ATTEMPT = 0.1
#: Maximum credits of an account, and the initial credits of a new one.
MAX_RETRY_CREDIT = 10


@dataclass(frozen=True, slots=True)
class RetryState:
    """Retry credits of each account; an account is a customer or upstream."""

    credits_by_account: dict[str, float] = field(default_factory=dict)


def earn(state: RetryState, accounts: tuple[str, ...]) -> RetryState:
    """Credit the accounts for a first attempt."""
    credits_by_account = dict(state.credits_by_account)
    for account in accounts:
        credit = credits_by_account.get(account, MAX_RETRY_CREDIT)
        credits_by_account[account] = min(
            MAX_RETRY_CREDIT, credit + RETRY_CREDIT_PER_ATTEMPT
        )
    return RetryState(credits_by_account)


def withdraw(
    state: RetryState, accounts: tuple[str, ...]
) -> tuple[RetryState, bool]:
    """Charge a retry to all accounts, or to none.

    :returns: the next state, and whether the retry is allowed.
    """
    for account in accounts:
        if state.credits_by_account.get(account, MAX_RETRY_CREDIT) < 1:
            return state, False
    credits_by_account = dict(state.credits_by_account)
    for charged in accounts:
        credits_by_account[charged] = (
            credits_by_account.get(charged, MAX_RETRY_CREDIT) - 1
        )
    return RetryState(credits_by_account), True


class RetryBudget:
    """Retry budget of one instance."""

    def __init__(self) -> None:
        self._state = RetryState()

    def earn(self, customer: str, upstream: str) -> None:
        """Credit the accounts for a first attempt."""
        self._state = earn(self._state, _accounts(customer, upstream))

    def withdraw(self, customer: str, upstream: str) -> bool:
        """Charge a retry to both accounts, if both have enough credit.

        :param upstream: the upstream on which the attempt failed.
        """
        after, paid = withdraw(self._state, _accounts(customer, upstream))
        self._state = after
        return paid


def _accounts(customer: str, upstream: str) -> tuple[str, str]:
    return (f'customer:{customer}', f'upstream:{upstream}')
