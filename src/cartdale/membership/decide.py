"""State machine of gossip: selects peers and news, and judges liveness."""

import random
from dataclasses import replace
from typing import assert_never

from cartdale.clock import Millis
from cartdale.membership.selection import is_newer, select_news
from cartdale.membership.types import (
    FANOUT,
    FORGET_MS,
    NEWS_IN_MESSAGE,
    ROUND_MS,
    SILENT_CYCLES,
    SILENT_ROUNDS,
    URGENT_FANOUT,
    CrashesLearnt,
    Decision,
    ListedInstance,
    ListRead,
    Member,
    MemberNews,
    MembershipState,
    MemberStatus,
    Message,
    NewsReceived,
    OwnLeaving,
    PeerSilent,
    RevisionAdopted,
    RoundBegan,
    SendNews,
)

_LISTED_LIVE = 'live'


def decide(state: MembershipState, message: Message, now: Millis) -> Decision:
    """Apply one message.

    :param now: monotonic milliseconds.
    :returns: the next state, and the exchanges of news to start with peers.
    """
    match message:
        case ListRead(instances=instances):
            return _read_list(state, instances, now), ()
        case NewsReceived(news=news):
            return _apply_news(state, news, now), ()
        case PeerSilent(name=name):
            return _suspect(state, name), ()
        case RoundBegan():
            return _begin_round(state, now)
        case RevisionAdopted(revision=revision, took_ms=took_ms):
            return _adopt_revision(state, revision, took_ms, now)
        case CrashesLearnt():
            return _send_news(
                _increment_beat(state, state.own), URGENT_FANOUT, now
            )
        case OwnLeaving():
            own = replace(state.own, status=MemberStatus.LEAVING)
            return _send_news(_increment_beat(state, own), URGENT_FANOUT, now)
        case _:
            assert_never(message)


def list_alive(state: MembershipState, now: Millis) -> tuple[MemberNews, ...]:
    """Return the members believed to be alive, sorted by name.

    Includes this instance unless it is leaving. Other instances may differ; no
    correctness property depends on agreement.
    """
    alive: list[MemberNews] = []
    if state.own.status is MemberStatus.LIVE:
        alive.append(state.own)
    for member in state.members_by_name.values():
        if is_alive(state, member, now):
            alive.append(member.news)
    alive.sort(key=_name_of)
    return tuple(alive)


def is_alive(state: MembershipState, member: Member, now: Millis) -> bool:
    """Return whether a member is believed to be alive and not leaving."""
    if member.news.status is MemberStatus.LEAVING or member.suspected:
        return False
    return not is_silent(state, member, now)


def silence_limit(state: MembershipState) -> Millis:
    """Return the time without news after which a member counts as silent.

    A message describes only a few members, so in a large system the news of
    each member takes longer to reach every instance.
    """
    cycle = len(state.members_by_name) // NEWS_IN_MESSAGE
    return ROUND_MS * (SILENT_ROUNDS + SILENT_CYCLES * cycle)


def is_silent(state: MembershipState, member: Member, now: Millis) -> bool:
    """Return whether news of a member have not arrived for too long."""
    return now - member.received_at > silence_limit(state)


def _read_list(
    state: MembershipState,
    instances: tuple[ListedInstance, ...],
    now: Millis,
) -> MembershipState:
    members_by_name = dict(state.members_by_name)
    listed = {listing.name: listing for listing in instances}
    for name, member in state.members_by_name.items():
        live = name in listed and listed[name].state == _LISTED_LIVE
        members_by_name[name] = replace(member, listed=live)
        if not live and now - member.received_at > FORGET_MS:
            members_by_name.pop(name)
    for listing in instances:
        unknown = listing.name not in members_by_name
        if unknown and listing.name != state.own.name:
            members_by_name[listing.name] = _make_member(listing, now)
    return replace(state, members_by_name=members_by_name)


def _make_member(listing: ListedInstance, now: Millis) -> Member:
    live = listing.state == _LISTED_LIVE
    news = MemberNews(
        name=listing.name,
        incarnation=0,
        beat=0,
        status=MemberStatus.LIVE if live else MemberStatus.LEAVING,
        address=listing.address,
        failure_domain=listing.failure_domain,
        region=listing.region,
        revision=0,
    )
    return Member(news, received_at=now, listed=live)


def _apply_news(
    state: MembershipState, received: tuple[MemberNews, ...], now: Millis
) -> MembershipState:
    members_by_name = dict(state.members_by_name)
    for index, news in enumerate(received):
        if news.name == state.own.name:
            state = _outrank_earlier_run(state, news)
            continue
        known = members_by_name.get(news.name)
        if known is None:
            known = Member(news, received_at=now)
        elif is_newer(news, known.news):
            known = replace(known, news=news, received_at=now)
        if index == 0:
            known = replace(known, suspected=False)
        members_by_name[news.name] = known
    return replace(state, members_by_name=members_by_name)


def _outrank_earlier_run(
    state: MembershipState, news: MemberNews
) -> MembershipState:
    """Count this run as newer than an earlier one of this instance.

    The clock may have been ahead when that one started. Others would ignore
    what this one says until its clock is there too.
    """
    if news.incarnation <= state.own.incarnation:
        return state
    own = replace(state.own, incarnation=news.incarnation + 1)
    return replace(state, own=own)


def _suspect(state: MembershipState, name: str) -> MembershipState:
    member = state.members_by_name.get(name)
    if member is None or member.suspected:
        return state
    members_by_name = dict(state.members_by_name)
    members_by_name[name] = replace(member, suspected=True)
    return replace(state, members_by_name=members_by_name)


def _begin_round(state: MembershipState, now: Millis) -> Decision:
    """Exchange news with a random peer, and with a suspected one if any.

    Only its own news clear a member; without a call to it that may take minutes
    in a large system, in which this instance calls another one in its place.
    """
    begun = _increment_beat(state, state.own)
    after, sends = _send_news(begun, FANOUT, now)
    called = {send.name for send in sends}
    suspects = sorted(
        name
        for name, member in state.members_by_name.items()
        if member.suspected
        and name not in called
        and not is_silent(state, member, now)
    )
    if not suspects:
        return after, sends
    suspect = suspects[after.rounds % len(suspects)]
    return after, (*sends, _address_news(after, suspect))


def _adopt_revision(
    state: MembershipState, revision: int, took_ms: Millis, now: Millis
) -> Decision:
    own = replace(state.own, revision=revision, took_ms=took_ms)
    return _send_news(_increment_beat(state, own), URGENT_FANOUT, now)


def _increment_beat(state: MembershipState, own: MemberNews) -> MembershipState:
    return replace(
        state,
        own=replace(own, beat=own.beat + 1),
        rounds=state.rounds + 1,
    )


def _send_news(state: MembershipState, fanout: int, now: Millis) -> Decision:
    generator = random.Random(f'{state.own.name}:{state.rounds}')
    peers = sorted(
        name
        for name, member in state.members_by_name.items()
        if now - member.received_at <= FORGET_MS or member.listed
    )
    chosen = generator.sample(peers, min(fanout, len(peers)))
    return state, tuple(_address_news(state, name) for name in chosen)


def _address_news(state: MembershipState, name: str) -> SendNews:
    address = state.members_by_name[name].news.address
    return SendNews(name, address, select_news(state))


def _name_of(news: MemberNews) -> str:
    return news.name
