"""Decide when an upstream counts as leaving and when it has returned."""

from dataclasses import replace

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.fleet.health import put
from cartdale.fleet.incarnations import is_earlier, is_other
from cartdale.fleet.types import (
    Action,
    BeganLeaving,
    Decision,
    EntryRemoved,
    FleetState,
    LeavingAnnounced,
    Lifecycle,
    Restarted,
    Upstream,
    UpstreamEntry,
)

#: A peer's report that contradicts what the store showed here is ignored for
#: this long: peers repeat changes for three seconds.
PEER_REPORT_IGNORED_MS: Millis = 4 * SECOND_MS
#: A removed upstream is forgotten after this time; until then its running work
#: is still accounted for.
LEAVING_KEPT_MS: Millis = MINUTE_MS // 2
#: The same for an upstream that announced that it is leaving while its entry
#: may still be unchanged: it keeps serving while the store is unavailable,
#: which may take minutes, and its old entry comes back with the store.
ANNOUNCED_LEAVING_KEPT_MS: Millis = 10 * MINUTE_MS


def begin_incarnation(
    state: FleetState,
    known: Upstream,
    entry: UpstreamEntry,
    now: Millis,
    *,
    settled: bool = False,
) -> Decision:
    """Replace an upstream that restarted under the same id.

    The state of the previous incarnation does not apply to this one. A peer may
    still report the previous one, by its entry or as leaving; an older entry is
    ignored.

    :param settled: whether the entry was written in the era of its revision.
    """
    if is_earlier(entry, known.entry, settled=settled):
        return state, ()
    restarted = Upstream(
        entry, entry.lifecycle, now, warm_at=now + entry.cold_for
    )
    began = (Restarted(entry.upstream), *departure_actions(restarted))
    return put(state, restarted), began


def apply_leaving(
    known: Upstream, announcement: LeavingAnnounced, now: Millis
) -> Upstream:
    """Apply an announcement of leaving as if the upstream's entry said so.

    It is newer than the reports of the store and of peers, and an incarnation
    never withdraws it: an entry that contradicts it is older or belongs to the
    next incarnation.

    :param announcement: of the same incarnation, as far as is known.
    """
    leaving_observed_locally = (
        known.leaving_observed_locally or not announcement.from_peer
    )
    if (
        known.announced_leaving
        and leaving_observed_locally == known.leaving_observed_locally
    ):
        return known
    leaving = replace(
        known,
        entry=replace(
            known.entry,
            lifecycle=Lifecycle.LEAVING,
            revision=max(known.entry.revision, announcement.revision),
        ),
        lifecycle=Lifecycle.LEAVING,
        leaving_observed_locally=leaving_observed_locally,
    )
    if known.lifecycle is Lifecycle.LEAVING:
        return leaving
    return replace(leaving, changed_at=now)


def departure_actions(upstream: Upstream) -> tuple[Action, ...]:
    """Return the actions for an upstream, if it is leaving."""
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
    """Return a leaving upstream updated by an entry.

    It is live again if it was only missing. An upstream that announced that it
    is leaving does not return in the same incarnation.
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
    """Tell whether a peer's report is older than the state known here.

    It may concern a previous incarnation, or an entry that was missing and has
    come back.
    """
    if is_other(message, known.entry):
        return True
    return known.returned and now - known.changed_at < PEER_REPORT_IGNORED_MS


def find_retention(*, may_be_listed: bool) -> Millis:
    """Return for how long a leaving upstream is remembered.

    :param may_be_listed: whether it announced its departure while the store
        may still hold an entry that does not say so.
    """
    return ANNOUNCED_LEAVING_KEPT_MS if may_be_listed else LEAVING_KEPT_MS


def find_warm_at(
    known: Upstream, entry: UpstreamEntry, now: Millis, *, from_peer: bool
) -> Millis:
    """Return when an upstream is warm; it may become cold at any moment.

    A peer's report may be older than what the store showed here, and never
    makes the upstream warm earlier.
    """
    if entry == known.entry:
        return known.warm_at
    reported = now + entry.cold_for
    return max(known.warm_at, reported) if from_peer else reported


def is_other_incarnation(born: Millis, known: Upstream) -> bool:
    """Tell whether a report concerns another incarnation of an upstream.

    :param born: start of the reported incarnation; 0 if unknown.
    """
    return bool(born and known.entry.born) and born != known.entry.born
