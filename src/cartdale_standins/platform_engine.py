"""Stand-in of the platform's engines, whose generations can be moved.

An engine runs the one engine model of this repository. Copies of a
generation's memory go to other stand-ins by a call of the stand-ins' own.
"""

from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf
from typing import Any

import httpx
import msgspec
import trio
from loguru import logger
from quart import Response, request
from quart_trio import QuartTrio

from cartdale.clock import SystemClock
from cartdale.model.types import Hardware, Job
from cartdale_standins.driver import EngineDriver, Record
from cartdale_standins.platform_worker import (
    FAILED,
    METHODS,
    LinkCutError,
    PlatformWorker,
    read_body,
    read_parts,
    reject,
)

#: Tokens that an event holds.
STRIDE = 4
#: Between looks at whether a generation has ended.
_POLL_SECONDS = 0.005
#: Time in which another engine that works is told of an end.
_TOLD_SECONDS = 0.4
_SSE_TYPE = 'text/event-stream'


@dataclass
class EngineMemory:
    """Hold what an engine keeps of generations that don't run there.

    :param events_by_handle: copies, by the copy's name.
    :param backed_up: ids of the requests whose backup is kept here, until their
        run has ended well.
    :param preempted: ids of the requests that wait here to be read anew.
    """

    events_by_handle: dict[str, int] = field(default_factory=dict)
    backed_up: set[str] = field(default_factory=set)
    preempted: set[str] = field(default_factory=set)

    def count(self) -> int:
        """Return the number of copies and backups."""
        return len(self.events_by_handle) + len(self.backed_up)


@dataclass
class StreamFaults:
    """Switch what goes wrong with streams.

    :param cut_inside_event: whether a stream that is cut ends inside an event.
    :param withhold_events: whether streams send nothing while they are made.
    :param show_stops: whether such streams end once they are stopped.
    :param lose_requests: whether requests end at once, and nobody is told.
    :param withhold_headers: whether answers don't begin while they are made.
    :param end_before_stop: whether generations end by themselves just before
        they are stopped.
    :param resume_status: status that resumed requests are answered with,
        though nothing says that they did not run; 0 to serve them.
    :param padding: bytes that each event has more, so that few fill a
        connection that nobody reads.
    :param unread_seconds: time after which a stream that is not read is cut.
    :param ends_after: events after which generations end well, before their
        limit; 0 for never.
    :param unlisted: whether reports leave running generations out.
    :param keeps_backups: whether backups are kept though their runs ended well.
    :param keeps_none: whether no copies and backups are kept.
    :param tells_copies: whether reports tell how many are kept.
    :param full: whether the targets of copies have no room for them.
    :param breaks_off_moves: whether connections of orders to move end without
        an answer.
    :param works_on: whether generations go on after their connection closed.
    :param odd_report: body of reports; empty for a sound one.
    :param odd_copy: body of answers to copies, which do not take place; empty
        for a sound one.
    """

    cut_inside_event: bool = False
    withhold_events: bool = False
    show_stops: bool = False
    lose_requests: bool = False
    withhold_headers: bool = False
    end_before_stop: bool = False
    resume_status: int = 0
    padding: int = 0
    unread_seconds: float = inf
    ends_after: int = 0
    unlisted: bool = False
    keeps_backups: bool = False
    keeps_none: bool = False
    tells_copies: bool = False
    full: bool = False
    breaks_off_moves: bool = False
    works_on: bool = False
    odd_report: bytes = b''
    odd_copy: bytes = b''


