"""Assign recipients of news, store watchers and upstream probers.

Each instance assigns the roles by itself, from the news it received recently.
While instances disagree, for a second or two, a role is held twice or is vacant
until the next instance takes it.
"""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache

from cartdale.clock import SECOND_MS, Millis
from cartdale.news.types import (
    NewsState,
    PeerEntry,
    ReceivedDomainNews,
    ReceivedNews,
)

#: Time without any message after which this instance counts itself as cut off;
#: each of the others sends at least every 400 ms in a small system.
SILENT_MS: Millis = 1200
#: Instances that watch the store for changes in a small system; the others
#: receive the changes in news. All watchers fail at once only if most of the
#: system does.
WATCHERS = 4
#: Time for which an instance that started again does not watch for others. It
#: may end again before it has read the store, and has nothing to tell of what
#: changed there between its runs.
UNSETTLED_MS: Millis = 3 * SECOND_MS
#: Failure domains of a large system in which one instance watches the store.
#: Each change at the store is one billed call per watcher, whatever the number
#: of instances; with two, the loss of one causes no delay.
WATCHING_DOMAINS = 2
#: With more peers than this, instances send their news only within their
#: failure domain, and one of them publishes for it to the other domains.
MAX_FLAT_PEERS = 16
#: Time after which a peer's word that it counts more than those is disregarded.
_WIDE_REPORTED: Millis = 3 * SECOND_MS
#: Intervals grow by their base length for each such number of peers, which
#: bounds the rate at which an instance sends messages.
PEERS_PER_INTERVAL = 16
#: Bound of the remembered hashes: those of the peers of a large domain, for
#: each of its upstreams.
_MAX_HASHES = 8192


@dataclass(frozen=True, slots=True)
class StoreView:
    """Describe this instance's view of the store.

    :param lost: whether the store does not respond to it.
    :param young: whether it started too recently to have received news from
        all peers. Listed peers then count as alive; otherwise all instances
        that start together would watch the store.
    """

    lost: bool = False
    young: bool = False


def is_wide(state: NewsState, now: Millis) -> bool:
    """Return whether news is exchanged by failure domain, for many peers.

    It is as soon as one instance counts enough peers, since an instance that
    sends its news to all peers and one that does not miss each other's.
    """
    if counts_wide(state):
        return True
    received: list[ReceivedNews | ReceivedDomainNews] = [
        *state.received_by_name.values(),
        *state.domains_by_name.values(),
    ]
    return any(
        each.news.wide and now - each.at <= _WIDE_REPORTED for each in received
    )


def counts_wide(state: NewsState) -> bool:
    """Return whether the known peers alone are enough for a large system."""
    if len(state.peers_by_name) <= MAX_FLAT_PEERS:
        return False
    peers = iter(state.peers_by_name.values())
    first = next(peers)
    return any(peer.failure_domain != first.failure_domain for peer in peers)


def list_recipients(
    state: NewsState, own: PeerEntry, now: Millis
) -> list[PeerEntry]:
    """Return the peers to which this instance sends its news.

    Silent ones too: after a cut, one side has to send first.
    """
    wide = is_wide(state, now)
    return [
        peer
        for peer in state.peers_by_name.values()
        if (not wide or peer.failure_domain == own.failure_domain)
        and peer.name != own.name
    ]


def find_silence_timeout(
    state: NewsState, own: PeerEntry, now: Millis
) -> Millis:
    """Return how long a domain peer may be silent before it counts as gone."""
    return SILENT_MS * stretch(len(list_recipients(state, own, now)))


def is_watcher(
    state: NewsState, own: PeerEntry, now: Millis, view: StoreView
) -> bool:
    """Return whether this instance watches the store for the others.

    Watchers are the first instances, in a fixed order, that are alive and get
    responses from the store. Each instance decides by itself; while they
    disagree, a few more than needed watch. While the store responds to no
    instance, the same few keep trying. In a large system a few failure domains
    have one watcher each.

    :param view: this instance's view of the store.
    """
    wide = is_wide(state, now)
    if wide and not view.lost and _has_earlier_watcher(state, own, now):
        return False
    alive = [
        received.news
        for received in _iterate_alive(state, own, now)
        if _is_settled(received, now)
    ]
    candidates = [news.peer for news in alive if not news.store_lost]
    if view.lost and candidates:
        return False
    if view.lost:
        candidates = [news.peer for news in alive]
    if view.young:
        candidates.extend(_list_never_received(state, own, now))
    earlier = _count_earlier(own, candidates)
    if not wide:
        return earlier < WATCHERS
    if earlier:
        return False
    domains = sorted(
        _list_watching_domains(state, own, now, view), key=_hash_name
    )
    return own.failure_domain in domains[:WATCHING_DOMAINS]


