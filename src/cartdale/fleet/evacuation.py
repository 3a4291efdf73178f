"""Track which failure domains are evacuated.

An operator evacuates a failure domain so that its upstreams get no new work.
The status of a domain carries the store revision of its last change, so that
instances may receive changes in any order and over any path: the later change
applies, and an older one never reverts it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.ranges import Ordinal

#: A stopped generation may still resume at an evacuated engine for this long
#: after this instance received the evacuation: moves in progress are not cut,
#: and the bound of several seconds is met with a wide margin.
FINISHES_MOVES: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Describe whether a failure domain is evacuated.

    :param revision: of the store at the last change.
    :param active: whether no new work may go there.
    """

    failure_domain: str
    revision: Ordinal
    active: bool = True


@dataclass(frozen=True, slots=True)
class EvacuationStatus:
    """Hold the known evacuation of a failure domain.

    :param changed_at: when this instance received the present ``active``.
    """

    evacuation: Evacuation
    changed_at: Millis

    @property
    def active(self) -> bool:
        """Tell whether no new work may go there."""
        return self.evacuation.active


EvacuationStatuses = Mapping[str, EvacuationStatus]


def merge(
    statuses: EvacuationStatuses, reported: Iterable[Evacuation], now: Millis
) -> dict[str, EvacuationStatus]:
    """Return the statuses updated by the later of each domain's changes."""
    merged = dict(statuses)
    for evacuation in reported:
        known = merged.get(evacuation.failure_domain)
        if known and known.evacuation.revision >= evacuation.revision:
            continue
        unchanged = known and known.active == evacuation.active
        changed_at = known.changed_at if known and unchanged else now
        merged[evacuation.failure_domain] = EvacuationStatus(
            evacuation, changed_at
        )
    return merged


def end_unlisted(
    statuses: EvacuationStatuses, listed: Iterable[Evacuation], revision: int
) -> tuple[Evacuation, ...]:
    """Return the ends of active evacuations that a store listing lacks.

    :param revision: of the store at the listing; later changes still apply.
    """
    present = {evacuation.failure_domain for evacuation in listed}
    return tuple(
        Evacuation(domain, revision, active=False)
        for domain, known in statuses.items()
        if known.active and domain not in present
    )


def is_evacuated(statuses: EvacuationStatuses, failure_domain: str) -> bool:
    """Tell whether no new work may go to a failure domain."""
    known = statuses.get(failure_domain)
    return known is not None and known.active


def may_finish_move(
    statuses: EvacuationStatuses, failure_domain: str, now: Millis
) -> bool:
    """Tell whether a stopped generation may still resume in a domain."""
    known = statuses.get(failure_domain)
    if known is None or not known.active:
        return True
    return now - known.changed_at <= FINISHES_MOVES


def reopened_within(
    statuses: EvacuationStatuses, failure_domain: str, span: Millis, now: Millis
) -> bool:
    """Tell whether a failure domain's evacuation ended recently."""
    known = statuses.get(failure_domain)
    if known is None or known.active:
        return False
    return now - known.changed_at < span
