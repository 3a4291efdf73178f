"""Decide between direct paths and detours, and choose intermediaries.

Only a connection that could not be opened blocks a path: nothing of the request
was sent then, so that it may go through another instance whatever it is. That
an upstream is at fault and not the path shows only by instances that reach
others but not this one (Das et al., SWIM, 2002, ask members in the same way).
"""

import random
from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from typing import Any, assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.detours.types import (
    BlockedPath,
    Decision,
    DetourAnswered,
    DetourBegan,
    DetourEnded,
    DetourOutcome,
    DetourUnanswered,
    DirectFailed,
    DirectReached,
    Intermediary,
    Message,
    PathBlocked,
    PathReopened,
    PathState,
    PathUnneeded,
    PathWanted,
    UnreachedByAll,
)
from cartdale.news.types import PeerEntry

#: Bounds of the interval between probes of a blocked path. It grows with the
#: time for which the path has been blocked.
_MIN_PROBE_INTERVAL: Millis = SECOND_MS // 4
_MAX_PROBE_INTERVAL: Millis = SECOND_MS
_PROBE_INTERVAL_SHARE = 1 / 8
#: A blocked path that no request needs for so long is forgotten.
_FORGOTTEN_AFTER: Millis = 10 * SECOND_MS
#: Time for which an upstream that nobody reaches is not tried through others.
UNREACHED_FOR: Millis = SECOND_MS // 2
#: Time for which an intermediary is not asked again for an upstream that it
#: did not reach.
_BLIND_FOR: Millis = 2 * SECOND_MS
#: Time for which an intermediary that did not answer is not asked again, and
#: one that says at once that it has no capacity, or whose process is gone and
#: may start again any moment.
_SILENT_FOR: Millis = 3 * SECOND_MS
_BUSY_FOR: Millis = SECOND_MS // 4
#: Time for which an intermediary that left a request without a response is
#: asked last.
_DOUBTED_FOR: Millis = 3 * SECOND_MS
#: Time for which an intermediary that worked is preferred to unknown ones.
_PROVEN_FOR: Millis = 5 * SECOND_MS
#: Number of proven intermediaries among which requests are spread. While there
#: are fewer, some requests try unknown ones.
_ENOUGH_PROVEN = 3
_TRY_UNKNOWN_SHARE = 0.25


def decide(state: PathState, message: Message, now: Millis) -> Decision:
    """Apply one message.

    :param now: monotonic milliseconds.
    :returns: the next state, and the changes to log.
    """
    match message:
        case DirectFailed():
            return _block(state, message, now)
        case DirectReached(address=address):
            return _reopen(state, address, now)
        case PathWanted(address=address):
            return _change_path(state, address, wanted_at=now), ()
        case PathUnneeded(address=address):
            return _reopen(state, address, now)[0], ()
        case UnreachedByAll(address=address, refused=refused):
            unreached = _change_path(
                state,
                address,
                unreached_until=now + UNREACHED_FOR,
                refuses_all=refused,
            )
            return unreached, ()
        case DetourBegan(intermediary=name):
            known = find_intermediary(state, name)
            return _put(state, name, replace(known, carries=known.carries + 1))
        case DetourEnded(intermediary=name):
            known = find_intermediary(state, name)
            return _put(state, name, replace(known, carries=known.carries - 1))
        case DetourAnswered():
            return _note_answer(state, message, now)
        case DetourUnanswered(intermediary=name):
            known = find_intermediary(state, name)
            doubted = replace(known, doubted_until=now + _DOUBTED_FOR)
            return _put(state, name, doubted)
        case _:
            assert_never(message)


def is_blocked(state: PathState, address: str) -> bool:
    """Tell whether the direct path to an upstream is blocked."""
    return address in state.blocked_by_address


def find_unreached(
    state: PathState, address: str, now: Millis
) -> BlockedPath | None:
    """Return the path to an upstream that no instance reached just before.

    ``None`` if one may reach it.
    """
    path = state.blocked_by_address.get(address)
    if path is None or path.unreached_until <= now:
        return None
    return path


def find_intermediary(state: PathState, name: str) -> Intermediary:
    """Return what is known of an instance as an intermediary."""
    return state.intermediaries_by_name.get(name) or Intermediary()


def find_busy_until(
    state: PathState, peers: Iterable[PeerEntry], address: str, now: Millis
) -> Millis:
    """Return when the first busy instance may carry a request again.

    0 if none is busy that may reach the upstream.

    :param address: of the upstream.
    """
    ends: list[Millis] = []
    for peer in peers:
        known = find_intermediary(state, peer.name)
        blind_until = known.blind_until_by_address.get(address, 0)
        if known.busy_until > now and blind_until <= now:
            ends.append(known.busy_until)
    return min(ends, default=0)


def list_probes(state: PathState, now: Millis) -> tuple[str, ...]:
    """Return the addresses whose direct paths are to be probed."""
    return tuple(
        address
        for address, path in state.blocked_by_address.items()
        if path.probe_at <= now
    )


def list_unwanted(state: PathState, now: Millis) -> tuple[str, ...]:
    """Return the addresses whose blocked paths no request needs any more."""
    return tuple(
        address
        for address, path in state.blocked_by_address.items()
        if now - path.wanted_at > _FORGOTTEN_AFTER
    )


