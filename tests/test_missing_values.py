"""Values of configurations and requests that are missing or empty."""

import hashlib

import httpx
import pytest
from returns.pipeline import is_successful

from cartdale.callers.read import identify_caller
from cartdale.callers.types import Caller, Directory, make_directory
from cartdale.declarations.types import Customer, Declarations, Limits
from cartdale.limits.rates import derive_rates
from cartdale.peers.authentication import Authenticator, wrap
from cartdale.platform.documents import decode_table
from cartdale.platform.settings import parse_platform_settings
from cartdale.platform.translate import decode_change
from cartdale.pressure.decide import DEFAULT_MEMORY
from cartdale.routes.regions import RegionMap
from cartdale.routes.types import RouteKind, ServiceShare
from cartdale.store.types import Entry
from tests.platform_stage import (
    SETTINGS,
    count_runs,
    make_configuration,
    make_headers,
    open_platform,
)
from tests.test_platform_wire import encode
from tests.test_relay import make_state


# Guards against callers of the own interface without a key who are taken for a
# customer that declares the hash of an empty one.
@pytest.mark.parametrize('authorization', ['Bearer ', 'Bearer', 'bearer  '])
def test_an_empty_key_is_no_customers(authorization: str) -> None:
    empty = hashlib.sha256(b'').hexdigest()
    caller = Caller('mill', Customer((empty,), ('writers',)))
    directory = Directory(callers_by_hash={empty: caller})
    assert not is_successful(identify_caller(directory, authorization))


# Guards against callers of the own interface who are let in once the last key,
# or the last customer, was taken away.
@pytest.mark.parametrize(
    'customers', [{}, {'mill': Customer((), ('writers',))}]
)
def test_without_keys_nobody_is_a_customer(
    customers: dict[str, Customer],
) -> None:
    directory = make_directory(Declarations(customers=customers))
    for authorization in ('Bearer key', 'Bearer ', ''):
        assert not is_successful(identify_caller(directory, authorization))


# Guards against regions that hold every failure domain if no settings map them.
def test_no_failure_domain_is_in_a_region_that_is_not_mapped() -> None:
    assert RegionMap().find_domains(frozenset(('here',))) == frozenset()
    assert RegionMap({'west': 'here'}).find_domains(frozenset()) == frozenset()


# Guards against requests that any service may run if their route names none.
@pytest.mark.parametrize('split', [None, []])
async def test_a_route_without_a_service_is_served_by_none(
    split: list[dict] | None,
) -> None:
    async with open_platform(engines=0) as stage:
        stored = make_configuration(2)
        route = stored['routes'][2]
        route.pop('service')
        if split is not None:
            route['trafficSplit'] = split
        shares = decode_table(encode(stored)).routes_by_host
        assert {each.shares for each in shares['mill.example']} == {
            (ServiceShare('writers'),),
            (ServiceShare('portal'),),
            (ServiceShare(''),),
        }
        stage.store.put('op/config', stored)
        await stage.settle(2)
        answer = await stage.client.post(
            stage.url('/cut/a'), headers=make_headers('r1'), content=b''
        )
        assert answer.status_code == httpx.codes.SERVICE_UNAVAILABLE
        assert not count_runs(stage, 'r1')


# Guards against bodies without a bound where the bound is 0.
async def test_a_limit_of_nothing_lets_no_body_in() -> None:
    async with open_platform(engines=0) as stage:
        stored = make_configuration(2)
        stored['limits']['maxBodyBytes'] = 0
        stage.store.put('op/config', stored)
        await stage.settle(2)
        answer = await stage.client.post(
            stage.url('/cut/a'), headers=make_headers('r1'), content=b'x'
        )
        assert answer.status_code == httpx.codes.REQUEST_ENTITY_TOO_LARGE
        assert not count_runs(stage, 'r1')


# Guards against attempts without a bound on a route that allows none.
def test_no_attempt_allowed_means_one() -> None:
    assert make_state(RouteKind.SAFE, 0).may_run == 1


# Guards against a rate of 0 that is enforced, which the reference calls none.
def test_a_rate_of_nothing_is_no_limit() -> None:
    customer = Customer((), (), limits=Limits(requests_per_second=0))
    assert not derive_rates(Declarations(customers={'mill': customer}))


# Guards against routes that outlive their removal from the list, or the list.
@pytest.mark.parametrize('routes', [[], None])
async def test_without_routes_nothing_is_routed(
    routes: list[dict] | None,
) -> None:
    async with open_platform(engines=0) as stage:
        stored = make_configuration(2)
        stored.pop('routes')
        if routes is not None:
            stored['routes'] = routes
        stage.store.put('op/config', stored)
        await stage.settle(2)
        answer = await stage.client.get(
            stage.url('/look/a'), headers=make_headers('r1')
        )
        assert answer.status_code == httpx.codes.NOT_FOUND
        assert not count_runs(stage, 'r1')


# Guards against an evacuation that is ended by an empty value.
def test_an_evacuation_without_a_value_holds() -> None:
    change = decode_change(Entry('op/evacuate/west', b'', 1, 7))
    assert change is not None
    assert change.evacuation.active


# Guards against bytes held without a bound where the settings tell no memory.
@pytest.mark.parametrize('line', ['', 'limits.memoryMb='])
def test_memory_that_is_not_told_is_bounded(line: str) -> None:
    settings = parse_platform_settings(f'{SETTINGS}\n{line}\n', 'f')
    assert settings.memory_bytes == DEFAULT_MEMORY


# Guards against messages that are taken from anybody while no key is known.
def test_without_a_cluster_key_no_message_is_genuine() -> None:
    signed = Authenticator((b'key',)).sign(wrap('a', 'b', 'text', 0))
    assert Authenticator(()).open(signed) is None
    assert Authenticator((b'other',)).open(signed) is None
