"""Know which failure domains are evacuated.

The operator asks that nothing new goes to the upstreams of a failure domain.
What is known of a domain carries the store's revision at which it was last
changed, so that instances may hear of it in any order and over any way: the
later change holds, and an older view never undoes it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis

#: A generation that has stopped may still go on at an evacuated engine for so
#: long after this instance heard of the evacuation: what is under way is not
#: cut, and the bound of several seconds is kept by far.
FINISHES_MOVES: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Say whether a failure domain is evacuated.

    :param revision: of the store when this was changed last.
    :param active: whether nothing new may go there.
    """

    failure_domain: str
    revision: int
    active: bool = True


@dataclass(frozen=True, slots=True)
class EvacuationStatus:
    """Hold what is known of a failure domain's evacuation.

    :param changed_at: when this instance learnt whether it is active.
    """

    evacuation: Evacuation
    changed_at: Millis

    @property
    def active(self) -> bool:
        """Tell whether nothing new may go there."""
        return self.evacuation.active


EvacuationStatuses = Mapping[str, EvacuationStatus]


def merge(
    statuses: EvacuationStatuses, told: Iterable[Evacuation], now: Millis
) -> dict[str, EvacuationStatus]:
    """Return what is known after something was told, the later of each."""
    merged = dict(statuses)
    for evacuation in told:
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
    """Return that evacuations ended which a listing of the store lacks.

    :param revision: of the store when it listed; what was written after that
        is not contradicted.
    """
    present = {evacuation.failure_domain for evacuation in listed}
    return tuple(
        Evacuation(domain, revision, active=False)
        for domain, known in statuses.items()
        if known.active and domain not in present
    )


def is_evacuated(statuses: EvacuationStatuses, failure_domain: str) -> bool:
    """Tell whether nothing new may go to a failure domain."""
    known = statuses.get(failure_domain)
    return known is not None and known.active


def may_finish_move(
    statuses: EvacuationStatuses, failure_domain: str, now: Millis
) -> bool:
    """Tell whether a stopped generation may still go on in a domain."""
    known = statuses.get(failure_domain)
    if known is None or not known.active:
        return True
    return now - known.changed_at <= FINISHES_MOVES


def reopened_within(
    statuses: EvacuationStatuses, failure_domain: str, span: Millis, now: Millis
) -> bool:
    """Tell whether a failure domain's evacuation ended of late."""
    known = statuses.get(failure_domain)
    if known is None or known.active:
        return False
    return now - known.changed_at < span
