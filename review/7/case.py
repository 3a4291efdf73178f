"""A worker runs orders and answers some of them with a 503 of its own."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'kit-2'))

import clients  # noqa: E402
import instances  # noqa: E402
import stage  # noqa: E402
import wire  # noqa: E402
import workers  # noqa: E402
from store import Store  # noqa: E402

ZONES = ('westlands', 'upperhill', 'kilimani')
SECONDS = 6.5
SHARE_OF_REQUESTS = 0.4
PROMISES = (408, 421, 429, 503)


async def case(record, place):
    store = Store()
    await store.start()
    store.put('op/config', clients.config())
    draw = random.Random(4)
    staff = [
        await workers.Worker('portal', store, zone).start() for zone in ZONES
    ]
    failing = staff[0]
    grey = [False]

    async def fail(request_id, writer, answer, headers):
        if not grey[0] or draw.random() >= SHARE_OF_REQUESTS:
            return False
        record.note(f'worker {failing.id} has run {request_id}, answers 503')
        body = b'the order was taken, its receipt could not be printed'
        sealed = [
            ('Request-Id', request_id),
            ('Response-Seal', failing.seal(request_id, body)),
            failing.load(),
        ]
        writer.write(wire.whole(503, body, sealed))
        await writer.drain()
        return True

    failing.answer_hook = fail
    fleet = [
        instances.Instance(place, f'front-{zone}-1', zone, store.address)
        for zone in ZONES[:2]
    ]
    instances.link_seeds(fleet)
    try:
        for each in fleet:
            each.start()
        for each in fleet:
            if not await each.ready():
                raise stage.Unplayable(f'{each.name} did not become ready')
        await asyncio.sleep(3.5)
        grey[0] = stage.TROUBLE
        record.note(f'worker {failing.id} begins to fail: {grey[0]}')
        asked = []
        until = time.monotonic() + SECONDS

        async def consume(instance):
            while time.monotonic() < until:
                answer = await clients.ask(
                    instance.front, 'POST', '/fetch/order', 1500, b'1 card'
                )
                asked.append(answer)
                await asyncio.sleep(0.15)

        await asyncio.gather(
            *(consume(each) for each in fleet for _ in range(2))
        )
        await asyncio.sleep(1)
    finally:
        for each in fleet:
            each.end()
    runs = {}
    for worker in staff:
        for at, request_id, *_ in worker.runs:
            record.note(f'worker {worker.id} runs {request_id}', at)
            runs.setdefault(request_id, []).append(worker.id)
    broken = []
    for answer in asked:
        ran = runs.get(answer.id, [])
        record.note(f'consumer sends {answer.id}', answer.sent_at)
        record.note(
            f'consumer gets {answer.status} for {answer.id}', answer.ended_at
        )
        if answer.status in PROMISES and ran:
            broken.append(answer.id)
    served = sum(answer.status == 200 for answer in asked)
    record.write(
        f'trouble: {stage.TROUBLE}',
        f'{len(asked)} unsafe requests, {served} answered 200',
        f'{len(broken)} answered with a promise that they have not run, '
        f'though they have: {" ".join(broken)}',
    )
    print(f'{len(asked)} sent, {served} served, {len(broken)} refused and run')
    if not stage.TROUBLE and served < len(asked) * 0.9:
        raise stage.Unplayable('too few were served without any trouble')
    return stage.BROKEN if broken else stage.HELD


stage.play(HERE, case)
