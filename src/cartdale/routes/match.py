"""Find the route, the customer and the service of a request."""

import random

from cartdale.routes.types import Customer, Route, RoutingTable

_PORT_SEPARATOR = ':'


def find_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path."""
    host_name = host.partition(_PORT_SEPARATOR)[0].lower()
    for route in table.routes_by_host.get(host_name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def list_changed_routes(before: RoutingTable, after: RoutingTable) -> list[str]:
    """Return the names of routes that were added, removed or changed."""
    old, new = _index_by_name(before), _index_by_name(after)
    return sorted(
        name
        for name in old.keys() | new.keys()
        if old.get(name) != new.get(name)
    )


def needs_key(table: RoutingTable, route: Route) -> bool:
    """Return whether requests on the route must carry a known key."""
    return bool(table.customers_by_name) and not route.anonymous


def rank_request(route: Route, customer: Customer | None) -> int:
    """Return the request's priority; 0 is the most urgent."""
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority


def find_regions(
    route: Route, customer: Customer | None
) -> frozenset[str] | None:
    """Return the regions that a request may be sent to; ``None`` for all.

    If both the route and the customer name regions, only those in both count.
    """
    bounds = [route.regions]
    if customer is not None:
        bounds.append(customer.regions)
    given = [regions for regions in bounds if regions is not None]
    return frozenset.intersection(*given) if given else None


def pick_service(route: Route, generator: random.Random) -> str:
    """Return a service of the route, chosen by the weights of its shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    services = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return generator.choices(services, weights)[0]


def _index_by_name(table: RoutingTable) -> dict[str, Route]:
    return {
        route.name: route
        for routes in table.routes_by_host.values()
        for route in routes
    }
