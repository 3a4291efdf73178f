"""Keep to the rate limits of upstreams, for this instance's part."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.division import (
    Demands,
    Share,
    find_share,
    gave_idle_ones,
    redistribute_idle,
)
from cartdale.fleet.permits import Allotment, Permits, allot

#: What somebody offers, in requests a second by service; a service that is
#: missing is not told, and ``None`` stands for who was not heard of.
DemandByService = Mapping[str, float] | None


@dataclass(frozen=True, slots=True)
class LimitParticipants:
    """Name those among whom limits are divided.

    :param own: this instance's name.
    :param own_group: the group of instances that it belongs to.
    :param groups: what all of each group offer together.
    :param domain_peers: what the instances of the own group offer.
    """

    own: str = ''
    own_group: str = ''
    groups: Mapping[str, DemandByService] = field(default_factory=dict)
    domain_peers: Mapping[str, DemandByService] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Division:
    """Hold how an upstream's permits are divided.

    :param part: of this instance.
    :param groups: permits by group of instances.
    :param domain_peers: permits by instance of the own group.
    :param group_demands: requests of each group in the span of a permit.
    :param demands: the same of the instances of the own group.
    """

    part: Share
    groups: Mapping[str, int]
    domain_peers: Mapping[str, int]
    group_demands: Demands
    demands: Demands

    def gave_idle_ones(self, before: '_Division') -> bool:
        """Tell whether what was given since was not used by its holders."""
        return gave_idle_ones(
            before.groups, self.groups, self.group_demands
        ) and gave_idle_ones(
            before.domain_peers, self.domain_peers, self.demands
        )


@dataclass(frozen=True, slots=True)
class _Limited:
    """Hold an upstream that has a limit, and the own permits for it."""

    service: str
    permits: Permits
    division: _Division


class LimitGate:
    """Count what this instance sends to upstreams with a limit.

    Until the sharers are known it lets nothing pass.
    """

    def __init__(self) -> None:
        self._participants = LimitParticipants()
        self._limited_by_upstream: dict[str, _Limited] = {}
        #: Requests that were held back as they were about to be sent.
        self.withheld = 0

    def divide_among(
        self, participants: LimitParticipants, now: Millis
    ) -> None:
        """Take who shares the limits, and what they offer."""
        before = self._participants
        if participants == before:
            return
        self._participants = participants
        for upstream, limited in tuple(self._limited_by_upstream.items()):
            permits = limited.permits
            division = self._divide(
                upstream, limited.service, permits.allotment
            )
            if before.own:
                idle = division.gave_idle_ones(limited.division)
                permits.resize(division.part, now, idle=idle)
            else:
                # Nothing passed here before, and nobody else had this part.
                permits = Permits(permits.allotment, division.part, now)
            self._limited_by_upstream[upstream] = _Limited(
                limited.service, permits, division
            )

    def limit(
        self, upstream: str, service: str, per_second: float, now: Millis
    ) -> None:
        """Take an upstream's limit, in requests a second."""
        allotment = allot(per_second)
        division = self._divide(upstream, service, allotment)
        permits = Permits(allotment, division.part, now)
        self._limited_by_upstream[upstream] = _Limited(
            service, permits, division
        )

    def release(self, upstream: str) -> None:
        """Note that an upstream has no limit any more, or is gone."""
        self._limited_by_upstream.pop(upstream, None)

    def list_services(self) -> frozenset[str]:
        """Return the services of the upstreams that have a limit."""
        limited = self._limited_by_upstream.values()
        return frozenset(each.service for each in limited)

    def find(self, upstream: str) -> Permits | None:
        """Return the own permits for an upstream; ``None`` for no limit."""
        limited = self._limited_by_upstream.get(upstream)
        return limited.permits if limited else None

    def list_spent(self, now: Millis) -> frozenset[str]:
        """Return the upstreams to which nothing may be sent now."""
        return frozenset(
            upstream
            for upstream, limited in self._limited_by_upstream.items()
            if not limited.permits.is_free(now)
        )

    def find_return_rate(self, service: str) -> float:
        """Return the own part of a service's limits.

        An equal part where this instance has no permit: whoever returns may
        come to another that has one.

        :returns: requests a millisecond; 0 where nothing is limited.
        """
        held = [
            limited.permits
            for limited in self._limited_by_upstream.values()
            if limited.service == service
        ]
        participants = len(self._participants.groups) * len(
            self._participants.domain_peers
        )
        rate = sum(permits.rate for permits in held)
        whole = sum(permits.allotment.rate for permits in held)
        return rate or whole / max(participants, 1)

    def spend(self, upstream: str, now: Millis, *, resumes: bool) -> bool:
        """Tell whether a request may be sent now, and count it.

        :param resumes: whether it goes on from a copy there. It was stopped
            for that and can't wait, so that it uses a later permit.
        """
        permits = self.find(upstream)
        if permits is None:
            return True
        passes = permits.spend(now, ahead_of_time=resumes)
        self.withheld += not passes
        return passes

    def count_rate(self) -> float:
        """Return this instance's part of all limits, in requests a second."""
        limited = self._limited_by_upstream.values()
        return sum(each.permits.rate for each in limited) * SECOND_MS

    def _divide(
        self, upstream: str, service: str, allotment: Allotment
    ) -> _Division:
        """Divide an upstream's permits.

        Among the groups of instances first, which hear of each other only what
        each group offers together.
        """
        participants, span = self._participants, allotment.span
        group_demands = _expected_demand(participants.groups, service, span)
        groups = redistribute_idle(group_demands, upstream, allotment.permits)
        own_group = find_share(participants.own_group, groups)
        demands = _expected_demand(participants.domain_peers, service, span)
        domain_peers = redistribute_idle(demands, upstream, own_group.count)
        own = find_share(participants.own, domain_peers)
        part = Share(own.count, own_group.first + own.first)
        return _Division(part, groups, domain_peers, group_demands, demands)


def _expected_demand(
    offers: Mapping[str, DemandByService], service: str, span: Millis
) -> dict[str, float | None]:
    """Return how many requests each offers in a span."""
    expected: dict[str, float | None] = {}
    for name, offered in offers.items():
        rate = None if offered is None else offered.get(service)
        expected[name] = None if rate is None else rate * span / SECOND_MS
    return expected
