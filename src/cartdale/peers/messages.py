"""Messages between instances, by the kind that names them on the wire."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from cartdale.configuration.types import Delta, Snapshot
from cartdale.ledger.types import Claim, ClaimAnswer, Release, Settle
from cartdale.limits.types import Borrow, Loan
from cartdale.membership.types import MemberNews
from cartdale.peers.documents import Document, FetchDocument, Unserved
from cartdale.placement.types import EndReport, PlaceAnswer, PlaceRequest
from cartdale.quarantine.types import CrashNews
from cartdale.reports.types import ReportPart


@dataclass(frozen=True, slots=True)
class Exchange:
    """Tell news and ask for news; answered by the same type.

    :param crashes: upstreams that ended as they began to run a request.
    """

    news: tuple[MemberNews, ...]
    crashes: tuple[CrashNews, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchDeltas:
    """Ask for the configuration after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class HandOn:
    """Hand on deltas, or a snapshot where they reach not far enough back."""

    deltas: tuple[Delta, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class FetchReport:
    """Ask for the measures of an instance."""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The message was taken."""


_ConfigurationMessage = FetchDeltas | HandOn | FetchDocument | Document
_LedgerMessage = Claim | ClaimAnswer | Settle | Release
_PlacementMessage = PlaceRequest | PlaceAnswer | EndReport
_CountMessage = Borrow | Loan | FetchReport | ReportPart
PeerMessage = (
    Exchange
    | _ConfigurationMessage
    | _LedgerMessage
    | _PlacementMessage
    | _CountMessage
    | Acknowledged
    | Unserved
)

SHAPES_BY_KIND: Mapping[str, type[Any]] = MappingProxyType(
    {
        shape.__name__: shape
        for shape in (
            Exchange,
            FetchDeltas,
            HandOn,
            Borrow,
            Loan,
            Claim,
            ClaimAnswer,
            Settle,
            Release,
            PlaceRequest,
            PlaceAnswer,
            EndReport,
            FetchDocument,
            Document,
            FetchReport,
            ReportPart,
            Acknowledged,
            Unserved,
        )
    },
)
