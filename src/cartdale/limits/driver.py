"""Check rate limits with the bucket owner before a request runs."""

from returns.result import Success

from cartdale.clock import Clock
from cartdale.limits.decide import (
    lend,
    make_loan_request,
    receive_loan,
    spend,
    spend_without_owner,
)
from cartdale.limits.types import (
    Borrow,
    BorrowerState,
    BucketOwnerState,
    Loan,
    Rate,
)
from cartdale.membership.driver import Membership
from cartdale.membership.types import MemberNews, PeerSilent
from cartdale.peers.client import PeerClient

_ACCOUNT_PREFIX = 'account:'


class Limiter:
    """Own buckets and borrowed credits of this instance."""

    def __init__(
        self, membership: Membership, peers: PeerClient, clock: Clock
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._rates_by_account: dict[str, Rate] = {}
        self._owner_state = BucketOwnerState()
        self._borrower_state = BorrowerState()

    def set_rates(self, rates_by_account: dict[str, Rate]) -> None:
        """Apply the limits of a configuration that became active."""
        self._rates_by_account = rates_by_account

    async def admit(self, account: str) -> Loan:
        """Decide whether one request may run now.

        :returns: a loan of one credit, or of none with the retry time.
        """
        rate = self._rates_by_account.get(account)
        if rate is None:
            return Loan(1, 0)
        after, paid = spend(self._borrower_state, account, self._clock.now())
        self._borrower_state = after
        if paid:
            return Loan(1, 0)
        return await self._borrow(account, rate)

    def lend(self, request: Borrow) -> Loan:
        """Lend credits to another instance as the owner of the bucket."""
        rate = self._rates_by_account.get(request.account)
        if rate is None:
            return Loan(request.wanted, 0)
        after, loan = lend(self._owner_state, request, rate, self._clock.now())
        self._owner_state = after
        return loan

    async def _borrow(self, account: str, rate: Rate) -> Loan:
        request = make_loan_request(
            self._borrower_state, account, self._clock.now()
        )
        ranked = self._membership.rank(f'{_ACCOUNT_PREFIX}{account}')
        own = self._membership.state.own.name
        if not ranked or ranked[0].name == own:
            # At the owner itself, single credits keep the bucket exact.
            return self.lend(Borrow(account, 1))
        loan = await self._request_loan(ranked[0], request)
        if loan is None:
            return self._spend_without_owner(account, rate, len(ranked))
        if loan.credits:
            self._borrower_state = receive_loan(
                self._borrower_state, account, loan, self._clock.now()
            )
        return loan

    async def _request_loan(
        self, owner: MemberNews, request: Borrow
    ) -> Loan | None:
        answer = await self._peers.request(
            owner.name, owner.address, request, Loan
        )
        match answer:
            case Success(loan):
                granted: Loan = loan
                return granted
        self._membership.dispatch(PeerSilent(owner.name))
        return None

    def _spend_without_owner(
        self, account: str, rate: Rate, members: int
    ) -> Loan:
        after, loan = spend_without_owner(
            self._borrower_state, account, rate, members, self._clock.now()
        )
        self._borrower_state = after
        return loan
