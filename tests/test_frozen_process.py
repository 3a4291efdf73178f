"""A frozen owner, unaware of its lapsed lease, does no harm when it wakes."""

import base64
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import pytest
import uuid_utils

from cartdale.configuration.bodies import encode_bodies
from cartdale.declarations.load import SourceFile, load_declarations
from tests.stage import CALLER_KEY, OPERATOR_KEY, hash_key

BIN = Path(sys.executable).parent
HORIZON_SECONDS = 2.2
ORDER = b'{"cut": "bolt 7"}'


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@dataclass
class Fleet:
    """Hold the processes of the test and their ports."""

    base: Path
    ports: dict[str, int] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    def url(self, name: str) -> str:
        return f'http://127.0.0.1:{self.ports[name]}'

    def start_standin(self, name: str) -> None:
        self.ports[name] = find_port()
        port = str(self.ports[name])
        self.start(name, 'cartdale-standin', name, '--port', port)

    def start_entry(self, name: str) -> None:
        for kind in ('callers', 'peers', 'operators'):
            self.ports[f'{name}/{kind}'] = find_port()
        settings = {
            'name': name,
            'failure_domain': 'west',
            'region': 'here',
            'store': self.url('store'),
            'instances': f'{self.url("instances")}/instances',
            'cluster_key_files': ['cluster.key'],
            'operator_key_files': ['operator.key'],
        }
        for kind in ('callers', 'peers', 'operators'):
            port = self.ports[f'{name}/{kind}']
            settings[kind] = {'address': '127.0.0.1', 'port': port}
        path = self.base / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.start(name, 'cartdaled', 'run', '--settings', str(path))

    def start(self, name: str, program: str, *arguments: str) -> None:
        self.processes[name] = subprocess.Popen(
            [str(BIN / program), *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def order(self, name: str, key: str) -> httpx.Response:
        return httpx.post(
            f'{self.url(f"{name}/callers")}/services/orders/cut',
            content=ORDER,
            headers={
                'Authorization': f'Bearer {CALLER_KEY}',
                'Idempotency-Key': key,
            },
            timeout=30,
        )

    def operate(self, path: str, body: object) -> dict:
        return httpx.post(
            f'{self.url("a/operators")}/operator/v1/{path}',
            json=body,
            headers={'Authorization': f'Bearer {OPERATOR_KEY}'},
        ).json()

    def runs(self) -> int:
        counted = httpx.get(f'{self.url("plain")}/standin/runs').json()
        return sum(counted.values())

    def owners(self) -> set[str]:
        """Return who owns slots, as the store says."""
        answer = httpx.post(
            f'{self.url("store")}/v3/kv/range',
            json={
                'key': 'Y2FydGRhbGUvc2xvdHMv',
                'range_end': 'Y2FydGRhbGUvc2xvdHMw',
            },
        ).json()
        return {
            json.loads(base64.b64decode(kv['value']))['name']
            for kv in answer['kvs']
        }


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    (tmp_path / 'cluster.key').write_text('cluster-key-of-a-test')
    (tmp_path / 'operator.key').write_text(OPERATOR_KEY)
    try:
        for name in ('store', 'instances', 'plain'):
            made.start_standin(name)
        wait_until(lambda: answers(f'{made.url("store")}/standin/counts'))
        wait_until(lambda: answers(f'{made.url("instances")}/instances'))
        yield made
    finally:
        for process in made.processes.values():
            process.kill()
            process.wait()


def answers(url: str) -> bool:
    try:
        return httpx.get(url).is_success
    except httpx.HTTPError:
        return False


def wait_until(ready: object) -> None:
    give_up = time.monotonic() + 60
    while not ready():
        assert time.monotonic() < give_up
        time.sleep(0.1)


def list_entries(fleet: Fleet) -> None:
    listed = [
        {
            'name': name,
            'address': fleet.url(f'{name}/peers'),
            'failure_domain': 'west',
            'region': 'here',
            'state': 'live',
        }
        for name in ('a', 'b')
    ]
    httpx.post(
        f'{fleet.url("instances")}/standin/instances',
        json={'instances': listed},
    )


def confirm(fleet: Fleet) -> None:
    document = {
        'failure_domains': {'west': {'region': 'here'}},
        'upstreams': {
            'plain': {
                'kind': 'plain',
                'address': fleet.url('plain'),
                'failure_domain': 'west',
            },
        },
        'services': {
            'orders': {
                'kind': 'plain',
                'upstreams': ['plain'],
                'repeat': 'never',
            },
        },
        'customers': {
            'c': {
                'key_hashes': [hash_key(CALLER_KEY)],
                'services': ['orders'],
            },
        },
    }
    source = SourceFile('fleet.json', json.dumps(document))
    bodies = encode_bodies(load_declarations((source,)))
    plan = fleet.operate('plans', {'bodies_by_key': bodies})
    answer = fleet.operate('confirmations', {'plan': plan, 'author': 'test'})
    assert answer['outcome'] == 'confirmed'


def test_a_frozen_owner_does_no_harm(fleet: Fleet) -> None:
    fleet.start_entry('a')
    wait_until(lambda: answers(f'{fleet.url("a/callers")}/healthz'))
    confirm(fleet)
    # The only instance owns every slot before the other starts.
    wait_until(lambda: fleet.owners() == {'a'})
    fleet.start_entry('b')
    wait_until(lambda: answers(f'{fleet.url("b/callers")}/readyz'))
    list_entries(fleet)
    time.sleep(HORIZON_SECONDS)

    key = str(uuid_utils.uuid7())
    assert fleet.order('a', key).status_code == 200
    fleet.signal('a', signal.SIGSTOP)
    wait_until(lambda: fleet.owners() == {'b'})
    survivor = fleet.order('b', key)
    assert survivor.json()['type'] == 'urn:cartdale:problem:outcome-unknown'
    time.sleep(HORIZON_SECONDS)
    fresh = str(uuid_utils.uuid7())
    assert fleet.order('b', fresh).status_code == 200

    fleet.signal('a', signal.SIGCONT)
    woken = fleet.order('a', fresh)
    assert woken.status_code != 200 or woken.json()['run'] == 1
    again = fleet.order('a', key)
    assert again.status_code != 200 or again.json()['run'] == 1
    assert fleet.runs() == 2
