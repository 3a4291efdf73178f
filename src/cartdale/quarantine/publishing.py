"""Choose what to tell peers of the evidence against requests."""

from dataclasses import dataclass
from itertools import chain, islice

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
#: and only of requests under which several upstreams ended. Those that ran on
#: are among them: one who hears only of the crashes would blame the request.
_TOLD_FRESH: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class _Told:
    """Rank a request of which something was learnt of late.

    :param crashes: that speak against it.
    """

    crashes: int
    record: RequestRecord


def select_news(
    state: QuarantineState, now: Millis, turn: int
) -> tuple[CrashNews, ...]:
    """Return what to tell a peer next.

    What was learnt of late goes first, of the most suspected foremost; the
    rest comes in turns, for instances that were cut off or suspended.

    :param turn: counts the messages.
    """
    fresh: list[_Told] = []
    settled: list[RequestRecord] = []
    for record in state.records_by_identity.values():
        if now - record.changed_at <= _TOLD_FRESH:
            fresh.append(_Told(len(list_valid(record)), record))
        elif len(record.evidence) > 1:
            settled.append(record)
    fresh.sort(key=_urgency, reverse=True)
    begin = turn % max(len(settled), 1)
    ranked = chain(
        (told.record for told in fresh),
        islice(settled, begin, None),
        islice(settled, begin),
    )
    news: list[CrashNews] = []
    for suspected in ranked:
        news.extend(
            describe(suspected, each, now) for each in suspected.evidence
        )
        if len(news) >= PAGE:
            break
    return tuple(news[:PAGE])


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
    return told.crashes, told.record.changed_at
