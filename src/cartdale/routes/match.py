"""Find the route, the customer and the service of a request."""

import random

from returns.result import Failure, Result, Success

from cartdale.routes.types import Customer, KeyFault, Route, RoutingTable

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


def identify_customer(
    table: RoutingTable,
    route: Route,
    key: str | None,
    *,
    expects_customers: bool,
) -> Result[Customer | None, KeyFault]:
    """Return the customer that a request's key belongs to.

    Keys are ignored where neither the table nor the deployment has customers.

    :param key: empty for none; ``None`` for credentials that hold no key.
    :param expects_customers: whether the deployment has customers, also if the
        table does not list any.
    :returns: ``None`` for a request that needs no key and carries none.
    """
    if not table.lists_customers and not expects_customers:
        return Success(None)
    if key == '':
        return Success(None) if route.anonymous else Failure(KeyFault.MISSING)
    customer = table.customers_by_key.get(key) if key else None
    return Failure(KeyFault.UNKNOWN) if customer is None else Success(customer)


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
