"""Routes: the longest prefix of a host, keys, priorities and shares."""

from random import Random

from cartdale.routes.match import (
    find_route,
    needs_key,
    pick_service,
    rank_request,
)
from cartdale.routes.types import (
    Customer,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
)


def make_route(prefix: str, **changes) -> Route:
    given = {
        'name': prefix,
        'host': 'a.example',
        'prefix': prefix,
        'kind': RouteKind.SAFE,
        'timeout': 1000,
        'target_latency': 100,
        'shares': (ServiceShare('one'),),
        **changes,
    }
    return Route(**given)


def test_longest_prefix_of_the_host_wins() -> None:
    routes = (make_route('/a/b/'), make_route('/a/'))
    table = RoutingTable(1, {'a.example': routes})
    assert find_route(table, 'A.example:80', '/a/b/c').name == '/a/b/'
    assert find_route(table, 'a.example', '/a/c').name == '/a/'
    assert find_route(table, 'a.example', '/b/') is None
    assert find_route(table, 'b.example', '/a/') is None


def test_keys_are_needed_only_with_customers_and_not_on_open_routes() -> None:
    customer = Customer('c')
    keyed = RoutingTable(
        1, customers_by_name={'c': customer}, customers_by_key={'k': customer}
    )
    assert needs_key(keyed, make_route('/a/'))
    assert not needs_key(keyed, make_route('/a/', anonymous=True))
    assert not needs_key(RoutingTable(1), make_route('/a/'))


def test_customer_priority_overrides_that_of_the_route() -> None:
    route = make_route('/a/', priority=2)
    assert rank_request(route, None) == 2
    assert rank_request(route, Customer('c')) == 2
    assert rank_request(route, Customer('c', 0)) == 0


def test_shares_follow_their_weights() -> None:
    shares = (ServiceShare('one', 90), ServiceShare('two', 10))
    generator = Random(1)
    route = make_route('/a/', shares=shares)
    picked = [pick_service(route, generator) for _ in range(1000)]
    assert 850 < picked.count('one') < 950
