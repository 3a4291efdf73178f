"""Wire what carries requests to upstreams on the platform."""

import trio

from cartdale.clock import Clock
from cartdale.detours.carrier import Carrier
from cartdale.detours.driver import PathRouter
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import AddressReachable
from cartdale.platform.pools import make_pool
from cartdale.platform.settings import Bounds
from cartdale.platform.upstreams import PlatformUpstreams
from cartdale.pressure.connections import PatientBackend
from cartdale.pressure.driver import Account
from cartdale.relay.admission import Admission
from cartdale.relay.copy_release import CopyReleaser
from cartdale.relay.crash_probes import CrashProber
from cartdale.relay.ports import RelayPorts
from cartdale.retries.window import RepeatBudget
from cartdale.supervision import keep_running


class Relaying:
    """Own what every relayed request works with.

    :param failure_domain: of this instance.
    :param seed: makes choices repeatable.
    :param account: of the bytes held; ``None`` if nothing bounds them.
    :param pressure: whether callers compete for room, so that requests are
        admitted in the order of all instances, and upstreams may be slow to
        read.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        bounds: Bounds,
        failure_domain: str,
        seed: int,
        account: Account | None = None,
        *,
        pressure: bool = False,
    ) -> None:
        backend = PatientBackend() if pressure else None
        fleet.order.enabled = pressure
        self.router = PathRouter(
            make_pool(max_idle=0, backend=backend), clock, failure_domain, seed
        )
        self.router.on_reopened = self._note_reopened
        self.upstreams = PlatformUpstreams(
            AdvisoryRecorder(fleet, clock), self.router
        )
        self.carrier = Carrier(
            self.router, fleet, clock, self.upstreams.record_carried, seed
        )
        self.budget = RepeatBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self._copy_releaser = CopyReleaser(self.upstreams)
        self._crash_prober = CrashProber(self.upstreams, fleet)
        self.ports = RelayPorts(
            clock=clock,
            fleet=fleet,
            admission=Admission(fleet, clock, seed),
            upstreams=self.upstreams,
            budget=self.budget,
            copy_releaser=self._copy_releaser,
            crash_prober=self._crash_prober,
            account=account,
        )

    async def run(self) -> None:
        """Do what goes on beside the requests, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'releases of copies', self._copy_releaser.run
            )
            nursery.start_soon(
                keep_running, 'crash prober', self._crash_prober.run
            )
            nursery.start_soon(keep_running, 'path router', self.router.run)

    def _note_reopened(self, address: str) -> None:
        self.ports.fleet.dispatch(AddressReachable(address))
