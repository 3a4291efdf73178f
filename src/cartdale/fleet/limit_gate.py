"""Enforce this instance's share of the rate limits of upstreams."""

from collections.abc import Collection, Mapping
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
from cartdale.fleet.senders import assign_senders

#: Ids of the upstreams of a service in one region.
Regional = tuple[str, ...]
#: Who sends to each upstream of a service, by name.
SendersByUpstream = dict[str, frozenset[str]]
#: Demand of an instance or group, in requests per second by service. The demand
#: for a missing service is unknown; ``None`` if no news was received.
DemandByService = Mapping[str, float] | None


@dataclass(frozen=True, slots=True)
class LimitParticipants:
    """Name the participants among which limits are divided.

    :param own: name of this instance.
    :param own_group: the group of instances to which it belongs.
    :param groups: total demand of each group.
    :param domain_peers: demand of each instance of the own group.
    :param plain_upstreams: ids of the upstreams of each plain service, of each
        region apart.
    """

    own: str = ''
    own_group: str = ''
    groups: Mapping[str, DemandByService] = field(default_factory=dict)
    domain_peers: Mapping[str, DemandByService] = field(default_factory=dict)
    plain_upstreams: Mapping[str, tuple[Regional, ...]] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class _Division:
    """Hold the division of an upstream's permits.

    :param share: of this instance.
    :param groups: permits by group of instances.
    :param domain_peers: permits by instance of the own group.
    :param group_demands: requests of each group per span of a permit.
    :param demands: the same for the instances of the own group.
    """

    share: Share
    groups: Mapping[str, int]
    domain_peers: Mapping[str, int]
    group_demands: Demands
    demands: Demands

    def gave_idle_ones(self, before: '_Division') -> bool:
        """Tell whether only idle permits changed hands since a division."""
        return gave_idle_ones(
            before.groups, self.groups, self.group_demands
        ) and gave_idle_ones(
            before.domain_peers, self.domain_peers, self.demands
        )


@dataclass(frozen=True, slots=True)
class _Limited:
    """Hold the permits of this instance for an upstream with a limit."""

    service: str
    permits: Permits
    division: _Division


