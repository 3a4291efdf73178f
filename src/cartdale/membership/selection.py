"""Select the members that a message of gossip describes."""

import random

from cartdale.clock import Millis
from cartdale.membership.types import (
    FRESH_NEWS_IN_MESSAGE,
    NEWS_IN_MESSAGE,
    Member,
    MemberNews,
    MembershipState,
)


def select_news(
    state: MembershipState, recipient: MemberNews | None = None
) -> tuple[MemberNews, ...]:
    """Return the news for a message: own, the freshest, and a sample.

    The freshest news alone would repeat what most peers know; the sample
    ensures that news of every member spreads.

    :param recipient: what the recipient said of itself. If newer news of it
        are known, the message has them too: they are of an earlier run.
    """
    freshest = sorted(
        state.members_by_name.values(), key=_received_at, reverse=True
    )
    fresh, others = (
        freshest[:FRESH_NEWS_IN_MESSAGE],
        freshest[FRESH_NEWS_IN_MESSAGE:],
    )
    generator = random.Random(f'{state.own.name}:{state.rounds}')
    earlier = _list_newer_of(state, recipient)
    room = NEWS_IN_MESSAGE - 1 - len(fresh) - len(earlier)
    sampled = generator.sample(others, min(len(others), room))
    members = (*earlier, *fresh, *sampled)
    return (state.own, *(member.news for member in members))


def is_newer(news: MemberNews, known: MemberNews) -> bool:
    """Return whether a member published news after others of it."""
    return (news.incarnation, news.beat) > (known.incarnation, known.beat)


def _list_newer_of(
    state: MembershipState, told: MemberNews | None
) -> tuple[Member, ...]:
    """Return the member that sent older news than are known of it, if any."""
    known = state.members_by_name.get(told.name) if told else None
    if told is None or known is None or not is_newer(known.news, told):
        return ()
    return (known,)


def _received_at(member: Member) -> Millis:
    return member.received_at
