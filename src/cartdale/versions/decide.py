"""State machine that brings this instance to the newest version reported.

Any report of a newer version counts, whoever sent it and whatever the same
peer reported before. Peers are asked first; while none of them provides the
document, the store is read.
"""

import zlib
from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.versions.types import (
    Action,
    Decision,
    FellBehind,
    FetchDocument,
    FetchEnded,
    Holder,
    Message,
    ReadStore,
    StoreReadEnded,
    TimePassed,
    VersionReported,
    VersionState,
)

#: Time without a response after which another holder is asked as well.
HEDGE_AFTER: Millis = SECOND_MS // 2
#: Fetches that may be in progress at the same time.
MAX_FETCHES = 3
#: Time for which a holder that failed is not asked again.
RETRY_AFTER: Millis = SECOND_MS // 2
#: Minimum time between a response that a holder is busy and the next fetch;
#: up to twice as long, so that instances refused together spread.
BUSY_PAUSE: Millis = 30
#: Maximum time for which a holder that is busy is left alone.
MAX_BUSY: Millis = SECOND_MS
#: While all fetches fail, the time between them doubles so often, from
#: ``RETRY_AFTER`` to 4 s. The first ones follow each other at once, since a
#: holder may just have ended.
_MAX_DOUBLINGS = 3
#: Maximum age of a report for its sender to be asked: a live peer repeats it
#: every second at least.
HOLDER_MS: Millis = 5 * SECOND_MS
#: Time behind the newest version after which the store is read.
READ_AFTER: Millis = SECOND_MS
#: Instances of a failure domain that stay behind together read the store in
#: the course of this time; the first one provides the others.
READ_SPREAD: Millis = SECOND_MS // 2
#: Time between two reads of the store.
READ_INTERVAL: Millis = 3 * SECOND_MS
_MAX_CRC = 0xFFFFFFFF


def decide(
    state: VersionState, message: Message, now: Millis, version: int, own: str
) -> Decision:
    """Apply one message.

    :param now: monotonic milliseconds.
    :param version: version of the configuration in force on this instance.
    :param own: name of this instance.
    :returns: the next state, and the actions to perform.
    """
    actions: tuple[Action, ...] = ()
    match message:
        case VersionReported():
            state, actions = _hear(state, message, now, version)
        case FetchEnded():
            state = _end_fetch(state, message, now, own)
        case StoreReadEnded(succeeded=succeeded):
            state = replace(state, reading=False)
            state = _drop_outdated(state, now, version)
            if succeeded and not state.holders_by_name:
                state = _forget_lost(state)
        case TimePassed():
            pass
        case _:
            assert_never(message)
    state, steps = _take_steps(_drop_outdated(state, now, version), now, own)
    return state, (*actions, *steps)


def find_behind_for(state: VersionState, now: Millis, version: int) -> Millis:
    """Return for how long a version newer than the one in force is known."""
    heard_at = [
        at for newer, at in state.heard_at_by_version.items() if newer > version
    ]
    return now - min(heard_at) if heard_at else 0


def find_next_step(state: VersionState, own: str) -> Millis | None:
    """Return when ``TimePassed`` is due, or ``None`` if it isn't."""
    if not state.heard_at_by_version:
        return None
    times: list[Millis] = []
    if not state.reading:
        times.append(_find_read_time(state, own))
    if len(state.fetches_by_peer) < MAX_FETCHES:
        times.extend(
            _find_fetch_time(state, holder) for holder in _list_idle(state)
        )
    return min(times, default=None)


def find_share(own: str, version: int) -> float:
    """Return this instance's place among those that get a version.

    :returns: a number from 0 to 1, always the same for the same arguments.
    """
    return zlib.crc32(f'{own} {version}'.encode()) / _MAX_CRC


def _hear(
    state: VersionState, message: VersionReported, now: Millis, version: int
) -> Decision:
    if message.version <= version:
        return state, ()
    actions: tuple[Action, ...] = ()
    if message.version > state.newest:
        state = _note_newest(state, message.version, now)
        actions = (FellBehind(message),)
    is_newest = message.version == state.newest
    if is_newest and message.nearby and state.nearby_since is None:
        state = replace(state, nearby_since=now)
    return _note_holder(state, message, now), actions


def _note_newest(state: VersionState, newest: int, now: Millis) -> VersionState:
    heard_at_by_version = {**state.heard_at_by_version, newest: now}
    return replace(
        state,
        newest=newest,
        heard_at_by_version=heard_at_by_version,
        nearby_since=None,
    )


def _note_holder(
    state: VersionState, message: VersionReported, now: Millis
) -> VersionState:
    name = message.peer.name
    known = state.holders_by_name.get(name)
    # The wait counts from the first report nearby, so that each instance can
    # choose among all holders that are known when its turn comes.
    since = now
    if message.nearby and state.nearby_since is not None:
        since = state.nearby_since
    due_at = since + message.wait
    busy_until: Millis = 0
    if known is not None:
        due_at = min(due_at, known.due_at)
        busy_until = known.busy_until
    holder = Holder(
        message.peer, message.version, now, due_at, message.nearby, busy_until
    )
    return replace(
        state, holders_by_name={**state.holders_by_name, name: holder}
    )


