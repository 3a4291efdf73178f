"""State machine that applies the news received from other instances."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from typing import assert_never

from cartdale.clock import SECOND_MS, Millis
from cartdale.news.roles import SILENT_MS, is_wide, stretch
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
    ForwardNews,
    LoadNews,
    Message,
    NewerVersion,
    NewsArrived,
    NewsDropped,
    NewsState,
    PeerEntry,
    PeerListed,
    PeerRemoved,
    PeersListed,
    ReceivedDomainNews,
    ReceivedNews,
    ReportSource,
)
from cartdale.quarantine.types import CrashesTold
from cartdale.speeds.types import SpeedNews, SpeedsTold

#: Time after its last message for which a peer counts as alive.
ALIVE_MS: Millis = 3 * SECOND_MS
#: Time after its last message from which a sender's run may have ended, and
#: messages of a run with an earlier clock are accepted. Longer than a message
#: is in transit, so that a late one of an earlier run displaces nothing.
RUN_ENDED_MS: Millis = SECOND_MS
#: Prefix of the sender name under which the load table keeps the loads of a
#: whole failure domain.
DOMAIN_PREFIX = 'domain/'
#: Minimum number of instances that must fail to reach an upstream before the
#: others avoid it.
MIN_REPORTERS = 2


def decide(
    state: NewsState, message: Message, now: Millis, version: int
) -> Decision:
    """Apply one message.

    :param now: monotonic milliseconds.
    :param version: version of the configuration in force on this instance.
    :returns: the next state, and the actions to perform.
    """
    match message:
        case PeerListed(peer=peer):
            peers_by_name = dict(state.peers_by_name)
            peers_by_name[peer.name] = peer
            return replace(state, peers_by_name=peers_by_name), ()
        case PeerRemoved(name=name):
            return _remove(state, name), ()
        case PeersListed(names=names):
            return _drop_unlisted(state, names, now), ()
        case NewsArrived():
            return _apply_news(state, message, now, version)
        case DomainNewsArrived():
            return _apply_domain_news(state, message, now, version)
        case _:
            assert_never(message)


def is_silent(state: NewsState, now: Millis) -> bool:
    """Return whether peers sent news before, but none of them recently."""
    received_at = [received.at for received in state.received_by_name.values()]
    received_at.extend(
        received.at for received in state.domains_by_name.values()
    )
    return bool(received_at) and now - max(received_at) > SILENT_MS


def list_alive(
    state: NewsState, own: PeerEntry, now: Millis
) -> list[PeerEntry]:
    """Return the peers, without those known to be silent.

    Peers that send no news to this instance are known to others only.
    """
    silent = {
        name
        for name, received in state.received_by_name.items()
        if now - received.at > ALIVE_MS
    }
    return [
        peer
        for name, peer in state.peers_by_name.items()
        if name != own.name and name not in silent
    ]


def count_alive(state: NewsState, now: Millis) -> int:
    """Return the number of live peers, by direct and by domain news."""
    direct = sum(
        now - received.at <= ALIVE_MS
        for received in state.received_by_name.values()
    )
    by_domain = sum(
        received.news.alive
        for received in state.domains_by_name.values()
        if now - received.at <= ALIVE_MS
    )
    return direct + by_domain


def count_reporters(
    state: NewsState,
    upstream: str,
    now: Millis,
    *,
    own_domain_only: bool = False,
) -> int:
    """Return how many instances recently reported an upstream unreachable.

    :param own_domain_only: exclude other failure domains.
    """
    direct = sum(
        upstream in received.news.unreachable and now - received.at <= SILENT_MS
        for received in state.received_by_name.values()
    )
    if own_domain_only:
        return direct
    by_domain = sum(
        received.news.reporters_by_upstream.get(upstream, 0)
        for received in state.domains_by_name.values()
        if now - received.at <= SILENT_MS
    )
    return direct + by_domain


def _remove(state: NewsState, name: str) -> NewsState:
    peers_by_name = dict(state.peers_by_name)
    peers_by_name.pop(name, None)
    return replace(state, peers_by_name=peers_by_name)


def _drop_unlisted(
    state: NewsState, names: frozenset[str], now: Millis
) -> NewsState:
    """Drop the peers that a complete listing lacks, unless they are alive.

    After an outage of the store their leases may have lapsed, and they are
    listed again within seconds. An instance that begins to watch since another
    one left has not heard that one for longer.
    """
    listed_by_domain = Counter(
        peer.failure_domain
        for name, peer in state.peers_by_name.items()
        if name in names
    )
    # Only the number of the live instances of another domain is known.
    live_domains = {
        domain
        for domain, received in state.domains_by_name.items()
        if now - received.at <= ALIVE_MS
        and received.news.alive > listed_by_domain[domain]
    }
    live_names = {
        name
        for name, received in state.received_by_name.items()
        if now - received.at <= _find_timeout(state, received, now)
    }
    peers_by_name = {
        name: peer
        for name, peer in state.peers_by_name.items()
        if name in names
        or name in live_names
        or peer.failure_domain in live_domains
    }
    return replace(state, peers_by_name=peers_by_name)


def _find_timeout(
    state: NewsState, received: ReceivedNews, now: Millis
) -> Millis:
    """Return how long the sender of a message may be silent.

    The more peers it sends to, the longer are its intervals.
    """
    own = received.news.peer
    around = [
        peer.name
        for peer in state.peers_by_name.values()
        if not is_wide(state, now) or peer.failure_domain == own.failure_domain
    ]
    return SILENT_MS * stretch(len(around))


def _apply_news(
    state: NewsState, message: NewsArrived, now: Millis, version: int
) -> Decision:
    known = state.received_by_name.get(message.sender)
    news = message.news
    if known is not None and not _is_newer(news, known, now):
        return state, _drop(news, known.news)
    received_by_name = dict(state.received_by_name)
    received_by_name[message.sender] = _receive(news, known, now)
    after = NewsState(
        _list_peer(state, message.sender, news.peer),
        received_by_name,
        state.domains_by_name,
    )
    actions = (
        *_list_actions(message.sender, news),
        *_compare_version(news, version, ReportSource.NEWS),
    )
    return after, (*actions, *_avoid_unreachable(after, news.unreachable, now))


def _receive(
    news: LoadNews, known: ReceivedNews | None, now: Millis
) -> ReceivedNews:
    if known is None:
        return ReceivedNews(news, now)
    same_run = news.boot == known.news.boot
    return ReceivedNews(news, now, known.restarted_at if same_run else now)


def _apply_domain_news(
    state: NewsState, message: DomainNewsArrived, now: Millis, version: int
) -> Decision:
    """Apply news of a failure domain, whose publisher may change."""
    news = message.news
    domain = news.peer.failure_domain
    known = state.domains_by_name.get(domain)
    if (
        known is not None
        and known.news.peer.name == news.peer.name
        and not _is_newer(news, known, now)
    ):
        return state, _drop(news, known.news)
    domains_by_name = dict(state.domains_by_name)
    domains_by_name[domain] = ReceivedDomainNews(news, now)
    # Its domain may be new, which the store tells only to watchers at once.
    after = NewsState(
        _list_peer(state, news.peer.name, news.peer),
        state.received_by_name,
        domains_by_name,
    )
    actions = _list_actions(f'{DOMAIN_PREFIX}{domain}', news)
    source = ReportSource.FORWARDED
    if message.direct:
        source = ReportSource.DOMAIN_NEWS
        actions = (ForwardNews(), *actions)
    return after, (
        *actions,
        *_compare_version(news, version, source),
        *_avoid_unreachable(after, news.reporters_by_upstream, now),
    )


def _list_peer(
    state: NewsState, name: str, peer: PeerEntry
) -> dict[str, PeerEntry]:
    """Return the peers with one added or replaced; most messages change none.

    An entry that is equal is not replaced, so that no copy is made.
    """
    if state.peers_by_name.get(name) == peer:
        return state.peers_by_name
    return {**state.peers_by_name, name: peer}


def _is_newer(
    news: LoadNews | DomainNews,
    known: ReceivedNews | ReceivedDomainNews,
    now: Millis,
) -> bool:
    """Return whether a message was sent after another of the same sender.

    The sender may have restarted with its clock set back, in which case its
    earlier run falls silent.
    """
    last = known.news
    if news.boot < last.boot:
        return now - known.at > RUN_ENDED_MS
    return (news.boot, news.number) > (last.boot, last.number)


def _drop(
    news: LoadNews | DomainNews, known: LoadNews | DomainNews
) -> tuple[Action, ...]:
    """Report a dropped message unless it was only overtaken by a later one."""
    if news.boot == known.boot:
        return ()
    return (NewsDropped(news.peer.name, news.boot, known.boot),)


def _avoid_unreachable(
    state: NewsState, unreachable: Iterable[str], now: Millis
) -> tuple[Action, ...]:
    """Avoid upstreams that several instances can't reach.

    A single instance that can't reach an upstream may itself be cut off.
    """
    return tuple(
        AvoidUpstream(upstream)
        for upstream in unreachable
        if count_reporters(state, upstream, now) >= MIN_REPORTERS
    )


def _list_actions(
    sender: str, news: LoadNews | DomainNews
) -> tuple[Action, ...]:
    actions: list[Action] = [
        ApplyLoads(sender, news.loads_by_upstream, news.admission)
    ]
    actions.extend(ApplyEntry(entry) for entry in news.entries)
    actions.extend(
        ApplyLeaving(
            upstream,
            news.births.get(upstream, 0),
            announced=upstream in news.departing,
            revision=news.revisions.get(upstream, 0),
        )
        for upstream in news.leaving
    )
    actions.extend(
        ApplyLimit(upstream, limit) for upstream, limit in news.limits.items()
    )
    if isinstance(news.speeds, SpeedNews):
        instances = news.alive if isinstance(news, DomainNews) else 1
        actions.append(SpeedsTold(sender, news.speeds, instances))
    if news.evacuations:
        actions.append(ApplyEvacuations(news.evacuations))
    if news.crashes:
        actions.append(CrashesTold(news.crashes))
    return tuple(actions)


def _compare_version(
    news: LoadNews | DomainNews, version: int, source: ReportSource
) -> tuple[Action, ...]:
    """Report that the sender has a newer configuration than this instance."""
    if news.version <= version:
        return ()
    return (NewerVersion(news.peer, news.version, source),)
