"""The dependencies of the gateway."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from cartdale.clock import Clock, Millis
from cartdale.gateway.metrics import GatewayMetrics
from cartdale.moves.driver import Mover
from cartdale.pressure.driver import Account
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import CallerRequest, Headers
from cartdale.routes.regions import RegionMap
from cartdale.routes.types import RoutingTable


class Wire(Protocol):
    """Translation between headers on the wire and the gateway's types."""

    def read_request(
        self, method: str, target: bytes, headers: Headers
    ) -> CallerRequest:
        """Read the head of a request."""

    def write_refusal(self, status: int, retry_after: Millis) -> Headers:
        """Return the headers of a refusal by this instance."""


@dataclass(frozen=True, slots=True)
class GatewayPorts:
    """The dependencies of the gateway.

    :param table: returns the routing table in force.
    :param newest: returns the newest configuration version heard of, which may
        not be in force yet.
    :param wait_for_newest: waits until the newest version is in force, or the
        wait may take long.
    :param leaving: returns whether connections should be closed.
    :param expects_customers: returns whether the deployment has customers, also
        if the table lists none.
    :param region_map: maps failure domains to regions.
    :param account: of the bytes held for slow peers; ``None`` for none.
    :param body_account: of the bodies of requests; ``None`` for none.
    """

    relay: RelayPorts
    mover: Mover
    wire: Wire
    clock: Clock
    table: Callable[[], RoutingTable]
    newest: Callable[[], int]
    wait_for_newest: Callable[[], Awaitable[None]]
    leaving: Callable[[], bool]
    metrics: GatewayMetrics
    generator: random.Random
    expects_customers: Callable[[], bool]
    region_map: RegionMap = RegionMap()
    account: Account | None = None
    body_account: Account | None = None
