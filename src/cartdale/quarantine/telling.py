"""Choose what to tell peers of the evidence against requests."""

from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.quarantine.decide import count_uncleared
from cartdale.quarantine.types import CrashNews, Evidence, QuarantineState

#: Pieces of evidence in one message to a peer; bounds its size.
PAGE = 8
#: Evidence is told for so long after it changed; after that in turns, and
#: only if more than one crash speaks against the request.
_TOLD_FRESH: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class _Told:
    """Rank fresh evidence.

    :param crashes: that speak against the request.
    """

    crashes: int
    changed_at: Millis
    evidence: Evidence


def select_news(
    state: QuarantineState, now: Millis, turn: int
) -> tuple[CrashNews, ...]:
    """Return what to tell a peer next.

    What changed of late goes first, that against the most suspected foremost;
    the rest comes in turns, for instances that were cut off or suspended.

    :param turn: counts the messages.
    """
    fresh: list[_Told] = []
    settled: list[Evidence] = []
    for evidence in state.evidence_by_identity.values():
        crashes = count_uncleared(evidence)
        for each in evidence:
            if now - each.changed_at <= _TOLD_FRESH:
                fresh.append(_Told(crashes, each.changed_at, each))
            elif crashes > 1:
                settled.append(each)
    fresh.sort(key=_urgency, reverse=True)
    chosen = [told.evidence for told in fresh[:PAGE]]
    room = min(PAGE - len(chosen), len(settled))
    for step in range(room):
        chosen.append(settled[(turn * room + step) % len(settled)])
    return tuple(describe(told, now) for told in chosen)


def _urgency(told: _Told) -> tuple[int, Millis]:
    return told.crashes, told.changed_at


def describe(evidence: Evidence, now: Millis) -> CrashNews:
    """Return what to tell of a piece of evidence."""
    crash = evidence.crash
    return CrashNews(
        identity=crash.identity,
        upstream=crash.upstream,
        born=crash.born,
        age=now - evidence.seen_at,
        cleared=evidence.cleared,
    )
