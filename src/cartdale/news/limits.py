"""Share rate limits of upstreams, and the demand on them, among peers."""

from collections.abc import Iterable, Mapping

from cartdale.clock import Millis
from cartdale.fleet.limit_gate import DemandByService, LimitParticipants
from cartdale.fleet.rate_limits import RateLimit, merge_limits
from cartdale.news.decide import ALIVE_MS
from cartdale.news.roles import is_wide
from cartdale.news.types import (
    LimitNews,
    NewsState,
    PeerEntry,
    ReceivedDomainNews,
    ReceivedNews,
)

#: Maximum transit time of a message. Its contents may be older by this much
#: than the ages in it say.
_MAX_TRANSIT: Millis = 300
#: Name of the only group of a small system.
_SINGLE_GROUP = ''


def write_limit(limit: RateLimit, born: Millis, now: Millis) -> LimitNews:
    """Convert a limit for peers; uses ages, since their clocks differ."""
    return LimitNews(
        limit.per_second,
        now - limit.asked_at,
        now - limit.answered_at,
        born,
        limit.paced,
    )


def read_limit(news: LimitNews, now: Millis) -> RateLimit:
    """Convert a limit that a peer reported."""
    asked_at = now - news.asked_ago - _MAX_TRANSIT
    answered_at = now - news.answered_ago
    return RateLimit(news.per_second, asked_at, answered_at, news.paced)


def merge_limit_news(
    own: Mapping[str, LimitNews], received: Iterable[ReceivedNews], now: Millis
) -> dict[str, LimitNews]:
    """Merge the limits that all instances of a failure domain observed."""
    limits_by_upstream = dict(own)
    for each in received:
        for upstream, news in each.news.limits.items():
            merged = read_limit(news, each.at)
            known = limits_by_upstream.get(upstream)
            if known is not None and known.born >= news.born:
                merged = merge_limits(read_limit(known, now), merged)
            limits_by_upstream[upstream] = write_limit(merged, news.born, now)
    return limits_by_upstream


def sum_demand(
    demand: Iterable[Mapping[str, float]],
) -> dict[str, float]:
    """Return the total demand by service, for services that all report."""
    demands = list(demand)
    services = set.intersection(*map(set, demands)) if demands else set()
    return {
        service: sum(each[service] for each in demands) for service in services
    }


def find_limit_participants(
    state: NewsState, own: PeerEntry, demand: DemandByService, now: Millis
) -> LimitParticipants:
    """Return who shares the limits of upstreams, and each one's demand.

    Each listed instance participates, whether or not it has sent news.

    :param demand: demand at this instance.
    """
    if not is_wide(state, now):
        domain_peers = _list_peer_demand(state, state.peers_by_name, now)
        domain_peers[own.name] = demand
        return LimitParticipants(
            own.name, _SINGLE_GROUP, {_SINGLE_GROUP: None}, domain_peers
        )
    domain = own.failure_domain
    names = [
        name
        for name, peer in state.peers_by_name.items()
        if peer.failure_domain == domain
    ]
    domain_peers = _list_peer_demand(state, names, now)
    domain_peers[own.name] = demand
    reported = [each for each in domain_peers.values() if each is not None]
    groups = {**_list_domain_demand(state, now), domain: sum_demand(reported)}
    return LimitParticipants(own.name, domain, groups, domain_peers)


def _list_peer_demand(
    state: NewsState, names: Iterable[str], now: Millis
) -> dict[str, DemandByService]:
    received_by_name = state.received_by_name
    return {
        name: _find_recent_demand(received_by_name.get(name), now)
        for name in names
    }


def _list_domain_demand(
    state: NewsState, now: Millis
) -> dict[str, DemandByService]:
    domains = {peer.failure_domain for peer in state.peers_by_name.values()}
    received_by_domain = state.domains_by_name
    return {
        domain: _find_recent_demand(received_by_domain.get(domain), now)
        for domain in domains
    }


def _find_recent_demand(
    received: ReceivedNews | ReceivedDomainNews | None, now: Millis
) -> DemandByService:
    """Return the recently reported demand, or ``None`` if there is none."""
    if received is None or now - received.at > ALIVE_MS:
        return None
    return received.news.offers
