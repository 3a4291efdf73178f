"""Messages, state and actions of membership."""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import SECOND_MS, Millis
from cartdale.ranges import Age, Ordinal

#: Time between two rounds of gossip.
ROUND_MS: Millis = 2 * SECOND_MS
#: Number of peers to exchange news with in a round, besides a suspected one,
#: and immediately after an urgent change.
FANOUT = 1
URGENT_FANOUT = 4
#: Maximum number of members described in one message; bounds its size.
NEWS_IN_MESSAGE = 12
#: Number of these with the most recent news; the others are a random sample.
FRESH_NEWS_IN_MESSAGE = 4
#: Rounds without a newer heartbeat after which a member counts as silent, and
#: the number of full cycles of news to wait for in addition.
SILENT_ROUNDS = 6
SILENT_CYCLES = 4
#: Time after which a silent member that is no longer listed is dropped.
FORGET_MS: Millis = 10 * 60 * SECOND_MS


class MemberStatus(StrEnum):
    """Status that a member announced."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class MemberNews:
    """Describe a member, as published by itself.

    :param incarnation: wall time of its start, or one more than that of an
        earlier run whose clock was ahead; the larger one is newer.
    :param beat: heartbeat counter; the larger one is newer within an
        incarnation.
    :param address: base URL of its peer interface.
    :param revision: configuration in force on the member.
    """

    name: str
    incarnation: Ordinal
    beat: Ordinal
    status: MemberStatus
    address: str
    failure_domain: str
    region: str
    revision: Ordinal
    took_ms: Age = 0


@dataclass(frozen=True, slots=True)
class Member:
    """Hold this instance's view of another member.

    :param received_at: when news with a newer heartbeat last arrived.
    :param suspected: whether a call to it failed and none of its messages was
        received since.
    :param listed: whether the platform's list shows it as live.
    """

    news: MemberNews
    received_at: Millis
    suspected: bool = False
    listed: bool = False


@dataclass(frozen=True, slots=True)
class MembershipState:
    """Hold this instance's view of all members.

    :param own: news that this instance publishes about itself.
    :param rounds: gossip rounds begun; seeds the choice of peers.
    """

    own: MemberNews
    members_by_name: dict[str, Member] = field(default_factory=dict)
    rounds: int = 0


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe an instance as the platform's list shows it."""

    name: str
    address: str
    failure_domain: str
    region: str
    state: str


@dataclass(frozen=True, slots=True)
class ListRead:
    """The platform's list arrived; it lags behind the actual state."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class NewsReceived:
    """A peer sent its news; the first entry describes the peer itself."""

    news: tuple[MemberNews, ...]


@dataclass(frozen=True, slots=True)
class PeerSilent:
    """A call to a peer failed."""

    name: str


@dataclass(frozen=True, slots=True)
class RoundBegan:
    """A gossip round begins."""


@dataclass(frozen=True, slots=True)
class RevisionAdopted:
    """A newer configuration is in force on this instance."""

    revision: int
    took_ms: Millis


@dataclass(frozen=True, slots=True)
class OwnLeaving:
    """This instance begins to leave."""


@dataclass(frozen=True, slots=True)
class CrashesLearnt:
    """This instance learnt of upstreams that crashed on a request."""


@dataclass(frozen=True, slots=True)
class SendNews:
    """Exchange news with a peer."""

    name: str
    address: str
    news: tuple[MemberNews, ...]


Message = (
    ListRead
    | NewsReceived
    | PeerSilent
    | RoundBegan
    | RevisionAdopted
    | OwnLeaving
    | CrashesLearnt
)
Decision = tuple[MembershipState, tuple[SendNews, ...]]
