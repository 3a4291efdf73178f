"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass

from http_ import Connection, Request, Response, Server

_PAGE = 500


@dataclass
class Item:
    """One key's value and revisions."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Serve keys, watches and leases over HTTP.

    :param log: called with a line for each notable event.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 0
        #: Rows of revision, key and the item or ``None`` if it was deleted.
        self.history: list[tuple[int, str, Item | None]] = []
        self._leases: dict[int, tuple[float, int]] = {}
        self._changed = asyncio.Event()
        self.server = Server(self._handle)

    async def start(self) -> None:
        """Listen, and expire leases from now on."""
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire())

    @property
    def address(self) -> str:
        """Return where the store is reached."""
        return f'127.0.0.1:{self.server.port}'

    def silence_open_connections(self) -> int:
        """Let all open connections go silent; new ones work."""
        for connection in self.server.connections:
            connection.silent = True
        return len(self.server.connections)

    def put(self, key: str, document: object) -> float:
        """Write as the operator or a worker does; return when."""
        self._apply({key: (json.dumps(document).encode(), 0)}, [])
        return time.monotonic()

    def remove(self, key: str) -> float:
        """Remove a key; return when."""
        self._apply({}, [key])
        return time.monotonic()

    def _apply(
        self, writes: dict[str, tuple[bytes, int]], removed: list[str]
    ) -> None:
        self.revision += 1
        for key, (value, lease) in writes.items():
            known = self.items.get(key)
            created = known.created if known else self.revision
            item = Item(value, self.revision, created, lease)
            self.items[key] = item
            self.history.append((self.revision, key, item))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            over = [each for each, row in self._leases.items() if row[0] < now]
            for lease in over:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [
            key for key, item in self.items.items() if item.lease == lease
        ]
        if keys:
            self._apply({}, keys)

    async def _handle(
        self, request: Request, connection: Connection
    ) -> Response:
        path = request.path
        match request.method, path:
            case 'GET', '/cartdale/kv-key':
                return self._read_key(request.query['key'])
            case 'GET', '/cartdale/kv-range':
                return self._read_range(request.query)
            case 'GET', '/cartdale/kv-watch':
                return await self._watch(request.query)
            case 'POST', '/cartdale/kv-txn':
                return self._transact(json.loads(request.body))
            case 'POST', '/cartdale/kv-lease':
                return self._grant(json.loads(request.body))
        lease = int(path.rpartition('/')[2])
        if path.startswith('/cartdale/kv-keep/'):
            return self._keep(lease)
        if path.startswith('/cartdale/kv-lease-end/'):
            self._end_lease(lease)
            return _answer({})
        return Response(404)

    def _read_key(self, key: str) -> Response:
        item = self.items.get(key)
        if item is None:
            return _answer({}, 404)
        return _answer({**_describe(key, item), 'asOf': self.revision})

    def _read_range(self, query: dict[str, str]) -> Response:
        after = query.get('sinceRevision', '')
        found = [
            _describe(key, item)
            for key, item in sorted(self.items.items())
            if key.startswith(query['pathPrefix']) and key > after
        ]
        return _answer(
            {
                'items': found[:_PAGE],
                'truncated': len(found) > _PAGE,
                'asOf': self.revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> Response:
        since = int(query['sinceRevision'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                _describe(key, item)
                if item
                else {'key': key, 'revision': revision, 'deleted': True}
                for revision, key, item in self.history
                if revision > since and key.startswith(query['pathPrefix'])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return _answer({'events': events, 'asOf': self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> Response:
        for row in body.get('expectedRevision', []):
            known = self.items.get(row['key'])
            if (known.revision if known else 0) != row['revision']:
                found = [
                    _describe(each['key'], self.items[each['key']])
                    for each in body['expectedRevision']
                    if each['key'] in self.items
                ]
                return _answer({'items': found, 'asOf': self.revision}, 412)
        writes: dict[str, tuple[bytes, int]] = {}
        for row in body.get('writes', []):
            lease = row.get('lease', 0)
            if lease and lease not in self._leases:
                return _answer({}, 404)
            if row['key'].startswith(('op/', 'servers/')):
                return _answer({}, 403)
            writes[row['key']] = (base64.b64decode(row['value']), lease)
        self._apply(writes, body.get('remove', []))
        return _answer({'revision': self.revision})

    def _grant(self, body: dict) -> Response:
        lease = 1000 + len(self._leases) + self.revision * 100
        ttl = body['ttlMs']
        self._leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return _answer({'lease': lease, 'ttlMs': ttl})

    def _keep(self, lease: int) -> Response:
        if lease not in self._leases:
            return _answer({}, 404)
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return _answer({'ttlMs': ttl})


def _describe(key: str, item: Item) -> dict:
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def _answer(document: dict, status: int = 200) -> Response:
    return Response(
        status,
        {'Content-Type': 'application/json'},
        json.dumps(document).encode(),
    )
