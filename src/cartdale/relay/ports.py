"""What every relayed request works with."""

from dataclasses import dataclass

from cartdale.clock import Clock
from cartdale.fleet.driver import Fleet
from cartdale.relay.admission import Admission
from cartdale.relay.crash_probes import CrashProber
from cartdale.relay.discards import Discards
from cartdale.relay.types import UpstreamPort
from cartdale.retries.window import RepeatBudget


@dataclass(frozen=True, slots=True)
class RelayPorts:
    """Hold what every relayed request needs.

    :param upstreams: reaches upstreams.
    :param discards: frees copies that nobody goes on from.
    :param crash_prober: finds out whether an upstream ended as its link broke.
    """

    clock: Clock
    fleet: Fleet
    admission: Admission
    upstreams: UpstreamPort
    budget: RepeatBudget
    discards: Discards
    crash_prober: CrashProber
