"""A configuration whose last key, or last region, is taken away."""

import pytest

from cartdale.platform.documents import decode_table
from cartdale.routes.match import find_regions, needs_key
from tests.platform_stage import (
    count_runs,
    make_configuration,
    make_headers,
    open_platform,
    until,
)
from tests.test_platform_wire import encode


# Guards against any key, and none, that are accepted once no customer has one.
async def test_no_key_is_accepted_once_the_last_one_is_taken_away() -> None:
    async with open_platform(plains=1) as stage:
        stored = make_configuration(2)
        stored['tenants'][0]['apiKeys'] = []
        stage.store.put('op/config', stored)
        await until(lambda: stage.runtimes[0].fleet.table.version == 2)
        for number, path in enumerate(('/cut/a', '/look/a', '/draft/a')):
            for key in ('Token key-of-a-test', 'Token never-held', ''):
                name = f'r{number}-{key}'
                answer = await stage.client.post(
                    stage.url(path),
                    headers=make_headers(name, Authorization=key),
                    content=b'x',
                )
                assert answer.status_code == 401
                assert not count_runs(stage, name)


def test_open_routes_and_configurations_without_customers_need_no_key() -> None:
    stored = make_configuration()
    stored['tenants'][0]['apiKeys'] = []
    stored['routes'][0]['allowAnonymous'] = True
    table = decode_table(encode(stored))
    routes = {
        route.name: route
        for listed in table.routes_by_host.values()
        for route in listed
    }
    assert not needs_key(table, routes['draft'])
    assert needs_key(table, routes['cut'])
    stored['tenants'] = []
    assert not needs_key(decode_table(encode(stored)), routes['cut'])


# Guards against a route, or a customer, that is served everywhere once its last
# region is taken away.
@pytest.mark.parametrize('bound', ['routes', 'tenants'])
async def test_nothing_is_sent_once_the_last_region_is_taken_away(
    bound: str,
) -> None:
    async with open_platform(plains=1) as stage:
        stored = make_configuration(2)
        for each in stored[bound]:
            each['allowedRegions'] = []
        stage.store.put('op/config', stored)
        await until(lambda: stage.runtimes[0].fleet.table.version == 2)
        answer = await stage.client.post(
            stage.url('/cut/one'), headers=make_headers('r1'), content=b''
        )
        assert answer.status_code == 503
        assert not count_runs(stage, 'r1')


def test_regions_that_are_not_named_bind_nothing() -> None:
    table = decode_table(encode(make_configuration()))
    customer = table.customers_by_name['mill']
    for routes in table.routes_by_host.values():
        for route in routes:
            assert find_regions(route, customer) is None
