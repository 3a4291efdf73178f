"""Claim idempotency keys from their owners, local or remote."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from cartdale.clock import Clock, Millis
from cartdale.ledger.keys import slot_of
from cartdale.ledger.owner import SlotHolder, SlotOwner
from cartdale.ledger.types import (
    Claim,
    ClaimAnswer,
    Release,
    Settle,
    Verdict,
)
from cartdale.peers.client import PeerClient
from cartdale.peers.messages import Acknowledged

_MAX_ATTEMPTS = 3
_MIN_RESCAN_INTERVAL: Millis = 1000


@dataclass(frozen=True, slots=True)
class NoOwner:
    """No owner responded; the attempt has not run and must not run."""


class Claimer:
    """Claims idempotency keys for requests received by this instance."""

    def __init__(
        self, owner: SlotOwner, peers: PeerClient, name: str, clock: Clock
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._name = name
        self._clock = clock
        self._scanned_at: Millis = 0

    async def claim(self, claim: Claim) -> Result[ClaimAnswer, NoOwner]:
        """Request permission from the key's owner to run this attempt.

        If the response is lost, the claim is retried with the same claim
        id, so a grant whose response was lost can still be used.
        """
        for _ in range(_MAX_ATTEMPTS):
            holder = self._owner.holders_by_slot.get(slot_of(claim.key))
            answer = await self._request(holder, claim)
            if answer is not None:
                return Success(answer)
            await self._rescan()
        return Failure(NoOwner())

    async def report(self, message: Settle | Release) -> None:
        """Report the outcome of an attempt to the owner.

        A lost report is safe.
        """
        slot = slot_of(message.key)
        holder = self._owner.holders_by_slot.get(slot)
        is_local = holder is not None and holder.name == self._name
        if is_local and slot not in self._owner.owned():
            # The slot moved to another owner while the request ran.
            await self._owner.scan()
            holder = self._owner.holders_by_slot.get(slot)
        if holder is None:
            return
        if holder.name == self._name:
            self._owner.handle_message(message, message.key)
            return
        await self._peers.request(
            holder.name, holder.address, message, Acknowledged
        )

    async def _request(
        self, holder: SlotHolder | None, claim: Claim
    ) -> ClaimAnswer | None:
        if holder is None:
            return None
        if holder.name == self._name:
            return _answer_of_owner(
                self._owner.handle_message(claim, claim.key)
            )
        response = await self._peers.request(
            holder.name, holder.address, claim, ClaimAnswer
        )
        match response:
            case Success(answer):
                return _answer_of_owner(answer)
        return None

    async def _rescan(self) -> None:
        if self._clock.now() - self._scanned_at < _MIN_RESCAN_INTERVAL:
            return
        self._scanned_at = self._clock.now()
        await self._owner.scan()


def _answer_of_owner(answer: ClaimAnswer) -> ClaimAnswer | None:
    if answer.verdict is Verdict.NOT_OWNER:
        return None
    return answer
