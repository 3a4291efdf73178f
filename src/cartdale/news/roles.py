"""Decide who tells whom, who watches the store and who asks upstreams.

Each instance decides by itself, from whom it heard of late. While they
disagree, for a second or two, a duty is done twice or waits for the next.
"""

import zlib
from dataclasses import dataclass

from cartdale.clock import MINUTE_MS, Millis
from cartdale.news.types import NewsState, PeerEntry, ReceivedNews

#: No message from anyone for so long shows that this instance is cut off;
#: each of the others sends at least every 400 ms in a small system.
SILENT_MS: Millis = 1200
#: A peer that was silent for so long gets no more messages.
FORGET_MS: Millis = MINUTE_MS // 2
#: Instances that wait for changes at the store in a small system; the others
#: hear of them in news. All of them are lost at once only with most of it.
WATCHERS = 4
#: Failure domains of a large system in which one instance does so. Each
#: change at the store is one priced call for each of them, whatever the
#: number of instances; two, so that the loss of one costs no time.
WATCHING_DOMAINS = 2
#: With more peers than this, instances tell their news only to those of their
#: failure domain, and one of them speaks for it to the other domains.
MOST_FLAT_PEERS = 16
#: Intervals grow by their first length for each so many peers, so that what
#: an instance sends to all of them stays bounded.
PEERS_PER_INTERVAL = 16


@dataclass(frozen=True, slots=True)
class StoreView:
    """Say how this instance stands with the store.

    :param lost: whether the store does not answer it.
    :param young: whether it started so lately that it can't have heard
        everybody yet; those that are listed count as alive then, or all that
        start together would follow the store.
    """

    lost: bool = False
    young: bool = False


def is_wide(state: NewsState) -> bool:
    """Tell whether news go by failure domains, since there are many peers."""
    many = len(state.peers_by_name) > MOST_FLAT_PEERS
    return many and len(_list_domains(state)) > 1


def list_recipients(
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


def find_silence_timeout(
    state: NewsState, own: PeerEntry, now: Millis
) -> Millis:
    """Return how long those around may be silent until they are missed."""
    return SILENT_MS * stretch(len(list_recipients(state, own, now)))


def is_watcher(
    state: NewsState, own: PeerEntry, now: Millis, view: StoreView
) -> bool:
    """Tell whether this instance follows the store for the others.

    The first of a fixed order among those that are alive and that the store
    answers; each instance decides by itself, and while they disagree a few
    more than needed watch. While the store answers nobody the same few keep
    asking. In a large system a few failure domains have one watcher each.

    :param view: how this instance stands with the store.
    """
    alive = [heard.news for heard in _list_alive(state, own, now)]
    around = [news.peer for news in alive if not news.store_lost]
    if view.lost and around:
        return False
    if view.lost:
        around = [news.peer for news in alive]
    if view.young:
        around.extend(_list_unheard(state, own))
    if not is_wide(state):
        return _count_earlier(own, around) < WATCHERS
    if _count_earlier(own, around):
        return False
    domains = sorted(_list_watching_domains(state, own, now, view), key=_order)
    return own.failure_domain in domains[:WATCHING_DOMAINS]


def is_domain_publisher(state: NewsState, own: PeerEntry, now: Millis) -> bool:
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


def is_prober(
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


def choose_domain_recipients(
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


def stretch(peers: int) -> int:
    """Return how many times longer intervals are than in a small system."""
    return 1 + peers // PEERS_PER_INTERVAL


def _order(name: str) -> int:
    return zlib.crc32(name.encode())


def _list_reachable(state: NewsState, now: Millis) -> list[PeerEntry]:
    """Return the peers that are worth a message."""
    reachable: list[PeerEntry] = []
    for name, peer in state.peers_by_name.items():
        heard = state.received_by_name.get(name)
        if heard is None or now - heard.at <= FORGET_MS:
            reachable.append(peer)
    return reachable


def _list_alive(
    state: NewsState, own: PeerEntry, now: Millis
) -> list[ReceivedNews]:
    """Return what peers told of late; in a large system those around."""
    patience = find_silence_timeout(state, own, now)
    wide = is_wide(state)
    return [
        heard
        for heard in state.received_by_name.values()
        if now - heard.at <= patience
        and (not wide or heard.news.peer.failure_domain == own.failure_domain)
    ]


def _count_earlier(own: PeerEntry, peers: list[PeerEntry]) -> int:
    """Return how many come before this instance in the fixed order."""
    return sum(_order(peer.name) < _order(own.name) for peer in peers)


def _list_unheard(state: NewsState, own: PeerEntry) -> list[PeerEntry]:
    """Return the listed peers around that were never heard of."""
    wide = is_wide(state)
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
    """Return the failure domains that can follow the store for the others.

    Those with instances that the store answers; while it answers nobody, all
    that were heard of late.
    """
    patience = find_silence_timeout(state, own, now)
    heard = {
        domain: told.news.store_lost
        for domain, told in state.domains_by_name.items()
        if now - told.at <= patience
    }
    answered = {domain for domain, lost in heard.items() if not lost}
    if not view.lost:
        answered.add(own.failure_domain)
    if view.young:
        answered.update(_list_domains(state) - heard.keys())
    return answered or {own.failure_domain, *heard}


def _list_domains(state: NewsState) -> set[str]:
    return {peer.failure_domain for peer in state.peers_by_name.values()}
