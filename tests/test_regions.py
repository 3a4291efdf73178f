"""Regions: requests and their bodies stay in the regions that are allowed."""

import json

import pytest

from cartdale.clock import VirtualClock
from cartdale.exceptions import BadInputError
from cartdale.fleet.decide import decide
from cartdale.fleet.driver import Fleet
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.types import EntriesListed, EvacuationsReceived, FleetState
from cartdale.platform.documents import decode_table
from cartdale.platform.settings import parse_platform_settings
from cartdale.relay.request_needs import make_request_needs
from cartdale.relay.targets import choose_backup, choose_target
from cartdale.routes.match import find_regions
from cartdale.routes.regions import RegionMap
from cartdale.routes.types import Customer, Route, RouteKind, RoutingTable
from cartdale.scheduling.candidates import is_closed, list_candidates
from cartdale.scheduling.loads import Load
from cartdale.scheduling.types import RequestNeeds
from tests.platform_stage import (
    KEY,
    SETTINGS,
    count_runs,
    make_configuration,
    make_headers,
    open_platform,
    until,
)
from tests.test_fleet import SPEC, make_entry
from tests.test_targets import make_routed

REGION_MAP = RegionMap({'a1': 'north', 'a2': 'north', 'b1': 'south'})
NORTH = frozenset(('a1', 'a2'))


def make_route(*regions: str) -> Route:
    return Route(
        'r',
        'h',
        '/',
        RouteKind.SAFE,
        1000,
        300,
        (),
        regions=frozenset(regions) or None,
    )


@pytest.mark.parametrize(
    ('route', 'customer', 'allowed'),
    [
        ((), (), None),
        (('north',), (), {'north'}),
        ((), ('south',), {'south'}),
        (('north', 'south'), ('south',), {'south'}),
        (('north',), ('south',), set()),
    ],
)
def test_route_and_customer_both_bind(route, customer, allowed) -> None:
    owner = Customer('c', regions=frozenset(customer) or None)
    assert find_regions(make_route(*route), owner) == allowed


def test_anonymous_request_is_bound_by_its_route() -> None:
    assert find_regions(make_route('north'), None) == {'north'}


def test_domains_of_regions() -> None:
    assert REGION_MAP.find_domains(None) is None
    assert REGION_MAP.find_domains(frozenset(('north',))) == NORTH
    assert REGION_MAP.find_domains(frozenset(('nowhere',))) == frozenset()


def make_state() -> FleetState:
    entries = tuple(
        make_entry(domain, failure_domain=domain, slots=64)
        for domain in ('a1', 'a2', 'b1', 'unknown')
    )
    return decide(FleetState(), EntriesListed(entries), 0)[0]


def test_only_upstreams_in_allowed_domains_are_candidates() -> None:
    state = make_state()
    needs = RequestNeeds('s', domains=NORTH)
    names = [each.entry.upstream for each in list_candidates(state, needs)]
    assert names == ['a1', 'a2']
    assert len(list_candidates(state, RequestNeeds('s'))) == 4


def test_evacuation_of_all_allowed_domains_closes_them() -> None:
    evacuations = (Evacuation('a1', 4), Evacuation('a2', 5))
    state, _ = decide(make_state(), EvacuationsReceived(evacuations), 0)
    assert is_closed(state, RequestNeeds('s', domains=NORTH))
    assert not is_closed(state, RequestNeeds('s'))


def test_moves_and_backups_stay_in_allowed_domains() -> None:
    fleet = Fleet(VirtualClock(), 'b1', 1)
    fleet.table = RoutingTable(version=1, services_by_name={'s': SPEC})
    fleet.state = make_state()
    source = fleet.state.upstreams_by_id['a1'].entry
    routed = make_routed(900, domains=NORTH)
    assert make_request_needs(routed).domains == NORTH
    for _ in range(20):
        target = choose_target(fleet, routed, Load(1, 300), source, ())
        assert target.upstream == 'a2'
        backup = choose_backup(fleet, routed, source)
        assert backup is None or backup.upstream == 'a2'


def test_settings_name_the_region_of_each_failure_domain() -> None:
    text = f'{SETTINGS}zones.west=here\nzones.east=there\n'
    settings = parse_platform_settings(text, 'file')
    assert settings.regions_by_domain == {'west': 'here', 'east': 'there'}
    assert settings.bounds.cold.count(10) == 10


def test_settings_bound_the_requests_to_a_cold_upstream() -> None:
    text = f'{SETTINGS}bounds.coldOverage=1.5\nbounds.coldSlack=5\n'
    assert parse_platform_settings(text, 'file').bounds.cold.count(25) == 42
    with pytest.raises(BadInputError, match='coldSlack'):
        parse_platform_settings(f'{SETTINGS}bounds.coldSlack=many\n', 'file')


def test_configuration_sets_regions_and_rates_of_cold_upstreams() -> None:
    stored = make_configuration()
    stored['routes'][0]['allowedRegions'] = ['here']
    stored['tenants'][0]['allowedRegions'] = ['here', 'there']
    stored['services'][0].update(coldStartS=1.5, coldPerS=25.0)
    table = decode_table(json.dumps(stored).encode())
    routes = {
        route.name: route
        for routes in table.routes_by_host.values()
        for route in routes
    }
    assert routes['draft'].regions == {'here'}
    assert routes['cut'].regions is None
    assert table.customers_by_key[KEY].regions == {'here', 'there'}
    spec = table.services_by_name['writers']
    assert (spec.cold_start, spec.cold_rate) == (1500, 25.0)


async def test_request_is_refused_rather_than_sent_to_another_region() -> None:
    async with open_platform(plains=1) as stage:
        stored = make_configuration(2)
        stored['routes'][2]['allowedRegions'] = ['elsewhere']
        stage.store.put('op/config', stored)
        await until(lambda: stage.runtimes[0].fleet.table.version == 2)
        answer = await stage.client.post(
            stage.url('/cut/one'), headers=make_headers('r1'), content=b''
        )
        assert answer.status_code == 503
        assert not count_runs(stage, 'r1')
