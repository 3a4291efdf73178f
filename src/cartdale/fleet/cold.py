"""Bound what all instances together send to an upstream that is cold.

A cold upstream bears a few requests a second and falls over well above that.
The bound is divided beforehand, first among the failure domains that the
settings name, then among the instances that are listed in each. Each sends no
more than its part in any second; who has none sends nothing there until it is
warm.
"""

from collections import deque
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.division import Participants, divide
from cartdale.fleet.reservations import Reservations

#: Part of the bound that is divided. The rest is for instances whose lists of
#: each other differ while some join or go, and for requests that were chosen
#: a moment before they are sent.
DIVIDED_SHARE = 0.6
#: Over this window sends are counted.
WINDOW: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class ColdBound:
    """Bound the requests that a cold upstream gets in any second.

    :param overage: multiplies what the upstream bears.
    :param slack: requests on top.
    """

    overage: float = 1
    slack: float = 0

    def count(self, rate: float) -> int:
        """Return the most requests a second, from all instances."""
        return int(rate * self.overage + self.slack)


def find_quota(participants: Participants, upstream: str, most: int) -> int:
    """Return how many requests a second an instance may send.

    :param most: requests a second that all of them may send together.
    """
    divided = int(DIVIDED_SHARE * most)
    by_domain = divide(participants.domains, upstream, divided)
    of_domain = by_domain.get(participants.domain, 0)
    return divide(participants.domain_peers, upstream, of_domain).get(
        participants.own, 0
    )


class ColdGate:
    """Count what this instance sends to cold upstreams.

    Until the sharers are known it lets nothing pass.
    """

    def __init__(self) -> None:
        self.bound = ColdBound()
        self._participants: Participants | None = None
        self._quotas: dict[tuple[str, int], int] = {}
        self._sent_by_upstream: dict[str, deque[Millis]] = {}
        self._kept_by_upstream: dict[str, Reservations] = {}
        #: Requests sent to cold upstreams since the start.
        self.sent = 0

    def divide_among(self, participants: Participants) -> None:
        """Take the names of those among whom the bound is divided."""
        if participants != self._participants:
            self._participants = participants
            self._quotas.clear()

    def allows(self, upstream: str, rate: float, now: Millis) -> bool:
        """Tell whether this instance may send a request to a cold upstream.

        :param rate: requests a second that it bears; 0 for no bound.
        """
        if not rate:
            return True
        if self._participants is None:
            return False
        most = self.bound.count(rate)
        quota = self._quotas.get((upstream, most))
        if quota is None:
            quota = find_quota(self._participants, upstream, most)
            self._quotas[(upstream, most)] = quota
        taken = self._count_sent(upstream, now) + self._count_kept(
            upstream, now
        )
        return taken < quota

    def reserve(self, upstream: str, now: Millis) -> None:
        """Keep a place for a request that was placed at a cold upstream."""
        kept = self._kept_by_upstream.setdefault(upstream, Reservations())
        kept.add(now)

    def cancel(self, upstream: str, now: Millis) -> None:
        """Take back the place of a request that is sent now, or held back.

        It is counted as it is sent: connections take from a millisecond to
        seconds, and what was placed over seconds may come up at one moment.
        """
        kept = self._kept_by_upstream.get(upstream)
        if kept is not None:
            kept.drop(now)

    def note(self, upstream: str, now: Millis) -> None:
        """Count a request that is sent to a cold upstream."""
        self._sent_by_upstream.setdefault(upstream, deque()).append(now)
        self.sent += 1

    def forget(self, now: Millis) -> None:
        """Drop what is too old to count."""
        for upstream in list(self._sent_by_upstream):
            if not self._count_sent(upstream, now):
                self._sent_by_upstream.pop(upstream)
        for name, kept in list(self._kept_by_upstream.items()):
            if not kept.count(now):
                self._kept_by_upstream.pop(name)

    def _count_kept(self, upstream: str, now: Millis) -> int:
        kept = self._kept_by_upstream.get(upstream)
        return kept.count(now) if kept else 0

    def _count_sent(self, upstream: str, now: Millis) -> int:
        sent = self._sent_by_upstream.get(upstream)
        if sent is None:
            return 0
        while sent and now - sent[0] >= WINDOW:
            sent.popleft()
        return len(sent)
