"""Requests through all components on the platform, over real sockets.

Guards against failures of upstreams, peers and the store that lose a response,
run a request twice, or leave an old configuration in force.
"""

import re

import msgspec
import trio
from loguru import logger

from cartdale.news.types import LoadNews, NewsArrived, PeerEntry
from cartdale.platform.settings import load_platform_settings
from cartdale.platform.translate import read_table
from cartdale_standins.platform_store import PlatformStoreFaults
from tests.platform_stage import (
    HOST,
    KEY,
    LOCAL,
    SETTINGS,
    count_runs,
    draft,
    draft_meanwhile,
    find_runner,
    make_configuration,
    make_headers,
    open_platform,
    until,
    whole,
)


async def test_plain_response_is_forwarded_completely() -> None:
    async with open_platform() as stage:
        answer = await stage.client.post(
            stage.url('/cut/one?x=%20y'),
            headers=make_headers('r1', Tenant='forged', Hold='h'),
            content=b'body',
        )
        assert answer.status_code == 200
        assert answer.text == 'cut/one of r1'
        assert answer.headers['Response-Seal'] == 'plain-0.r1'
        head = stage.plains[0].heads[0]
        assert head['Tenant'] == 'mill'
        assert head['Expect-Instance'] == 'plain-0'
        assert head['Host'] == HOST
        assert 0 < int(head['Deadline-Ms']) <= 15000
        assert 'Authorization' not in head
        assert 'Hold' not in head
        assert 'Request-Urgency' not in head
        assert stage.plains[0].bodies == [b'body']


async def test_refusals_without_an_upstream() -> None:
    async with open_platform() as stage:
        unknown = make_headers('r1')
        unknown['Authorization'] = 'Token unknown'
        statuses = []
        for path, headers, content in (
            ('/cut/one', unknown, b''),
            ('/nowhere/', make_headers('r2'), b''),
            ('/cut/one', make_headers('r3'), b'x' * 5000),
        ):
            answer = await stage.client.post(
                stage.url(path), headers=headers, content=content
            )
            statuses.append(answer.status_code)
        assert statuses == [401, 404, 413]
        assert not stage.plains[0].heads


async def test_not_ready_before_a_configuration() -> None:
    async with open_platform(instances=0) as stage:
        stage.store.remove('op/config')
        runtime = stage.add_instance()
        ready = f'http://{LOCAL}:{runtime.ready_port}/cartdale/ready'
        assert (await stage.client.get(ready)).status_code == 503
        early = await draft(stage, 'r1')
        assert early.status_code == 503
        assert float(early.headers['Retry-After']) > 0
        stage.store.put('op/config', make_configuration())
        await stage.settle()
        assert (await stage.client.get(ready)).status_code == 200


async def test_rejected_request_goes_to_another_upstream() -> None:
    async with open_platform(plains=2) as stage:
        for plain in stage.plains:
            plain.faults.rejections = 1
        stage.plains[1].faults.rejections = 0
        for number in range(4):
            answer = await stage.client.post(
                stage.url('/cut/one'), headers=make_headers(f'r{number}')
            )
            assert answer.status_code == 200
            assert count_runs(stage, f'r{number}') == 1


async def test_unsafe_request_runs_once_if_its_response_is_lost() -> None:
    async with open_platform(plains=2) as stage:
        for plain in stage.plains:
            plain.faults.lost_responses = 1
        answer = await stage.client.post(
            stage.url('/cut/one'), headers=make_headers('r1')
        )
        assert answer.status_code == 502
        assert count_runs(stage, 'r1') == 1


async def test_safe_request_is_retried_after_a_mismatched_response() -> None:
    async with open_platform(plains=2) as stage:
        for plain in stage.plains:
            plain.faults.mismatched_ids = 1
        stage.plains[1].faults.mismatched_ids = 0
        for number in range(4):
            answer = await stage.client.get(
                stage.url('/look/one'), headers=make_headers(f'r{number}')
            )
            assert answer.text == f'look/one of r{number}'


async def test_stream_is_complete() -> None:
    async with open_platform() as stage:
        answer = await draft(stage, 'r1')
        assert answer.content == whole('r1')
        assert count_runs(stage, 'r1') == 1


async def test_engine_stops_when_the_caller_leaves() -> None:
    async with open_platform(engines=1) as stage:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(draft, stage, 'r1')
            source = await find_runner(stage, 'r1')
            nursery.cancel_scope.cancel()
        await until(lambda: not source.driver.records_by_generation)


async def test_removed_engine_gets_no_new_work() -> None:
    async with open_platform(engines=2) as stage:
        stage.store.remove('servers/engine-0')
        runtime = stage.runtimes[0]
        await until(
            lambda: runtime.fleet.find('engine-0').lifecycle == 'leaving'
        )
        for number in range(4):
            answer = await draft(stage, f'r{number}')
            assert answer.content == whole(f'r{number}')
        assert not stage.engines[0].runs_by_request


async def test_peer_distributes_a_configuration_past_a_silent_store() -> None:
    async with open_platform(instances=2) as stage:
        first, second = stage.runtimes
        await until(lambda: second.peers.news.count_alive() == 2)
        second.follower.raw_table = b''
        # Only the first instance learns of the second version.
        stage.store.faults = PlatformStoreFaults(silent=True)
        newer = make_configuration(version=7)
        first.follower.adopt(read_table(msgspec.json.encode(newer)))
        await until(lambda: second.fleet.table.version == 7)


