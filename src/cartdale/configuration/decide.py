"""State machine of the configuration; its revision never decreases."""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import Millis
from cartdale.configuration.types import (
    KEPT_DELTAS,
    Action,
    Adopt,
    Change,
    ConfigurationState,
    Decision,
    Delta,
    DeltasReceived,
    Fetch,
    Message,
    RevisionAnnounced,
    Snapshot,
    SnapshotReceived,
    digest_bodies,
)
from cartdale.invariants import NEVER_REVERTS, check_invariant


def decide(
    state: ConfigurationState, message: Message, now: Millis
) -> Decision:
    """Apply one message to the state.

    :param now: monotonic milliseconds; named only in the
        invariant's detail; all state machines have this parameter.
    :returns: the next state, and what to fetch or adopt.
    """
    match message:
        case RevisionAnnounced(revision=revision):
            after, actions = _apply_announcement(state, revision)
        case DeltasReceived(deltas=deltas):
            after, actions = _apply_deltas(state, deltas)
        case SnapshotReceived(snapshot=snapshot):
            after, actions = _apply_snapshot(state, snapshot)
        case _:
            assert_never(message)
    check_invariant(
        NEVER_REVERTS,
        holds=after.revision >= state.revision,
        detail=f'{state.revision} to {after.revision} at {now}',
    )
    return after, actions


def apply_changes(
    bodies_by_key: dict[str, str], changes: tuple[Change, ...]
) -> dict[str, str]:
    """Return a copy of the bodies with the changes applied."""
    after = dict(bodies_by_key)
    for change in changes:
        if change.body:
            after[change.key] = change.body
            continue
        after.pop(change.key, None)
    return after


def select_deltas(
    state: ConfigurationState, after: int
) -> tuple[Delta, ...] | Snapshot:
    """Select what to send to a peer whose revision is ``after``.

    :returns: the deltas after that revision, or a snapshot if some of them
        are no longer kept.
    """
    missing = tuple(delta for delta in state.recent if delta.revision > after)
    contiguous = bool(missing) and missing[0].revision == after + 1
    if contiguous or state.revision <= after:
        return missing
    return Snapshot(state.revision, state.digest, state.bodies_by_key)


def _apply_announcement(state: ConfigurationState, revision: int) -> Decision:
    if revision < state.revision:
        return replace(state, stale=state.stale + 1), ()
    if revision <= state.target and revision == state.revision:
        return state, ()
    target = max(revision, state.target)
    after = replace(state, target=target)
    return after, _fetch_missing(after)


def _apply_deltas(
    state: ConfigurationState, deltas: tuple[Delta, ...]
) -> Decision:
    actions: list[Action] = []
    for delta in sorted(deltas, key=_get_revision):
        if delta.revision <= state.revision:
            state = replace(state, stale=state.stale + 1)
            continue
        if delta.revision != state.revision + 1:
            state = replace(state, target=max(state.target, delta.revision))
            break
        bodies_by_key = apply_changes(state.bodies_by_key, delta.changes)
        if digest_bodies(delta.revision, bodies_by_key) != delta.digest:
            return replace(state, rejected=state.rejected + 1), tuple(actions)
        state = replace(
            state,
            revision=delta.revision,
            digest=delta.digest,
            bodies_by_key=bodies_by_key,
            target=max(state.target, delta.revision),
            recent=(*state.recent, delta)[-KEPT_DELTAS:],
        )
        actions.append(Adopt(delta.revision, delta.wall_ms))
    actions.extend(_fetch_missing(state))
    return state, tuple(actions)


def _apply_snapshot(state: ConfigurationState, snapshot: Snapshot) -> Decision:
    if snapshot.revision <= state.revision:
        return replace(state, stale=state.stale + 1), ()
    expected = digest_bodies(snapshot.revision, snapshot.bodies_by_key)
    if expected != snapshot.digest:
        return replace(state, rejected=state.rejected + 1), ()
    after = replace(
        state,
        revision=snapshot.revision,
        digest=snapshot.digest,
        bodies_by_key=snapshot.bodies_by_key,
        target=max(state.target, snapshot.revision),
        recent=(),
    )
    adopt = Adopt(snapshot.revision, 0)
    return after, (adopt, *_fetch_missing(after))


def _fetch_missing(state: ConfigurationState) -> tuple[Action, ...]:
    if state.target > state.revision:
        return (Fetch(state.revision),)
    return ()


def _get_revision(delta: Delta) -> int:
    return delta.revision
