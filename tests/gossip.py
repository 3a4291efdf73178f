"""Gossip among many instances in virtual time, by the real decisions."""

from dataclasses import replace
from random import Random

from cartdale.membership.decide import decide, list_alive, select_news
from cartdale.membership.types import (
    ROUND_MS,
    MemberNews,
    MembershipState,
    MemberStatus,
    Message,
    NewsReceived,
    RevisionAdopted,
    RoundBegan,
    SendNews,
)


class GossipRun:
    """Let every instance do its rounds; messages take no time.

    :param loss: chance that an exchange fails.
    """

    def __init__(self, count: int, seed: int, loss: float = 0) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.now = 0
        self.exchanges = 0
        news = [make_news(number) for number in range(count)]
        self.states = {own.name: self.introduce(own, news) for own in news}
        self.next_round = {
            name: self.random.randrange(ROUND_MS) for name in self.states
        }

    def introduce(
        self, own: MemberNews, news: list[MemberNews]
    ) -> MembershipState:
        state = MembershipState(own)
        for other in news:
            state = decide(state, NewsReceived((other,)), 0)[0]
        return state

    def run(self, duration: int) -> None:
        end = self.now + duration
        while True:
            name = min(self.next_round, key=self.next_round.__getitem__)
            if self.next_round[name] > end:
                self.now = end
                return
            self.now = self.next_round[name]
            self.next_round[name] += int(
                ROUND_MS * self.random.uniform(0.8, 1.2)
            )
            self.tell(name, RoundBegan())

    def tell(self, name: str, message: Message) -> None:
        self.states[name], tells = decide(self.states[name], message, self.now)
        for tell in tells:
            self.exchange(name, tell)

    def exchange(self, name: str, tell: SendNews) -> None:
        if tell.name not in self.states or self.random.random() < self.loss:
            return
        self.exchanges += 1
        self.hear(tell.name, tell.news)
        self.hear(name, select_news(self.states[tell.name]))

    def hear(self, name: str, news: tuple[MemberNews, ...]) -> None:
        heard = NewsReceived(news)
        state = decide(self.states[name], heard, self.now)[0]
        self.states[name] = state
        ahead = max(one.revision for one in news)
        if ahead > state.own.revision:
            self.tell(name, RevisionAdopted(ahead, 0))

    def lose(self, name: str) -> None:
        self.states.pop(name)
        self.next_round.pop(name)

    def count_wrong(self) -> int:
        """Count beliefs that a living instance is gone."""
        return sum(
            len(self.states)
            - len(
                self.states.keys()
                & {one.name for one in list_alive(state, self.now)}
            )
            for state in self.states.values()
        )

    def count_believers(self, name: str) -> int:
        """Count instances that believe another alive."""
        return sum(
            name in {one.name for one in list_alive(state, self.now)}
            for state in self.states.values()
        )

    def lowest_revision(self) -> int:
        return min(state.own.revision for state in self.states.values())


def make_news(number: int) -> MemberNews:
    news = MemberNews(
        f'n{number:03}', 1, 0, MemberStatus.LIVE, 'a', 'd', 'r', 0
    )
    return replace(news)
