"""Types of the briefing that a new instance gets from a peer."""

from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import UpstreamEntry
from cartdale.news.types import PeerEntry
from cartdale.quarantine.types import CrashNews


@dataclass(frozen=True, slots=True)
class Briefing:
    """Data that an instance needs to start serving.

    :param key: the cluster's key, which signs news; empty if unknown.
    :param document: the operator's current document; empty if there is none
        yet.
    :param peers: known instances, from the store's list or from news, including
        the sender.
    :param entries: upstreams that accept new requests.
    :param lapsed: ids of those upstreams whose entries were lost in an outage
        of the store and may come back.
    :param evacuations: evacuations of failure domains, current and past.
    :param crashes: upstreams that crashed as they started to run a request.
    :param departures: start times of upstreams that announced that they are
        leaving, by id, in Unix milliseconds; 0 if unknown. The store may list
        them as before.
    :param revisions: those of the store at which these wrote their entries, by
        id.
    :param encoding: encoding of the document; empty if it is sent as stored.
    """

    key: bytes
    document: bytes
    peers: tuple[PeerEntry, ...] = ()
    entries: tuple[UpstreamEntry, ...] = ()
    lapsed: tuple[str, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    encoding: str = ''
    departures: dict[str, Millis] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
