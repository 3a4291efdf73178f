"""Limit the request rate of all instances together to a cold upstream.

A cold upstream withstands a few requests per second and fails well above that
rate. The bound is divided in advance, first among the failure domains in the
settings, then among the instances listed in each. No instance exceeds its share
in any second; an instance without a share sends nothing to the upstream until
it is warm.
"""

from collections import deque
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.division import Participants, divide
from cartdale.scheduling.reservations import Reservations

#: Share of the bound that is divided. The rest is for instances whose lists
#: of each other differ while some join or leave, and for requests that were
#: placed a moment before they are sent.
DIVIDED_SHARE = 0.6
#: Sliding window in which sent requests are counted.
WINDOW: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class ColdBound:
    """Bound the requests that a cold upstream receives in any second.

    :param overage: factor applied to the rate that the upstream withstands.
    :param slack: requests per second added to the product.
    """

    overage: float = 1
    slack: float = 0

    def count(self, rate: float) -> int:
        """Return the maximum requests per second from all instances together.

        :param rate: requests per second that the upstream withstands.
        """
        return int(rate * self.overage + self.slack)


def find_quota(
    participants: Participants, upstream: str, max_per_second: int
) -> int:
    """Return how many requests per second this instance may send.

    :param max_per_second: maximum requests per second from all instances
        together.
    """
    total = int(DIVIDED_SHARE * max_per_second)
    by_domain = divide(participants.domains, upstream, total)
    domain_quota = by_domain.get(participants.domain, 0)
    return divide(participants.domain_peers, upstream, domain_quota).get(
        participants.own, 0
    )


class ColdGate:
    """Limit the requests that this instance sends to cold upstreams.

    No request is allowed until the participants are known.
    """

    def __init__(self) -> None:
        self.bound = ColdBound()
        self._participants: Participants | None = None
        self._quotas: dict[tuple[str, int], int] = {}
        self._sent_by_upstream: dict[str, deque[Millis]] = {}
        self._reservations_by_upstream: dict[str, Reservations] = {}
        #: Number of requests sent to cold upstreams since startup.
        self.sent = 0

    def divide_among(self, participants: Participants) -> None:
        """Set the participants among which the bound is divided."""
        if participants != self._participants:
            self._participants = participants
            self._quotas.clear()

    def allows(self, upstream: str, rate: float, now: Millis) -> bool:
        """Tell whether this instance may send a request to a cold upstream.

        :param rate: requests per second that the upstream withstands; 0 for no
            bound.
        """
        if not rate:
            return True
        if self._participants is None:
            return False
        max_per_second = self.bound.count(rate)
        quota = self._quotas.get((upstream, max_per_second))
        if quota is None:
            quota = find_quota(self._participants, upstream, max_per_second)
            self._quotas[(upstream, max_per_second)] = quota
        used = self._count_sent(upstream, now) + self._count_reserved(
            upstream, now
        )
        return used < quota

    def reserve(self, upstream: str, now: Millis) -> None:
        """Reserve capacity for a request placed at a cold upstream."""
        reservations = self._reservations_by_upstream.setdefault(
            upstream, Reservations()
        )
        reservations.add(now)

    def cancel(self, upstream: str, now: Millis) -> None:
        """Release the reservation of a request that is sent or withheld.

        The request is counted when it is sent: establishing a connection takes
        from a millisecond to seconds, so that requests placed over several
        seconds may be sent at the same moment.
        """
        reservations = self._reservations_by_upstream.get(upstream)
        if reservations is not None:
            reservations.drop(now)

    def note(self, upstream: str, now: Millis) -> None:
        """Count a request sent to a cold upstream."""
        self._sent_by_upstream.setdefault(upstream, deque()).append(now)
        self.sent += 1

    def forget(self, now: Millis) -> None:
        """Drop expired counts of sent requests and expired reservations."""
        for upstream in list(self._sent_by_upstream):
            if not self._count_sent(upstream, now):
                self._sent_by_upstream.pop(upstream)
        for name, reservations in list(self._reservations_by_upstream.items()):
            if not reservations.count(now):
                self._reservations_by_upstream.pop(name)

    def _count_reserved(self, upstream: str, now: Millis) -> int:
        reservations = self._reservations_by_upstream.get(upstream)
        return reservations.count(now) if reservations else 0

    def _count_sent(self, upstream: str, now: Millis) -> int:
        sent = self._sent_by_upstream.get(upstream)
        if sent is None:
            return 0
        while sent and now - sent[0] >= WINDOW:
            sent.popleft()
        return len(sent)
