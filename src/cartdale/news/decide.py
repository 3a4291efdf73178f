"""Decide what to take from the news of other instances."""

import zlib
from dataclasses import replace
from typing import assert_never

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.news.types import (
    Action,
    Decision,
    FetchTable,
    Heard,
    Message,
    NewsArrived,
    NewsState,
    PeerEntry,
    PeerListed,
    PeerRemoved,
    TakeEntry,
    TakeLeaving,
    TakeLoads,
)

#: A peer counts as alive for so long after its last message.
ALIVE_MS: Millis = 3 * SECOND_MS
#: No message from anyone for so long shows that this instance is cut off;
#: each of the others sends at least every 400 ms in a small system.
SILENT_MS: Millis = 1200
#: A peer that was silent for so long gets no more messages.
FORGET_MS: Millis = MINUTE_MS // 2
#: Instances that wait for changes at the store; the others hear of them in
#: news. All of them are lost at once only with most of the system.
WATCHERS = 4
#: Intervals grow by their first length for each so many peers, so that what
#: an instance sends to all of them stays bounded.
PEERS_PER_INTERVAL = 16


def decide(
    state: NewsState, message: Message, now: Millis, version: int
) -> Decision:
    """Take one message.

    :param now: monotonic milliseconds.
    :param version: configuration in force here.
    :returns: the next state, and what to take over.
    """
    match message:
        case PeerListed(peer=peer):
            peers_by_name = dict(state.peers_by_name)
            peers_by_name[peer.name] = peer
            return replace(state, peers_by_name=peers_by_name), ()
        case PeerRemoved(name=name):
            return _remove(state, name), ()
        case NewsArrived():
            return _hear(state, message, now, version)
        case _:
            assert_never(message)


def is_watcher(state: NewsState, own: str, now: Millis) -> bool:
    """Tell whether this instance follows the store for the others.

    The first of a fixed order among those that were heard of late and that
    the store answers; each instance decides by itself, and while they
    disagree a few more than needed watch.
    """
    watching = [
        name
        for name, heard in state.heard_by_name.items()
        if now - heard.at <= SILENT_MS * stretch(len(state.peers_by_name))
        and not heard.news.store_lost
    ]
    earlier = [name for name in watching if _order(name) < _order(own)]
    return len(earlier) < WATCHERS


def is_silent(state: NewsState, now: Millis) -> bool:
    """Tell whether peers were heard before, and none of them of late."""
    if not state.heard_by_name:
        return False
    last = max(heard.at for heard in state.heard_by_name.values())
    return now - last > SILENT_MS


def hears_of_loss(state: NewsState, now: Millis) -> bool:
    """Tell whether a peer said of late that the store does not answer."""
    return any(
        heard.news.store_lost and now - heard.at <= SILENT_MS
        for heard in state.heard_by_name.values()
    )


def count_alive(state: NewsState, now: Millis) -> int:
    """Return how many peers were heard of late."""
    return sum(
        now - heard.at <= ALIVE_MS for heard in state.heard_by_name.values()
    )


def _order(name: str) -> int:
    return zlib.crc32(name.encode())


def _remove(state: NewsState, name: str) -> NewsState:
    peers_by_name = dict(state.peers_by_name)
    peers_by_name.pop(name, None)
    return replace(state, peers_by_name=peers_by_name)


def _hear(
    state: NewsState, message: NewsArrived, now: Millis, version: int
) -> Decision:
    known = state.heard_by_name.get(message.sender)
    news = message.news
    if known is not None:
        newest = (known.news.boot, known.news.number)
        if (news.boot, news.number) <= newest:
            return state, ()
    heard_by_name = dict(state.heard_by_name)
    heard_by_name[message.sender] = Heard(news, now)
    peers_by_name = dict(state.peers_by_name)
    peers_by_name[message.sender] = news.peer
    actions: list[Action] = [TakeLoads(message.sender, news.loads_by_upstream)]
    actions.extend(TakeEntry(entry) for entry in news.entries)
    actions.extend(TakeLeaving(upstream) for upstream in news.leaving)
    if news.version > version:
        actions.append(FetchTable(news.peer))
    return NewsState(peers_by_name, heard_by_name), tuple(actions)


def list_reachable(state: NewsState, now: Millis) -> list[PeerEntry]:
    """Return the peers that are worth a message."""
    reachable: list[PeerEntry] = []
    for name, peer in state.peers_by_name.items():
        heard = state.heard_by_name.get(name)
        if heard is None or now - heard.at <= FORGET_MS:
            reachable.append(peer)
    return reachable


def stretch(peers: int) -> int:
    """Return how many times longer intervals are than in a small system."""
    return 1 + peers // PEERS_PER_INTERVAL
