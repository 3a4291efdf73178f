"""Routes: the longest prefix of a host, keys, priorities and shares."""

from random import Random

import pytest
from returns.result import Failure, Success

from cartdale.routes.match import (
    find_route,
    identify_customer,
    pick_service,
    rank_request,
)
from cartdale.routes.types import (
    Customer,
    KeyFault,
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


CUSTOMER = Customer('c')
KEYED = RoutingTable(
    1,
    customers_by_name={'c': CUSTOMER},
    customers_by_key={'k': CUSTOMER},
    lists_customers=True,
)
#: Lists customers, of whom none is left.
EMPTIED = RoutingTable(1, lists_customers=True)
WITHOUT_LIST = RoutingTable(1)
MISSING, UNKNOWN = Failure(KeyFault.MISSING), Failure(KeyFault.UNKNOWN)


# Guards against a list of customers that opens routes once it is empty or left
# out, and against keys without a customer on routes that need none.
@pytest.mark.parametrize(
    ('table', 'expects_customers', 'key', 'closed', 'anonymous'),
    [
        (KEYED, False, 'k', Success(CUSTOMER), Success(CUSTOMER)),
        (KEYED, False, 'other', UNKNOWN, UNKNOWN),
        (KEYED, False, '', MISSING, Success(None)),
        (KEYED, False, None, UNKNOWN, UNKNOWN),
        (EMPTIED, False, 'k', UNKNOWN, UNKNOWN),
        (EMPTIED, False, '', MISSING, Success(None)),
        (WITHOUT_LIST, True, 'k', UNKNOWN, UNKNOWN),
        (WITHOUT_LIST, True, '', MISSING, Success(None)),
        (WITHOUT_LIST, False, 'k', Success(None), Success(None)),
        (WITHOUT_LIST, False, '', Success(None), Success(None)),
    ],
)
def test_customers_are_identified_by_known_keys(
    table: RoutingTable, expects_customers: bool, key, closed, anonymous
) -> None:
    for is_open, expected in ((False, closed), (True, anonymous)):
        route = make_route('/a/', anonymous=is_open)
        identified = identify_customer(
            table, route, key, expects_customers=expects_customers
        )
        assert identified == expected


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
