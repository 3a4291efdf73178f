"""Evidence against whole requests.

A request that crashes upstreams crashes each that begins it. One that many
callers send at once is about to begin on each upstream that others crash, and
until it has run on somewhere, the two look alike. But copies that were on their
way before the crash before tell nothing new: where another request may have
caused the crashes as well, these count in sequence.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping

from cartdale.clock import Millis
from cartdale.quarantine.evidence import list_valid
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.parts import SAME_CRASH
from cartdale.quarantine.types import Evidence, RequestRecord

#: Upstream crashes during a request after which it is refused. One crash may
#: have another cause; two in succession with the same request occur by chance
#: where many upstreams crash. Platforms allow three.
CRASHES_TO_QUARANTINE = 3
#: Crashes after which a request is refused although another request may have
#: caused them, and its copies were sent side by side.
CRASHES_TO_QUARANTINE_ANYWAY = 5

RecordsByIdentity = Mapping[Identity, RequestRecord]
#: Crashes of each upstream with requests that never ran on.
_SuspectsByUpstream = Mapping[str, Collection[Evidence]]


def find_blamed_requests(records: RecordsByIdentity) -> frozenset[Identity]:
    """Return the requests that are blamed for crashes."""
    valid_by_identity: dict[Identity, tuple[Evidence, ...]] = {}
    for identity, record in records.items():
        if len(record.evidence) < CRASHES_TO_QUARANTINE:
            continue
        valid = list_valid(record)
        if len(valid) >= CRASHES_TO_QUARANTINE:
            valid_by_identity[identity] = valid
    if not valid_by_identity:
        return frozenset()
    suspects = _list_suspects(records)
    return frozenset(
        suspect
        for suspect, crashes in valid_by_identity.items()
        if _is_blamed(crashes, suspects)
    )


def _is_blamed(
    crashes: Collection[Evidence], suspects: _SuspectsByUpstream
) -> bool:
    """Tell whether the crashes that count against a request blame it."""
    if len(crashes) >= CRASHES_TO_QUARANTINE_ANYWAY:
        return True
    count = 0
    ended_at: Millis | None = None
    for crash in sorted(crashes, key=_get_order):
        overlaps = ended_at is not None and crash.began_at <= ended_at
        if overlaps and _is_contested(crash, suspects):
            continue
        count += 1
        ended_at = crash.seen_at
    return count >= CRASHES_TO_QUARANTINE


def _list_suspects(records: RecordsByIdentity) -> _SuspectsByUpstream:
    """Return the crashes of each upstream with requests that never ran on."""
    suspects: dict[str, list[Evidence]] = defaultdict(list)
    for record in records.values():
        if record.ran_at is not None:
            continue
        for each in record.evidence:
            suspects[each.crash.upstream].append(each)
    return suspects


def _is_contested(evidence: Evidence, suspects: _SuspectsByUpstream) -> bool:
    """Tell whether another request may have caused a crash.

    The start time of an upstream that is back may not be known everywhere yet,
    so that the time of the crash tells which it is.
    """
    crash = evidence.crash
    return any(
        each.crash.identity != crash.identity
        and abs(each.seen_at - evidence.seen_at) <= SAME_CRASH
        for each in suspects.get(crash.upstream, ())
    )


def _get_order(evidence: Evidence) -> tuple[Millis, str]:
    return evidence.seen_at, evidence.crash.upstream
