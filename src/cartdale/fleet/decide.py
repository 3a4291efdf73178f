"""State machine of the fleet: known, leaving and avoided upstreams."""

from dataclasses import replace

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.departure_records import (
    apply_departure,
    expire_departures,
    forget_departure,
    mark_departure_unlisted,
)
from cartdale.fleet.departures import (
    begin_incarnation,
    departure_actions,
    find_retention,
    find_return,
    find_warm_at,
    is_stale_report,
)
from cartdale.fleet.evacuation import Evacuation, end_unlisted, merge
from cartdale.fleet.health import put, update_health
from cartdale.fleet.incarnations import is_earlier, is_other
from cartdale.fleet.listings import split_listing
from cartdale.fleet.statements import apply_announcement, expire_limits
from cartdale.fleet.types import (
    Action,
    AddressTakenOver,
    BeganEvacuating,
    Decision,
    EndedEvacuating,
    EntriesListed,
    EntryRefused,
    EntryRemoved,
    EntryWritten,
    EvacuationsListed,
    EvacuationsReceived,
    FleetState,
    LeavingAnnounced,
    Lifecycle,
    LimitAdvertised,
    Message,
    RefusedIntent,
    Returned,
    TimePassed,
    Upstream,
    UpstreamEntry,
    Vanished,
)

#: An entry that lapsed in a store outage comes back within about two seconds;
#: one more second covers its propagation to this instance.
LAPSED_KEPT_MS: Millis = 3 * SECOND_MS


def decide(state: FleetState, message: Message, now: Millis) -> Decision:
    """Apply one message.

    :param now: monotonic milliseconds.
    :returns: the next state, and the changes to act on.
    """
    match message:
        case EntriesListed():
            return _list(state, message, now)
        case EntryWritten():
            return _write(state, message, now)
        case EntryRefused():
            return _refuse(state, message, now)
        case EntryRemoved():
            return _remove(state, message, now)
        case LeavingAnnounced() | LimitAdvertised():
            return apply_announcement(state, message, now)
        case AddressTakenOver(upstream=name):
            return _drop(state, (name,))
        case EvacuationsReceived(evacuations=reported):
            return _evacuate(state, reported, now)
        case EvacuationsListed():
            return _list_evacuations(state, message, now)
        case TimePassed():
            return _expire(state, now)
        case _:
            return update_health(state, message, now), ()


def _list(state: FleetState, message: EntriesListed, now: Millis) -> Decision:
    actions: list[Action] = []
    for change in split_listing(state, message):
        state, began = decide(state, change, now)
        actions.extend(began)
    return state, tuple(actions)


def _write(state: FleetState, message: EntryWritten, now: Millis) -> Decision:
    entry, from_peer = message.entry, message.from_peer
    known = state.upstreams_by_id.get(entry.upstream)
    if known is None:
        return _add(state, message, now)
    if is_other(entry, known.entry):
        return begin_incarnation(
            state, known, entry, now, settled=message.settled
        )
    known, entry = _join_incarnation(known, message)
    if known.lifecycle is Lifecycle.LEAVING:
        updated = find_return(known, entry, now, from_peer=from_peer)
        leaves = updated.lifecycle is Lifecycle.LEAVING
        returned = () if leaves else (Returned(entry.upstream),)
        return put(state, updated), returned
    changed = replace(
        known,
        entry=entry,
        lifecycle=entry.lifecycle,
        warm_at=find_warm_at(known, entry, now, from_peer=from_peer),
    )
    if changed.lifecycle is not known.lifecycle:
        changed = replace(changed, changed_at=now)
    return put(state, changed), departure_actions(changed)


def _join_incarnation(
    known: Upstream, message: EntryWritten
) -> tuple[Upstream, UpstreamEntry]:
    """Note the latest revision of an incarnation in what is known of it.

    What is settled goes before a later one, whose era may have been wrong.
    """
    entry = message.entry
    revision = entry.revision
    if not (message.settled and revision):
        revision = max(known.entry.revision, revision)
    born = entry.born or known.entry.born
    if revision != known.entry.revision:
        known = replace(known, entry=replace(known.entry, revision=revision))
    return known, replace(entry, born=born, revision=revision)


