"""Decide whether a failed attempt may be made again.

Every first attempt earns its customer and its upstream a part of a retry;
a retry costs one of each. When most attempts fail, retries are therefore
at most ``EARNED`` of the first attempts, plus the reserve.
"""

from dataclasses import dataclass, field

#: Part of a retry earned by each first attempt.
EARNED = 0.1
#: Retries that may be saved up, and that a new account begins with.
RESERVE = 10


@dataclass(frozen=True, slots=True)
class RetryState:
    """Hold what each account has left; accounts are customers, upstreams."""

    saved_by_account: dict[str, float] = field(default_factory=dict)


def earn(state: RetryState, accounts: tuple[str, ...]) -> RetryState:
    """Count a first attempt."""
    saved_by_account = dict(state.saved_by_account)
    for account in accounts:
        saved = saved_by_account.get(account, RESERVE)
        saved_by_account[account] = min(RESERVE, saved + EARNED)
    return RetryState(saved_by_account)


def withdraw(
    state: RetryState, accounts: tuple[str, ...]
) -> tuple[RetryState, bool]:
    """Pay for a retry from every account, or from none.

    :returns: the next state, and whether the retry may be made.
    """
    for account in accounts:
        if state.saved_by_account.get(account, RESERVE) < 1:
            return state, False
    saved_by_account = dict(state.saved_by_account)
    for paying in accounts:
        saved_by_account[paying] = saved_by_account.get(paying, RESERVE) - 1
    return RetryState(saved_by_account), True


class RetryBudget:
    """Hold the retry budgets of one instance."""

    def __init__(self) -> None:
        self._state = RetryState()

    def earn(self, customer: str, upstream: str) -> None:
        """Count a first attempt."""
        self._state = earn(self._state, _accounts(customer, upstream))

    def withdraw(self, customer: str, upstream: str) -> bool:
        """Pay for a retry, if both can.

        :param upstream: the one that failed.
        """
        after, paid = withdraw(self._state, _accounts(customer, upstream))
        self._state = after
        return paid


def _accounts(customer: str, upstream: str) -> tuple[str, str]:
    return (f'customer:{customer}', f'upstream:{upstream}')
