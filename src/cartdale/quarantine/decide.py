"""State machine that decides which requests are quarantined.

Evidence is a set: each crash counts once, whichever instance observed it and in
whatever order reports arrive. Of the times at which a request survived, the
latest counts. Instances with the same reports therefore decide the same.
"""

from dataclasses import replace
from functools import partial
from typing import assert_never

from cartdale.clock import Millis
from cartdale.quarantine.evidence import (
    EVIDENCE_RETENTION,
    add_crash,
    find_newest,
    is_recent,
    list_valid,
    note_run,
    weigh,
)
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.part_records import (
    RecordsByPart,
    add_crash_of_parts,
    drop_expired_parts,
    find_newest_of_part,
    list_ended,
    note_run_of_part,
)
from cartdale.quarantine.parts import find_blamed
from cartdale.quarantine.requests import find_blamed_requests
from cartdale.quarantine.types import (
    Action,
    Crash,
    CrashesTold,
    CrashNews,
    Decision,
    Evidence,
    Message,
    PartRanOn,
    Quarantined,
    QuarantineState,
    RanOn,
    Released,
    RequestRecord,
    TimePassed,
    UpstreamEnded,
)

#: Events after which a run counts as survived. A request that crashes upstreams
#: does so during prefill or the first tokens. A later crash ends all runs of
#: the upstream, most of which are long past this number.
EVENTS_PAST_START = 10
#: Maximum number of requests with evidence, about 1 KB each. The crash of one
#: engine adds evidence against as many requests as it has slots.
MAX_IDENTITIES = 1024

_UNKNOWN = RequestRecord()


def decide(state: QuarantineState, message: Message, now: Millis) -> Decision:
    """Apply one message.

    :param now: monotonic milliseconds.
    """
    after = _change(state, message, now)
    if after is state:
        return state, ()
    after = _judge_parts(_judge_requests(after))
    return after, _list_actions(state, after)


def list_crashes(
    state: QuarantineState, identity: Identity
) -> tuple[Evidence, ...]:
    """Return the crashes that count against a request."""
    return list_valid(state.records_by_identity.get(identity, _UNKNOWN))


def is_quarantined(state: QuarantineState, identity: Identity) -> bool:
    """Return whether a request, or each with a part, is sent to no upstream."""
    return identity in state.blamed_requests or identity in state.blamed_parts


def find_expiry(state: QuarantineState, identity: Identity) -> Millis:
    """Return when the record of a request or a part expires."""
    record = state.records_by_identity.get(identity)
    if record is not None:
        return EVIDENCE_RETENTION + find_newest(record)
    part = state.records_by_part.get(identity)
    return EVIDENCE_RETENTION + find_newest_of_part(part) if part else 0


def _change(
    state: QuarantineState, message: Message, now: Millis
) -> QuarantineState:
    match message:
        case UpstreamEnded():
            return _add(state, _make_evidence(state, message, now), now)
        case CrashesTold(crashes=crashes):
            for report in crashes:
                state = _apply_report(state, report, now)
            return state
        case RanOn(identity=identity, ran_at=ran_at):
            return _note_run(state, identity, ran_at, now)
        case PartRanOn(part=part, began_at=began_at):
            return _note_part_run(state, part, began_at, now)
        case TimePassed():
            return _drop_expired(state, now)
        case _:
            assert_never(message)


def _make_evidence(
    state: QuarantineState, ended: UpstreamEnded, now: Millis
) -> Evidence:
    crash = ended.crash
    if ended.begun:
        crash = _distinguish_incarnation(state, ended)
    began_at = ended.sent_at if ended.began_at is None else ended.began_at
    seen_at = now if ended.ended_at is None else ended.ended_at
    return Evidence(crash, seen_at, began_at, ended.parts)


def _distinguish_incarnation(
    state: QuarantineState, observed: UpstreamEnded
) -> Crash:
    """Return the crash with a start time distinct from earlier incarnations.

    An upstream may be back before its new start time is known here. If it began
    a request after it had crashed, it has restarted in between, and the next
    number stands for the start time of that incarnation. An accepted connection
    alone proves nothing: a proxy in front of the upstream may accept and close
    it.
    """
    crash, sent_at = observed.crash, observed.sent_at
    record = state.records_by_identity.get(crash.identity, _UNKNOWN)
    ended = list_ended(state.records_by_part, observed.parts, sent_at)
    for each in record.evidence:
        if each.seen_at < sent_at:
            ended.add((each.crash.upstream, each.crash.born))
    while (crash.upstream, crash.born) in ended:
        crash = replace(crash, born=crash.born + 1)
    return crash


