"""Decide what to take from the news of other instances."""

from collections.abc import Iterable
from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.news.roles import SILENT_MS
from cartdale.news.types import (
    Action,
    ApplyEntry,
    ApplyEvacuations,
    ApplyLeaving,
    ApplyLimit,
    ApplyLoads,
    AvoidUpstream,
    Decision,
    DomainNews,
    DomainNewsArrived,
    FetchTable,
    ForwardNews,
    LoadNews,
    Message,
    NewsArrived,
    NewsState,
    PeerEntry,
    PeerListed,
    PeerRemoved,
    ReceivedDomainNews,
    ReceivedNews,
)
from cartdale.quarantine.types import CrashesTold

#: A peer counts as alive for so long after its last message.
ALIVE_MS: Millis = 3 * SECOND_MS
#: Under which name the loads of a whole failure domain are kept.
DOMAIN_PREFIX = 'domain/'
#: At least so many instances must fail to reach an upstream before the others
#: avoid it.
MIN_REPORTERS = 2


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


def is_silent(state: NewsState, now: Millis) -> bool:
    """Tell whether peers were heard before, and none of them of late."""
    heard_at = [heard.at for heard in state.received_by_name.values()]
    heard_at.extend(heard.at for heard in state.domains_by_name.values())
    return bool(heard_at) and now - max(heard_at) > SILENT_MS


def count_alive(state: NewsState, now: Millis) -> int:
    """Return how many peers were heard of late, or told about."""
    direct = sum(
        now - heard.at <= ALIVE_MS for heard in state.received_by_name.values()
    )
    by_domain = sum(
        heard.news.alive
        for heard in state.domains_by_name.values()
        if now - heard.at <= ALIVE_MS
    )
    return direct + by_domain


def count_reporters(
    state: NewsState,
    upstream: str,
    now: Millis,
    *,
    own_domain_only: bool = False,
) -> int:
    """Return how many instances reported of late that they can't reach it.

    :param own_domain_only: leave other failure domains out.
    """
    direct = sum(
        upstream in heard.news.unreachable and now - heard.at <= SILENT_MS
        for heard in state.received_by_name.values()
    )
    if own_domain_only:
        return direct
    by_domain = sum(
        heard.news.reporters_by_upstream.get(upstream, 0)
        for heard in state.domains_by_name.values()
        if now - heard.at <= SILENT_MS
    )
    return direct + by_domain


def list_holders(
    state: NewsState, version: int, now: Millis
) -> list[PeerEntry]:
    """Return the peers heard of late that have a newer configuration."""
    return [
        heard.news.peer
        for heard in state.received_by_name.values()
        if now - heard.at <= ALIVE_MS and heard.news.version > version
    ]


def _remove(state: NewsState, name: str) -> NewsState:
    peers_by_name = dict(state.peers_by_name)
    peers_by_name.pop(name, None)
    return replace(state, peers_by_name=peers_by_name)


def _hear(
    state: NewsState, message: NewsArrived, now: Millis, version: int
) -> Decision:
    known = state.received_by_name.get(message.sender)
    news = message.news
    if known is not None and not _is_newer(news, known.news):
        return state, ()
    received_by_name = dict(state.received_by_name)
    received_by_name[message.sender] = ReceivedNews(news, now)
    peers_by_name = dict(state.peers_by_name)
    peers_by_name[message.sender] = news.peer
    after = replace(
        state, peers_by_name=peers_by_name, received_by_name=received_by_name
    )
    actions = (*_take_over(message.sender, news), *_fetch(news, version))
    return after, (*actions, *_avoid(after, news.unreachable, now))


def _hear_domain(
    state: NewsState, message: DomainNewsArrived, now: Millis, version: int
) -> Decision:
    """Take news about a failure domain; their sender may change."""
    news = message.news
    domain = news.peer.failure_domain
    known = state.domains_by_name.get(domain)
    if (
        known is not None
        and known.news.peer.name == news.peer.name
        and not _is_newer(news, known.news)
    ):
        return state, ()
    domains_by_name = dict(state.domains_by_name)
    domains_by_name[domain] = ReceivedDomainNews(news, now)
    after = replace(state, domains_by_name=domains_by_name)
    actions = _take_over(f'{DOMAIN_PREFIX}{domain}', news)
    if message.direct:
        # The others fetch a newer configuration from this one, once it is in
        # force here: a document crosses to each failure domain once.
        actions = (ForwardNews(), *actions, *_fetch(news, version))
    return after, (*actions, *_avoid(after, news.reporters_by_upstream, now))


def _is_newer(
    news: LoadNews | DomainNews, known: LoadNews | DomainNews
) -> bool:
    """Tell whether a message was sent after another of the same sender."""
    return (news.boot, news.number) > (known.boot, known.number)


def _avoid(
    state: NewsState, told: Iterable[str], now: Millis
) -> tuple[Action, ...]:
    """Avoid what several can't reach; one alone may be cut off itself."""
    return tuple(
        AvoidUpstream(upstream)
        for upstream in told
        if count_reporters(state, upstream, now) >= MIN_REPORTERS
    )


def _take_over(teller: str, news: LoadNews | DomainNews) -> tuple[Action, ...]:
    actions: list[Action] = [ApplyLoads(teller, news.loads_by_upstream)]
    actions.extend(ApplyEntry(entry) for entry in news.entries)
    actions.extend(
        ApplyLeaving(
            upstream,
            news.births.get(upstream, 0),
            announced=upstream in news.departing,
        )
        for upstream in news.leaving
    )
    actions.extend(
        ApplyLimit(upstream, limit) for upstream, limit in news.limits.items()
    )
    if news.evacuations:
        actions.append(ApplyEvacuations(news.evacuations))
    if news.crashes:
        actions.append(CrashesTold(news.crashes))
    return tuple(actions)


def _fetch(news: LoadNews | DomainNews, version: int) -> tuple[Action, ...]:
    """Fetch a configuration that is newer than the one in force here."""
    return (FetchTable(news.peer),) if news.version > version else ()
