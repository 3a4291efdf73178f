"""All that watch the store are turned away; the others go by old words."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'kit-2'))

import clients  # noqa: E402
import instances  # noqa: E402
import stage  # noqa: E402
import workers  # noqa: E402
from store import Store  # noqa: E402

ZONES = ('westlands', 'upperhill', 'kilimani')
MACHINES = 12
#: The pages' limits: share of the machines, and time.
SHARE, AWAY_SECONDS = 0.35, 9.0
APPLY_SECONDS = 2.0
TAKEN_AWAY = 'wsjnbanfqasnmgkcuyj8'


def configure(version, keys):
    return clients.config(
        version=version,
        tenants=[{'name': 'huka270', 'apiKeys': keys, 'priority': 1}],
    )


async def see_watching(store):
    """Return who watches; between two calls a watcher has none that waits."""
    seen = set()
    for _ in range(20):
        seen.update(store.list_watching())
        await asyncio.sleep(0.02)
    return sorted(seen)


async def cut_all(store):
    """Cut one watch of each machine that watches; return whose."""
    names = await see_watching(store)
    for name in names:
        for _ in range(20):
            if store.watches[name]:
                break
            await asyncio.sleep(0.01)
        store.cut_watches(name)
    return names


async def case(record, place):
    store = Store()
    await store.start()
    store.put('op/config', configure(1, [clients.KEY, TAKEN_AWAY]))
    staff = [
        await workers.Worker('portal', store, zone).start() for zone in ZONES
    ]
    fleet = []
    for number in range(MACHINES):
        zone = ZONES[number % 3]
        name = f'front-{zone}-{number // 3 + 1}'
        address = await store.open_for(name)
        fleet.append(instances.Instance(place, name, zone, address))
    instances.link_seeds(fleet)
    asked = []
    try:
        for each in fleet:
            each.start()
        for each in fleet:
            if not await each.ready(40):
                raise stage.Unplayable(f'{each.name} did not become ready')
        await asyncio.sleep(5)
        # The store cuts watches that wait, as it may, until all have had it.
        had_it = set()
        for _ in range(6):
            cut = await cut_all(store)
            had_it.update(cut)
            record.note(f'the store cuts the watches of {" ".join(cut)}')
            await asyncio.sleep(3)
            if len(had_it) == MACHINES:
                break
        await asyncio.sleep(2)
        watching = await see_watching(store)
        record.note(f'the store is watched by {" ".join(watching)}')
        away = watching[:int(SHARE * MACHINES)] if stage.TROUBLE else []
        for name in away:
            store.mode_by_machine[name] = 'busy'
        began = time.monotonic()
        record.note(f'the store turns away {" ".join(away) or "nobody"}')
        await asyncio.sleep(1)
        acked = store.put('op/config', configure(2, [clients.KEY]))
        record.note('the store acks version 2, which lacks a key', acked)
        await asyncio.sleep(APPLY_SECONDS + 0.05)
        in_touch = [each for each in fleet if each.name not in away]
        while time.monotonic() < began + AWAY_SECONDS - 0.5:
            for each in in_touch:
                answer = await clients.ask(
                    each.front, 'GET', '/look/card', 1500, key=TAKEN_AWAY
                )
                answer.machine = each.name
                asked.append(answer)
            await asyncio.sleep(0.3)
        for name in away:
            store.mode_by_machine[name] = 'sound'
        record.note('the store serves all again')
        await asyncio.sleep(4)
        late = await clients.ask(
            in_touch[0].front, 'GET', '/look/card', 1500, key=TAKEN_AWAY
        )
        record.note(f'4 s later the key gets {late.status}')
    finally:
        for each in fleet:
            each.end()
    runs = {
        request_id: (worker.id, at)
        for worker in staff
        for at, request_id, *_ in worker.runs
    }
    broken = []
    for answer in asked:
        ran = runs.get(answer.id)
        record.note(
            f'consumer sends {answer.id} with the key that was taken away to '
            f'{answer.machine}, {answer.sent_at - acked:.2f} s after the ack: '
            f'{answer.status}' + (f', {ran[0]} runs it' if ran else ''),
            answer.sent_at,
        )
        if ran:
            broken.append(answer)
    machines = sorted({each.machine for each in broken})
    record.write(
        f'trouble: {stage.TROUBLE}',
        f'{len(asked)} requests with a key that was taken away, sent later '
        f'than {APPLY_SECONDS} s after the ack to machines in touch',
        f'{len(broken)} of them ran, by way of {len(machines)} machines: '
        f'{" ".join(machines)}',
    )
    print(
        f'{len(asked)} sent with a key taken away, {len(broken)} ran, '
        f'by {len(machines)} machines'
    )
    if len(watching) > int(SHARE * MACHINES):
        raise stage.Unplayable(f'{len(watching)} machines watch the store')
    return stage.BROKEN if broken else stage.HELD


stage.play(HERE, case)
