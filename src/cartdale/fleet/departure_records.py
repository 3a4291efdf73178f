"""Remember departures of upstreams whose entries are not known.

An instance may hear of a departure before it reads the upstream's entry, and
then read an older one: from a peer that is behind, or from the store, which the
upstream did not reach.
"""

from dataclasses import replace

from cartdale.clock import Millis
from cartdale.fleet.departures import find_retention
from cartdale.fleet.incarnations import is_earlier, is_other
from cartdale.fleet.types import (
    Departure,
    EntryRemoved,
    FleetState,
    LeavingAnnounced,
    Lifecycle,
    Upstream,
    UpstreamEntry,
)


def remember_departure(
    state: FleetState, announcement: LeavingAnnounced, now: Millis
) -> FleetState:
    """Remember an announcement of leaving unless a later one is known."""
    name = announcement.upstream
    before = state.departures_by_id.get(name)
    observed = not announcement.from_peer
    stale = before is not None and is_earlier(
        announcement, before, settled=announcement.settled
    )
    if stale:
        return state
    if before is None or is_other(before, announcement):
        departure = Departure(
            announcement.born, now, observed, revision=announcement.revision
        )
        return _put(state, name, departure)
    if not observed:
        return state
    return _put(state, name, replace(before, observed_locally=True))


def apply_departure(
    state: FleetState, entry: UpstreamEntry, *, settled: bool = False
) -> UpstreamEntry | None:
    """Return the entry of an upstream that was unknown, leaving if it is.

    :param settled: whether it was written in the era of its revision.
    :returns: ``None`` if a later incarnation has announced that it is leaving.
    """
    departure = state.departures_by_id.get(entry.upstream)
    if departure is None:
        return entry
    if is_earlier(entry, departure, settled=settled):
        return None
    if is_other(entry, departure):
        return entry
    return replace(
        entry,
        lifecycle=Lifecycle.LEAVING,
        born=entry.born or departure.born,
    )


def forget_departure(state: FleetState, name: str) -> FleetState:
    """Forget a departure, if one is remembered."""
    if name not in state.departures_by_id:
        return state
    remaining = dict(state.departures_by_id)
    remaining.pop(name)
    return replace(state, departures_by_id=remaining)


def mark_departure_unlisted(
    state: FleetState, message: EntryRemoved
) -> FleetState:
    """Record that the store holds no entry of an upstream that left."""
    departure = state.departures_by_id.get(message.upstream)
    if departure is None or message.from_peer or message.after_outage:
        return state
    return _put(state, message.upstream, replace(departure, unlisted=True))


def list_departures(state: FleetState) -> dict[str, Departure]:
    """Return the announced departures of known and of unknown upstreams."""
    known = {
        name: _describe(upstream)
        for name, upstream in state.upstreams_by_id.items()
        if upstream.announced_leaving
    }
    return {**state.departures_by_id, **known}


def expire_departures(state: FleetState, now: Millis) -> FleetState:
    """Forget the departures that were announced long ago."""
    for name, departure in state.departures_by_id.items():
        kept = find_retention(may_be_listed=not departure.unlisted)
        if now - departure.announced_at >= kept:
            state = forget_departure(state, name)
    return state


def _describe(leaving: Upstream) -> Departure:
    return Departure(
        leaving.entry.born,
        leaving.changed_at,
        leaving.leaving_observed_locally,
        leaving.unlisted,
        leaving.entry.revision,
    )


def _put(state: FleetState, name: str, departure: Departure) -> FleetState:
    departures_by_id = {**state.departures_by_id, name: departure}
    return replace(state, departures_by_id=departures_by_id)
