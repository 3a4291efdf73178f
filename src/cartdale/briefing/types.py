"""What one instance tells another that has just started."""

from dataclasses import dataclass

from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import UpstreamEntry
from cartdale.news.types import PeerEntry
from cartdale.quarantine.types import CrashNews


@dataclass(frozen=True, slots=True)
class Briefing:
    """Hold what an instance needs to serve.

    :param key: the cluster's key, which seals news; empty if not known.
    :param document: the operator's document in force; empty if there is none
        yet.
    :param peers: instances that were listed or heard of, the sender included.
    :param entries: upstreams that take new work.
    :param lapsed: ids of those among them whose entries went with an outage
        of the store, and may come back.
    :param evacuations: of failure domains, present and past.
    :param crashes: upstreams that ended as they began to run a request.
    :param encoding: of the document; empty for as it is stored.
    """

    key: bytes
    document: bytes
    peers: tuple[PeerEntry, ...] = ()
    entries: tuple[UpstreamEntry, ...] = ()
    lapsed: tuple[str, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    encoding: str = ''