def list_proven(state: PathState, now: Millis) -> tuple[str, ...]:
    """Return the names of instances that recently worked as intermediaries."""
    return tuple(
        name
        for name, known in state.intermediaries_by_name.items()
        if known.worked_at is not None
        and now - known.worked_at <= _PROVEN_FOR
        and max(known.avoided_until, known.doubted_until) <= now
    )


def rank_intermediaries(
    state: PathState,
    peers: Iterable[PeerEntry],
    address: str,
    nearby: frozenset[str],
    now: Millis,
    generator: random.Random,
) -> list[PeerEntry]:
    """Return the instances that may carry a request, the best one first.

    Proven ones go first, those that carry the least before others. Some
    requests try an unknown one instead, so that a few share the load. One that
    left a request without a response may stand still and goes last.

    :param peers: the other instances.
    :param address: of the upstream.
    :param nearby: failure domains that are preferred.
    """
    proven: list[PeerEntry] = []
    unknown: list[PeerEntry] = []
    doubted: list[PeerEntry] = []
    proven_names = frozenset(list_proven(state, now))
    for peer in peers:
        known = find_intermediary(state, peer.name)
        blind_until = known.blind_until_by_address.get(address, 0)
        if known.avoided_until > now or blind_until > now:
            continue
        if known.doubted_until > now:
            doubted.append(peer)
        elif peer.name in proven_names:
            proven.append(peer)
        else:
            unknown.append(peer)
    generator.shuffle(unknown)
    generator.shuffle(proven)
    proven.sort(key=partial(_rank_proven, state, nearby))
    explores = generator.random() < _TRY_UNKNOWN_SHARE
    if proven and unknown and explores and len(proven) < _ENOUGH_PROVEN:
        return [unknown[0], *proven, *unknown[1:], *doubted]
    return [*proven, *unknown, *doubted]


def _rank_proven(
    state: PathState, nearby: frozenset[str], peer: PeerEntry
) -> tuple[int, bool]:
    carries = find_intermediary(state, peer.name).carries
    return carries, peer.failure_domain not in nearby


def _block(state: PathState, message: DirectFailed, now: Millis) -> Decision:
    address = message.address
    known = state.blocked_by_address.get(address)
    since = now if known is None else known.since
    interval = int((now - since) * _PROBE_INTERVAL_SHARE)
    interval = min(max(interval, _MIN_PROBE_INTERVAL), _MAX_PROBE_INTERVAL)
    if known is None:
        blocked = BlockedPath(now, now + interval, now, message.refused)
        return _put_path(state, address, blocked), (PathBlocked(address),)
    wanted_at = known.wanted_at if message.probed else now
    blocked = replace(
        known,
        probe_at=now + interval,
        wanted_at=wanted_at,
        refused=message.refused,
    )
    return _put_path(state, address, blocked), ()


def _reopen(state: PathState, address: str, now: Millis) -> Decision:
    known = state.blocked_by_address.get(address)
    if known is None:
        return state, ()
    blocked_by_address = dict(state.blocked_by_address)
    blocked_by_address.pop(address)
    reopened = replace(state, blocked_by_address=blocked_by_address)
    return reopened, (PathReopened(address, now - known.since),)


def _change_path(state: PathState, address: str, **changes: Any) -> PathState:
    known = state.blocked_by_address.get(address)
    if known is None:
        return state
    return _put_path(state, address, replace(known, **changes))


def _put_path(state: PathState, address: str, path: BlockedPath) -> PathState:
    blocked_by_address = {**state.blocked_by_address, address: path}
    return replace(state, blocked_by_address=blocked_by_address)


def _note_answer(
    state: PathState, message: DetourAnswered, now: Millis
) -> Decision:
    known = find_intermediary(state, message.intermediary)
    match message.outcome:
        case DetourOutcome.OPENED:
            changed = replace(known, worked_at=now, doubted_until=0)
        case DetourOutcome.UNREACHED:
            blind_for = UNREACHED_FOR if message.is_witness else _BLIND_FOR
            changed = _set_blind(known, message.address, now, blind_for)
        case DetourOutcome.WITHHELD:
            blind_for = message.backoff or _BLIND_FOR
            changed = _set_blind(known, message.address, now, blind_for)
        case DetourOutcome.BUSY if message.backoff:
            until = now + message.backoff
            changed = replace(known, avoided_until=until, busy_until=until)
        case DetourOutcome.BUSY | DetourOutcome.CLOSED:
            changed = replace(known, avoided_until=now + _BUSY_FOR)
        case None:
            changed = replace(known, avoided_until=now + _SILENT_FOR)
        case DetourOutcome.BROKEN:
            return state, ()
        case _:
            assert_never(message.outcome)
    return _put(state, message.intermediary, changed)


def _set_blind(
    known: Intermediary, address: str, now: Millis, blind_for: Millis
) -> Intermediary:
    blind = {
        each: until
        for each, until in known.blind_until_by_address.items()
        if until > now
    }
    blind[address] = now + blind_for
    return replace(known, blind_until_by_address=blind)


def _put(state: PathState, name: str, known: Intermediary) -> Decision:
    intermediaries_by_name = {**state.intermediaries_by_name, name: known}
    return replace(state, intermediaries_by_name=intermediaries_by_name), ()
