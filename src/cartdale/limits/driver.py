"""Ask the keeper of an account before a request runs."""

from returns.result import Success

from cartdale.clock import Clock
from cartdale.limits.decide import (
    choose_loan,
    lend,
    receive,
    spend,
    spend_alone,
)
from cartdale.limits.types import (
    Borrow,
    KeeperState,
    Loan,
    Rate,
    SpenderState,
)
from cartdale.membership.driver import Membership
from cartdale.membership.types import MemberNews, PeerSilent
from cartdale.peers.client import PeerClient

_ACCOUNT_PREFIX = 'account:'


class Limiter:
    """Hold this instance's part of all limits."""

    def __init__(
        self, membership: Membership, peers: PeerClient, clock: Clock
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._rates_by_account: dict[str, Rate] = {}
        self._keeper = KeeperState()
        self._spender = SpenderState()

    def set_rates(self, rates_by_account: dict[str, Rate]) -> None:
        """Take the limits of a configuration that came in force."""
        self._rates_by_account = rates_by_account

    async def admit(self, account: str) -> Loan:
        """Decide whether one request may run now.

        :returns: a loan with one credit, or with none and the wait.
        """
        rate = self._rates_by_account.get(account)
        if rate is None:
            return Loan(1, 0)
        after, paid = spend(self._spender, account, self._clock.now())
        self._spender = after
        if paid:
            return Loan(1, 0)
        return await self._borrow(account, rate)

    def lend(self, asked: Borrow) -> Loan:
        """Answer a borrower as the keeper of the account."""
        rate = self._rates_by_account.get(asked.account)
        if rate is None:
            return Loan(asked.wanted, 0)
        after, loan = lend(self._keeper, asked, rate, self._clock.now())
        self._keeper = after
        return loan

    async def _borrow(self, account: str, rate: Rate) -> Loan:
        asked = choose_loan(self._spender, account, self._clock.now())
        ranked = self._membership.rank(f'{_ACCOUNT_PREFIX}{account}')
        own = self._membership.state.own.name
        if not ranked or ranked[0].name == own:
            # Lending to itself, one at a time keeps the bucket exact.
            return self.lend(Borrow(account, 1))
        loan = await self._ask(ranked[0], asked)
        if loan is None:
            return self._alone(account, rate, len(ranked))
        if loan.credits:
            self._spender = receive(
                self._spender, account, loan, self._clock.now()
            )
        return loan

    async def _ask(self, keeper: MemberNews, asked: Borrow) -> Loan | None:
        answer = await self._peers.request(
            keeper.name, keeper.address, asked, Loan
        )
        match answer:
            case Success(loan):
                granted: Loan = loan
                return granted
        self._membership.dispatch(PeerSilent(keeper.name))
        return None

    def _alone(self, account: str, rate: Rate, members: int) -> Loan:
        after, loan = spend_alone(
            self._spender, account, rate, members, self._clock.now()
        )
        self._spender = after
        return loan
