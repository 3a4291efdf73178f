"""Configurations without keys, customers or regions; other credentials."""

import pytest

from cartdale.platform.documents import decode_table
from cartdale.platform.settings import parse_platform_settings
from cartdale.routes.match import find_regions
from tests.platform_stage import (
    HOST,
    KEY,
    SETTINGS,
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


# Guards against any key, and none, that are accepted once the last customer is
# taken away, by instances that ran before and by those that start after it.
@pytest.mark.parametrize('emptied', [[], None, 'left out'])
async def test_no_key_is_accepted_once_the_last_customer_is_taken_away(
    emptied: list[dict] | str | None,
) -> None:
    async with open_platform(engines=0) as stage:
        stored = make_configuration(2)
        stored['tenants'] = emptied
        if emptied == 'left out':
            stored.pop('tenants')
        stage.store.put('op/config', stored)
        stage.add_instance()
        await stage.settle(2)
        for index in range(2):
            for key in (f'Token {KEY}', 'Token never-held', ''):
                name = f'r{index}-{key}'
                answer = await stage.client.post(
                    stage.url('/cut/a', index),
                    headers=make_headers(name, Authorization=key),
                    content=b'x',
                )
                assert answer.status_code == 401
                assert not count_runs(stage, name)


# Guards against credentials that are no known key and count as none, or as one.
@pytest.mark.parametrize('path', ['/cut/a', '/look/a'])
@pytest.mark.parametrize(
    'credentials',
    [
        (f'Bearer {KEY}',),
        (KEY,),
        (f'Token {KEY}', 'Token never-held'),
        ('Token never-held', f'Token {KEY}'),
        ('Token',),
        ('Token never-held',),
    ],
)
async def test_other_credentials_are_refused_on_open_routes_too(
    path: str, credentials: tuple[str, ...]
) -> None:
    async with open_platform(engines=0) as stage:
        stored = make_configuration(2)
        stored['routes'][3]['allowAnonymous'] = True
        stage.store.put('op/config', stored)
        await stage.settle(2)
        headers = make_headers('r1')
        headers.pop('Authorization')
        listed = [
            *headers.items(),
            *(('Authorization', each) for each in credentials),
        ]
        answer = await stage.client.get(stage.url(path), headers=listed)
        assert answer.status_code == 401
        assert not count_runs(stage, 'r1')


# Guards against callers without a key who are taken for a customer whose list
# of keys holds an empty one.
async def test_an_empty_key_is_nobodys() -> None:
    async with open_platform(engines=0) as stage:
        stored = make_configuration(2)
        stored['tenants'][0]['apiKeys'] = ['', KEY]
        stage.store.put('op/config', stored)
        await stage.settle(2)
        for key in ('', 'Token'):
            answer = await stage.client.get(
                stage.url('/look/a'),
                headers=make_headers(f'r-{key}', Authorization=key),
            )
            assert answer.status_code == 401
            assert not count_runs(stage, f'r-{key}')
        assert stage.runtimes[0].fleet.table.faults[0].field == (
            '$.tenants[0].apiKeys[0]'
        )
        sound = await stage.client.get(
            stage.url('/look/a'), headers=make_headers('sound')
        )
        assert sound.status_code == 200


# Guards against regions that are all allowed once their list is null.
def test_null_allows_no_region() -> None:
    stored = make_configuration()
    stored['tenants'][0]['allowedRegions'] = None
    stored['routes'][0]['allowedRegions'] = None
    table = decode_table(encode(stored))
    assert table.customers_by_key[KEY].regions == frozenset()
    assert table.routes_by_host[HOST][0].regions == frozenset()


# Guards against a deployment whose settings do not tell that it has customers,
# and that takes a configuration without any for an open one.
@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('', True),
        ('contracts=', True),
        ('contracts=base,tenants', True),
        ('contracts=base', False),
    ],
)
def test_settings_tell_whether_keys_are_expected(
    line: str, expected: bool
) -> None:
    settings = parse_platform_settings(f'{SETTINGS}\n{line}\n', 'f')
    assert settings.expects_customers is expected


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
