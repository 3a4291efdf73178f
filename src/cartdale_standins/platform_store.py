"""Stand-in of the platform's store: keys, watches and leases over HTTP."""

import base64
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any

import httpx
import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from cartdale.clock import Clock, Millis, SystemClock, as_seconds
from cartdale.store.types import Committed, Compare, Delete, Entry, Put, Write
from cartdale_standins.platform_entries import describe_upstream
from cartdale_standins.state import KeyValueState, RateMeter

_WATCH_POLL: Millis = 5
_READS_PER_SECOND = 2000
_WRITES_PER_SECOND = 400
_PAGE = 500
_SLOTS = 64
#: Between tries to reach a store that is not up yet.
_ENLIST_EVERY: Millis = 100

View = Callable[..., Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class PlatformStoreFaults:
    """Switch the stand-in's failures.

    :param busy: answer 503 to every call.
    :param silent: answer nothing.
    :param delay: before each call is looked at.
    """

    busy: bool = False
    silent: bool = False
    delay: Millis = 0


class PlatformStoreStandIn:
    """Serve a key-value state by the platform's protocol."""

    def __init__(self, clock: Clock | None = None) -> None:
        chosen = clock or SystemClock()
        self.state = KeyValueState(chosen)
        self.faults = PlatformStoreFaults()
        self._reads = RateMeter(chosen, _READS_PER_SECOND)
        self._writes = RateMeter(chosen, _WRITES_PER_SECOND)
        self._forgotten = 0
        #: Rises each time that the store comes back from an older copy.
        self.era = 0
        #: Fields of rows that are answered in place of the sound ones.
        self.changes_by_key: dict[str, dict[str, object]] = {}

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('platform-store')
        app.after_request(self._name_era)
        reads, writes = self._reads, self._writes
        for path, view, meter, method in (
            ('kv-range', self._range, reads, 'GET'),
            ('kv-watch', self._watch, reads, 'GET'),
            ('kv-txn', self._transact, writes, 'POST'),
            ('kv-lease', self._grant, writes, 'POST'),
            ('kv-keep/<int:lease>', self._renew, reads, 'POST'),
            ('kv-lease-end/<int:lease>', self._revoke, writes, 'DELETE'),
        ):
            app.add_url_rule(
                f'/cartdale/{path}',
                path,
                partial(self._serve, view, meter),
                methods=[method],
            )
        return app

    def put(self, key: str, document: object) -> None:
        """Write as the operator or an upstream does."""
        raw = msgspec.json.encode(document)
        self.state.transact((), (Put(key, raw),))

    def remove(self, key: str) -> None:
        """Remove a key as the platform does."""
        self.state.transact((), (Delete(key),))

    def compact(self) -> None:
        """Drop the history of changes."""
        self._forgotten = self.state.revision
        self.state.history.clear()

    def restore(self, copy: KeyValueState) -> None:
        """Come back from a copy: what was written since is gone, leases too."""
        self.state = copy
        self.era += 1
        self._forgotten = 0

    async def _name_era(self, response: Response) -> Response:
        response.headers['Store-Era'] = str(self.era)
        return response

    async def _range(self) -> Response:
        prefix = request.args['pathPrefix']
        after = request.args.get('sinceRevision', '')
        found = [
            entry
            for entry in self.state.fetch(prefix, _end(prefix), 0).entries
            if entry.key > after
        ]
        return _answer(
            {
                'items': [self._describe(entry) for entry in found[:_PAGE]],
                'truncated': len(found) > _PAGE,
                'asOf': self.state.revision,
            }
        )

    async def _watch(self) -> Response:
        prefix = request.args['pathPrefix']
        since = int(request.args['sinceRevision'])
        events: list[dict[str, Any]] = []
        with trio.move_on_after(as_seconds(int(request.args['waitMs']))):
            while not events and self._has_history(since):
                await trio.sleep(as_seconds(_WATCH_POLL))
                events = self._changes(prefix, since)
        if not self._has_history(since):
            return _answer({}, HTTPStatus.GONE)
        return _answer({'events': events, 'asOf': self.state.revision})

    def _describe(self, entry: Entry) -> dict[str, Any]:
        return {**_describe(entry), **self.changes_by_key.get(entry.key, {})}

    def _has_history(self, since: int) -> bool:
        return self._forgotten <= since <= self.state.revision

    def _changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        if self.faults.silent or self.faults.busy:
            return []
        changes: list[dict[str, Any]] = []
        for change in self.state.history:
            if change.mod_revision <= since:
                continue
            if not change.key.startswith(prefix):
                continue
            if isinstance(change, Entry):
                changes.append(self._describe(change))
                continue
            changes.append(
                {
                    'key': change.key,
                    'revision': change.mod_revision,
                    'deleted': True,
                }
            )
        return changes

    async def _transact(self) -> Response:
        body = msgspec.json.decode(await request.get_data())
        compares = tuple(
            Compare(row['key'], row['revision'])
            for row in body['expectedRevision']
        )
        writes: list[Write] = [Delete(key) for key in body['remove']]
        for row in body['writes']:
            if not self.state.knows_lease(row['lease']):
                return _answer({}, HTTPStatus.NOT_FOUND)
            stored = base64.b64decode(row['value'])
            writes.append(Put(row['key'], stored, row['lease']))
        outcome = self.state.transact(compares, tuple(writes))
        if not isinstance(outcome, Committed):
            found = [self.state.find(each.key) for each in compares]
            rows = [self._describe(entry) for entry in found if entry]
            return _answer({'items': rows}, HTTPStatus.PRECONDITION_FAILED)
        return _answer({'revision': outcome.store_revision})

    async def _grant(self) -> Response:
        ttl = msgspec.json.decode(await request.get_data())['ttlMs']
        return _answer({'lease': self.state.grant(ttl), 'ttlMs': ttl})

    async def _renew(self, lease: int) -> Response:
        ttl = self.state.keep_alive(lease)
        if not ttl:
            return _answer({}, HTTPStatus.NOT_FOUND)
        return _answer({'ttlMs': ttl})

    async def _revoke(self, lease: int) -> Response:
        self.state.revoke(lease)
        return _answer({})

    async def _serve(
        self, view: View, meter: RateMeter, **arguments: int
    ) -> Response:
        """Answer a call unless the rates or the faults refuse it."""
        refusal = await self._admit(meter)
        return refusal or await view(**arguments)

    async def _admit(self, meter: RateMeter) -> Response | None:
        """Return a refusal, or nothing when the call is admitted."""
        await trio.sleep(as_seconds(self.faults.delay))
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.busy:
            return _answer({}, HTTPStatus.SERVICE_UNAVAILABLE)
        if not meter.admit(request.path.rpartition('/')[0]):
            return _answer({}, HTTPStatus.TOO_MANY_REQUESTS)
        return None


async def enlist(store: str, name: str, service: str, port: int) -> None:
    """List an upstream in the store, once that is up.

    :param store: ``IP:PORT``.
    """
    entry = describe_upstream(service, f'127.0.0.1:{port}', slots=_SLOTS)
    write = {
        'key': f'servers/{name}',
        'value': base64.b64encode(msgspec.json.encode(entry)).decode(),
        'lease': 0,
    }
    body = {'expectedRevision': [], 'writes': [write], 'remove': []}
    async with httpx.AsyncClient() as client:
        while True:
            try:
                await client.post(
                    f'http://{store}/cartdale/kv-txn',
                    content=msgspec.json.encode(body),
                )
            except httpx.TransportError:
                await trio.sleep(as_seconds(_ENLIST_EVERY))
                continue
            return


#: A key after all others.
_AFTER_ALL = chr(sys.maxunicode)


def _end(prefix: str) -> str:
    """Return the first key after all that have the prefix."""
    if not prefix:
        return _AFTER_ALL
    last = chr(ord(prefix[-1]) + 1)
    return f'{prefix[:-1]}{last}'


def _describe(entry: Entry) -> dict[str, Any]:
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.mod_revision,
        'created': entry.create_revision,
        'lease': 0,
    }


def _answer(message: object, status: int = HTTPStatus.OK) -> Response:
    return Response(
        msgspec.json.encode(message),
        status=int(status),
        content_type='application/json',
    )
