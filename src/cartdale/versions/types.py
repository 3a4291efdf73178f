"""Types of the slice that fetches the newest configuration from peers."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.news.types import PeerEntry, ReportSource


@dataclass(frozen=True, slots=True)
class Holder:
    """Peer that reported a configuration newer than the one in force here.

    :param version: the version that it last reported.
    :param heard_at: when that report arrived.
    :param due_at: from when on this instance may ask it for the document.
    :param nearby: whether it is preferred over peers of other failure domains.
    :param busy_until: until when it said that it sends to others.
    """

    peer: PeerEntry
    version: int
    heard_at: Millis
    due_at: Millis
    nearby: bool
    busy_until: Millis = 0


@dataclass(frozen=True, slots=True)
class VersionState:
    """What this instance knows of configurations newer than its own.

    :param newest: newest version that was ever reported.
    :param heard_at_by_version: when each version that is not in force yet was
        first reported.
    :param nearby_since: when a nearby peer first reported the newest version.
    :param fetches_by_peer: when each fetch in progress started.
    :param failed_at_by_peer: when each peer last failed to provide a newer
        document.
    :param failures: number of fetches that failed since a newer document came.
    :param failed_at: when the last of them ended.
    :param paused_until: until when no fetch is started, since a holder was
        busy.
    :param reading: whether a read of the store is in progress.
    :param read_at: when the last read of the store started.
    """

    newest: int = 0
    heard_at_by_version: Mapping[int, Millis] = field(default_factory=dict)
    holders_by_name: Mapping[str, Holder] = field(default_factory=dict)
    nearby_since: Millis | None = None
    fetches_by_peer: Mapping[str, Millis] = field(default_factory=dict)
    failed_at_by_peer: Mapping[str, Millis] = field(default_factory=dict)
    failures: int = 0
    failed_at: Millis = 0
    paused_until: Millis = 0
    reading: bool = False
    read_at: Millis | None = None


@dataclass(frozen=True, slots=True)
class VersionReported:
    """A peer reported the version that it has in force.

    :param wait: how long to leave the fetch to other instances.
    :param nearby: whether the peer is preferred over peers of other failure
        domains.
    """

    peer: PeerEntry
    version: int
    source: ReportSource
    wait: Millis
    nearby: bool


@dataclass(frozen=True, slots=True)
class FetchEnded:
    """A call for the document of a peer has ended.

    :param newer: whether it provided a configuration newer than the one in
        force.
    :param retry_after: if positive, the peer was busy: time after which it may
        be asked again.
    """

    name: str
    newer: bool
    retry_after: Millis = 0


@dataclass(frozen=True, slots=True)
class StoreReadEnded:
    """A read of the configuration in the store has ended.

    :param succeeded: whether the store responded; if it had a newer
        configuration, that is in force by now.
    """

    succeeded: bool


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A step may be due."""


@dataclass(frozen=True, slots=True)
class FellBehind:
    """A newer version was reported for the first time."""

    report: VersionReported


@dataclass(frozen=True, slots=True)
class FetchDocument:
    """Request the document of a peer.

    :param nearby: whether the peer may respond to ask again later; one far
        away is asked for a whole failure domain.
    """

    peer: PeerEntry
    nearby: bool


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the configuration in the store."""


Message = VersionReported | FetchEnded | StoreReadEnded | TimePassed
Action = FellBehind | FetchDocument | ReadStore
Decision = tuple[VersionState, tuple[Action, ...]]
