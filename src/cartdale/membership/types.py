"""Messages, state and actions of the membership slice."""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import SECOND_MS, Millis

#: Between two rounds of gossip.
ROUND_MS: Millis = 2 * SECOND_MS
#: Peers exchanged with in a round, and at once after important news.
FANOUT = 1
URGENT_FANOUT = 4
#: Members described in one message; bounds its size.
NEWS_IN_MESSAGE = 12
#: Of these, how many are the last that were heard; the rest is a sample.
FRESHEST = 4
#: Rounds without a newer heartbeat after which a member is silent, and how
#: many full cycles of news are waited for on top.
SILENT_ROUNDS = 6
CYCLES_WAITED = 4
#: A silent member is forgotten after so long when nobody lists it.
FORGET_MS: Millis = 10 * 60 * SECOND_MS


class MemberStatus(StrEnum):
    """Say what a member said of itself."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class MemberNews:
    """Describe a member as it described itself.

    :param incarnation: wall time of its start; larger wins.
    :param beat: counts its rounds; larger wins within an incarnation.
    :param address: base URL of its peers' interface.
    :param revision: configuration in force there.
    """

    name: str
    incarnation: int
    beat: int
    status: MemberStatus
    address: str
    failure_domain: str
    region: str
    revision: int
    took_ms: Millis = 0


@dataclass(frozen=True, slots=True)
class Member:
    """Hold what this instance believes of another.

    :param received_at: when news with a newer heartbeat arrived.
    :param suspected: whether a call to it failed and it was not heard since.
    :param listed: whether the platform's list shows it as live.
    """

    news: MemberNews
    received_at: Millis
    suspected: bool = False
    listed: bool = False


@dataclass(frozen=True, slots=True)
class MembershipState:
    """Hold this instance's view of all others.

    :param own: what this instance says of itself.
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
    """The platform's list arrived; it lags behind the truth."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class NewsReceived:
    """A peer told what it knows; the first entry is its own."""

    news: tuple[MemberNews, ...]


@dataclass(frozen=True, slots=True)
class PeerSilent:
    """A call to a peer failed."""

    name: str


@dataclass(frozen=True, slots=True)
class RoundBegan:
    """It is time to tell some peers."""


@dataclass(frozen=True, slots=True)
class RevisionAdopted:
    """A newer configuration is in force here."""

    revision: int
    took_ms: Millis


@dataclass(frozen=True, slots=True)
class OwnLeaving:
    """This instance begins to leave."""


@dataclass(frozen=True, slots=True)
class CrashesLearnt:
    """This instance learnt of upstreams that ended under a request."""


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