class PlatformEngine(PlatformWorker):
    """Run generations that can be moved.

    :param address: ``IP:PORT`` of this stand-in.
    """

    def __init__(self, name: str, address: str, hardware: Hardware) -> None:
        super().__init__(name)
        self.address = address
        self.driver = EngineDriver(hardware, SystemClock())
        self.memory = EngineMemory()
        self.resumed_by_request: Counter[str] = Counter()
        self.stream_faults = StreamFaults()
        self.leaves_ms: float | None = None
        #: Copies that were asked for while one of the same was under way.
        self.conflicts = 0
        self._copying: set[str] = set()
        self._backups_by_request: dict[str, str] = {}
        #: For each generation, whether each copy that was asked for stops it.
        self.stops_by_request: dict[str, list[bool]] = {}
        self.copies_received = 0
        self.copies_freed = 0
        #: Seconds that a copy takes, as if others used the link.
        self.copy_seconds: float = 0
        #: Copies wait here, as if others used the link, until it is set.
        self.copy_gate = trio.Event()
        self.copy_gate.set()
        self.reports_asked = 0
        #: Streams that were cut since nobody read them.
        self.cut_unread = 0
        self._stopped: set[str] = set()

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = self._begin_app()
        for path, view, method in (
            ('/cartdale/report', self._report, 'GET'),
            ('/cartdale/kv-move', self._move, 'POST'),
            ('/cartdale/kv-handle/<handle>', self._free, 'DELETE'),
            ('/standin/copies', self._take_copy, 'POST'),
        ):
            app.add_url_rule(path, path, view, methods=[method])
        app.add_url_rule(
            '/<path:path>', 'run', self._run, methods=list(METHODS)
        )
        return app

    def count_running(self) -> int:
        """Return the number of generations that run."""
        return len(self.driver.records_by_generation)

    async def run(self) -> None:
        """Drive the engine model, and come back after each crash."""
        self.driver.speed = self.speed
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.driver.run)
            nursery.start_soon(super().run)

    def die(self) -> None:
        """Cut every stream, as a machine that is taken away does."""
        super().die()
        for record in self.driver.records_by_generation.values():
            record.wake()

    def forget(self) -> None:
        """Lose the memory of generations."""
        self.memory = EngineMemory()
        for name in tuple(self.driver.records_by_generation):
            self.driver.model.cancel(name)
            self.driver.records_by_generation.pop(name)

    def has(self, request_id: str) -> bool:
        """Tell whether a generation runs, or waits to be read anew."""
        record = self.driver.records_by_generation.get(request_id)
        if record is None or request_id in self._stopped:
            return False
        return record.produced < record.length

    async def _run(self, path: str) -> Response:
        if self.dead:
            raise LinkCutError
        refusal = self._refuse()
        if refusal:
            return refusal
        request_id = request.headers['Request-Id']
        if await read_body() in self.crashes.crashing_on_receipt:
            return await self._crash_on_receipt(request_id)
        if self._spend('errors'):
            self.runs_by_request[request_id] += 1
            return Response(
                'failed', status=FAILED, headers=self._sign(request_id)
            )
        made = int(request.headers.get('Last-Event-Id') or '0')
        if not self._has_memory(request_id):
            return reject()
        resumed = 'Kv-From' in request.headers
        if (resumed or made) and self.stream_faults.resume_status:
            return Response(
                'failed',
                status=self.stream_faults.resume_status,
                headers=self._sign(request_id),
            )
        counter = self.resumed_by_request if resumed else self.runs_by_request
        counter[request_id] += 1
        vanishes = self.stream_faults.lose_requests
        await self._back_up(request_id)
        if vanishes:
            await trio.sleep_forever()
        deadly = self.crashes.is_deadly(await read_body(), read_parts())
        response = self._begin(request_id, made, deadly=deadly)
        try:
            await self._wait_for_headers()
        except BaseException:
            # The connection closed, and nothing else will end the request.
            self._drop(request_id)
            raise
        return response

    async def _crash_on_receipt(self, request_id: str) -> Response:
        """Count a run and end, perhaps after some events."""
        self.runs_by_request[request_id] += 1
        events = self.crashes.crashing_after_events
        if not events or 'Kv-From' in request.headers:
            self.crash(request_id)
            raise LinkCutError
        response = Response(
            self._crash_after(request_id, events),
            content_type=_SSE_TYPE,
            headers=self._sign(request_id),
        )
        response.timeout = None
        return response

    async def _crash_after(
        self, request_id: str, events: int
    ) -> AsyncIterator[bytes]:
        for number in range(1, events + 1):
            yield format_event(request_id, number)
            await trio.sleep(_POLL_SECONDS)
        self.crash(request_id)
        await trio.sleep_forever()

    async def _wait_for_headers(self) -> None:
        while self.stream_faults.withhold_headers and not self.dead:
            await trio.sleep(_POLL_SECONDS)
        if self.dead:
            raise LinkCutError

    def _drop(self, request_id: str) -> None:
        """Stop working on a request, unless it goes on without a connection."""
        if self.stream_faults.works_on and self.has(request_id):
            return
        self.driver.dropped_at[request_id] = trio.current_time()
        self.memory.preempted.discard(request_id)
        self.driver.model.cancel(request_id)
        self.driver.records_by_generation.pop(request_id, None)

    def _has_memory(self, request_id: str) -> bool:
        source = request.headers.get('Kv-From')
        if source is None:
            return True
        handle = source.rpartition('/')[2]
        if handle == request_id:
            return request_id in self.memory.backed_up
        return self.memory.events_by_handle.pop(handle, None) is not None

    async def _back_up(self, request_id: str) -> None:
        target = request.headers.get('Kv-Backup', '')
        self._backups_by_request[request_id] = target
        if target:
            await _tell_if_up(target, {'backup': request_id})

    async def _end_well(self, request_id: str) -> None:
        """Free the backup of a generation, here and elsewhere."""
        if self.stream_faults.keeps_backups:
            return
        self.memory.backed_up.discard(request_id)
        target = self._backups_by_request.get(request_id)
        with trio.move_on_after(_TOLD_SECONDS):
            if target:
                await _tell_if_up(target, {'ended': request_id})

    def _begin(
        self, request_id: str, made: int, *, deadly: bool = False
    ) -> Response:
        prompt, _, most = request.headers['Token-Count'].partition(',')
        ends_after = self.stream_faults.ends_after * STRIDE
        whole_length = min(int(most), ends_after or inf)
        length = int(max(whole_length - made * STRIDE, 0))
        record = Record(request_id, 0, length, chat=False)
        self._stopped.discard(request_id)
        self.driver.records_by_generation[request_id] = record
        self.driver.accept(Job(request_id, int(prompt), length))
        answer = self._follow(request_id, record, made)
        if deadly:
            answer = self._end_with(request_id)
        response = Response(
            answer,
            content_type=_SSE_TYPE,
            headers=self._sign(request_id),
        )
        response.timeout = None
        return response

    async def _follow(
        self, request_id: str, record: Record, made: int
    ) -> AsyncIterator[bytes]:
        sent = 0
        try:
            while sent * STRIDE < record.length:
                if self.dead or request_id in self._stopped:
                    yield _tear(self.stream_faults, request_id, made + sent + 1)
                    raise LinkCutError
                if record.produced < min((sent + 1) * STRIDE, record.length):
                    await record.changed.wait()
                    continue
                sent += 1
                await self._withhold_event(request_id)
                began = trio.current_time()
                yield format_event(
                    request_id, made + sent, self.stream_faults.padding
                )
                unread = trio.current_time() - began
                if unread > self.stream_faults.unread_seconds:
                    self.cut_unread += 1
                    raise LinkCutError
            await self._end_well(request_id)
        finally:
            self._drop(request_id)

    async def _end_with(self, request_id: str) -> AsyncIterator[bytes]:
        """Begin an answer, and end."""
        yield b''
        # Its head goes out first, as from an engine that reads a prompt.
        born = self.crashes.born
        await trio.sleep(max(self.crashes.reading_seconds, _POLL_SECONDS))
        if self.dead or self.crashes.born != born:
            raise LinkCutError
        self.crash(request_id)
        await trio.sleep_forever()

    async def _withhold_event(self, request_id: str) -> None:
        if not self.stream_faults.withhold_events:
            return
        while request_id not in self._stopped:
            await trio.sleep(_POLL_SECONDS)
        if self.stream_faults.show_stops:
            raise LinkCutError
        # Not even the end is seen behind a connection that is silent.
        await trio.sleep_forever()

    async def _move(self) -> Response:
        if self.dead or self.stream_faults.breaks_off_moves:
            return Response(_break_off(), headers={'Content-Length': '1'})
        order = msgspec.json.decode(await request.get_data())
        request_id: str = order['id']
        record = self.driver.records_by_generation.get(request_id)
        if record is None or request_id in self.memory.preempted:
            return _refuse_copy(HTTPStatus.NOT_FOUND)
        if request_id in self._copying:
            self.conflicts += 1
            return _refuse_copy(HTTPStatus.CONFLICT)
        self._copying.add(request_id)
        try:
            return await self._copy(order, request_id, record)
        finally:
            self._copying.discard(request_id)

    async def _copy(
        self, order: dict[str, Any], request_id: str, record: Record
    ) -> Response:
        stops = self.stops_by_request.setdefault(request_id, [])
        stops.append(order.get('last', False))
        if order.get('last') and self.stream_faults.end_before_stop:
            while request_id in self.driver.records_by_generation:
                await trio.sleep(_POLL_SECONDS)
            return _refuse_copy(HTTPStatus.NOT_FOUND)
        if order.get('last'):
            self._stopped.add(request_id)
            self.driver.model.cancel(request_id)
            record.wake()
        events = record.produced // STRIDE
        await trio.sleep(self.copy_seconds)
        await self.copy_gate.wait()
        handle = f'{self.name}-{request_id}'
        if self.stream_faults.odd_copy:
            return _answer_raw(self.stream_faults.odd_copy)
        if self.stream_faults.full:
            self.memory.events_by_handle[handle] = events
            kept = {'handle': handle} if stops[-1] else {}
            return _answer(kept, HTTPStatus.SERVICE_UNAVAILABLE)
        await _tell(
            order['targetVersion'], {'handle': handle, 'events': events}
        )
        return _answer({'handle': handle, 'created': events})

    async def _take_copy(self) -> Response:
        copy = msgspec.json.decode(await request.get_data())
        match copy:
            case {'backup': _} if self.stream_faults.keeps_none:
                return _answer({})
            case {'backup': name}:
                self.memory.backed_up.add(name)
            case {'ended': name}:
                self.memory.backed_up.discard(name)
            case _:
                self.copies_received += 1
                self.memory.events_by_handle[copy['handle']] = copy['events']
        return _answer({})

    async def _free(self, handle: str) -> Response:
        if self.memory.events_by_handle.pop(handle, None) is not None:
            self.copies_freed += 1
        return _answer({})

    async def _report(self) -> Response:
        if self.dead:
            raise LinkCutError
        self.reports_asked += 1
        if self.stream_faults.odd_report:
            return _answer_raw(self.stream_faults.odd_report)
        records = {
            name: record
            for name, record in self.driver.records_by_generation.items()
            if name not in self.memory.preempted
        }
        if self.stream_faults.unlisted:
            records.clear()
        report: dict[str, Any] = {
            'running': len(records),
            'queued': len(self.memory.preempted),
            'kvUsed': 0,
            'kvTotal': self.driver.model.hardware.memory_tokens,
            'born': self.crashes.born,
            'runs': [
                [name, record.produced, record.produced // STRIDE, 0]
                for name, record in records.items()
            ],
        }
        if self.stream_faults.tells_copies:
            report['handles'] = self.memory.count()
        if self.leaves_ms is not None:
            report['leaves_ms'] = self.leaves_ms
            report['state'] = 'draining'
        return _answer(report)


def _tear(faults: StreamFaults, request_id: str, number: int) -> bytes:
    """Return the part of an event that is sent before the cut."""
    event = format_event(request_id, number)
    return event[: len(event) // 2] if faults.cut_inside_event else b''


def preempt(engine: PlatformEngine, request_id: str) -> None:
    """Take the memory of a generation, which then waits in the queue."""
    engine.memory.preempted.add(request_id)
    engine.driver.model.cancel(request_id)


def read_anew(engine: PlatformEngine, request_id: str) -> None:
    """Go on with a generation that was preempted."""
    engine.memory.preempted.discard(request_id)
    record = engine.driver.records_by_generation[request_id]
    left = record.length - record.produced
    engine.driver.accept(Job(request_id, record.produced + 1, left))


def format_event(request_id: str, number: int, padding: int = 0) -> bytes:
    """Return the event with a number of a request's one generation.

    :param padding: bytes that it has more.
    """
    more = '.' * padding
    return f'id: {number}\ndata: {request_id} {number}{more}\n\n'.encode()


async def _tell(address: str, message: dict[str, Any]) -> None:
    # Its calls are not encrypted, so that no certificates need be loaded.
    async with httpx.AsyncClient(verify=False) as client:
        await client.post(
            f'http://{address}/standin/copies',
            content=msgspec.json.encode(message),
        )


async def _tell_if_up(address: str, message: dict[str, Any]) -> None:
    try:
        await _tell(address, message)
    except httpx.TransportError as error:
        logger.info('not told', target=address, detail=repr(error))


def _refuse_copy(status: HTTPStatus) -> Response:
    # Without a body, not even an empty one, the response has no end.
    return Response('', status=status.value)


async def _break_off() -> AsyncIterator[bytes]:
    """Begin a body whose connection ends inside it."""
    yield b''
    raise LinkCutError


def _answer(message: object, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return _answer_raw(msgspec.json.encode(message), status)


def _answer_raw(raw: bytes, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return Response(raw, status.value, content_type='application/json')