async def test_logs_name_the_end_of_a_stream_but_no_key() -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, serialize=True)
    async with open_platform() as stage:
        await draft(stage, 'r1')
        await until(lambda: any('stream ended' in line for line in lines))
        metrics = stage.runtimes[0].metrics.render().decode()
    logger.remove(sink)
    text = ''.join(lines)
    assert KEY not in text
    assert 'streams_total{end="whole"} 1' in metrics


def report_version(stage, version: int) -> None:
    """Report a version as a peer that is gone since."""
    gone = PeerEntry('gone', LOCAL, 1)
    news = LoadNews(1, version, version, gone, {})
    stage.runtimes[0].peers.news.dispatch(NewsArrived('gone', news))


def make_moved_configuration(version: int) -> dict:
    """Return a configuration with one more plain route."""
    document = make_configuration(version)
    route = {**document['routes'][-1], 'name': 'new', 'pathPrefix': '/new/'}
    document['routes'].append(route)
    return document


# A route that only a newer version has must not be refused for good while that
# version is on its way.
async def test_request_waits_for_the_version_that_has_its_route() -> None:
    async with open_platform() as stage:
        report_version(stage, 2)
        statuses: list[int] = []

        async def ask() -> None:
            answer = await stage.client.get(
                stage.url('/new/one'), headers=make_headers('r1')
            )
            statuses.append(answer.status_code)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            assert not statuses
            stage.store.put('op/config', make_moved_configuration(2))
        assert statuses == [200]


# A request whose caller leaves while it is held must end then.
async def test_request_held_for_a_version_ends_with_its_caller() -> None:
    events: list[str] = []
    sink = logger.add(lambda line: events.append(line.record['message']))
    async with open_platform() as stage:
        report_version(stage, 2)
        with trio.move_on_after(0.2):
            await stage.client.post(
                stage.url('/new/one'), headers=make_headers('r1')
            )
        await trio.sleep(0.2)
        assert 'caller left' in events
        stage.store.put('op/config', make_moved_configuration(2))
        runtime = stage.runtimes[0]
        await until(lambda: runtime.fleet.table.version == 2)
        await trio.sleep(0.2)
        assert not count_runs(stage, 'r1')
    logger.remove(sink)


# A version that stays away must neither hold a request for long nor turn into
# the promise that its route does not exist.
async def test_request_is_not_refused_for_good_while_behind() -> None:
    told: list[dict] = []
    sink = logger.add(lambda line: told.append(line.record['extra']))
    async with open_platform() as stage:
        report_version(stage, 9)
        held: list[float] = []
        for name, key in (('r1', KEY), ('r2', 'unknown')):
            headers = make_headers(name)
            headers['Authorization'] = f'Token {key}'
            began = trio.current_time()
            path = '/look/one' if name == 'r2' else '/nowhere/'
            answer = await stage.client.get(stage.url(path), headers=headers)
            held.append(trio.current_time() - began)
            assert answer.status_code == 503
            assert float(answer.headers['Retry-After']) == 1
        metrics = stage.runtimes[0].metrics.render().decode()
    logger.remove(sink)
    assert held[0] < 2
    assert held[1] < 0.5
    refused = [each for each in told if each.get('request') == 'r1']
    assert [(each['version'], each['newest']) for each in refused] == [(1, 9)]
    assert 'newest_configuration_version 9' in metrics
    behind = re.search(r'_behind_seconds ([\d.]+)\n', metrics)
    assert behind is not None
    assert 0 < float(behind[1]) < 5


async def test_changed_settings_are_applied(tmp_path) -> None:
    path = tmp_path / 'settings'
    path.write_text(SETTINGS)
    settings = load_platform_settings(path)
    async with open_platform(instances=0) as stage:
        runtime = stage.add_instance(path)
        before = runtime.bounds
        path.write_text(SETTINGS.replace('graceS=8', 'graceS=eight'))
        runtime.reload()
        assert runtime.bounds == before
        path.write_text(SETTINGS.replace('graceS=8', 'graceS=30'))
        await until(lambda: runtime.bounds.grace == 30000)
        assert settings.bounds.grace == 8000


async def test_configuration_is_listed_again_after_compaction() -> None:
    async with open_platform() as stage:
        stage.store.put('op/config', make_configuration(version=2))
        stage.store.compact()
        await stage.settle(version=2)


async def test_stop_completes_running_requests_and_closes_connections() -> None:
    async with open_platform() as stage:
        async with draft_meanwhile(stage, 'r1') as answers:
            await find_runner(stage, 'r1')
            stage.runtimes[0].leave()
            ready = stage.runtimes[0].ready_port
            url = f'http://{LOCAL}:{ready}/cartdale/ready'
            assert (await stage.client.get(url)).status_code == 503
            late = await draft(stage, 'r2')
            assert late.content == whole('r2')
            assert late.headers['Connection'] == 'close'
            await stage.stopped[0].wait()
        assert answers[0].content == whole('r1')


# Others must begin to watch the store before a watcher that leaves has stopped.
async def test_watcher_that_leaves_hands_over_before_it_stops() -> None:
    async with open_platform(instances=2) as stage:
        leaving, other = stage.runtimes
        name = leaving.peers.news.own.name

        def declines() -> bool:
            received = other.peers.news.state.received_by_name.get(name)
            return received is not None and received.news.store_lost

        await until(lambda: other.peers.news.count_alive() == 2)
        assert not declines()
        leaving.leave()
        await until(declines)
        assert leaving.peers.news.is_watcher()
