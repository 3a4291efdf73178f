"""An operator takes the keys away; what still runs afterwards?

Two tenants hold one key each. Both keys are taken away, 1.5 s apart, by new
configurations that keep the tenants.
"""

import asyncio
import time
from pathlib import Path

from config import SERVICE, make_configuration, make_headers
from http_ import call
from instances import Processes, run_case, start_instances
from store import Store
from worker import Worker

KEYS = {
    'huka270': 'xd9dnn2ctnfzs989anu6',
    'sopa114': 'p2m7r0c4t5vhw8y1k6ea',
}
#: In no configuration at any time.
UNKNOWN_KEY = 'kf03nnu1x8q7w2m5zzt9'
#: ``bounds.configApplyMs``.
APPLY_SECONDS = 2.0
GAP_SECONDS = 1.5
OBSERVED_SECONDS = 5


async def main(processes: Processes, note, trouble: bool) -> bool:
    store = Store()
    await store.start()
    runs: list[dict] = []
    for number, zone in enumerate(('westlands', 'upperhill')):
        worker = Worker(f'i-portal{number}', runs.append)
        await worker.server.start()
        store.put(f'servers/{worker.name}', worker.describe(SERVICE, zone))
    tenants = [
        {'name': name, 'apiKeys': [key], 'priority': 1}
        for name, key in KEYS.items()
    ]
    store.put('op/config', make_configuration(1, tenants))
    instances = await start_instances(processes, store.address, 3)

    sent: dict[str, tuple[str, float]] = {}

    async def ask(key: str) -> None:
        for instance in instances:
            request_id = f'{len(sent):016x}'
            sent[request_id] = key, time.monotonic()
            headers = make_headers(request_id, key)
            answer = await call(
                instance.front, 'GET', '/look/1', headers, timeout=3
            )
            ran = [each for each in runs if each['request'] == request_id]
            tenant = ran[0].get('tenant', '') if ran else '-'
            note(
                f'{instance.name} request {request_id} key {key or "(none)"}: '
                f'status {answer.status}, ran {bool(ran)}, tenant {tenant!r}'
            )

    async def ask_all() -> None:
        for key in (*KEYS.values(), UNKNOWN_KEY, ''):
            await ask(key)

    note('version 1: two tenants with one key each')
    await ask_all()
    dropped_at: dict[str, float] = {}
    for version, tenant in enumerate(tenants, start=2):
        await asyncio.sleep(GAP_SECONDS)
        if trouble:
            key = tenant['apiKeys'].pop()
            configuration = make_configuration(version, tenants)
            dropped_at[key] = store.put('op/config', configuration)
            note(f'version {version} acknowledged: {key} is taken away')
    until = time.monotonic() + OBSERVED_SECONDS
    while time.monotonic() < until:
        await ask_all()
        await asyncio.sleep(0.5)

    broken = {'taken away': 0, 'unknown': 0, 'none': 0}
    for each in runs:
        if each['event'] != 'runs':
            continue
        key, at = sent[each['request']]
        if not key:
            broken['none'] += 1
        elif key == UNKNOWN_KEY:
            broken['unknown'] += 1
        elif at > dropped_at.get(key, at) + APPLY_SECONDS:
            broken['taken away'] += 1
    for kind, count in broken.items():
        note(f'runs that no configuration in force allows, key {kind}: {count}')
    return not (broken['taken away'] or broken['unknown'])


run_case(main, Path(__file__).parent)
