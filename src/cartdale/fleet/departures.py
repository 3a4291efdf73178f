"""Decide whether an upstream that leaves is believed, and when it is back."""

from dataclasses import replace

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.fleet.types import (
    Action,
    BeganLeaving,
    EntryRemoved,
    LeavingAnnounced,
    Lifecycle,
    Upstream,
    UpstreamEntry,
)

#: What a peer tells against what the store showed here counts only after so
#: long: peers repeat what changed for three seconds.
PEER_REPORT_IGNORED_MS: Millis = 4 * SECOND_MS
#: A removed upstream is forgotten after so long; until then its running work
#: is still known to be there.
LEAVING_KEPT_MS: Millis = MINUTE_MS // 2
#: The same for one that said itself that it leaves, while its entry may still
#: say otherwise: it serves on for as long as the store is away, which may be
#: minutes, and its old entry comes back with the store.
ANNOUNCED_LEAVING_KEPT_MS: Millis = 10 * MINUTE_MS


def take_word(known: Upstream, said: LeavingAnnounced, now: Millis) -> Upstream:
    """Take an upstream's own word that it leaves, as if its entry said so.

    It is newer than what the store and peers tell, and no life takes it back:
    an entry that says otherwise is older, or one of the next life.
    """
    if is_of_another_life(said.born, known):
        return known
    leaving_observed_locally = (
        known.leaving_observed_locally or not said.from_peer
    )
    if (
        known.announced_leaving
        and leaving_observed_locally == known.leaving_observed_locally
    ):
        return known
    leaving = replace(
        known,
        entry=replace(known.entry, lifecycle=Lifecycle.LEAVING),
        lifecycle=Lifecycle.LEAVING,
        leaving_observed_locally=leaving_observed_locally,
    )
    if known.lifecycle is Lifecycle.LEAVING:
        return leaving
    return replace(leaving, changed_at=now)


def departure_actions(upstream: Upstream) -> tuple[Action, ...]:
    """Return what others are told of an upstream that leaves."""
    if upstream.lifecycle is Lifecycle.LEAVING:
        return (BeganLeaving(upstream.entry.upstream),)
    return ()


def find_return(
    known: Upstream,
    entry: UpstreamEntry,
    now: Millis,
    *,
    from_peer: bool,
) -> Upstream:
    """Return an upstream as it is back, if it was only missing.

    One that says that it leaves does not come back in this life.
    """
    if entry.lifecycle is Lifecycle.LEAVING and not known.announced_leaving:
        return replace(known, entry=entry)
    early = from_peer and now - known.changed_at < PEER_REPORT_IGNORED_MS
    if known.announced_leaving or early:
        return known
    return replace(
        known,
        entry=entry,
        lifecycle=entry.lifecycle,
        changed_at=now,
        returned=True,
        warm_at=find_warm_at(known, entry, now, from_peer=from_peer),
    )


def is_stale_report(
    known: Upstream, message: EntryRemoved, now: Millis
) -> bool:
    """Tell whether a peer told of what was before this instance knew better.

    A life that is over, or an entry that was missing and came back.
    """
    if is_of_another_life(message.born, known):
        return True
    return known.returned and now - known.changed_at < PEER_REPORT_IGNORED_MS


def find_retention(leaving: Upstream) -> Millis:
    """Return for how long an upstream that leaves is remembered."""
    may_be_back = leaving.announced_leaving and not leaving.unlisted
    return ANNOUNCED_LEAVING_KEPT_MS if may_be_back else LEAVING_KEPT_MS


def find_warm_at(
    known: Upstream, entry: UpstreamEntry, now: Millis, *, from_peer: bool
) -> Millis:
    """Return when an upstream is warm; it may turn cold at any moment.

    What a peer tells may be older than what the store showed here, and never
    makes it warm earlier.
    """
    if entry == known.entry:
        return known.warm_at
    told = now + entry.cold_for
    return max(known.warm_at, told) if from_peer else told


def is_of_another_life(born: Millis, known: Upstream) -> bool:
    """Tell whether an upstream has started again since a life was told of.

    :param born: start of that life; 0 when it is not told.
    """
    return bool(born and known.entry.born) and born != known.entry.born
