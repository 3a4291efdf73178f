"""Decide which upstreams exist, which are leaving and which to avoid."""

from dataclasses import replace

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.departures import (
    announce_departure,
    find_kept,
    find_return,
    find_warm_at,
    is_late,
)
from cartdale.fleet.evacuation import Evacuation, end_unlisted, merge
from cartdale.fleet.health import judge, put
from cartdale.fleet.statements import lapse_limits, take_statement
from cartdale.fleet.types import (
    Action,
    AddressTakenOver,
    BeganEvacuating,
    Decision,
    EndedEvacuating,
    EntriesListed,
    EntryRemoved,
    EntryWritten,
    EvacuationsListed,
    EvacuationsReceived,
    FleetState,
    LeavingAnnounced,
    Lifecycle,
    LimitAdvertised,
    Message,
    Restarted,
    Returned,
    TimePassed,
    Upstream,
    UpstreamEntry,
    Vanished,
)

#: An entry that lapsed in an outage comes back within about two seconds; one
#: more is for the way here.
LAPSED_KEPT_MS: Millis = 3 * SECOND_MS


def decide(state: FleetState, message: Message, now: Millis) -> Decision:
    """Take one message.

    :param now: monotonic milliseconds.
    :returns: the next state, and which upstreams began to leave or vanished.
    """
    match message:
        case EntriesListed():
            return _list(state, message, now)
        case EntryWritten(entry=entry):
            return _write(state, entry, now, from_peer=message.from_peer)
        case EntryRemoved():
            return _remove(state, message, now)
        case LeavingAnnounced() | LimitAdvertised():
            return take_statement(state, message, now)
        case AddressTakenOver(upstream=name):
            return _drop(state, (name,))
        case EvacuationsReceived(evacuations=told):
            return _evacuate(state, told, now)
        case EvacuationsListed(restored=True):
            return _evacuate(state, message.evacuations, now)
        case EvacuationsListed(evacuations=listed, revision=revision):
            statuses = state.evacuation_status_by_domain
            ended = end_unlisted(statuses, listed, revision)
            return _evacuate(state, (*listed, *ended), now)
        case TimePassed():
            return _expire(state, now)
        case _:
            return judge(state, message, now), ()


def _list(state: FleetState, message: EntriesListed, now: Millis) -> Decision:
    actions: list[Action] = []
    listed = {entry.upstream for entry in message.entries}
    for entry in message.entries:
        if message.restored and _has_left(state, entry.upstream):
            continue
        state, began = _write(state, entry, now)
        actions.extend(began)
    for name in state.upstreams_by_id:
        if name in listed:
            continue
        removed = EntryRemoved(name, message.after_outage)
        state, began = _remove(state, removed, now)
        actions.extend(began)
    return state, tuple(actions)


def _has_left(state: FleetState, name: str) -> bool:
    known = state.upstreams_by_id.get(name)
    return known is not None and known.lifecycle is Lifecycle.LEAVING


def _write(
    state: FleetState,
    entry: UpstreamEntry,
    now: Millis,
    *,
    from_peer: bool = False,
) -> Decision:
    known = state.upstreams_by_id.get(entry.upstream)
    if known is None:
        found = Upstream(
            entry, entry.lifecycle, now, warm_at=now + entry.cold_for
        )
        return put(state, found), announce_departure(found)
    if _is_other_life(entry, known.entry):
        return _begin_life(state, known, entry, now)
    if not entry.born:
        entry = replace(entry, born=known.entry.born)
    if known.lifecycle is Lifecycle.LEAVING:
        back = find_return(known, entry, now, from_peer=from_peer)
        leaves = back.lifecycle is Lifecycle.LEAVING
        returned = () if leaves else (Returned(entry.upstream),)
        return put(state, back), returned
    changed = replace(
        known,
        entry=entry,
        lifecycle=entry.lifecycle,
        warm_at=find_warm_at(known, entry, now, from_peer=from_peer),
    )
    if changed.lifecycle is not known.lifecycle:
        changed = replace(changed, changed_at=now)
    return put(state, changed), announce_departure(changed)


def _is_other_life(entry: UpstreamEntry, known: UpstreamEntry) -> bool:
    """Tell whether an upstream started anew between two entries."""
    return bool(entry.born and known.born) and entry.born != known.born


def _begin_life(
    state: FleetState, known: Upstream, entry: UpstreamEntry, now: Millis
) -> Decision:
    """Take an upstream that started again under its id as a new one.

    What was known of the life before says nothing of this one. A peer may
    still tell of that one, as an entry or that it left.
    """
    if entry.born < known.entry.born:
        return state, ()
    found = Upstream(entry, entry.lifecycle, now, warm_at=now + entry.cold_for)
    began = (Restarted(entry.upstream), *announce_departure(found))
    return put(state, found), began


def _remove(state: FleetState, message: EntryRemoved, now: Millis) -> Decision:
    known = state.upstreams_by_id.get(message.upstream)
    if known is None:
        return state, ()
    if known.lifecycle is Lifecycle.LEAVING:
        return _unlist(state, known, message), ()
    if message.from_peer and is_late(known, message, now):
        return state, ()
    if message.after_outage:
        if known.lifecycle is Lifecycle.LAPSED:
            return state, ()
        lapsed = replace(known, lifecycle=Lifecycle.LAPSED, changed_at=now)
        return put(state, lapsed), ()
    leaving = replace(known, lifecycle=Lifecycle.LEAVING, changed_at=now)
    return put(state, leaving), announce_departure(leaving)


def _unlist(
    state: FleetState, known: Upstream, message: EntryRemoved
) -> FleetState:
    """Note that no older entry of one that leaves is left in the store."""
    if known.unlisted or message.from_peer or message.after_outage:
        return state
    return put(state, replace(known, unlisted=True))


def _expire(state: FleetState, now: Millis) -> Decision:
    actions: list[Action] = []
    vanished: list[str] = []
    for name, upstream in state.upstreams_by_id.items():
        age = now - upstream.changed_at
        match upstream.lifecycle:
            case Lifecycle.LAPSED if age >= LAPSED_KEPT_MS:
                state, began = _remove(state, EntryRemoved(name), now)
                actions.extend(began)
            case Lifecycle.LEAVING if age >= find_kept(upstream):
                vanished.append(name)
    state, dropped = _drop(state, tuple(vanished))
    state, ended = lapse_limits(state, now)
    return state, (*actions, *dropped, *ended)


def _drop(state: FleetState, names: tuple[str, ...]) -> Decision:
    if not any(name in state.upstreams_by_id for name in names):
        return state, ()
    remaining = {
        name: upstream
        for name, upstream in state.upstreams_by_id.items()
        if name not in names
    }
    after = replace(state, upstreams_by_id=remaining)
    return after, tuple(Vanished(name) for name in names)


def _evacuate(
    state: FleetState, told: tuple[Evacuation, ...], now: Millis
) -> Decision:
    """Take over what is newer than what is known of failure domains."""
    before = state.evacuation_status_by_domain
    after = merge(before, told, now)
    if after == before:
        return state, ()
    actions: list[Action] = []
    for domain, status in after.items():
        known = before.get(domain)
        was_active = known is not None and known.active
        if status.active == was_active:
            continue
        change = BeganEvacuating if status.active else EndedEvacuating
        actions.append(change(domain, status.evacuation.revision))
    return replace(state, evacuation_status_by_domain=after), tuple(actions)
