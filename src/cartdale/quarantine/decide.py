"""Decide which requests are sent to no upstream any more.

Evidence is a set: each crash counts once, whoever saw it and in whatever order
it is told. Of the times at which a request ran on the latest counts. So
instances that were told the same decide the same.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import assert_never

from cartdale.clock import Millis
from cartdale.quarantine.evidence import (
    KEPT,
    add_crash,
    find_newest,
    is_recent,
    list_valid,
    note_run,
    weigh,
)
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.types import (
    Action,
    Crash,
    CrashesTold,
    CrashNews,
    Decision,
    Evidence,
    Message,
    Quarantined,
    QuarantineState,
    RanOn,
    Released,
    RequestRecord,
    TimePassed,
    UpstreamEnded,
)

#: Upstreams that may end under a request before it is refused. One ends for
#: reasons of its own; two that do under the same request, one after the
#: other, are chance where many end; platforms allow three.
CRASHES_TO_QUARANTINE = 3
#: Events after which a run is past its beginning, and its request cleared: a
#: request that an upstream can't bear ends it while its prompt is read or its
#: first tokens are made. What an upstream dies of later takes everyone with
#: it, most of them long past this.
EVENTS_PAST_START = 10
#: Requests with evidence that are remembered, about 1 KB each. One engine
#: that ends leaves evidence against as many as it had slots.
MOST_IDENTITIES = 1024

_UNKNOWN = RequestRecord()


def decide(state: QuarantineState, message: Message, now: Millis) -> Decision:
    """Take one message.

    :param now: monotonic milliseconds.
    """
    after = _change(state, message, now)
    if after is state:
        return state, ()
    return after, _compare(state, after, _name_concerned(state, message))


def list_crashes(
    state: QuarantineState, identity: Identity
) -> tuple[Evidence, ...]:
    """Return the crashes that speak against a request."""
    return list_valid(state.records_by_identity.get(identity, _UNKNOWN))


def is_quarantined(state: QuarantineState, identity: Identity) -> bool:
    """Tell whether a request is sent to no upstream any more."""
    return len(list_crashes(state, identity)) >= CRASHES_TO_QUARANTINE


def find_end(state: QuarantineState, identity: Identity) -> Millis:
    """Return when what is known of a request is forgotten."""
    record = state.records_by_identity.get(identity)
    return KEPT + find_newest(record) if record else 0


def _change(
    state: QuarantineState, message: Message, now: Millis
) -> QuarantineState:
    match message:
        case UpstreamEnded(crash=crash, sent_at=sent_at, begun=begun):
            if begun:
                crash = _tell_lives_apart(state, crash, sent_at)
            return _add(state, Evidence(crash, now), now)
        case CrashesTold(crashes=crashes):
            for told in crashes:
                state = _take(state, told, now)
            return state
        case RanOn(identity=identity, ran_at=ran_at):
            return _note_run(state, identity, ran_at, now)
        case TimePassed():
            return _forget(state, now)
        case _:
            assert_never(message)


def _name_concerned(
    state: QuarantineState, message: Message
) -> Iterable[Identity]:
    """Return the requests that a message may quarantine or release."""
    match message:
        case UpstreamEnded(crash=crash):
            return (crash.identity,)
        case CrashesTold(crashes=crashes):
            return {told.identity for told in crashes}
        case RanOn(identity=identity):
            return (identity,)
        case TimePassed():
            return state.records_by_identity.keys()
        case _:
            assert_never(message)


def _tell_lives_apart(
    state: QuarantineState, crash: Crash, sent_at: Millis
) -> Crash:
    """Return a crash with a birth that no life had which ended before.

    An upstream may be back before its new birth is known here. If it began a
    request after it had ended, then it has started again meanwhile; the next
    number stands for the birth of that life. That it only took the connection
    shows nothing: something before it may do so, and close.
    """
    record = state.records_by_identity.get(crash.identity, _UNKNOWN)
    ended = {each.crash for each in record.evidence if each.seen_at < sent_at}
    while crash in ended:
        crash = replace(crash, born=crash.born + 1)
    return crash


def _take(
    state: QuarantineState, told: CrashNews, now: Millis
) -> QuarantineState:
    """Take one crash that a peer told, and when its request ran on."""
    if told.age >= KEPT:
        return state
    crash = Crash(told.identity, told.upstream, told.born)
    state = _add(state, Evidence(crash, now - told.age), now)
    if told.ran_age is None:
        return state
    return _note_run(state, told.identity, now - told.ran_age, now)


def _add(
    state: QuarantineState, found: Evidence, now: Millis
) -> QuarantineState:
    identity = found.crash.identity
    record = state.records_by_identity.get(identity, _UNKNOWN)
    return _bound(_put(state, identity, add_crash(record, found, now)))


def _note_run(
    state: QuarantineState, identity: Identity, ran_at: Millis, now: Millis
) -> QuarantineState:
    record = state.records_by_identity.get(identity)
    if record is None:
        return state
    return _put(state, identity, note_run(record, ran_at, now))


def _put(
    state: QuarantineState, identity: Identity, record: RequestRecord
) -> QuarantineState:
    if state.records_by_identity.get(identity) is record:
        return state
    return QuarantineState({**state.records_by_identity, identity: record})


def _forget(state: QuarantineState, now: Millis) -> QuarantineState:
    kept = {
        identity: record
        for identity, record in state.records_by_identity.items()
        if is_recent(record, now)
    }
    if len(kept) == len(state.records_by_identity):
        return state
    return QuarantineState(kept)


def _bound(state: QuarantineState) -> QuarantineState:
    """Drop what speaks least against a request when there is too much."""
    records = state.records_by_identity
    if len(records) <= MOST_IDENTITIES:
        return state
    weakest = min(records, key=lambda identity: weigh(records[identity]))
    remaining = dict(records)
    remaining.pop(weakest)
    return QuarantineState(remaining)


def _compare(
    before: QuarantineState,
    after: QuarantineState,
    concerned: Iterable[Identity],
) -> tuple[Action, ...]:
    """Return which requests were quarantined or released."""
    actions: list[Action] = []
    for identity in sorted(concerned):
        was = is_quarantined(before, identity)
        if is_quarantined(after, identity) and not was:
            actions.append(Quarantined(identity))
        elif was and not is_quarantined(after, identity):
            actions.append(Released(identity))
    return tuple(actions)