def is_domain_publisher(state: NewsState, own: PeerEntry, now: Millis) -> bool:
    """Return whether this instance publishes for its failure domain.

    Among instances with equal links the publisher is the last in the order in
    which watchers are the first, so that no instance has both roles.
    """
    return is_wide(state, now) and not find_publishing_rank(state, own, now)


def is_prober(
    state: NewsState,
    own: PeerEntry,
    upstream: str,
    failure_domain: str,
    now: Millis,
    *,
    reaches: bool = True,
) -> bool:
    """Return whether this instance polls an upstream for all instances.

    Uses rendezvous hashing over the instances with recent news that reach it,
    or over all of them if none does; in a large system, over those of the
    upstream's failure domain.

    :param reaches: whether this instance reaches the upstream.
    """
    if is_wide(state, now) and own.failure_domain != failure_domain:
        return False
    alive = [received.news for received in _iterate_alive(state, own, now)]
    candidates = [news for news in alive if upstream not in news.unreachable]
    if not reaches:
        if candidates:
            return False
        candidates = alive
    weight = _hash_name(f'{own.name} {upstream}')
    return all(
        _hash_name(f'{news.peer.name} {upstream}') < weight
        for news in candidates
    )


def find_publishing_rank(state: NewsState, own: PeerEntry, now: Millis) -> int:
    """Return how many live domain peers come before this one as publishers.

    Those with the widest links come first: a publisher sends each message of
    the other domains to all peers of its own, which fills a narrow link and
    delays the requests of its callers.
    """
    own_order = own.link_mbps, _hash_name(own.name)
    peers = [received.news.peer for received in _iterate_alive(state, own, now)]
    return sum(
        (peer.link_mbps, _hash_name(peer.name)) > own_order for peer in peers
    )


def stretch(peers: int) -> int:
    """Return the factor by which intervals exceed those of a small system."""
    return 1 + peers // PEERS_PER_INTERVAL


@lru_cache(maxsize=_MAX_HASHES)
def _hash_name(name: str) -> int:
    return zlib.crc32(name.encode())


def _is_settled(received: ReceivedNews, now: Millis) -> bool:
    """Tell whether a peer did not start again of late."""
    restarted_at = received.restarted_at
    return restarted_at is None or now - restarted_at > UNSETTLED_MS


def _iterate_alive(
    state: NewsState, own: PeerEntry, now: Millis
) -> Iterator[ReceivedNews]:
    """Yield recent news of peers; in a large system, of domain peers only."""
    timeout = find_silence_timeout(state, own, now)
    wide = is_wide(state, now)
    for received in state.received_by_name.values():
        if now - received.at > timeout:
            continue
        if not wide or received.news.peer.failure_domain == own.failure_domain:
            yield received


def _has_earlier_watcher(state: NewsState, own: PeerEntry, now: Millis) -> bool:
    """Return whether a live peer to which the store responds comes first."""
    own_hash = _hash_name(own.name)
    return any(
        not received.news.store_lost
        and _hash_name(received.news.peer.name) < own_hash
        for received in _iterate_alive(state, own, now)
        if _is_settled(received, now)
    )


def _count_earlier(own: PeerEntry, peers: list[PeerEntry]) -> int:
    """Return how many peers precede this instance in the fixed order."""
    own_hash = _hash_name(own.name)
    return sum(_hash_name(peer.name) < own_hash for peer in peers)


def _list_never_received(
    state: NewsState, own: PeerEntry, now: Millis
) -> list[PeerEntry]:
    """Return the listed domain peers that never sent news."""
    wide = is_wide(state, now)
    return [
        peer
        for name, peer in state.peers_by_name.items()
        if name not in state.received_by_name
        and name != own.name
        and (not wide or peer.failure_domain == own.failure_domain)
    ]


def _list_watching_domains(
    state: NewsState, own: PeerEntry, now: Millis, view: StoreView
) -> set[str]:
    """Return the failure domains that can watch the store for the others.

    These are the domains with instances to which the store responds; while it
    responds to none, all domains with recent news.
    """
    timeout = find_silence_timeout(state, own, now)
    lost_by_domain = {
        domain: received.news.store_lost
        for domain, received in state.domains_by_name.items()
        if now - received.at <= timeout
    }
    answered = {domain for domain, lost in lost_by_domain.items() if not lost}
    if not view.lost:
        answered.add(own.failure_domain)
    if view.young:
        answered.update(_list_domains(state) - lost_by_domain.keys())
    return answered or {own.failure_domain, *lost_by_domain}


def _list_domains(state: NewsState) -> set[str]:
    return {peer.failure_domain for peer in state.peers_by_name.values()}
