"""What is known of one request: upstreams that ended, and when it ran on."""

from dataclasses import replace

from cartdale.clock import MINUTE_MS, Millis
from cartdale.quarantine.types import Evidence, RequestRecord

#: Evidence is forgotten after so long. A caller who sends such a request for
#: ever then costs three upstreams in that time.
KEPT: Millis = 10 * MINUTE_MS
#: A request that ran on so lately ends no upstreams: one that does, ends each
#: that begins it. Many callers may ask for the same thing at once, and some of
#: their requests run on every upstream that ends of something else.
RAN_LATELY: Millis = MINUTE_MS
#: Crashes kept for one request: enough to see that it went on.
_MOST_EVIDENCE = 8


def list_valid(record: RequestRecord) -> tuple[Evidence, ...]:
    """Return the crashes that speak against a request."""
    ran_at = record.ran_at
    if ran_at is None:
        return record.evidence
    return tuple(
        each for each in record.evidence if each.seen_at > ran_at + RAN_LATELY
    )


def add_crash(
    record: RequestRecord, found: Evidence, now: Millis
) -> RequestRecord:
    """Add a crash, unless it is known; the oldest makes way for it."""
    if any(each.crash == found.crash for each in record.evidence):
        return record
    kept = record.evidence[1 - _MOST_EVIDENCE :]
    return replace(record, evidence=(*kept, found), changed_at=now)


def note_run(
    record: RequestRecord, ran_at: Millis, now: Millis
) -> RequestRecord:
    """Note that a request ran on, where that changes what counts.

    What is asked for again and again runs on many times a second.

    :param ran_at: when it did.
    """
    known = record.ran_at
    if known is not None and ran_at <= known:
        return record
    recent = known is not None and ran_at - known < RAN_LATELY // 2
    if recent and not list_valid(record):
        return record
    return replace(record, ran_at=ran_at, changed_at=now)


def is_recent(record: RequestRecord, now: Millis) -> bool:
    """Tell whether a record is worth keeping: it goes as a whole."""
    return now - find_newest(record) < KEPT


def find_newest(record: RequestRecord) -> Millis:
    """Return when the newest crash was seen."""
    return max(each.seen_at for each in record.evidence)


def weigh(record: RequestRecord) -> tuple[int, Millis]:
    """Return how much speaks against a request, and since when."""
    return len(list_valid(record)), find_newest(record)
