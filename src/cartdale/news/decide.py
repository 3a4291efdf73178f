"""Decide what to take from the news of other instances."""

from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.news.types import (
    Action,
    Decision,
    FetchTable,
    Heard,
    Message,
    NewsArrived,
    NewsState,
    PeerListed,
    PeerRemoved,
    TakeLeaving,
    TakeLoads,
)

#: A peer counts as alive for so long after its last message.
ALIVE_MS: Millis = 3 * SECOND_MS
#: No message from anyone for so long shows that this instance is cut off;
#: each of the others sends at least every 400 ms in a small system.
SILENT_MS: Millis = 1200


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
    actions: list[Action] = [TakeLoads(message.sender, news.loads_by_upstream)]
    actions.extend(TakeLeaving(upstream) for upstream in news.leaving)
    peer = state.peers_by_name.get(message.sender)
    if news.version > version and peer is not None:
        actions.append(FetchTable(peer))
    return replace(state, heard_by_name=heard_by_name), tuple(actions)
