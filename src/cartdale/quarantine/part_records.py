"""Keep the records of parts of prompts that stood in crashed requests."""

from cartdale.clock import Millis
from cartdale.quarantine.evidence import EVIDENCE_RETENTION
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.parts import (
    add_part_crash,
    count_part_crashes,
    identify_crash,
    note_part_run,
)
from cartdale.quarantine.types import (
    Evidence,
    PartCrash,
    PartNews,
    PartRecord,
)

#: Maximum number of parts with evidence, up to 2 KB each.
MAX_PARTS_KEPT = 1024

RecordsByPart = dict[Identity, PartRecord]
_UNKNOWN = PartRecord()


def add_crash_of_parts(
    records: RecordsByPart, evidence: Evidence, now: Millis
) -> RecordsByPart:
    """Add a crash to the records of all parts of its request."""
    crash = evidence.crash
    added = PartCrash(
        crash.upstream,
        crash.born,
        crash.identity,
        evidence.seen_at,
        evidence.began_at,
        evidence.parts,
    )
    for part in evidence.parts:
        record = records.get(part, _UNKNOWN)
        records = _replace(records, part, add_part_crash(record, added, now))
    return _bound(records)


def note_run_of_part(
    records: RecordsByPart, part: Identity, began_at: Millis, now: Millis
) -> RecordsByPart:
    """Record that a request with a part survived, if the part has a record.

    :param began_at: when its run began.
    """
    record = records.get(part)
    if record is None:
        return records
    return _replace(records, part, note_part_run(record, began_at, now))


def list_ended(
    records: RecordsByPart, parts: tuple[Identity, ...], before: Millis
) -> set[tuple[str, Millis]]:
    """Return the incarnations that crashed with one of the parts.

    :param before: only those that crashed earlier.
    """
    return {
        identify_crash(crash)
        for part in parts
        for crash in records.get(part, _UNKNOWN).crashes
        if crash.seen_at < before
    }


def drop_expired_parts(records: RecordsByPart, now: Millis) -> RecordsByPart:
    """Return the records without those whose newest crash is too old."""
    recent = {
        part: record
        for part, record in records.items()
        if now - find_newest_of_part(record) < EVIDENCE_RETENTION
    }
    return records if len(recent) == len(records) else recent


def find_newest_of_part(record: PartRecord) -> Millis:
    """Return when the newest crash was observed."""
    return record.crashes[-1].seen_at


def describe_parts(
    records: RecordsByPart, parts: tuple[Identity, ...], now: Millis
) -> tuple[PartNews, ...]:
    """Convert the parts of a request for a message to peers."""
    described: list[PartNews] = []
    for part in parts:
        ran_at = records.get(part, _UNKNOWN).ran_at
        ran_age = None if ran_at is None else now - ran_at
        described.append(PartNews(part, ran_age))
    return tuple(described)


def count_crashes_of_parts(
    records: RecordsByPart, parts: tuple[Identity, ...]
) -> int:
    """Return the most crashes in sequence with one of the parts."""
    known = (records.get(part, _UNKNOWN) for part in parts)
    return max(map(count_part_crashes, known), default=0)


def count_crashes_by_part(records: RecordsByPart) -> dict[Identity, int]:
    """Return the crashes in sequence of each part."""
    return {
        part: count_part_crashes(record) for part, record in records.items()
    }


def _replace(
    records: RecordsByPart, part: Identity, record: PartRecord
) -> RecordsByPart:
    if records.get(part) is record:
        return records
    return {**records, part: record}


def _bound(records: RecordsByPart) -> RecordsByPart:
    """Drop the parts with the weakest evidence if there are too many."""
    if len(records) <= MAX_PARTS_KEPT:
        return records
    strongest = sorted(
        records, key=lambda part: _weigh(records[part]), reverse=True
    )
    return {part: records[part] for part in strongest[:MAX_PARTS_KEPT]}


def _weigh(record: PartRecord) -> tuple[int, Millis]:
    return len(record.crashes), find_newest_of_part(record)
