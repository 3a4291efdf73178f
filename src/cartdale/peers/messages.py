"""Message types exchanged between instances, and their wire names."""

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
    """Send news and request news; the response has the same type.

    :param crashes: upstreams that crashed as they started to run a request.
    """

    news: tuple[MemberNews, ...]
    crashes: tuple[CrashNews, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchDeltas:
    """Request the configuration changes after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class HandOn:
    """Send deltas, or a snapshot if the deltas don't reach back far enough."""

    deltas: tuple[Delta, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class FetchReport:
    """Request the measurements of an instance."""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The message was accepted."""


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
