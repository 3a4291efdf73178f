"""Evidence against parts of prompts, which many requests may share.

A part that crashes upstreams does so in whatever request it stands, and no two
of these need be alike. The crashes of a part count in sequence: each upstream
began its request after the crash before. Upstreams that fail together for
another reason, with requests that share a part on each of them, count once.

Each crash has several suspects: all parts of all requests that the upstream was
beginning. A part is blamed for what no likelier suspect explains. Parts that
never ran on are likelier than others, and later parts of a prompt, which fewer
requests share, likelier than earlier ones.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace

from cartdale.clock import SECOND_MS, Millis
from cartdale.quarantine.evidence import SURVIVAL_VALIDITY
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.types import PartCrash, PartRecord, RequestRecord

#: Crashes in sequence, not explained by a likelier suspect, after which a part
#: is blamed; as many as for a request.
_CRASHES_TO_BLAME = 3
#: Crashes after which a part is blamed although they are not in sequence, or if
#: they are, although it ran on shortly before the first or likelier suspects
#: explain them.
_CRASHES_TO_BLAME_ANYWAY = 5
#: Crashes among the latter of requests without a likelier suspect.
_MIN_APART = 2
#: Links that break in this time with one upstream broke with one crash.
SAME_CRASH: Millis = SECOND_MS // 2
#: Maximum number of crashes kept for one part.
_MAX_CRASHES = 16

Incarnation = tuple[str, Millis]
#: When crashes of each upstream were seen.
TimesByUpstream = dict[str, list[Millis]]
RecordsByPart = Mapping[Identity, PartRecord]
#: Tells whether a request is quarantined by itself.
RequestCheck = Callable[[Identity], bool]


def add_part_crash(
    record: PartRecord, added: PartCrash, now: Millis
) -> PartRecord:
    """Add a crash unless it is known, dropping the oldest if necessary.

    Of several requests that the upstream was beginning the first one counts.
    """
    known = {identify_crash(each) for each in record.crashes}
    if identify_crash(added) in known:
        return record
    ordered = sorted((*record.crashes, added), key=_get_seen_at)
    crashes = tuple(ordered[-_MAX_CRASHES:])
    if crashes == record.crashes:
        return record
    return replace(record, crashes=crashes, changed_at=now)


def note_part_run(
    record: PartRecord, ran_at: Millis, now: Millis
) -> PartRecord:
    """Record a survival if that changes which crashes count.

    :param ran_at: when the run began.
    """
    known = record.ran_at
    if known is not None and ran_at <= known:
        return record
    clears = any(
        each.seen_at <= ran_at and (known is None or each.seen_at > known)
        for each in record.crashes
    )
    recent = known is not None and ran_at - known < SURVIVAL_VALIDITY // 2
    if recent and not clears:
        return record
    return replace(record, ran_at=ran_at, changed_at=now)


def list_since_run(record: PartRecord) -> tuple[PartCrash, ...]:
    """Return the crashes since a request with the part last ran on."""
    if record.ran_at is None:
        return record.crashes
    return tuple(
        each for each in record.crashes if each.seen_at > record.ran_at
    )


def find_blamed(
    records_by_part: RecordsByPart,
    requests: Collection[RequestRecord],
    is_quarantined: RequestCheck,
) -> frozenset[Identity]:
    """Return the parts that are blamed for crashes.

    :param requests: records of all requests that upstreams crashed on.
    """
    suspects = [
        part
        for part, record in records_by_part.items()
        if len(list_since_run(record)) >= _CRASHES_TO_BLAME
    ]
    if not suspects:
        return frozenset()
    suspects.sort(key=lambda part: _rank(part, records_by_part[part]))
    explained = _list_explained_by_requests(requests, is_quarantined)
    blamed: set[Identity] = set()
    for part in suspects:
        record = records_by_part[part]
        if _ran_shortly_before(record):
            contested = _list_contested(part, records_by_part, requests)
            is_blamed = _is_blamed_anyway(record, explained, contested)
        else:
            is_blamed = _is_blamed(record, explained, blamed)
        if is_blamed:
            blamed.add(part)
            for each in record.crashes:
                explained[each.upstream].append(each.seen_at)
    return frozenset(blamed)


def count_part_crashes(record: PartRecord) -> int:
    """Return the number of crashes in sequence that may be held against it."""
    since = list_since_run(record)
    return _count_sequence(since) if len(since) > 1 else len(since)


def _is_blamed(
    record: PartRecord,
    explained: TimesByUpstream,
    likelier: Collection[Identity],
) -> bool:
    """Tell whether a part is blamed that did not run on shortly before.

    :param explained: crashes that likelier suspects explain.
    :param likelier: likelier suspects that are blamed.
    """
    since = list_since_run(record)
    unexplained = [each for each in since if not _is_among(each, explained)]
    many = len(unexplained) >= _CRASHES_TO_BLAME_ANYWAY
    if many or _count_sequence(unexplained) >= _CRASHES_TO_BLAME:
        return True
    apart = _count_sequence(
        [each for each in since if not set(each.parts).intersection(likelier)]
    )
    enough = _count_sequence(since) >= _CRASHES_TO_BLAME_ANYWAY
    return enough and apart >= _MIN_APART


def _is_blamed_anyway(
    record: PartRecord, explained: TimesByUpstream, contested: TimesByUpstream
) -> bool:
    """Tell whether a part is blamed although it ran on shortly before."""
    counted = [
        each
        for each in list_since_run(record)
        if not _is_among(each, explained) and not _is_among(each, contested)
    ]
    return _count_sequence(counted) >= _CRASHES_TO_BLAME_ANYWAY


def _is_among(crash: PartCrash, times: TimesByUpstream) -> bool:
    """Tell whether a crash is among others, whatever incarnation it is of.

    The start time of an upstream that is back may not be known everywhere yet.
    """
    return any(
        abs(seen_at - crash.seen_at) <= SAME_CRASH
        for seen_at in times.get(crash.upstream, ())
    )


def _ran_shortly_before(record: PartRecord) -> bool:
    """Tell whether a request with the part ran on just before the crashes."""
    if record.ran_at is None:
        return False
    valid_until = record.ran_at + SURVIVAL_VALIDITY
    fresh = [each for each in record.crashes if each.seen_at > valid_until]
    return len(fresh) < _CRASHES_TO_BLAME


def _list_contested(
    part: Identity,
    records_by_part: RecordsByPart,
    requests: Collection[RequestRecord],
) -> TimesByUpstream:
    """Return the crashes that something else than a part may have caused.

    That is a request without it that never ran on, nor all parts of its prompt;
    or another part of a request with it that never ran on. Without this rule a
    part that most requests share would be blamed for what ends upstreams so
    often that nothing runs on in between.
    """
    contested: TimesByUpstream = defaultdict(list)
    for request in requests:
        if request.ran_at is not None:
            continue
        for each in request.evidence:
            others = [other for other in each.parts if other != part]
            if each.parts and _all_ran_on(others, records_by_part):
                continue
            contested[each.crash.upstream].append(each.seen_at)
    return contested


def _all_ran_on(
    parts: Collection[Identity], records_by_part: RecordsByPart
) -> bool:
    records = [records_by_part.get(part) for part in parts]
    return all(
        record is not None and record.ran_at is not None for record in records
    )


def _count_sequence(crashes: Collection[PartCrash]) -> int:
    """Count the crashes of upstreams that began after the crash before."""
    count = 0
    ended_at: Millis | None = None
    for crash in sorted(crashes, key=_get_seen_at):
        if ended_at is not None and crash.began_at <= ended_at:
            continue
        count += 1
        ended_at = crash.seen_at
    return count


def _list_explained_by_requests(
    requests: Collection[RequestRecord], is_quarantined: RequestCheck
) -> TimesByUpstream:
    """Return the crashes of requests that are quarantined by themselves."""
    explained: TimesByUpstream = defaultdict(list)
    for request in requests:
        if not is_quarantined(request.evidence[0].crash.identity):
            continue
        for each in request.evidence:
            explained[each.crash.upstream].append(each.seen_at)
    return explained


def _rank(part: Identity, record: PartRecord) -> tuple[bool, int, Identity]:
    """Return the rank of a suspect; the likeliest is the lowest."""
    position = max(crash.parts.index(part) for crash in record.crashes)
    return record.ran_at is not None, -position, part


def identify_crash(crash: PartCrash) -> Incarnation:
    """Return which incarnation of an upstream crashed."""
    return crash.upstream, crash.born


def _get_seen_at(crash: PartCrash) -> tuple[Millis, str]:
    return crash.seen_at, crash.upstream
