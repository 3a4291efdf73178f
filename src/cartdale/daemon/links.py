"""Connect the slices of this instance to its peers."""

from dataclasses import dataclass

from loguru import logger
from returns.result import Failure, Success

from cartdale.configuration.decide import select_deltas
from cartdale.configuration.driver import Configurator
from cartdale.configuration.types import (
    DeltasReceived,
    RevisionAnnounced,
    Snapshot,
    SnapshotReceived,
)
from cartdale.formatting import format_log_fields
from cartdale.ledger.owner import SlotOwner
from cartdale.ledger.types import Claim, Release, Settle
from cartdale.limits.driver import Limiter
from cartdale.limits.types import Borrow
from cartdale.membership.driver import Membership
from cartdale.membership.types import MemberNews
from cartdale.peers.client import PeerClient
from cartdale.peers.documents import Unserved
from cartdale.peers.messages import (
    Acknowledged,
    Exchange,
    FetchDeltas,
    FetchReport,
    HandOn,
    PeerMessage,
)
from cartdale.placement.driver import Placer
from cartdale.placement.types import EndReport, PlaceRequest
from cartdale.reports.recorder import Recorder


@dataclass(frozen=True, slots=True)
class SharedSlices:
    """Bundle the slices that peers talk to."""

    membership: Membership
    limiter: Limiter
    owner: SlotOwner
    placer: Placer

    async def serve(self, message: PeerMessage) -> PeerMessage:
        """Pass a message to the slice it is for."""
        match message:
            case Exchange():
                return self.membership.answer(message)
            case Borrow():
                return self.limiter.lend(message)
            case PlaceRequest():
                return await self.placer.serve(message)
            case EndReport():
                self.placer.apply_report(message)
            case Claim():
                return self.owner.handle_message(message, message.key)
            case Settle() | Release():
                self.owner.handle_message(message, message.key)
            case _:
                return Unserved()
        return Acknowledged()


class PeerLinks:
    """Serve peers' messages, and fetch from peers what they have newer."""

    def __init__(
        self,
        peers: PeerClient,
        configurator: Configurator,
        recorder: Recorder,
    ) -> None:
        self._recorder = recorder
        self._peers = peers
        self._configurator = configurator
        self._slices: SharedSlices | None = None

    def bind(self, slices: SharedSlices) -> None:
        """Name the slices that answer peers."""
        self._slices = slices

    async def serve(self, message: PeerMessage) -> PeerMessage:
        """Answer one message of a peer."""
        if self._slices is None:
            return Unserved()
        match message:
            case FetchReport():
                return self._recorder.measurements.export()
            case FetchDeltas(after=after):
                return self._hand_on(after)
        return await self._slices.serve(message)

    async def hear(self, news: MemberNews) -> None:
        """Get a peer's revision if it is newer than the one in force here.

        The store has it too, if neither that peer nor another one sends it.
        """
        if not self._lacks(news.revision):
            return
        self._configurator.apply(RevisionAnnounced(news.revision))
        await self._fetch_from(news)
        if self._lacks(news.revision):
            await self._configurator.read_newer()

    async def _fetch_from(self, holder: MemberNews) -> None:
        """Fetch the newer revisions that a peer holds."""
        fetch = FetchDeltas(self._configurator.state.revision)
        answer = await self._peers.request(
            holder.name, holder.address, fetch, HandOn
        )
        match answer:
            case Success(HandOn(deltas=deltas, snapshot=snapshot)):
                self._configurator.apply(DeltasReceived(deltas))
                if snapshot is not None:
                    self._configurator.apply(SnapshotReceived(snapshot))
            case Failure(failure):
                logger.info(
                    'configuration not fetched',
                    peer=holder.name,
                    revision=holder.revision,
                    **format_log_fields('failure', failure),
                )

    def _lacks(self, revision: int) -> bool:
        return revision > self._configurator.state.revision

    def _hand_on(self, after: int) -> HandOn:
        chosen = select_deltas(self._configurator.state, after)
        if isinstance(chosen, Snapshot):
            return HandOn((), chosen)
        return HandOn(chosen)
