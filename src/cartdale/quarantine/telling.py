"""Choose what to tell peers of the evidence against requests."""

from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.quarantine.evidence import list_valid
from cartdale.quarantine.types import (
    CrashNews,
    Evidence,
    QuarantineState,
    RequestRecord,
)

#: Crashes in one message to a peer; bounds its size.
PAGE = 8
#: Crashes are told for so long after something changed; after that in turns,
#: and only if more than one speaks against the request.
_TOLD_FRESH: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class _Told:
    """Hold a crash with what ranks it.

    :param crashes: that speak against the request.
    :param changed_at: when something about it was learnt.
    """

    crashes: int
    changed_at: Millis
    news: CrashNews


def select_news(
    state: QuarantineState, now: Millis, turn: int
) -> tuple[CrashNews, ...]:
    """Return what to tell a peer next.

    What changed of late goes first, that against the most suspected foremost;
    the rest comes in turns, for instances that were cut off or suspended.

    :param turn: counts the messages.
    """
    fresh: list[_Told] = []
    settled: list[CrashNews] = []
    for record in state.records_by_identity.values():
        crashes = len(list_valid(record))
        for each in record.evidence:
            changed_at = max(each.changed_at, record.changed_at)
            news = describe(record, each, now)
            if now - changed_at <= _TOLD_FRESH:
                fresh.append(_Told(crashes, changed_at, news))
            elif crashes > 1:
                settled.append(news)
    fresh.sort(key=_urgency, reverse=True)
    chosen = [told.news for told in fresh[:PAGE]]
    room = min(PAGE - len(chosen), len(settled))
    for step in range(room):
        chosen.append(settled[(turn * room + step) % len(settled)])
    return tuple(chosen)


def describe(
    record: RequestRecord, evidence: Evidence, now: Millis
) -> CrashNews:
    """Return what to tell of a crash."""
    crash = evidence.crash
    return CrashNews(
        identity=crash.identity,
        upstream=crash.upstream,
        born=crash.born,
        age=now - evidence.seen_at,
        ran_age=None if record.ran_at is None else now - record.ran_at,
    )


def _urgency(told: _Told) -> tuple[int, Millis]:
    return told.crashes, told.changed_at
