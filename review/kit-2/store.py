"""Stand-in of the platform's store, by the users' page on its protocol."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire


class Store:
    """Keys, watches, conditions and leases, in memory."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.port = 0
        #: 'sound', 'silent' or 'busy', for all.
        self.mode = 'sound'
        #: The same for one machine, by its name.
        self.mode_by_machine = {}
        #: The channels on which a watch waits, by machine.
        self.watches = {}
        self._servers = []

    async def start(self, port=0):
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=1 << 24
        )
        self.port = server.sockets[0].getsockname()[1]
        self._servers.append(server)
        self._sweeper = asyncio.create_task(self._sweep())

    async def open_for(self, machine):
        """Return an address that only one machine uses."""

        async def serve(reader, writer):
            await self._serve(reader, writer, machine)

        server = await asyncio.start_server(
            serve, '127.0.0.1', 0, limit=1 << 24
        )
        self._servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def list_watching(self):
        """Return the names of the machines that watch now."""
        return sorted(name for name, each in self.watches.items() if each)

    def cut_watches(self, machine):
        """Cut the watches of a machine that wait."""
        for writer in list(self.watches[machine]):
            wire.reset(writer)

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    # What the operator and the workers write.

    def put(self, key, document, lease=0):
        """Write a document; return the time of its ack."""
        self._write(key, json.dumps(document).encode(), lease)
        return time.monotonic()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note({'key': key, 'revision': self.revision, 'deleted': True})

    def _write(self, key, raw, lease, revision=0):
        if not revision:
            self.revision += 1
            revision = self.revision
        before = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': revision,
            'created': before['created'] if before else revision,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if self.mode != 'sound':
                continue
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer, machine=''):
        try:
            while True:
                first, headers = await wire.read_head(reader)
                body, is_whole = await wire.read_body(reader, headers)
                if not is_whole:
                    break
                method, target, _ = first.split(' ')
                await asyncio.sleep(0.004)
                mode = self.mode_by_machine.get(machine, self.mode)
                if mode == 'silent':
                    await asyncio.sleep(3600)
                if mode == 'busy':
                    status, message = 503, {}
                elif '/kv-watch?' in target:
                    waiting = self.watches.setdefault(machine, set())
                    waiting.add(writer)
                    try:
                        status, message = await self._call(method, target, body)
                    finally:
                        waiting.discard(writer)
                    mode = self.mode_by_machine.get(machine, self.mode)
                    if mode == 'silent':
                        await asyncio.sleep(3600)
                    if mode == 'busy':
                        status, message = 503, {}
                else:
                    status, message = await self._call(method, target, body)
                writer.write(
                    wire.whole(
                        status,
                        json.dumps(message).encode(),
                        [('Content-Type', 'application/json')],
                    )
                )
                await writer.drain()
        except (wire.Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        split = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(split.query, True).items()}
        path = split.path.removeprefix('/cartdale/')
        if path == 'kv-key':
            found = self.items.get(query['key'])
            if found is None:
                return 404, {'asOf': self.revision}
            return 200, {**found, 'asOf': self.revision}
        if path == 'kv-range':
            after = query.get('sinceRevision', '')
            rows = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query['pathPrefix']) and key > after
            ]
            return 200, {
                'items': rows[:500],
                'truncated': len(rows) > 500,
                'asOf': self.revision,
            }
        if path == 'kv-watch':
            return await self._watch(query)
        if path == 'kv-txn':
            return self._transact(json.loads(body))
        if path == 'kv-lease':
            self.next_lease += 1
            ttl = json.loads(body)['ttlMs']
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {'lease': self.next_lease, 'ttlMs': ttl}
        if path.startswith('kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {'ttlMs': ttl}
        if path.startswith('kv-lease-end/'):
            self._end_lease(int(path.rpartition('/')[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        prefix, since = query['pathPrefix'], int(query['sinceRevision'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if event['revision'] > since
                and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'asOf': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get('expectedRevision', ()):
            found = self.items.get(row['key'])
            if (found['revision'] if found else 0) != row['revision']:
                rows = [
                    self.items[each['key']]
                    for each in body['expectedRevision']
                    if each['key'] in self.items
                ]
                return 412, {'items': rows, 'asOf': self.revision}
        for row in body.get('writes', ()):
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get('writes', ()):
            raw = base64.b64decode(row['value'])
            self._write(row['key'], raw, row.get('lease', 0), self.revision)
        for key in body.get('remove', ()):
            if self.items.pop(key, None):
                self._note(
                    {'key': key, 'revision': self.revision, 'deleted': True}
                )
        return 200, {'revision': self.revision}
