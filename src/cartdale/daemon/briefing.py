"""Give briefings to new instances, and take them over as a new one."""

from cartdale.briefing.types import Briefing
from cartdale.daemon.peers import Peers
from cartdale.fleet.departure_records import list_departures
from cartdale.fleet.driver import Fleet
from cartdale.fleet.store_follower import StoreFollower
from cartdale.fleet.types import (
    EntryRemoved,
    EntryWritten,
    EvacuationsReceived,
    LeavingAnnounced,
    Lifecycle,
)
from cartdale.news.types import PeerListed
from cartdale.quarantine.types import CrashesTold


class Briefings:
    """Translate between a briefing and what this instance holds.

    :param follower: follows the store, whose word goes before a briefing.
    """

    def __init__(
        self, peers: Peers, fleet: Fleet, follower: StoreFollower
    ) -> None:
        self._peers = peers
        self._fleet = fleet
        self._follower = follower

    def knows_enough(self) -> bool:
        """Tell whether a new instance needs no briefing any more."""
        briefed = self._follower.configured.is_set() and bool(self._peers.key)
        return briefed or self._follower.synced.is_set()

    def describe(self, accepts: tuple[str, ...] = ()) -> Briefing:
        """Return what a new instance needs.

        :param accepts: encodings in which it reads the document.
        """
        upstreams = self._fleet.state.upstreams_by_id.values()
        departures = list_departures(self._fleet.state)
        document = self._peers.encoder.encode(self._follower.raw_table, accepts)
        return Briefing(
            key=self._peers.key,
            document=document.raw,
            encoding=document.encoding,
            peers=self._peers.list_known(),
            entries=tuple(
                each.entry
                for each in upstreams
                if each.lifecycle is not Lifecycle.LEAVING
            ),
            lapsed=tuple(
                each.entry.upstream
                for each in upstreams
                if each.lifecycle is Lifecycle.LAPSED
            ),
            evacuations=self._fleet.list_evacuations(),
            crashes=self._fleet.quarantine.list_news(),
            departures={name: each.born for name, each in departures.items()},
            revisions={
                name: each.revision for name, each in departures.items()
            },
        )

    def take(self, briefing: Briefing) -> None:
        """Take over what is not known yet, unless the store has answered.

        The configuration goes forward only, by its version.
        """
        # The store knows only of those that quarantined a request.
        self._fleet.quarantine.dispatch(CrashesTold(briefing.crashes))
        if self._follower.synced.is_set():
            return
        if briefing.key:
            self._peers.take_key(briefing.key)
        self._fleet.dispatch(EvacuationsReceived(briefing.evacuations))
        for peer in briefing.peers:
            self._peers.news.dispatch(PeerListed(peer))
        for entry in briefing.entries:
            if self._fleet.find(entry.upstream) is not None:
                continue
            self._fleet.dispatch(EntryWritten(entry, from_peer=True))
            if entry.upstream in briefing.lapsed:
                removed = EntryRemoved(entry.upstream, after_outage=True)
                self._fleet.dispatch(removed)
        for name, born in briefing.departures.items():
            left = LeavingAnnounced(
                name,
                from_peer=True,
                born=born,
                revision=briefing.revisions.get(name, 0),
            )
            self._fleet.dispatch(left)
        if briefing.document:
            self._peers.adopt(briefing.document)
