"""Leave time to read more urgent prompts at the engines.

An engine reads prompts in the order of their arrival. A less urgent prompt has
more time, so that it may be queued where a more urgent one that arrives next
would be read too late. Such prompts wait at their instance instead, where the
order of ranks holds.
"""

from dataclasses import replace
from itertools import chain

from cartdale.clock import Millis
from cartdale.routes.types import Route, RoutingTable
from cartdale.scheduling.choose import READING_SHARE
from cartdale.scheduling.types import RequestNeeds


class ReadingBounds:
    """Find the shortest target latency of more urgent routes of a service."""

    def __init__(self) -> None:
        self._version = 0
        self._routes_by_service: dict[str, list[Route]] = {}

    def apply(
        self, table: RoutingTable, needs: RequestNeeds, priority: int
    ) -> RequestNeeds:
        """Return needs that leave more urgent requests time to be read."""
        if not needs.reads:
            return needs
        target = self._find_urgent_target(table, needs.service, priority)
        if not target:
            return needs
        within = int(READING_SHARE * target)
        if needs.read_within:
            within = min(within, needs.read_within)
        return replace(needs, read_within=within)

    def _find_urgent_target(
        self, table: RoutingTable, service: str, priority: int
    ) -> Millis:
        """Return the shortest target of more urgent routes; 0 for none."""
        if table.version != self._version:
            self._version = table.version
            self._routes_by_service = _list_routes(table)
        targets = [
            route.target_latency
            for route in self._routes_by_service.get(service, ())
            if route.priority < priority
        ]
        return min(targets, default=0)


def _list_routes(table: RoutingTable) -> dict[str, list[Route]]:
    """Return the routes with a target latency to each service."""
    routes_by_service: dict[str, list[Route]] = {}
    for route in chain.from_iterable(table.routes_by_host.values()):
        if not route.target_latency:
            continue
        for share in route.shares:
            routes_by_service.setdefault(share.service, []).append(route)
    return routes_by_service
