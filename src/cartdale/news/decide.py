"""Decide what to take from the news of other instances."""

import zlib
from dataclasses import replace
from typing import assert_never

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis
from cartdale.news.types import (
    Action,
    Decision,
    DomainNews,
    DomainNewsArrived,
    FetchTable,
    Heard,
    HeardDomain,
    LoadNews,
    Message,
    NewsArrived,
    NewsState,
    PassOn,
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
#: With more peers than this, instances tell their news only to those of their
#: failure domain, and one of them speaks for it to the other domains.
MOST_FLAT_PEERS = 16
#: Under which name the loads of a whole failure domain are kept.
DOMAIN_PREFIX = 'domain/'
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
        case DomainNewsArrived():
            return _hear_domain(state, message, now, version)
        case _:
            assert_never(message)


def is_wide(state: NewsState) -> bool:
    """Tell whether news go by failure domains, since there are many peers."""
    domains = {peer.failure_domain for peer in state.peers_by_name.values()}
    return len(state.peers_by_name) > MOST_FLAT_PEERS and len(domains) > 1


def list_audience(
    state: NewsState, own: PeerEntry, now: Millis
) -> list[PeerEntry]:
    """Return the peers to which this instance tells its news."""
    reachable = [
        peer for peer in _list_reachable(state, now) if peer.name != own.name
    ]
    if not is_wide(state):
        return reachable
    return [
        peer for peer in reachable if peer.failure_domain == own.failure_domain
    ]


def is_watcher(state: NewsState, own: PeerEntry, now: Millis) -> bool:
    """Tell whether this instance follows the store for the others.

    The first of a fixed order among those that were heard of late and that
    the store answers; each instance decides by itself, and while they
    disagree a few more than needed watch. In a large system each failure
    domain has watchers of its own.
    """
    watching = [
        heard.news.peer
        for heard in _list_alive(state, own, now)
        if not heard.news.store_lost
    ]
    earlier = [
        peer for peer in watching if _order(peer.name) < _order(own.name)
    ]
    return len(earlier) < _count_watchers(state)


def is_relay(state: NewsState, own: PeerEntry, now: Millis) -> bool:
    """Tell whether this instance speaks for its failure domain.

    The last of the order by which watchers are the first, so that no
    instance has both duties.
    """
    if not is_wide(state):
        return False
    return all(
        _order(heard.news.peer.name) < _order(own.name)
        for heard in _list_alive(state, own, now)
    )


def is_keeper(
    state: NewsState,
    own: PeerEntry,
    upstream: str,
    failure_domain: str,
    now: Millis,
) -> bool:
    """Tell whether this instance asks an upstream for all how it is.

    Rendezvous hashing over the instances that were heard of late, in a
    large system over those of the upstream's failure domain.
    """
    if is_wide(state) and own.failure_domain != failure_domain:
        return False
    weight = _order(f'{own.name} {upstream}')
    return all(
        _order(f'{heard.news.peer.name} {upstream}') < weight
        for heard in _list_alive(state, own, now)
    )


def choose_recipients(
    state: NewsState, own: PeerEntry, now: Millis, turn: int
) -> list[PeerEntry]:
    """Return one instance in each other failure domain to speak to.

    Who spoke for it last, or while nobody does each of its instances in
    turn: whoever gets the news passes them on.
    """
    peers_by_domain: dict[str, list[PeerEntry]] = {}
    for peer in state.peers_by_name.values():
        if peer.failure_domain != own.failure_domain:
            peers_by_domain.setdefault(peer.failure_domain, []).append(peer)
    recipients: list[PeerEntry] = []
    for domain, peers in peers_by_domain.items():
        heard = state.domains_by_name.get(domain)
        if heard is not None and now - heard.at <= SILENT_MS:
            recipients.append(heard.news.peer)
            continue
        recipients.append(peers[turn % len(peers)])
    return recipients


def is_silent(state: NewsState, now: Millis) -> bool:
    """Tell whether peers were heard before, and none of them of late."""
    heard_at = [heard.at for heard in state.heard_by_name.values()]
    heard_at.extend(heard.at for heard in state.domains_by_name.values())
    return bool(heard_at) and now - max(heard_at) > SILENT_MS


def count_alive(state: NewsState, now: Millis) -> int:
    """Return how many peers were heard of late, or told about."""
    near = sum(
        now - heard.at <= ALIVE_MS for heard in state.heard_by_name.values()
    )
    far = sum(
        heard.news.alive
        for heard in state.domains_by_name.values()
        if now - heard.at <= ALIVE_MS
    )
    return near + far


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
    after = replace(
        state, peers_by_name=peers_by_name, heard_by_name=heard_by_name
    )
    return after, _take_over(message.sender, news, version)


def _hear_domain(
    state: NewsState, message: DomainNewsArrived, now: Millis, version: int
) -> Decision:
    """Take news about a failure domain; their sender may change."""
    news = message.news
    domain = news.peer.failure_domain
    known = state.domains_by_name.get(domain)
    if known is not None and known.news.peer.name == news.peer.name:
        newest = (known.news.boot, known.news.number)
        if (news.boot, news.number) <= newest:
            return state, ()
    domains_by_name = dict(state.domains_by_name)
    domains_by_name[domain] = HeardDomain(news, now)
    after = replace(state, domains_by_name=domains_by_name)
    actions = _take_over(f'{DOMAIN_PREFIX}{domain}', news, version)
    if message.direct:
        actions = (PassOn(), *actions)
    return after, actions


def _take_over(
    teller: str, news: LoadNews | DomainNews, version: int
) -> tuple[Action, ...]:
    actions: list[Action] = [TakeLoads(teller, news.loads_by_upstream)]
    actions.extend(TakeEntry(entry) for entry in news.entries)
    actions.extend(TakeLeaving(upstream) for upstream in news.leaving)
    if news.version > version:
        actions.append(FetchTable(news.peer))
    return tuple(actions)


def _list_reachable(state: NewsState, now: Millis) -> list[PeerEntry]:
    """Return the peers that are worth a message."""
    reachable: list[PeerEntry] = []
    for name, peer in state.peers_by_name.items():
        heard = state.heard_by_name.get(name)
        if heard is None or now - heard.at <= FORGET_MS:
            reachable.append(peer)
    return reachable


def _list_alive(state: NewsState, own: PeerEntry, now: Millis) -> list[Heard]:
    """Return what peers told of late; in a large system those around."""
    audience = len(list_audience(state, own, now))
    patience = SILENT_MS * stretch(audience)
    wide = is_wide(state)
    return [
        heard
        for heard in state.heard_by_name.values()
        if now - heard.at <= patience
        and (not wide or heard.news.peer.failure_domain == own.failure_domain)
    ]


def _count_watchers(state: NewsState) -> int:
    if not is_wide(state):
        return WATCHERS
    domains = {peer.failure_domain for peer in state.peers_by_name.values()}
    return max(WATCHERS // len(domains), 1)


def stretch(peers: int) -> int:
    """Return how many times longer intervals are than in a small system."""
    return 1 + peers // PEERS_PER_INTERVAL
