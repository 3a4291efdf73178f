"""A model worker whose memory runs out, as the users' pages tell it."""

import asyncio
import json
import time

import wire
import workers

READ_PER_S = 14_000


class PreemptingEngine(workers.Engine):
    """Preempt the newest request while the memory doesn't hold all.

    A preempted request waits, is not among the runs of the report, and is read
    anew once there is room. There is no run of it meanwhile, so that a call to
    move it is answered 404.
    """

    sizes = {}  # id -> prompt tokens, of all engines' requests

    def __init__(self, *args, capacity=34545, **options):
        super().__init__(*args, **options)
        self.capacity = capacity
        self.preempted = []  # (at, id, made)
        self.worked = []  # (id, from, until) of uninterrupted work

    def used(self):
        """Return the tokens in memory, of runs and of backups kept here."""
        kept = sum(
            self.sizes.get(name, 0) + 4 * made
            for name, made in self.backups.items()
        )
        return kept + sum(
            self.sizes[name] + 4 * each['made']
            for name, each in self.streams.items()
            if not each['waits']
        )

    def has_room(self, tokens):
        return self.used() + tokens <= self.capacity

    def newest(self):
        running = [
            (each['began'], name)
            for name, each in self.streams.items()
            if not each['waits']
        ]
        return max(running)[1] if running else None

    async def own_call(self, method, target, body, writer):
        if target == '/cartdale/report':
            running = {
                name: each
                for name, each in self.streams.items()
                if not each['waits']
            }
            report = {
                'stage': 'combined',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False, 'sequence': self.sequence,
                'queued': len(self.streams) - len(running),
                'running': len(running), 'kvUsed': self.used(),
                'kvTotal': self.capacity,
                'handles': len(self.handles) + len(self.backups),
                'state': self.state, 'nextPageToken': 0,
                'runs': [
                    [name, self.sizes[name] + 4 * each['made'], each['made'], 0]
                    for name, each in running.items()
                ],
            }
            raw = json.dumps(report).encode()
            writer.write(
                wire.whole(200, raw, [('Content-Type', 'application/json')])
            )
            return True
        if target == '/cartdale/kv-move':
            order = json.loads(body)
            stream = self.streams.get(order['id'])
            if stream is not None and stream['waits']:
                self.moves.append((time.monotonic(), order['id'], 'waits: 404'))
                writer.write(wire.whole(404, b'{}'))
                return True
        return await super().own_call(method, target, body, writer)

    async def run(self, request_id, method, target, headers, body, reader, writer):
        named = dict(headers)
        made = int(named.get('last-event-id') or 0)
        resumed = 'kv-from' in named
        if resumed:
            handle = named['kv-from'].rpartition('/')[2]
            known = (
                self.handles.pop(handle, None)
                or self.kept.pop(handle, None)
                or self.backups.pop(handle, None)
            )
            if known is None:
                writer.write(wire.whole(503, b'', [('Not-Executed', '1')]))
                return
        prompt, _, most = named.get('token-count', '0,80').partition(',')
        total = (int(most) + 3) // 4
        began = time.monotonic()
        self.runs.append((began, request_id, method, target, headers, body))
        stream = {
            'made': made, 'stop': asyncio.Event(), 'copying': False,
            'waits': False, 'began': began,
        }
        self.sizes[request_id] = int(prompt)
        self.streams[request_id] = stream
        backup = workers.Engine.peers.get(named.get('kv-backup', ''))
        if backup is not None and backup.has_room(int(prompt)):
            backup.backups[request_id] = made
        closing = asyncio.create_task(reader.read(1))
        why, since = 'broke', began
        limit = began + int(named.get('deadline-ms', '39000')) / 1000

        def worked_until(now):
            if now > since:
                self.worked.append((request_id, since, now))

        try:
            writer.write(
                wire.head(
                    200,
                    [
                        ('Content-Type', 'text/event-stream'),
                        ('Request-Id', request_id),
                        ('Response-Seal', self.seal(request_id, b'')),
                        self.load(),
                        ('Transfer-Encoding', 'chunked'),
                    ],
                )
            )
            if not resumed:
                await asyncio.sleep(int(prompt) / READ_PER_S)
            while stream['made'] < total:
                stopping = asyncio.create_task(stream['stop'].wait())
                waits = {stopping}
                if self.drops:
                    waits.add(closing)
                await asyncio.wait(
                    waits, timeout=self.event_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                stopping.cancel()
                now = time.monotonic()
                if stream['stop'].is_set():
                    why = 'stopped'
                    wire.reset(writer)
                    return
                if self.drops and closing.done():
                    why = 'left'
                    return
                if now > limit:
                    why = 'limit'
                    wire.reset(writer)
                    return
                if stream['waits']:
                    size = self.sizes[request_id] + 4 * stream['made']
                    if self.used() + size + 400 > self.capacity:
                        continue
                    stream['waits'] = False
                    since = now
                    await asyncio.sleep(size / READ_PER_S)
                elif self.used() > self.capacity and self.newest() == request_id:
                    stream['waits'] = True
                    self.preempted.append((now, request_id, stream['made']))
                    worked_until(now)
                    since = float('inf')
                    continue
                stream['made'] += 1
                if backup is not None and request_id in backup.backups:
                    # It grows as long as there is room.
                    if backup.has_room(4):
                        backup.backups[request_id] = stream['made']
                await self.send_event(request_id, stream['made'], writer)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            why = 'whole'
            if backup is not None:
                backup.backups.pop(request_id, None)
        finally:
            closing.cancel()
            worked_until(time.monotonic())
            self.streams.pop(request_id, None)
            self.spans.append(
                (request_id, 'resumed' if resumed else 'new', began,
                 time.monotonic(), made + 1, stream['made'], why)
            )