def _end_fetch(
    state: VersionState, message: FetchEnded, now: Millis, own: str
) -> VersionState:
    fetches_by_peer = dict(state.fetches_by_peer)
    fetches_by_peer.pop(message.name, None)
    state = replace(state, fetches_by_peer=fetches_by_peer)
    if message.newer:
        return replace(state, failures=0)
    if message.retry_after:
        return _wait_for_busy(state, message, now, own)
    failed_at_by_peer = {**state.failed_at_by_peer, message.name: now}
    return replace(
        state,
        failed_at_by_peer=failed_at_by_peer,
        failures=state.failures + 1,
        failed_at=now,
    )


def _wait_for_busy(
    state: VersionState, message: FetchEnded, now: Millis, own: str
) -> VersionState:
    """Leave a busy holder alone for as long as it asked for.

    During the pause other holders may report the version.
    """
    pause = BUSY_PAUSE + int(BUSY_PAUSE * find_share(own, state.newest))
    state = replace(state, paused_until=now + pause)
    holder = state.holders_by_name.get(message.name)
    if holder is None:
        return state
    wait = min(message.retry_after, MAX_BUSY)
    busy = replace(holder, busy_until=now + wait)
    holders_by_name = {**state.holders_by_name, message.name: busy}
    return replace(state, holders_by_name=holders_by_name)


def _forget_lost(state: VersionState) -> VersionState:
    """Forget versions that no live peer reports and that the store lacks.

    All that had them are gone, and the store was restored from an older copy.
    """
    return VersionState(fetches_by_peer=state.fetches_by_peer)


def _drop_outdated(
    state: VersionState, now: Millis, version: int
) -> VersionState:
    """Drop versions that are not newer than the one in force, and old reports.

    What failed is forgotten only once the newest version is in force.
    """
    heard_at_by_version = {
        newer: at
        for newer, at in state.heard_at_by_version.items()
        if newer > version
    }
    if not heard_at_by_version:
        return VersionState(
            newest=state.newest,
            fetches_by_peer=state.fetches_by_peer,
            reading=state.reading,
        )
    holders_by_name = {
        name: holder
        for name, holder in state.holders_by_name.items()
        if holder.version > version and now - holder.heard_at <= HOLDER_MS
    }
    return replace(
        state,
        heard_at_by_version=heard_at_by_version,
        holders_by_name=holders_by_name,
    )


def _take_steps(state: VersionState, now: Millis, own: str) -> Decision:
    """Start the fetch and the read of the store that are due."""
    if not state.heard_at_by_version:
        return state, ()
    actions: list[Action] = []
    holder = _choose_holder(state, now, own)
    if holder is not None:
        name = holder.peer.name
        state = replace(
            state,
            fetches_by_peer={**state.fetches_by_peer, name: now},
        )
        actions.append(FetchDocument(holder.peer, holder.nearby))
    if not state.reading and _find_read_time(state, own) <= now:
        state = replace(state, reading=True, read_at=now)
        actions.append(ReadStore())
    return state, tuple(actions)


def _choose_holder(state: VersionState, now: Millis, own: str) -> Holder | None:
    """Return the peer to ask now, or ``None``.

    Instances that ask at the same time choose different holders.
    """
    if len(state.fetches_by_peer) >= MAX_FETCHES:
        return None
    due = [
        holder
        for holder in _list_idle(state)
        if _find_fetch_time(state, holder) <= now
    ]
    if not due:
        return None
    return max(due, key=lambda holder: _rank_holder(holder, own))


def _rank_holder(holder: Holder, own: str) -> tuple[bool, int]:
    weight = zlib.crc32(f'{own} {holder.peer.name} {holder.version}'.encode())
    return holder.nearby, weight


def _list_idle(state: VersionState) -> list[Holder]:
    """Return the holders of which no document is being fetched."""
    return [
        holder
        for name, holder in state.holders_by_name.items()
        if name not in state.fetches_by_peer
    ]


def _find_fetch_time(state: VersionState, holder: Holder) -> Millis:
    """Return when a holder may be asked."""
    due_at = max(holder.due_at, holder.busy_until, state.paused_until)
    if not holder.nearby:
        due_at = max(due_at, _find_nearby_due_at(state))
    if state.fetches_by_peer:
        due_at = max(due_at, max(state.fetches_by_peer.values()) + HEDGE_AFTER)
    if state.failures >= MAX_FETCHES:
        doublings = min(state.failures - MAX_FETCHES, _MAX_DOUBLINGS)
        due_at = max(due_at, state.failed_at + RETRY_AFTER * 2**doublings)
    failed_at = state.failed_at_by_peer.get(holder.peer.name)
    if failed_at is None:
        return due_at
    return max(due_at, failed_at + RETRY_AFTER)


def _find_nearby_due_at(state: VersionState) -> Millis:
    """Return when the first nearby holder that has not failed may be asked.

    :returns: 0 if there is none.
    """
    return min(
        (
            max(holder.due_at, holder.busy_until)
            for holder in _list_idle(state)
            if holder.nearby and holder.peer.name not in state.failed_at_by_peer
        ),
        default=0,
    )


def _find_read_time(state: VersionState, own: str) -> Millis:
    """Return when the store may be read."""
    if state.read_at is not None:
        return state.read_at + READ_INTERVAL
    first_heard_at = min(state.heard_at_by_version.values())
    spread = int(READ_SPREAD * find_share(own, state.newest))
    return first_heard_at + READ_AFTER + spread
