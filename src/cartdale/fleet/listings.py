"""Split a listing of upstreams' entries into the changes that it implies."""

from dataclasses import replace

from cartdale.fleet.types import (
    EntriesListed,
    EntryRefused,
    EntryRemoved,
    EntryWritten,
    FleetState,
    Lifecycle,
    RefusedIntent,
)

ListedChange = EntryWritten | EntryRefused | EntryRemoved


def split_listing(
    state: FleetState, listing: EntriesListed
) -> tuple[ListedChange, ...]:
    """Return the changes that a listing implies, in order.

    After a restore of the store from an older copy, upstreams that had left
    stay that way, and what an entry that can't be used says counts only if it
    is final: its upstream may have resumed since.
    """
    written = [
        EntryWritten(entry, settled=listing.settled)
        for entry in listing.entries
        if not (listing.restored and _has_left(state, entry.upstream))
    ]
    refused = [
        replace(entry, settled=listing.settled)
        for entry in listing.refused
        if not (listing.restored and entry.intent is RefusedIntent.PAUSES)
    ]
    listed = {entry.upstream for entry in listing.entries}
    listed.update(entry.upstream for entry in listing.refused)
    removed = [
        EntryRemoved(name, listing.after_outage)
        for name in (*state.upstreams_by_id, *state.departures_by_id)
        if name not in listed
    ]
    return (*written, *refused, *removed)


def _has_left(state: FleetState, name: str) -> bool:
    known = state.upstreams_by_id.get(name)
    return known is not None and known.lifecycle is Lifecycle.LEAVING
