"""Record of one request: upstream crashes, and when it last survived."""

from dataclasses import replace

from cartdale.clock import MINUTE_MS, Millis
from cartdale.quarantine.types import Evidence, RequestRecord

#: Time after which evidence expires. A caller who keeps sending such a request
#: then crashes three upstreams in this time.
EVIDENCE_RETENTION: Millis = 10 * MINUTE_MS
#: Time after a survival in which crashes don't count against a request, since
#: one that crashes upstreams crashes each that begins it. Many callers may send
#: the same request at once, so that some of its copies run on every upstream
#: that crashes for another reason.
SURVIVAL_VALIDITY: Millis = MINUTE_MS
#: Maximum number of crashes kept for one request; enough to detect that crashes
#: went on after a survival.
_MAX_CRASHES = 8


def list_valid(record: RequestRecord) -> tuple[Evidence, ...]:
    """Return the crashes that count against a request."""
    ran_at = record.ran_at
    if ran_at is None:
        return record.evidence
    return tuple(
        each
        for each in record.evidence
        if each.seen_at > ran_at + SURVIVAL_VALIDITY
    )


def add_crash(
    record: RequestRecord, added: Evidence, now: Millis
) -> RequestRecord:
    """Add a crash, dropping the oldest if necessary.

    Of several copies of the request that the upstream was beginning, which
    instances may report in any order, the one that began first counts.
    """
    for number, known in enumerate(record.evidence):
        if known.crash != added.crash:
            continue
        if known.began_at <= added.began_at:
            return record
        earlier = replace(known, began_at=added.began_at)
        evidence = list(record.evidence)
        evidence[number] = earlier
        return replace(record, evidence=tuple(evidence), changed_at=now)
    kept = record.evidence[1 - _MAX_CRASHES :]
    return replace(record, evidence=(*kept, added), changed_at=now)


def note_run(
    record: RequestRecord, ran_at: Millis, now: Millis
) -> RequestRecord:
    """Record a survival if that changes which crashes count.

    Skips the others, since a repeated request may survive many times a second.

    :param ran_at: time of the survival.
    """
    known = record.ran_at
    if known is not None and ran_at <= known:
        return record
    recent = known is not None and ran_at - known < SURVIVAL_VALIDITY // 2
    if recent and not list_valid(record):
        return record
    return replace(record, ran_at=ran_at, changed_at=now)


def is_recent(record: RequestRecord, now: Millis) -> bool:
    """Return whether a record is kept; it expires as a whole."""
    return now - find_newest(record) < EVIDENCE_RETENTION


def find_newest(record: RequestRecord) -> Millis:
    """Return when the newest crash was observed."""
    return max(each.seen_at for each in record.evidence)


def weigh(record: RequestRecord) -> tuple[int, Millis]:
    """Return the number of valid crashes, and the time of the newest crash."""
    return len(list_valid(record)), find_newest(record)
