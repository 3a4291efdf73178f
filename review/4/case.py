"""Engines run out of memory and preempt; no request may run at two of them."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'kit-2'))

import clients  # noqa: E402
import instances  # noqa: E402
import stage  # noqa: E402
from preempting import PreemptingEngine  # noqa: E402
from store import Store  # noqa: E402

ZONES = ('westlands', 'upperhill', 'kilimani')
STREAMS = 30
PROMPT, MOST, HINT = 1000, 2200, 150
CAPACITY = 34545
#: The rule's bound, in seconds.
BOUND = 0.4


async def case(record, place):
    store = Store()
    await store.start()
    store.put('op/config', clients.config())
    # Without the trouble the memory holds all that is sent.
    memory = CAPACITY if stage.TROUBLE else 20 * CAPACITY
    engines = [
        await PreemptingEngine(
            'writers', store, zone, event_s=0.03, capacity=memory
        ).start()
        for zone in ZONES
    ]
    for each in engines:
        # Not all workers drop a request once its channel closes.
        each.drops = False
    fleet = [
        instances.Instance(place, f'front-{zone}-1', zone, store.address)
        for zone in ZONES[:2]
    ]
    instances.link_seeds(fleet)
    asked = []

    async def consume(number):
        await asyncio.sleep(0.05 * number)
        answer = await clients.ask(
            fleet[number % 2].front, 'POST', '/draft/card', 39000,
            b'brief %d' % number,
            more=clients.stream_headers(MOST, prompt=PROMPT, hint=HINT),
        )
        asked.append(answer)

    try:
        for each in fleet:
            each.start()
        for each in fleet:
            if not await each.ready():
                raise stage.Unplayable(f'{each.name} did not become ready')
        await asyncio.sleep(3.5)
        await asyncio.gather(*(consume(each) for each in range(STREAMS)))
        # Runs that nobody listens to end by themselves.
        until = time.monotonic() + 30
        while any(e.streams for e in engines) and time.monotonic() < until:
            await asyncio.sleep(0.2)
    finally:
        for each in fleet:
            each.end()

    work = {}
    for engine in engines:
        for at, request_id, made in engine.preempted:
            record.note(
                f'{engine.id} preempts {request_id} after {made} events', at
            )
        for at, request_id, _, _, headers, _ in engine.runs:
            how = dict(headers).get('kv-from')
            record.note(
                f'{engine.id} is sent {request_id}'
                + (f', to go on from {how}' if how else ''), at,
            )
        for at, request_id, last in engine.moves:
            record.note(f'{engine.id} is told to move {request_id}: {last}', at)
        for request_id, began, ended in engine.worked:
            record.note(f'{engine.id} works on {request_id}', began)
            record.note(f'{engine.id} stops working on {request_id}', ended)
            work.setdefault(request_id, []).append((began, ended, engine.id))
    broken = []
    for request_id, spans in work.items():
        longest = max(
            (
                min(one[1], other[1]) - max(one[0], other[0])
                for one in spans for other in spans if one[2] != other[2]
            ),
            default=0,
        )
        if longest > BOUND:
            broken.append(f'{request_id} ({longest:.2f} s)')
    for answer in asked:
        record.note(f'consumer sends {answer.id}', answer.sent_at)
        record.note(
            f'consumer gets {answer.status} for {answer.id}, '
            f'whole: {answer.whole}', answer.ended_at,
        )
    preempted = sum(len(each.preempted) for each in engines)
    whole = sum(answer.whole and answer.status == 200 for answer in asked)
    record.write(
        f'trouble: {stage.TROUBLE}',
        f'{len(asked)} streams, {whole} whole, {preempted} preemptions',
        f'worked on at two engines at once for over {BOUND} s: '
        f'{", ".join(broken) or "none"}',
    )
    print(
        f'{len(asked)} streams, {whole} whole, {preempted} preemptions, '
        f'at two engines at once: {broken}'
    )
    if stage.TROUBLE and not preempted:
        raise stage.Unplayable('nothing was preempted')
    if not stage.TROUBLE and whole < len(asked):
        raise stage.Unplayable('not all was served without any trouble')
    return stage.BROKEN if broken else stage.HELD


stage.play(HERE, case)
