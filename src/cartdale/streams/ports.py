"""Dependencies shared by all deliveries of an instance."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from cartdale.clock import Clock
from cartdale.engines.types import Engine
from cartdale.placement.driver import Placer
from cartdale.quarantine.driver import Quarantine
from cartdale.reports.recorder import Recorder
from cartdale.retries.backoffs import BackoffTracker
from cartdale.retries.decide import RetryBudget
from cartdale.streams.position import PositionSigner


@dataclass(frozen=True, slots=True)
class DeliveryPorts:
    """Components of an instance that a delivery uses.

    :param find_engine: returns the adapter of an upstream.
    """

    clock: Clock
    placer: Placer
    position_signer: PositionSigner
    find_engine: Callable[[str], Engine]
    nursery: trio.Nursery
    budget: RetryBudget
    recorder: Recorder
    quarantine: Quarantine
    backoffs: BackoffTracker