def _apply_report(
    state: QuarantineState, report: CrashNews, now: Millis
) -> QuarantineState:
    """Apply one crash that a peer reported, and its request's survival."""
    if report.age >= EVIDENCE_RETENTION:
        return state
    crash = Crash(report.identity, report.upstream, report.born)
    seen_at = now - report.age
    parts = tuple(each.part for each in report.parts)
    evidence = Evidence(crash, seen_at, seen_at - report.ran_for, parts)
    state = _add(state, evidence, now)
    for told in report.parts:
        if told.ran_age is not None:
            began_at = now - told.ran_age
            state = _note_part_run(state, told.part, began_at, now)
    if report.ran_age is None:
        return state
    return _note_run(state, report.identity, now - report.ran_age, now)


def _add(
    state: QuarantineState, evidence: Evidence, now: Millis
) -> QuarantineState:
    identity = evidence.crash.identity
    record = state.records_by_identity.get(identity, _UNKNOWN)
    after = _bound(
        _replace_record(state, identity, add_crash(record, evidence, now))
    )
    by_part = add_crash_of_parts(state.records_by_part, evidence, now)
    return _replace_parts(after, by_part)


def _note_run(
    state: QuarantineState, identity: Identity, ran_at: Millis, now: Millis
) -> QuarantineState:
    record = state.records_by_identity.get(identity)
    if record is None:
        return state
    return _replace_record(state, identity, note_run(record, ran_at, now))


def _replace_record(
    state: QuarantineState, identity: Identity, record: RequestRecord
) -> QuarantineState:
    if state.records_by_identity.get(identity) is record:
        return state
    records = {**state.records_by_identity, identity: record}
    return replace(state, records_by_identity=records)


def _note_part_run(
    state: QuarantineState, part: Identity, began_at: Millis, now: Millis
) -> QuarantineState:
    by_part = note_run_of_part(state.records_by_part, part, began_at, now)
    return _replace_parts(state, by_part)


def _replace_parts(
    state: QuarantineState, by_part: RecordsByPart
) -> QuarantineState:
    if by_part is state.records_by_part:
        return state
    return replace(state, records_by_part=by_part)


def _judge_requests(state: QuarantineState) -> QuarantineState:
    """Return the state with the requests that its evidence blames."""
    blamed = find_blamed_requests(state.records_by_identity)
    if blamed == state.blamed_requests:
        return state
    return replace(state, blamed_requests=blamed)


def _judge_parts(state: QuarantineState) -> QuarantineState:
    """Return the state with the parts that its evidence blames."""
    blamed = find_blamed(
        state.records_by_part,
        state.records_by_identity.values(),
        partial(is_quarantined, state),
    )
    if blamed == state.blamed_parts:
        return state
    return replace(state, blamed_parts=blamed)


def _drop_expired(state: QuarantineState, now: Millis) -> QuarantineState:
    recent = {
        identity: record
        for identity, record in state.records_by_identity.items()
        if is_recent(record, now)
    }
    by_part = drop_expired_parts(state.records_by_part, now)
    if len(recent) == len(state.records_by_identity):
        return _replace_parts(state, by_part)
    return replace(state, records_by_identity=recent, records_by_part=by_part)


def _bound(state: QuarantineState) -> QuarantineState:
    """Drop the request with the weakest evidence if there are too many."""
    records = state.records_by_identity
    if len(records) <= MAX_IDENTITIES:
        return state
    weakest = min(records, key=lambda identity: weigh(records[identity]))
    remaining = dict(records)
    remaining.pop(weakest)
    return replace(state, records_by_identity=remaining)


def _list_actions(
    before: QuarantineState, after: QuarantineState
) -> tuple[Action, ...]:
    """Return actions for what was quarantined or released."""
    was = before.blamed_requests | before.blamed_parts
    blamed = after.blamed_requests | after.blamed_parts
    actions: list[Action] = []
    for identity in sorted(was ^ blamed):
        if identity in blamed:
            actions.append(Quarantined(identity))
        else:
            actions.append(Released(identity))
    return tuple(actions)