class LimitGate:
    """Count the requests that this instance sends to rate-limited upstreams.

    Permits no request until the participants are known.
    """

    def __init__(self) -> None:
        self._participants = LimitParticipants()
        self._limited_by_upstream: dict[str, _Limited] = {}
        #: Who sends to the upstreams of a service while they are brittle.
        self._senders_by_service: dict[str, SendersByUpstream] = {}
        #: Number of requests that were withheld just before sending.
        self.withheld = 0

    def divide_among(
        self, participants: LimitParticipants, now: Millis
    ) -> None:
        """Set the participants that share the limits, with their demand."""
        before = self._participants
        if participants == before:
            return
        self._participants = participants
        self._senders_by_service.clear()
        for upstream, limited in tuple(self._limited_by_upstream.items()):
            permits = limited.permits
            division = self._divide(
                upstream, limited.service, permits.allotment
            )
            if before.own:
                idle = division.gave_idle_ones(limited.division)
                permits.resize(division.share, now, idle=idle)
            else:
                # Nothing was sent before, and no other instance had this share.
                permits = Permits(permits.allotment, division.share, now)
            self._limited_by_upstream[upstream] = _Limited(
                limited.service, permits, division
            )

    def limit(
        self,
        upstream: str,
        service: str,
        per_second: float,
        now: Millis,
        *,
        paced: bool = False,
        ready: bool = False,
    ) -> None:
        """Set the limit of an upstream, in requests per second.

        :param paced: whether permits that are saved up can't be used at once.
        :param ready: whether permits can be used from now on.
        """
        allotment = allot(per_second, paced=paced)
        division = self._divide(upstream, service, allotment)
        permits = Permits(allotment, division.share, now, ready=ready)
        self._limited_by_upstream[upstream] = _Limited(
            service, permits, division
        )

    def release(self, upstream: str) -> None:
        """Remove the limit of an upstream that has none any more or is gone."""
        self._limited_by_upstream.pop(upstream, None)

    def list_services(self) -> frozenset[str]:
        """Return the services that have upstreams with a limit."""
        limited = self._limited_by_upstream.values()
        return frozenset(each.service for each in limited)

    def find(self, upstream: str) -> Permits | None:
        """Return this instance's permits; ``None`` if there is no limit."""
        limited = self._limited_by_upstream.get(upstream)
        return limited.permits if limited else None

    def list_spent(self, now: Millis) -> frozenset[str]:
        """Return the upstreams to which nothing may be sent now."""
        return frozenset(
            upstream
            for upstream, limited in self._limited_by_upstream.items()
            if not limited.permits.is_free(now)
        )

    def count_participants(self) -> int:
        """Return about how many instances share the limits, at least 1."""
        participants = self._participants
        count = len(participants.groups) * len(participants.domain_peers)
        return max(count, 1)

    def count_senders(self, service: str, upstream: str) -> int:
        """Return about how many instances send to a brittle upstream."""
        senders = self._find_senders(service, upstream)
        return max(len(self._participants.groups) * len(senders), 1)

    def find_return_rate(self, service: str) -> float:
        """Return this instance's share of the limits of a service.

        If this instance has no permit, returns an equal share of the limits: a
        retry may reach another instance that has one.

        :returns: requests per millisecond; 0 if nothing is limited.
        """
        held = [
            limited.permits
            for limited in self._limited_by_upstream.values()
            if limited.service == service
        ]
        rate = sum(permits.rate for permits in held)
        total_rate = sum(permits.allotment.rate for permits in held)
        return rate or total_rate / self.count_participants()

    def spend(self, upstream: str, now: Millis, *, resumes: bool) -> bool:
        """Tell whether a request may be sent now, and count it.

        :param resumes: whether it resumes from a copy there. Such a request
            was stopped for that and can't wait, so it uses a future permit.
        """
        permits = self.find(upstream)
        if permits is None:
            return True
        passes = permits.spend(now, ahead_of_time=resumes)
        self.withheld += not passes
        return passes

    def count_rate(self) -> float:
        """Return this instance's share of all limits, in requests a second."""
        limited = self._limited_by_upstream.values()
        return sum(each.permits.rate for each in limited) * SECOND_MS

    def _find_senders(self, service: str, upstream: str) -> Collection[str]:
        """Return the instances of the own group that send to an upstream."""
        participants = self._participants
        senders = self._senders_by_service.get(service)
        if senders is None:
            # A request may have to stay in one region.
            senders = {}
            for upstreams in participants.plain_upstreams.get(service, ()):
                senders |= assign_senders(
                    participants.domain_peers,
                    upstreams,
                    len(participants.groups),
                )
            self._senders_by_service[service] = senders
        return senders.get(upstream, participants.domain_peers)

    def _divide(
        self, upstream: str, service: str, allotment: Allotment
    ) -> _Division:
        """Divide the permits of an upstream.

        Divides first among the groups of instances, which know of each other
        only the total demand, then within the own group.
        """
        participants, span = self._participants, allotment.span
        group_demands = _expected_demand(participants.groups, service, span)
        groups = redistribute_idle(group_demands, upstream, allotment.permits)
        own_group = find_share(participants.own_group, groups)
        demands = _expected_demand(participants.domain_peers, service, span)
        if allotment.paced:
            senders = self._find_senders(service, upstream)
            demands = {name: demands[name] for name in senders}
        domain_peers = redistribute_idle(demands, upstream, own_group.count)
        own = find_share(participants.own, domain_peers)
        share = Share(own.count, own_group.first + own.first)
        return _Division(share, groups, domain_peers, group_demands, demands)


def _expected_demand(
    demands: Mapping[str, DemandByService], service: str, span: Millis
) -> dict[str, float | None]:
    """Return the demand of each participant, in requests per span."""
    expected: dict[str, float | None] = {}
    for name, demand in demands.items():
        rate = None if demand is None else demand.get(service)
        expected[name] = None if rate is None else rate * span / SECOND_MS
    return expected
