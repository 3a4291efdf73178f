"""Request placement from a group's placer, locally or at a peer."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from loguru import logger
from returns.result import Failure, Success

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.declarations.types import Declarations
from cartdale.formatting import format_log_fields
from cartdale.membership.driver import Membership
from cartdale.membership.types import MemberNews, PeerSilent
from cartdale.peers.client import PeerClient
from cartdale.peers.messages import Acknowledged
from cartdale.placement.groups import (
    PlacementGroup,
    derive_placement_groups,
    groups_of_service,
)
from cartdale.placement.types import (
    EndedWork,
    EndReport,
    PlaceAnswer,
    PlaceRequest,
)
from cartdale.problems.types import NotRun, NotRunReason
from cartdale.routing.driver import Placed, Router
from cartdale.routing.types import UpstreamFailed, Work, WorkEnded
from cartdale.supervision import contain, keep_running, run_guarded

#: Placers tried before this instance places the work itself.
_MAX_PLACER_ATTEMPTS = 3
#: Added to the work's remaining time, for the round trip.
_ROUND_TRIP_MARGIN: Millis = 2 * SECOND_MS
#: Delay after the first report, during which further reports are batched, and
#: before a report that was not delivered is sent again.
_REPORT_DELAY: Millis = 200
_REPORT_RETRY_DELAY: Millis = SECOND_MS


@dataclass(frozen=True, slots=True)
class PlacementPorts:
    """Components of an instance that placement uses.

    :param router: places work of the placement groups decided here.
    """

    router: Router
    membership: Membership
    peers: PeerClient
    clock: Clock
    declared: Callable[[], Declarations]


class Placer:
    """Find an engine for work, whichever instance places its group."""

    def __init__(self, ports: PlacementPorts, seed: int) -> None:
        self._ports = ports
        self._generator = random.Random(seed)
        self._groups: tuple[PlacementGroup, ...] = ()
        self._placers_by_work: dict[str, MemberNews] = {}
        self._reports_by_name: dict[str, EndReport] = {}
        #: Placers to which a task sends reports.
        self._sending: set[str] = set()
        self._report_pending = trio.Event()

    async def run(self) -> None:
        """Send reports of ended work to other placers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'placement reports', self._start_reports, nursery
            )

    def update_groups(self) -> None:
        """Apply the placement groups of an activated configuration."""
        self._groups = derive_placement_groups(self._ports.declared())

    async def place(self, work: Work) -> Placed:
        """Wait until work may run, and return its upstream or a refusal."""
        own = self._ports.membership.state.own
        own_work = replace(work, entry=own.name)
        group = self._choose_group(work)
        if group is None:
            return await self._ports.router.place(own_work)
        group_work = replace(own_work, within=tuple(sorted(group.upstreams)))
        for placer in self._ports.membership.rank(group.key)[
            :_MAX_PLACER_ATTEMPTS
        ]:
            placed = await self._request_placement(placer, group_work)
            if placed is not None and not _is_leaving(placed):
                return placed
        return await self._ports.router.place(own_work)

    async def serve(self, request: PlaceRequest) -> PlaceAnswer:
        """Place work for another instance as the placer of its group."""
        now = self._ports.clock.now()
        work = replace(
            request.work,
            arrived_at=now - request.work.arrived_at,
            deadline_at=now + request.work.deadline_at,
        )
        placed = await self._ports.router.place(work)
        match placed:
            case Success(upstream):
                return PlaceAnswer(upstream)
            case Failure(NotRun(reason=reason, retry_after=wait)):
                return PlaceAnswer('', reason, wait)
        return PlaceAnswer()

    def apply_report(self, report: EndReport) -> None:
        """Apply another instance's report."""
        for ended in report.ended:
            self._ports.router.dispatch(
                WorkEnded(ended.work_id, ended.produced, ended.finished)
            )
        for upstream in report.failed:
            self._ports.router.dispatch(UpstreamFailed(upstream))

    def report_end(
        self, work_id: str, produced: int, *, finished: bool
    ) -> None:
        """Report that work ended on its engine."""
        self._ports.router.dispatch(WorkEnded(work_id, produced, finished))
        placer = self._placers_by_work.pop(work_id, None)
        if placer is None:
            return
        report = self._pending_report(placer)
        ended = EndedWork(work_id, produced, finished)
        self._reports_by_name[placer.name] = replace(
            report, ended=(*report.ended, ended)
        )

    def report_failure(self, work_id: str, upstream: str) -> None:
        """Report that an engine refused or was lost."""
        self._ports.router.dispatch(UpstreamFailed(upstream))
        placer = self._placers_by_work.get(work_id)
        if placer is None:
            return
        report = self._pending_report(placer)
        self._reports_by_name[placer.name] = replace(
            report, failed=(*report.failed, upstream)
        )

    def decides_for(self, upstream: str) -> bool:
        """Return whether this instance is the placer of an engine."""
        for group in self._groups:
            if upstream in group.upstreams:
                return self._is_placer(group)
        return True

    def _is_placer(self, group: PlacementGroup) -> bool:
        ranked = self._ports.membership.rank(group.key)
        return not ranked or ranked[0].name == self._ports.membership.name

    def _choose_group(self, work: Work) -> PlacementGroup | None:
        groups = groups_of_service(
            self._ports.declared(), self._groups, work.service
        )
        usable = tuple(
            group for group in groups if self._has_open_engine(group, work)
        )
        if not usable:
            return None
        return self._generator.choice(usable)

    def _has_open_engine(self, group: PlacementGroup, work: Work) -> bool:
        declared = self._ports.declared()
        service_upstreams = group.upstreams.intersection(
            declared.services[work.service].upstreams
        )
        return any(
            not declared.upstreams[name].draining
            for name in service_upstreams.difference(work.avoid)
        )

    async def _request_placement(
        self, placer: MemberNews, work: Work
    ) -> Placed | None:
        if placer.name == work.entry:
            return await self._ports.router.place(work)
        now = self._ports.clock.now()
        timeout = max(0, work.deadline_at - now)
        relative = replace(
            work, arrived_at=now - work.arrived_at, deadline_at=timeout
        )
        self._placers_by_work[work.work_id] = placer
        answer = await self._ports.peers.request(
            placer.name,
            placer.address,
            PlaceRequest(relative),
            PlaceAnswer,
            timeout + _ROUND_TRIP_MARGIN,
        )
        match answer:
            case Success(PlaceAnswer(upstream=upstream)) if upstream:
                return Success(upstream)
            case Success(PlaceAnswer(reason=reason, retry_after=wait)):
                self._placers_by_work.pop(work.work_id, None)
                return Failure(NotRun(reason, wait))
        self._ports.membership.dispatch(PeerSilent(placer.name))
        # The placer may have placed the work although its response was
        # lost; without this report it would count it forever.
        self.report_end(work.work_id, 0, finished=False)
        return None

    def _pending_report(self, placer: MemberNews) -> EndReport:
        self._report_pending.set()
        return self._reports_by_name.get(placer.name, EndReport())

    async def _start_reports(self, nursery: trio.Nursery) -> None:
        while True:
            await self._report_pending.wait()
            await trio.sleep(as_seconds(_REPORT_DELAY))
            self._report_pending = trio.Event()
            for name in self._reports_by_name.keys() - self._sending:
                nursery.start_soon(
                    run_guarded, 'placement reports', self._deliver, name
                )

    async def _deliver(self, name: str) -> None:
        """Send a placer its reports until it has them or is gone.

        A placer counts work until its end is reported, and forecasts that it
        grows: one lost report would keep new work from the engine.
        """
        self._sending.add(name)
        try:
            while name in self._reports_by_name:
                report = self._reports_by_name.pop(name)
                address = self._ports.membership.find_address(name)
                if address is None:
                    logger.info('placer is gone', placer=name)
                    return
                sent = False
                with contain('placement reports', placer=name):
                    sent = await self._send(name, address, report)
                if sent:
                    return
                self._keep_ended(name, report)
                await trio.sleep(as_seconds(_REPORT_RETRY_DELAY))
        finally:
            self._sending.discard(name)
            if name in self._reports_by_name:
                self._report_pending.set()

    def _keep_ended(self, name: str, report: EndReport) -> None:
        """Put ended work that was not reported back before later reports.

        Failures of engines are left out: they are old by then.
        """
        later = self._reports_by_name.get(name, EndReport())
        self._reports_by_name[name] = replace(
            later, ended=(*report.ended, *later.ended)
        )

    async def _send(self, name: str, address: str, report: EndReport) -> bool:
        """Send a report; return whether the placer has it."""
        answer = await self._ports.peers.request(
            name, address, report, Acknowledged
        )
        match answer:
            case Failure(failure):
                logger.info(
                    'ends of work not reported',
                    placer=name,
                    count=len(report.ended),
                    **format_log_fields('failure', failure),
                )
                return False
        return True


def _is_leaving(placed: Placed) -> bool:
    match placed:
        case Failure(NotRun(reason=NotRunReason.LEAVING)):
            return True
    return False
