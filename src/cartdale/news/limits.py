"""Tell peers of rate limits: which were named, and what is asked of whom."""

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

#: A message may be on its way for so long. What it tells happened so much
#: earlier than its ages say.
_ON_ITS_WAY: Millis = 300
#: Name of the one group of a small system.
_EVERYBODY = ''


def write_limit(limit: RateLimit, born: Millis, now: Millis) -> LimitNews:
    """Return what peers are told of a limit; clocks differ, ages don't."""
    return LimitNews(
        limit.per_second, now - limit.asked_at, now - limit.answered_at, born
    )


def read_limit(news: LimitNews, now: Millis) -> RateLimit:
    """Return a limit as a peer told it."""
    asked_at = now - news.asked_ago - _ON_ITS_WAY
    return RateLimit(news.per_second, asked_at, now - news.answered_ago)


def merge_limit_news(
    own: Mapping[str, LimitNews], heard: Iterable[ReceivedNews], now: Millis
) -> dict[str, LimitNews]:
    """Return what the answers to all of a failure domain named."""
    limits_by_upstream = dict(own)
    for each in heard:
        for upstream, news in each.news.limits.items():
            named = read_limit(news, each.at)
            known = limits_by_upstream.get(upstream)
            if known is not None and known.born >= news.born:
                named = merge_limits(read_limit(known, now), named)
            limits_by_upstream[upstream] = write_limit(named, news.born, now)
    return limits_by_upstream


def sum_demand(
    offers: Iterable[Mapping[str, float]],
) -> dict[str, float]:
    """Return what several offer together, of services that all tell."""
    listed = list(offers)
    services = set.intersection(*map(set, listed)) if listed else set()
    return {
        service: sum(each[service] for each in listed) for service in services
    }


def find_limit_participants(
    state: NewsState, own: PeerEntry, offers: DemandByService, now: Millis
) -> LimitParticipants:
    """Return who shares the limits of upstreams, and what each offers.

    Whoever is listed shares, heard of or not.

    :param offers: of this instance.
    """
    if not is_wide(state):
        domain_peers = _list_offers(state, state.peers_by_name, now)
        domain_peers[own.name] = offers
        return LimitParticipants(
            own.name, _EVERYBODY, {_EVERYBODY: None}, domain_peers
        )
    domain = own.failure_domain
    names = [
        name
        for name, peer in state.peers_by_name.items()
        if peer.failure_domain == domain
    ]
    domain_peers = _list_offers(state, names, now)
    domain_peers[own.name] = offers
    told = [each for each in domain_peers.values() if each is not None]
    groups = {**_list_domain_offers(state, now), domain: sum_demand(told)}
    return LimitParticipants(own.name, domain, groups, domain_peers)


def _list_offers(
    state: NewsState, names: Iterable[str], now: Millis
) -> dict[str, DemandByService]:
    received_by_name = state.received_by_name
    return {
        name: _find_offers(received_by_name.get(name), now) for name in names
    }


def _list_domain_offers(
    state: NewsState, now: Millis
) -> dict[str, DemandByService]:
    domains = {peer.failure_domain for peer in state.peers_by_name.values()}
    heard_by_domain = state.domains_by_name
    return {
        domain: _find_offers(heard_by_domain.get(domain), now)
        for domain in domains
    }


def _find_offers(
    heard: ReceivedNews | ReceivedDomainNews | None, now: Millis
) -> DemandByService:
    """Return what was told of late; ``None`` for nothing."""
    if heard is None or now - heard.at > ALIVE_MS:
        return None
    return heard.news.offers
