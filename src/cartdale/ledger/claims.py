"""Claim keys at their owners, wherever those are."""

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

_ATTEMPTS = 3
_RESCAN_PAUSE: Millis = 1000


@dataclass(frozen=True, slots=True)
class NoOwner:
    """No owner answered; this attempt has not run and will not run."""


class Claimer:
    """Claim keys for requests that arrive at this instance."""

    def __init__(
        self, owner: SlotOwner, peers: PeerClient, name: str, clock: Clock
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._name = name
        self._clock = clock
        self._scanned_at: Millis = 0

    async def claim(self, claim: Claim) -> Result[ClaimAnswer, NoOwner]:
        """Ask the key's owner whether this attempt may run.

        An attempt whose answer is lost asks again under the same claim
        id, so that a grant that nobody received is not wasted.
        """
        for _ in range(_ATTEMPTS):
            holder = self._owner.holders_by_slot.get(slot_of(claim.key))
            answer = await self._ask(holder, claim)
            if answer is not None:
                return Success(answer)
            await self._rescan()
        return Failure(NoOwner())

    async def report(self, message: Settle | Release) -> None:
        """Tell the owner how an attempt went; lost reports are safe."""
        number = slot_of(message.key)
        holder = self._owner.holders_by_slot.get(number)
        mine = holder is not None and holder.name == self._name
        if mine and number not in self._owner.owned():
            # The slot went to another owner while the request ran.
            await self._owner.scan()
            holder = self._owner.holders_by_slot.get(number)
        if holder is None:
            return
        if holder.name == self._name:
            self._owner.handle_message(message, message.key)
            return
        await self._peers.request(
            holder.name, holder.address, message, Acknowledged
        )

    async def _ask(
        self, holder: SlotHolder | None, claim: Claim
    ) -> ClaimAnswer | None:
        if holder is None:
            return None
        if holder.name == self._name:
            return _owned(self._owner.handle_message(claim, claim.key))
        asked = await self._peers.request(
            holder.name, holder.address, claim, ClaimAnswer
        )
        match asked:
            case Success(answer):
                return _owned(answer)
        return None

    async def _rescan(self) -> None:
        if self._clock.now() - self._scanned_at < _RESCAN_PAUSE:
            return
        self._scanned_at = self._clock.now()
        await self._owner.scan()


def _owned(answer: ClaimAnswer) -> ClaimAnswer | None:
    if answer.verdict is Verdict.NOT_OWNER:
        return None
    return answer
