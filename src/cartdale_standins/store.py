"""Key-value stand-in: etcd's published JSON gateway over HTTP."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

import trio
from quart import Response, request
from quart_trio import QuartTrio

from cartdale.clock import SECOND_MS, Clock, Millis, SystemClock, as_seconds
from cartdale.codec import decode_json, encode_json
from cartdale.store import wire
from cartdale.store.types import Committed, Compare, Delete, Put, Write
from cartdale_standins.state import KeyValueState, RateMeter

VALUE_LIMIT = 1024 * 1024
WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000
_WATCH_POLL = 20

Shape = TypeVar('Shape')
Route = Callable[[], Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Switch the stand-in's failures.

    :param down: refuse connections' requests with 503.
    :param delay_ms: wait before answering, in milliseconds.
    :param lose_answers: apply writes, then cut the answer off.
    """

    down: bool = False
    delay_ms: Millis = 0
    lose_answers: bool = False


class _LostAnswerError(Exception):
    """Abort the connection after the write took effect."""


class StoreStandIn:
    """Serve a key-value state with rates, limits and faults."""

    def __init__(self, clock: Clock | None = None) -> None:
        chosen = clock or SystemClock()
        self.state = KeyValueState(chosen)
        self.writes = RateMeter(chosen, WRITES_PER_SECOND)
        self.reads = RateMeter(chosen, READS_PER_SECOND)
        self.faults = StoreFaults()

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('store')
        for path, view, meter in (
            (wire.PATH_RANGE, self._range, self.reads),
            (wire.PATH_TXN, self._txn, self.writes),
            (wire.PATH_LEASE_GRANT, self._grant, self.writes),
            (wire.PATH_LEASE_KEEP_ALIVE, self._keep_alive, self.writes),
            (wire.PATH_LEASE_REVOKE, self._revoke, self.writes),
            (wire.PATH_WATCH, self._watch, self.reads),
        ):
            app.add_url_rule(
                path, path, _Guard(self, view, meter).serve, methods=['POST']
            )
        app.add_url_rule(
            '/standin/faults', 'faults', self._set_faults, methods=['POST']
        )
        app.add_url_rule('/standin/counts', 'counts', self._show_counts)
        return app

    async def _range(self) -> Response:
        wanted = await _body(wire.RangeRequest)
        end = wire.unpack(wanted.range_end).decode()
        listing = self.state.fetch(
            wire.unpack(wanted.key).decode(), end, int(wanted.limit)
        )
        kvs = tuple(
            wire.KeyValue(
                key=wire.pack(entry.key),
                value=wire.pack(entry.value),
                mod_revision=str(entry.mod_revision),
                create_revision=str(entry.create_revision),
            )
            for entry in listing.entries
        )
        header = wire.Header(str(listing.store_revision))
        return _answer(wire.RangeResponse(header, kvs, listing.more))

    async def _txn(self) -> Response:
        wanted = await _body(wire.TxnRequest)
        compares = tuple(
            Compare(wire.unpack(part.key).decode(), int(part.mod_revision))
            for part in wanted.compare
        )
        writes = tuple(_to_write(part) for part in wanted.success)
        for write in writes:
            if isinstance(write, Put) and not self._accepts(write):
                return Response(status=HTTPStatus.BAD_REQUEST)
        outcome = self.state.transact(compares, writes)
        header = wire.Header(str(outcome.store_revision))
        succeeded = isinstance(outcome, Committed)
        return _answer(wire.TxnResponse(header, succeeded))

    def _accepts(self, put: Put) -> bool:
        fits = len(put.value) <= VALUE_LIMIT
        return fits and self.state.knows_lease(put.lease)

    async def _grant(self) -> Response:
        wanted = await _body(wire.LeaseGrantRequest)
        lease = self.state.grant(int(wanted.ttl) * SECOND_MS)
        return _answer(wire.LeaseResponse(str(lease), wanted.ttl))

    async def _keep_alive(self) -> Response:
        wanted = await _body(wire.LeaseIdRequest)
        ttl = self.state.keep_alive(int(wanted.lease))
        renewed = wire.LeaseResponse(wanted.lease, str(ttl // SECOND_MS))
        return _answer(wire.KeepAliveResponse(renewed))

    async def _revoke(self) -> Response:
        wanted = await _body(wire.LeaseIdRequest)
        self.state.revoke(int(wanted.lease))
        return _answer(wire.LeaseResponse())

    async def _watch(self) -> Response:
        wanted = (await _body(wire.WatchRequest)).create_request
        key = wire.unpack(wanted.key).decode()
        start = int(wanted.start_revision)
        return Response(self._follow(key, start), content_type='text/plain')

    async def _follow(self, key: str, start: int) -> AsyncIterator[bytes]:
        yield _line(wire.WatchResult(created=True))
        while True:
            revision = self.state.mod_revision(key)
            if revision >= start and not self.faults.down:
                kv = wire.KeyValue(wire.pack(key), mod_revision=str(revision))
                yield _line(wire.WatchResult(events=(wire.WatchEvent(kv),)))
                start = revision + 1
            await trio.sleep(as_seconds(_WATCH_POLL))

    async def _set_faults(self) -> Response:
        self.faults = await _body(StoreFaults)
        return _answer(self.faults)

    async def _show_counts(self) -> Response:
        counts = {**self.reads.counts, **self.writes.counts}
        return _answer(counts)


class _Guard:
    """Apply rates and faults around one route."""

    def __init__(
        self, standin: StoreStandIn, view: Route, meter: RateMeter
    ) -> None:
        self._standin = standin
        self._view = view
        self._meter = meter

    async def serve(self) -> Response:
        """Answer, refuse, delay or lose the answer."""
        faults = self._standin.faults
        await trio.sleep(as_seconds(faults.delay_ms))
        if not self._meter.admit(request.path):
            return Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        if faults.down:
            return Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        response = await self._view()
        if faults.lose_answers and self._meter is self._standin.writes:
            return Response(_cut_off(), headers={'Content-Length': '64'})
        return response


async def _cut_off() -> AsyncIterator[bytes]:
    yield b'{'
    raise _LostAnswerError


async def _body(shape: type[Shape]) -> Shape:
    raw = await request.get_data()
    return decode_json(raw, shape)


def _answer(message: object) -> Response:
    return Response(encode_json(message), content_type='application/json')


def _line(watched: wire.WatchResult) -> bytes:
    return b''.join((encode_json(wire.WatchResponse(watched)), b'\n'))


def _to_write(part: wire.RequestOp) -> Write:
    if part.request_put is not None:
        put = part.request_put
        return Put(
            wire.unpack(put.key).decode(),
            wire.unpack(put.value),
            int(put.lease),
        )
    removal = part.request_delete_range or wire.DeleteRangeRequest('')
    return Delete(wire.unpack(removal.key).decode())
