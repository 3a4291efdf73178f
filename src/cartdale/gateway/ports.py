"""What the gateway works with."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cartdale.clock import Clock, Millis
from cartdale.gateway.metrics import GatewayMetrics
from cartdale.moves.driver import Mover
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import CallerRequest, Headers
from cartdale.routes.regions import RegionMap
from cartdale.routes.types import RoutingTable


class Wire(Protocol):
    """Translate between the wire's headers and the product's types."""

    def read_request(
        self, method: str, target: bytes, headers: Headers
    ) -> CallerRequest:
        """Read the head of a request."""

    def write_refusal(self, status: int, retry_after: Millis) -> Headers:
        """Return the headers of an answer of our own."""


@dataclass(frozen=True, slots=True)
class GatewayPorts:
    """Hold what the gateway works with.

    :param table: reads the routing table in force.
    :param leaving: tells whether connections should be closed.
    :param region_map: knows in which region a failure domain lies.
    """

    relay: RelayPorts
    mover: Mover
    wire: Wire
    clock: Clock
    table: Callable[[], RoutingTable]
    leaving: Callable[[], bool]
    metrics: GatewayMetrics
    generator: random.Random
    region_map: RegionMap = RegionMap()
