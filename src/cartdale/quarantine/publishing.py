"""Select the evidence against requests to publish to peers."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import chain, islice
from typing import TypeVar

from cartdale.clock import SECOND_MS, Millis
from cartdale.quarantine.evidence import list_valid
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.part_records import (
    count_crashes_by_part,
    describe_parts,
)
from cartdale.quarantine.types import (
    CrashNews,
    Evidence,
    QuarantineState,
    RequestRecord,
)

#: Maximum number of crashes in one message to a peer; bounds its size.
PAGE_SIZE = 8
#: Of these the crashes of the requests with the most; others that changed
#: recently have the remainder in turns, since they may explain the same crashes
#: however few they have themselves.
_URGENT_CRASHES = 6
#: Time after a change in which the crashes of a request are sent first. Later
#: they are sent in turns, and only for requests that crashed several upstreams
#: or share a part with one that did. These include requests that survived
#: since: a peer that receives only the crashes would count them against the
#: request.
_FRESH_DURATION: Millis = 3 * SECOND_MS
#: Crashes of one request that are sent at first, the newest: as many as
#: quarantine it. All crashes of a few requests would leave no room for others,
#: which may explain the same crashes.
_MAX_FRESH_CRASHES = 3

_Listed = TypeVar('_Listed')


@dataclass(frozen=True, slots=True)
class _RankedRecord:
    """Rank a request whose record changed recently.

    :param crashes: number of crashes that count against it, or against one of
        the parts of its prompt.
    """

    crashes: int
    record: RequestRecord


def select_news(
    state: QuarantineState, now: Millis, turn: int
) -> tuple[CrashNews, ...]:
    """Return the crashes for the next message to a peer.

    Recent changes come first, those of the requests with the most crashes in
    each message; the remaining records follow in turns, for instances that were
    cut off or suspended.

    :param turn: sequence number of the message.
    """
    crashes_by_part = count_crashes_by_part(state.records_by_part)
    fresh: list[_RankedRecord] = []
    settled: list[RequestRecord] = []
    for record in state.records_by_identity.values():
        shared = _count_shared(crashes_by_part, record)
        if now - record.changed_at <= _FRESH_DURATION:
            crashes = max(len(list_valid(record)), shared)
            fresh.append(_RankedRecord(crashes, record))
        elif len(record.evidence) > 1 or shared > 1:
            settled.append(record)
    fresh.sort(key=_urgency, reverse=True)
    first = list(_list_crashes((each.record for each in fresh), now))
    selected = chain(
        first[:_URGENT_CRASHES],
        _rotate(first[_URGENT_CRASHES:], turn * (PAGE_SIZE - _URGENT_CRASHES)),
        _list_crashes(_rotate(settled, turn), now),
    )
    return tuple(
        describe(state, crashed, evidence, now)
        for crashed, evidence in islice(selected, PAGE_SIZE)
    )


def _list_crashes(
    records: Iterable[RequestRecord], now: Millis
) -> Iterator[tuple[RequestRecord, Evidence]]:
    for record in records:
        for evidence in _select_evidence(record, now):
            yield record, evidence


def _rotate(listed: list[_Listed], first: int) -> list[_Listed]:
    """Return a list from one of its entries on, around its end."""
    start = first % max(len(listed), 1)
    return listed[start:] + listed[:start]


def _select_evidence(
    record: RequestRecord, now: Millis
) -> tuple[Evidence, ...]:
    """Return the crashes of a request that a message names."""
    if now - record.changed_at <= _FRESH_DURATION:
        return record.evidence[-_MAX_FRESH_CRASHES:]
    return record.evidence


def describe_part(
    state: QuarantineState, part: Identity, now: Millis
) -> tuple[CrashNews, ...]:
    """Return the crashes of a part alone, in the form for peers."""
    record = state.records_by_part[part]
    told = describe_parts(state.records_by_part, (part,), now)
    return tuple(
        CrashNews(
            identity=crash.identity,
            upstream=crash.upstream,
            born=crash.born,
            age=now - crash.seen_at,
            ran_for=max(crash.seen_at - crash.began_at, 0),
            parts=told,
        )
        for crash in record.crashes
    )


def describe(
    state: QuarantineState,
    record: RequestRecord,
    evidence: Evidence,
    now: Millis,
) -> CrashNews:
    """Convert a crash for a message to peers."""
    crash = evidence.crash
    return CrashNews(
        identity=crash.identity,
        upstream=crash.upstream,
        born=crash.born,
        age=now - evidence.seen_at,
        ran_age=None if record.ran_at is None else now - record.ran_at,
        ran_for=max(evidence.seen_at - evidence.began_at, 0),
        parts=describe_parts(state.records_by_part, evidence.parts, now),
    )


def _count_shared(
    crashes_by_part: Mapping[Identity, int], record: RequestRecord
) -> int:
    """Return the most crashes of a part that a request shares with others."""
    counts = [
        crashes_by_part.get(part, 0)
        for each in record.evidence
        for part in each.parts
    ]
    return max(counts, default=0)


def _urgency(ranked_record: _RankedRecord) -> tuple[int, Millis]:
    return ranked_record.crashes, ranked_record.record.changed_at