def _add(state: FleetState, message: EntryWritten, now: Millis) -> Decision:
    entry = message.entry
    stated = apply_departure(state, entry, settled=message.settled)
    if stated is None:
        return state, ()
    added = Upstream(
        stated, stated.lifecycle, now, warm_at=now + entry.cold_for
    )
    after = put(forget_departure(state, entry.upstream), added)
    return after, departure_actions(added)


def _refuse(state: FleetState, refused: EntryRefused, now: Millis) -> Decision:
    """Apply what can be read of an entry that can't be used as a whole.

    An upstream that pauses counts as missing until an entry can be used.
    """
    name = refused.upstream
    if refused.intent is RefusedIntent.LEAVES:
        announced = LeavingAnnounced(
            name,
            born=refused.born,
            revision=refused.revision,
            settled=refused.settled,
        )
        return apply_announcement(state, announced, now)
    known = state.upstreams_by_id.get(name)
    if known is None or _is_outdated(refused, known.entry):
        return state, ()
    match known.lifecycle, refused.intent:
        case Lifecycle.LIVE | Lifecycle.LAPSED, RefusedIntent.PAUSES:
            return _remove(state, EntryRemoved(name), now)
        case Lifecycle.LAPSED, RefusedIntent.UNCHANGED:
            return _write(state, EntryWritten(known.entry), now)
    return state, ()


def _is_outdated(refused: EntryRefused, known: UpstreamEntry) -> bool:
    """Tell whether an entry that announces nothing is to be ignored.

    An odd state and an odd start together say too little to stop work.
    """
    if is_earlier(refused, known):
        return True
    return is_other(refused, known) and refused.born < known.born


def _remove(state: FleetState, message: EntryRemoved, now: Millis) -> Decision:
    known = state.upstreams_by_id.get(message.upstream)
    if known is None:
        return mark_departure_unlisted(state, message), ()
    if message.from_peer and is_earlier(known.entry, message):
        return _remove_unseen(state, known, message, now)
    if known.lifecycle is Lifecycle.LEAVING:
        return _mark_unlisted(state, known, message), ()
    if message.from_peer and is_stale_report(known, message, now):
        return state, ()
    if message.after_outage:
        if known.lifecycle is Lifecycle.LAPSED:
            return state, ()
        lapsed = replace(known, lifecycle=Lifecycle.LAPSED, changed_at=now)
        return put(state, lapsed), ()
    leaving = replace(known, lifecycle=Lifecycle.LEAVING, changed_at=now)
    return put(state, leaving), departure_actions(leaving)


def _remove_unseen(
    state: FleetState, known: Upstream, message: EntryRemoved, now: Millis
) -> Decision:
    """Remove an incarnation that only a peer has seen."""
    entry = replace(
        known.entry,
        born=message.born,
        lifecycle=Lifecycle.LIVE,
        revision=message.revision or known.entry.revision,
    )
    state, began = begin_incarnation(state, known, entry, now)
    state, left = _remove(state, message, now)
    return state, (*began, *left)


def _mark_unlisted(
    state: FleetState, known: Upstream, message: EntryRemoved
) -> FleetState:
    """Record that the store holds no entry of a leaving upstream any more."""
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
            case Lifecycle.LEAVING if age >= _find_retention(upstream):
                vanished.append(name)
    state, dropped = _drop(expire_departures(state, now), tuple(vanished))
    state, ended = expire_limits(state, now)
    return state, (*actions, *dropped, *ended)


def _find_retention(leaving: Upstream) -> Millis:
    announced = leaving.announced_leaving
    return find_retention(may_be_listed=announced and not leaving.unlisted)


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


def _list_evacuations(
    state: FleetState, message: EvacuationsListed, now: Millis
) -> Decision:
    listed = message.evacuations
    if message.restored:
        return _evacuate(state, listed, now)
    statuses = state.evacuation_status_by_domain
    ended = end_unlisted(statuses, listed, message.revision)
    return _evacuate(state, (*listed, *ended), now)


def _evacuate(
    state: FleetState, reported: tuple[Evacuation, ...], now: Millis
) -> Decision:
    """Apply those evacuations that are newer than the known ones."""
    before = state.evacuation_status_by_domain
    after = merge(before, reported, now)
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
