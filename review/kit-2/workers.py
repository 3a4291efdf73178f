"""Stand-ins of plain workers and of model workers, by the users' pages."""

import asyncio
import hashlib
import itertools
import json
import time

import wire

_numbers = itertools.count(1)


class Worker:
    """A plain worker: each request takes a while, and its answer is sealed."""

    path_health = '/health'

    def __init__(self, service, store, zone='westlands', slots=6, work_s=0.06):
        self.id = f'i-{next(_numbers):04d}{int(time.time() * 1000) % 100000:05d}'
        self.service = service
        self.store = store
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.runs = []  # (at, id, method, target, headers, body)
        self.arrivals = []  # (at, id)
        self.ended = {}
        self.sequence = 0
        self.state = 'ready'
        self.port = 0
        self.writers = set()
        self.tasks = set()
        self.running = {}
        self.beating = None
        #: Called with (request_id, writer, whole answer) in place of sending.
        self.answer_hook = None

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self, listed=True, port=0):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=1 << 24
        )
        self.port = self.server.sockets[0].getsockname()[1]
        if listed:
            self.enlist()
            self.beating = asyncio.create_task(self._beat())
        return self

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
        }

    def enlist(self):
        self.sequence += 1
        self.store.put(f'servers/{self.id}', self.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            # The entry changes when more than its sequence does.
            self.sequence += 1

    def drain(self):
        """Say so; return the time of the store's ack."""
        self.state = 'draining'
        self.enlist()
        return time.monotonic()

    def stop(self, with_reset=False):
        """End: all channels close."""
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            if with_reset:
                wire.reset(writer)
            else:
                writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers = await wire.read_head(reader)
                named = dict(headers)
                body, is_whole = await wire.read_body(reader, headers)
                if not is_whole:
                    break
                await self._handle(first, headers, named, body, reader, writer)
                if 'close' in named.get('connection', ''):
                    break
        except (wire.Closed, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def load(self):
        return ('Instance-Load', f'{len(self.running)},0,{self.slots}')

    async def _handle(self, first, headers, named, body, reader, writer):
        method, target, _ = first.split(' ', 2)
        if target == self.path_health:
            good = self.state == 'ready'
            writer.write(
                wire.whole(
                    200 if good else 503, b'',
                    [('Instance-Id', self.id), self.load()],
                )
            )
            return
        if await self.own_call(method, target, body, writer):
            return
        request_id = named.get('request-id', '')
        self.arrivals.append((time.monotonic(), request_id))
        if not request_id:
            writer.write(wire.whole(400, b'', [('Not-Executed', '1')]))
            return
        if named.get('expect-instance', self.id) != self.id:
            writer.write(wire.whole(421, b'', [('Instance-Id', self.id)]))
            return
        if len(self.running) >= self.slots * 4:
            writer.write(wire.whole(503, b'', [('Not-Executed', '1')]))
            return
        await self.run(request_id, method, target, headers, body, reader, writer)

    async def own_call(self, method, target, body, writer):
        return False

    def seal(self, request_id, body):
        digest = hashlib.sha256(body).hexdigest()[:12]
        return f'{self.id}.{request_id}.{digest}'

    async def run(self, request_id, method, target, headers, body, reader, writer):
        self.runs.append(
            (time.monotonic(), request_id, method, target, headers, body)
        )
        self.running[request_id] = time.monotonic()
        try:
            await asyncio.sleep(self.work_s)
            answer = f'{self.id} answers {request_id} '.encode() * 20
            head = [
                ('Request-Id', request_id),
                ('Response-Seal', self.seal(request_id, answer)),
                self.load(),
            ]
            self.ended[request_id] = time.monotonic()
            if self.answer_hook is not None:
                if await self.answer_hook(request_id, writer, answer, head):
                    return
            writer.write(wire.whole(200, answer, head))
            await writer.drain()
        finally:
            self.running.pop(request_id, None)


def event(request_id, number):
    """Return an event of a stream: the same whoever makes it."""
    return f'id: {number}\ndata: {request_id} {number} {"x" * 60}\n\n'.encode()


class Engine(Worker):
    """A model worker: streams that can be moved and backed up."""

    peers = {}  # address -> Engine

    def __init__(self, service, store, zone='westlands', slots=64, event_s=0.04):
        super().__init__(service, store, zone, slots)
        self.event_s = event_s
        self.streams = {}  # id -> dict
        self.backups = {}  # id -> events
        self.handles = {}  # handle -> (id, events)
        self.kept = {}  # handle -> id, of runs that stopped here
        self.leaves_at = None
        self.spans = []  # (id, from, until, first event, last event, why)
        self.moves = []
        self.copy_s = 0.05
        self.room = True
        #: Whether no stream gets on, as while a long prompt is read.
        self.paused = False
        #: Whether a request is dropped once its channel closes.
        self.drops = True

    async def start(self, listed=True, port=0):
        await super().start(listed, port)
        Engine.peers[self.address] = self
        return self

    def entry(self):
        entry = super().entry()
        entry['stage'] = 'combined'
        entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    async def own_call(self, method, target, body, writer):
        if target == '/cartdale/report':
            report = {
                'stage': 'combined',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': self.sequence,
                'queued': 0,
                'running': len(self.streams),
                'kvUsed': 100 * len(self.streams),
                'kvTotal': 34545,
                'handles': len(self.handles) + len(self.backups),
                'state': self.state,
                'nextPageToken': 0,
                'runs': [
                    [name, 100 + 4 * each['made'], each['made'], 0]
                    for name, each in self.streams.items()
                ],
            }
            if self.leaves_at is not None:
                left = (self.leaves_at - time.monotonic()) * 1000
                report['leaves_ms'] = max(int(left), 0)
            raw = json.dumps(report).encode()
            writer.write(
                wire.whole(200, raw, [('Content-Type', 'application/json')])
            )
            return True
        if target == '/cartdale/kv-move':
            await self._move(json.loads(body), writer)
            return True
        if target.startswith('/cartdale/kv-handle/'):
            handle = target.rpartition('/')[2]
            self.handles.pop(handle, None)
            writer.write(wire.whole(200, b'{}'))
            return True
        return target.startswith('/cartdale/') and self._unknown(writer)

    def _unknown(self, writer):
        writer.write(wire.whole(404, b''))
        return True

    async def _move(self, order, writer):
        request_id, last = order['id'], order.get('last', False)
        stream = self.streams.get(request_id)
        self.moves.append((time.monotonic(), request_id, last))

        def tell(status, message):
            raw = json.dumps(message).encode()
            writer.write(
                wire.whole(status, raw, [('Content-Type', 'application/json')])
            )

        if stream is None:
            tell(404, {})
            return
        if stream['copying']:
            tell(409, {})
            return
        stream['copying'] = True
        try:
            if last:
                stream['stop'].set()
            made = stream['made']
            await asyncio.sleep(self.copy_s)
            target = Engine.peers.get(order['targetVersion'])
            handle = f'h-{request_id}'
            if target is None or not target.room or target.state == 'ended':
                if last:
                    self.kept[handle] = request_id
                    tell(503, {'handle': handle})
                else:
                    tell(503, {})
                return
            target.handles[handle] = (request_id, made)
            self.kept[handle] = request_id
            tell(200, {'handle': handle, 'created': made})
        finally:
            stream['copying'] = False

    async def run(self, request_id, method, target, headers, body, reader, writer):
        named = dict(headers)
        made = int(named.get('last-event-id') or 0)
        if 'kv-from' in named:
            handle = named['kv-from'].rpartition('/')[2]
            known = (
                self.handles.pop(handle, None)
                or self.kept.pop(handle, None)
                or self.backups.pop(handle, None)
            )
            if known is None:
                writer.write(wire.whole(503, b'', [('Not-Executed', '1')]))
                return
            how = 'resumed'
        else:
            how = 'new'
        now = time.monotonic()
        self.runs.append((now, request_id, method, target, headers, body))
        most = int(named.get('token-count', '0,80').partition(',')[2] or 80)
        total = (most + 3) // 4
        stream = {'made': made, 'stop': asyncio.Event(), 'copying': False}
        self.streams[request_id] = stream
        self.running[request_id] = now
        backup = Engine.peers.get(named.get('kv-backup', ''))
        if backup is not None:
            backup.backups[request_id] = made
        why = 'broke'
        limit = now + int(named.get('deadline-ms', '39000')) / 1000
        closing = asyncio.create_task(reader.read(1))
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
                if stream['stop'].is_set():
                    why = 'stopped'
                    wire.reset(writer)
                    return
                if closing.done() and self.drops:
                    why = 'left'
                    return
                if time.monotonic() > limit:
                    why = 'limit'
                    wire.reset(writer)
                    return
                if self.paused:
                    continue
                stream['made'] += 1
                if backup is not None and request_id in backup.backups:
                    backup.backups[request_id] = stream['made']
                await self.send_event(
                    request_id, stream['made'], writer
                )
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            why = 'whole'
            if backup is not None:
                backup.backups.pop(request_id, None)
        finally:
            closing.cancel()
            self.streams.pop(request_id, None)
            self.running.pop(request_id, None)
            self.spans.append(
                (request_id, how, now, time.monotonic(), made + 1,
                 stream['made'], why)
            )

    async def send_event(self, request_id, number, writer):
        if writer.transport.is_closing():
            return
        writer.write(wire.chunk(event(request_id, number)))
        try:
            await writer.drain()
        except ConnectionError:
            pass
