"""Decide which requests are sent to no upstream any more.

Evidence is a set that only grows until it is forgotten: each crash counts once,
whoever saw it and in whatever order it is told, and one that was cleared stays
so. Instances that know the same evidence decide the same.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import assert_never

from cartdale.clock import MINUTE_MS, Millis
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
    TimePassed,
    UpstreamEnded,
)

#: Upstreams that may end under a request before it is refused. One ends for
#: reasons of its own; two that do under the same request, one after the
#: other, are chance where many end; platforms allow three.
MOST_ENDED = 3
#: Events after which a run is past its beginning, and its request cleared: a
#: request that an upstream can't bear ends it while its prompt is read or its
#: first tokens are made. What an upstream dies of later takes everyone with
#: it, most of them long past this.
PAST_BEGINNING = 10
#: Evidence is forgotten after so long. A caller who sends such a request for
#: ever then costs three upstreams in that time.
KEPT: Millis = 10 * MINUTE_MS
#: A request that ran on so lately ends no upstreams: one that does, ends each
#: that begins it. Many callers may ask for the same thing at once, and it is
#: in the way of every upstream that ends of something else.
RAN_LATELY: Millis = MINUTE_MS
#: Requests with evidence that are remembered, about 1 KB each. One engine
#: that ends leaves evidence against as many as it had slots.
MOST_IDENTITIES = 1024
#: Crashes kept for one request: enough to see that it went on.
_MOST_EVIDENCE = 8

_NOTHING: tuple[Evidence, ...] = ()


def decide(state: QuarantineState, message: Message, now: Millis) -> Decision:
    """Take one message.

    :param now: monotonic milliseconds.
    """
    after = _change(state, message, now)
    if after is state:
        return state, ()
    return after, _compare(state, after, _name_concerned(state, message))


def count_crashes(state: QuarantineState, identity: Identity) -> int:
    """Return how many upstreams ended under a request."""
    evidence = state.evidence_by_identity.get(identity, _NOTHING)
    return count_uncleared(evidence)


def is_quarantined(state: QuarantineState, identity: Identity) -> bool:
    """Tell whether a request is sent to no upstream any more."""
    return count_crashes(state, identity) >= MOST_ENDED


def find_end(state: QuarantineState, identity: Identity) -> Millis:
    """Return when the newest evidence against a request is forgotten."""
    evidence = state.evidence_by_identity.get(identity, _NOTHING)
    return KEPT + max((each.seen_at for each in evidence), default=0)


def _change(
    state: QuarantineState, message: Message, now: Millis
) -> QuarantineState:
    match message:
        case UpstreamEnded(crash=crash, sent_at=sent_at):
            ended = _tell_lives_apart(state, crash, sent_at)
            return _add(state, Evidence(ended, now, now))
        case CrashesTold(crashes=crashes):
            for told in crashes:
                state = _take(state, told, now)
            return state
        case RanOn(identity=identity):
            return _clear(state, identity, now)
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
            return state.evidence_by_identity.keys()
        case _:
            assert_never(message)


def _tell_lives_apart(
    state: QuarantineState, crash: Crash, sent_at: Millis
) -> Crash:
    """Return a crash with a birth that no life had which ended before.

    An upstream may be back before its new birth is known here. If it took a
    request after it had ended, then it has started again meanwhile; the next
    number stands for the birth of that life.
    """
    known = state.evidence_by_identity.get(crash.identity, _NOTHING)
    ended = {each.crash for each in known if each.seen_at < sent_at}
    while crash in ended:
        crash = replace(crash, born=crash.born + 1)
    return crash


def _take(
    state: QuarantineState, told: CrashNews, now: Millis
) -> QuarantineState:
    seen_at = now - told.age
    if now - seen_at >= KEPT:
        return state
    crash = Crash(told.identity, told.upstream, told.born)
    return _add(state, Evidence(crash, seen_at, now, told.cleared))


def _add(state: QuarantineState, found: Evidence) -> QuarantineState:
    """Add evidence; what is known stays, but for being cleared."""
    identity = found.crash.identity
    known = state.evidence_by_identity.get(identity, _NOTHING)
    if found.cleared:
        # It ran on somewhere: nothing that is known speaks against it.
        state = _clear(state, identity, found.changed_at)
        known = state.evidence_by_identity.get(identity, _NOTHING)
    elif _ran_lately(known, found.changed_at):
        found = replace(found, cleared=True)
    if any(each.crash == found.crash for each in known):
        return state
    if len(known) >= _MOST_EVIDENCE:
        return state
    return _bound(_put(state, identity, (*known, found)))


def _ran_lately(known: tuple[Evidence, ...], now: Millis) -> bool:
    return any(
        each.cleared and now - each.changed_at <= RAN_LATELY for each in known
    )


def _clear(
    state: QuarantineState, identity: Identity, now: Millis
) -> QuarantineState:
    known = state.evidence_by_identity.get(identity, _NOTHING)
    if not count_uncleared(known):
        return state
    cleared = tuple(
        each if each.cleared else replace(each, cleared=True, changed_at=now)
        for each in known
    )
    return _put(state, identity, cleared)


def _forget(state: QuarantineState, now: Millis) -> QuarantineState:
    kept = {
        identity: recent
        for identity, evidence in state.evidence_by_identity.items()
        if (recent := _select_recent(evidence, now))
    }
    if kept == state.evidence_by_identity:
        return state
    return QuarantineState(kept)


def _select_recent(
    evidence: tuple[Evidence, ...], now: Millis
) -> tuple[Evidence, ...]:
    """Return nothing or all of it: it stands or falls together."""
    newest = max(each.seen_at for each in evidence)
    return evidence if now - newest < KEPT else _NOTHING


def _bound(state: QuarantineState) -> QuarantineState:
    """Drop what speaks least against a request when there is too much."""
    if len(state.evidence_by_identity) <= MOST_IDENTITIES:
        return state
    weakest = min(state.evidence_by_identity.values(), key=_weigh)
    remaining = dict(state.evidence_by_identity)
    remaining.pop(weakest[0].crash.identity)
    return QuarantineState(remaining)


def _weigh(evidence: tuple[Evidence, ...]) -> tuple[int, Millis]:
    return count_uncleared(evidence), max(each.seen_at for each in evidence)


def _put(
    state: QuarantineState, identity: Identity, evidence: tuple[Evidence, ...]
) -> QuarantineState:
    evidence_by_identity = dict(state.evidence_by_identity)
    evidence_by_identity[identity] = evidence
    return QuarantineState(evidence_by_identity)


def count_uncleared(evidence: Iterable[Evidence]) -> int:
    """Return how many crashes speak against a request."""
    return sum(not each.cleared for each in evidence)


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
