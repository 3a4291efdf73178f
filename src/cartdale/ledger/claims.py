"""Claim idempotency keys from their owners, local or remote."""

from dataclasses import dataclass

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.formatting import format_log_fields
from cartdale.ledger.keys import slot_of
from cartdale.ledger.owner import SlotHolder, SlotOwner
from cartdale.ledger.types import (
    LEASE_MS,
    Claim,
    ClaimAnswer,
    Release,
    Settle,
    Verdict,
)
from cartdale.peers.client import PeerClient
from cartdale.peers.messages import Acknowledged
from cartdale.supervision import run_guarded

_MAX_ATTEMPTS = 3
_MIN_RESCAN_INTERVAL: Millis = SECOND_MS
#: Reports that the owner of a key did not get are repeated for two leases; by
#: then an owner that is gone has a successor, which does not know the key.
_REPEAT_INTERVAL: Millis = SECOND_MS
_REPEAT_FOR: Millis = 2 * LEASE_MS


@dataclass(frozen=True, slots=True)
class NoOwner:
    """No owner responded; the attempt has not run and must not run."""


@dataclass(frozen=True, slots=True)
class _Unreported:
    """Outcome of an attempt that the owner of its key does not know yet."""

    message: Settle | Release
    repeat_until: Millis


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
        self._unreported_by_claim: dict[str, _Unreported] = {}

    async def run(self) -> None:
        """Repeat reports that did not arrive until cancelled.

        Until its outcome is reported, a key counts as running.
        """
        while True:
            await trio.sleep(as_seconds(_REPEAT_INTERVAL))
            async with trio.open_nursery() as nursery:
                for unreported in self._unreported_by_claim.values():
                    nursery.start_soon(
                        run_guarded, 'claim reports', self._repeat, unreported
                    )

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

        A lost report is safe: the key is not granted again. It is repeated for
        a while, so that the key is free or its answer known.
        """
        if not await self._send_report(message):
            repeat_until = self._clock.now() + _REPEAT_FOR
            self._unreported_by_claim[message.claim_id] = _Unreported(
                message, repeat_until
            )

    async def _repeat(self, unreported: _Unreported) -> None:
        message = unreported.message
        ends = self._clock.now() >= unreported.repeat_until
        if await self._send_report(message) or ends:
            self._unreported_by_claim.pop(message.claim_id, None)

    async def _send_report(self, message: Settle | Release) -> bool:
        """Send a report; return whether it needs no repetition."""
        slot = slot_of(message.key)
        holder = self._owner.holders_by_slot.get(slot)
        is_local = holder is not None and holder.name == self._name
        if is_local and slot not in self._owner.owned():
            # The slot moved to another owner while the request ran.
            await self._owner.scan()
            holder = self._owner.holders_by_slot.get(slot)
        if holder is None:
            return True
        if holder.name == self._name:
            self._owner.handle_message(message, message.key)
            return True
        sent = await self._peers.request(
            holder.name, holder.address, message, Acknowledged
        )
        match sent:
            case Failure(failure):
                logger.info(
                    'outcome not reported',
                    owner=holder.name,
                    report=type(message).__name__,
                    **format_log_fields('failure', failure),
                )
                return False
        return True

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
