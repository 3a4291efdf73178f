"""Messages, state and actions of the configuration state machine."""

from dataclasses import dataclass, field

from cartdale.clock import Millis
from cartdale.codec import digest, encode_json

#: Deltas that an instance keeps for peers that are a few revisions behind.
KEPT_DELTAS = 64


@dataclass(frozen=True, slots=True)
class Change:
    """Set or remove one declared object.

    :param key: ``kind.name``.
    :param body: the object as JSON; empty for a removal.
    """

    key: str
    body: str


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes of one confirmed revision.

    :param revision: from 1, without gaps.
    :param digest: digest of the complete configuration after this delta.
    :param plan_id: the plan that was confirmed.
    :param author: who confirmed it.
    :param wall_ms: confirmation time on the confirming instance's wall clock.
    """

    revision: int
    digest: str
    plan_id: str
    author: str
    wall_ms: Millis
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The complete configuration at one revision."""

    revision: int
    digest: str
    bodies_by_key: dict[str, str]


@dataclass(frozen=True, slots=True)
class Head:
    """The last confirmed revision, as stored.

    :param snapshot_revision: newest snapshot in the store; 0 for none.
    """

    revision: int
    digest: str
    plan_id: str
    snapshot_revision: int = 0


def digest_bodies(revision: int, bodies_by_key: dict[str, str]) -> str:
    """Digest a complete configuration, independent of insertion order."""
    return digest(encode_json((revision, sorted(bodies_by_key.items()))))


EMPTY_DIGEST = digest_bodies(0, {})


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The configuration in force on one instance.

    :param target: highest revision known from the store or a peer.
    :param recent: the last deltas, oldest first, for peers.
    :param rejected: deltas and snapshots that failed verification.
    :param stale: announcements of older revisions, and deltas and snapshots
        that are no newer than the revision in force.
    """

    revision: int = 0
    digest: str = EMPTY_DIGEST
    bodies_by_key: dict[str, str] = field(default_factory=dict)
    target: int = 0
    recent: tuple[Delta, ...] = ()
    rejected: int = 0
    stale: int = 0


@dataclass(frozen=True, slots=True)
class RevisionAnnounced:
    """The store or a peer announces that a revision exists."""

    revision: int


@dataclass(frozen=True, slots=True)
class DeltasReceived:
    """The store or a peer sent deltas, in any order."""

    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """The store or a peer sent a complete configuration."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Adopt:
    """Put a configuration in force on this instance."""

    revision: int
    confirmed_at: Millis


@dataclass(frozen=True, slots=True)
class Fetch:
    """Obtain the deltas after a revision, or a newer snapshot."""

    after: int


Message = RevisionAnnounced | DeltasReceived | SnapshotReceived
Action = Adopt | Fetch
Decision = tuple[ConfigurationState, tuple[Action, ...]]
