"""Measure what an entry instance on the platform spends on its callers.

Run with ``python -m bench.platform_cost``: stand-ins and one instance as
processes, drafts of several lengths and plain requests; only the instance's
own processor time is counted. The slope over the lengths is the cost of a
relayed event, the rest that of a request.
"""

import json
import os
import tempfile
import time
from pathlib import Path

import httpx
import trio

from bench.processes import read_usage, running, wait_for
from cartdale.platform.pools import make_pool
from cartdale.platform.settings import SETTINGS_PATH_VARIABLE, Endpoint
from cartdale.platform.store import PlatformStore
from cartdale.store.types import Put
from cartdale_standins.platform_engine import STRIDE

STORE, ENGINE, PLAIN, CALLERS, READY = 7901, 7902, 7903, 7911, 7912
NEWS, METRICS = 7913, 7914
LOCAL = '127.0.0.1'
KEY = 'demo-key-of-the-mill'
DOCUMENT = Path('deploy/demo-configuration.json')
STREAMS = 12
EVENTS = (10, 50, 100)
LOOKUPS = 200
_MILLION = 1_000_000


def write_settings(base: Path) -> Path:
    """Write the instance's settings."""
    path = base / 'entry.conf'
    fields = {
        'node': 'bench-1',
        'ip': LOCAL,
        'zone': 'west',
        'region': 'here',
        'listen.front': f'{LOCAL}:{CALLERS}',
        'listen.ready': f'{LOCAL}:{READY}',
        'internalPorts': f'{NEWS},{METRICS}',
        'bounds.graceS': 8,
        'bounds.retryBudgetRatio': 0.2,
        'bounds.budgetWindowS': 10,
        'bounds.budgetSlack': 50,
        'platform.address': f'{LOCAL}:{STORE}',
    }
    lines = (f'{name}={setting}\n' for name, setting in fields.items())
    path.write_text(''.join(lines))
    return path


def make_headers(name: str, events: int) -> dict[str, str]:
    """Return the headers of a request; no tokens for a plain one."""
    headers = {
        'Host': 'mill.example',
        'Request-Id': name,
        'Authorization': f'Token {KEY}',
        'Deadline-Ms': '20000',
    }
    if events:
        headers['Token-Count'] = f'40,{events * STRIDE}'
        headers['Length-Hint'] = str(events * STRIDE)
    return headers


async def configure() -> None:
    """Write the operator's document."""
    store = PlatformStore(make_pool(), Endpoint(LOCAL, STORE), 1000)
    await store.transact((), (Put('op/config', DOCUMENT.read_bytes()),))
    await trio.sleep(1)


async def ask(path: str, requests: int, events: int) -> None:
    """Send requests at once and read their answers."""

    async def one(client: httpx.AsyncClient, number: int) -> None:
        name = f'{path}-{events}-{number}'
        answer = await client.post(
            f'http://{LOCAL}:{CALLERS}/{path}/',
            headers=make_headers(name, events),
        )
        answer.raise_for_status()

    limits = httpx.Limits(max_connections=STREAMS)
    async with httpx.AsyncClient(timeout=60, limits=limits) as client:
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                nursery.start_soon(one, client, number)


def measure(pid: int, path: str, requests: int, events: int) -> float:
    """Return the processor time of one request, in microseconds."""
    before = read_usage(pid).cpu
    trio.run(ask, path, requests, events)
    time.sleep(0.5)
    spent = read_usage(pid).cpu - before
    return spent * _MILLION / requests


def main() -> None:
    """Run the measurement and print it."""
    store = f'{LOCAL}:{STORE}'
    with tempfile.TemporaryDirectory() as folder:
        os.environ[SETTINGS_PATH_VARIABLE] = str(write_settings(Path(folder)))
        standin = 'cartdale-standin'
        commands = (
            [standin, 'platform-store', '--port', str(STORE)],
            [
                standin,
                'platform-engine',
                *('--port', str(ENGINE), '--name', 'e-1', '--store', store),
            ],
            [
                standin,
                'platform-plain',
                *('--port', str(PLAIN), '--name', 'p-1', '--store', store),
            ],
            ['python', 'deploy/cartdaled.py'],
        )
        with running(*commands) as pids:
            time.sleep(2)
            trio.run(configure)
            wait_for(f'http://{LOCAL}:{READY}/cartdale/ready')
            report(pids[-1])


def report(pid: int) -> None:
    """Print the costs of events and requests."""
    costs = {
        events: measure(pid, 'draft', STREAMS, events) for events in EVENTS
    }
    shortest, longest = min(EVENTS), max(EVENTS)
    slope = (costs[longest] - costs[shortest]) / (longest - shortest)
    figures = {
        'draft_us_by_events': costs,
        'event_us': slope,
        'draft_us_without_events': costs[shortest] - slope * shortest,
        'lookup_us': measure(pid, 'cut', LOOKUPS, 0),
        'resident_mib': read_usage(pid).resident,
    }
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    main()
