"""Streams that may not be sent again and last longer than a stop."""

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType
from typing import Any

import h11
import trio

from cartdale.clock import SECOND_MS
from cartdale.model.types import Hardware
from cartdale_standins.platform_engine import STRIDE, PlatformEngine
from tests.fault_soak.checks import SERVED_SECONDS, Asked, AtStop
from tests.fault_soak.http2 import Http2Caller
from tests.fault_soak.instances import Instance
from tests.fault_soak.proxy import LOCAL
from tests.fault_soak.wire import ends_before, read_answer, was_reset
from tests.platform_stage import make_headers

#: Of engines, so slow that many long streams are few events a second.
HARDWARE = Hardware(
    memory_tokens=20000, step_base_ms=40, step_per_sequence_ms=0.01
)
#: Idle time-outs that outlast the time until connections are closed.
IDLE_MS = (4000, 6000, 9000)
#: Events of other streams, which end within the grace of a stop.
FEW_EVENTS = (3, 15)
_SECONDS = (2, 12)
#: By how much a hint is off, and how often there is one.
_HINT_OFF = 1.2
_HINTS = 0.7
#: What is named as the time limit, and when a caller gives up, in seconds.
_TIME_LIMIT = 15.0
_PATIENCE = 20.0
#: Connections of each life on which streams follow each other, and the pauses
#: between them, there and on an HTTP/2 connection.
_CONNECTIONS = 2
_PAUSE = (0.02, 0.4)
_HTTP2_PAUSE = (0.5, 1.2)
#: Between looks at a process; and requests that keep a connection.
_LOOK = 0.05
_KEEP = 0.5
_ENDS_BY_STATUS = MappingProxyType({200: 'whole', 503: 'refused'})


@dataclass(frozen=True)
class Way:
    """Say when streams are sent, in seconds from SIGTERM, from and to.

    :param count: of each stop.
    :param opened: their connections; ``None`` before it, with answers since.
    :param body: the last byte, if later than the head.
    """

    count: int
    opened: tuple[float, float] | None
    sent: tuple[float, float]
    body: tuple[float, float] | None = None


WAYS = MappingProxyType(
    {
        'kept connection': Way(4, None, (2.95, 3.05)),
        'early connection': Way(3, (2, 2.9), (3.1, 3.9)),
        'late body': Way(3, (2, 2.8), (2.8, 2.9), (3.3, 4.5)),
        'new connection': Way(5, (0, 2.9), (0, 0)),
    }
)


@dataclass
class Sent:
    """Hold a stream that was asked for.

    :param way: how.
    :param read: whether its caller knows that it was read, or can't tell.
    :param excused: whether what else was disturbed may have cut it.
    """

    way: str
    asked: Asked
    read: bool = True
    excused: bool = False
    stopped_at: float = field(default=float('inf'))


async def _is_reset_by(stream: trio.SocketStream, raw: bytes) -> bool:
    """Send bytes; tell whether the other side had reset the connection.

    The system tells that once, to whoever sends or reads first.
    """
    try:
        await stream.send_all(raw)
    except trio.BrokenResourceError:
        return True
    return False


class OutlastingStreams:
    """Ask for streams around each stop.

    :param soak: the run that they belong to.
    """

    def __init__(self, soak: Any, seed: int) -> None:
        self._soak = soak
        self._random = Random(f'outlasting {seed}')
        self.sent: list[Sent] = []

    async def run(self, stopping: trio.Event) -> None:
        """Ask each life of each instance until told to stop."""
        async with trio.open_nursery() as nursery:
            for instance in self._soak.instances:
                nursery.start_soon(self._follow, instance, stopping)

    def check(self) -> None:
        """Check at the end what became of each stream."""
        for sent in self.sent:
            asked = sent.asked
            upstreams = [
                each.worker
                for each in self._soak.upstreams
                if each.worker.runs_by_request[asked.name]
            ]
            engines = [
                each.worker
                for each in self._soak.upstreams
                if isinstance(each.worker, PlatformEngine)
            ]
            worked_until = max(
                each.driver.dropped_at.get(asked.name, 0) for each in engines
            )
            stopped = sent.stopped_at < asked.ended_at
            seen = AtStop(
                asked.at - sent.stopped_at if stopped else None,
                worked_until - sent.stopped_at,
                ran=bool(upstreams),
                read=sent.read,
                excused=sent.excused,
                way=sent.way,
            )
            self._soak.faults[_describe(sent, seen)] += 1
            self._soak.checks.check_at_stop(asked, seen)

    async def _follow(self, instance: Instance, stopping: trio.Event) -> None:
        while not stopping.is_set():
            await trio.sleep(_LOOK)
            if instance.is_running:
                await self._ask_life(instance, instance.life, stopping)

    async def _ask_life(
        self, instance: Instance, life: int, stopping: trio.Event
    ) -> None:
        """Ask a process until it is gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_http2, instance, life, stopping)
            for _ in range(_CONNECTIONS):
                nursery.start_soon(self._ask_on, instance, life, stopping)
            for way, plan in WAYS.items():
                for _ in range(plan.count):
                    nursery.start_soon(
                        self._ask_at_stop, instance, life, way, stopping
                    )

    async def _open(
        self, instance: Instance, life: int, stopping: trio.Event
    ) -> trio.SocketStream | None:
        """Return a connection to a process; ``None`` once it is gone."""
        while not stopping.is_set() and self._is_up(instance, life):
            with suppress(OSError):
                return await trio.open_tcp_stream(LOCAL, instance.ports[0])
            await trio.sleep(_LOOK)
        return None

    def _is_up(self, instance: Instance, life: int) -> bool:
        return instance.life == life and instance.is_running

    async def _ask_http2(
        self, instance: Instance, life: int, stopping: trio.Event
    ) -> None:
        """Ask on one HTTP/2 connection, one stream after another."""
        stream = await self._open(instance, life, stopping)
        if stream is None:
            return
        caller = Http2Caller(stream)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(caller.read)
            while not stopping.is_set() and not caller.is_closed:
                sent, headers = self._make('HTTP/2', instance, life)
                nursery.start_soon(
                    self._await_http2, caller, sent, headers, instance
                )
                await trio.sleep(self._random.uniform(*_HTTP2_PAUSE))
            await caller.wait_idle()
            nursery.cancel_scope.cancel()

    async def _await_http2(
        self,
        caller: Http2Caller,
        sent: Sent,
        headers: dict[str, str],
        instance: Instance,
    ) -> None:
        with trio.move_on_after(_PATIENCE):
            sent.read = await caller.ask(sent.asked, headers)
        self._end(sent, instance)

    async def _ask_on(
        self, instance: Instance, life: int, stopping: trio.Event
    ) -> None:
        """Ask on kept connections, one stream after another."""
        while not stopping.is_set():
            stream = await self._open(instance, life, stopping)
            if stream is None:
                return
            async with stream:
                wire = h11.Connection(h11.CLIENT)
                while not stopping.is_set() and await self._rest(stream, wire):
                    sent, headers = self._make('any time', instance, life)
                    await self._ask(stream, wire, sent, headers, instance)

    async def _rest(
        self, stream: trio.SocketStream, wire: h11.Connection
    ) -> bool:
        """Wait between two requests; tell whether there may be another."""
        moment = trio.current_time() + self._random.uniform(*_PAUSE)
        if not _is_kept(wire) or await ends_before(stream, moment):
            return False
        if wire.our_state is h11.DONE:
            wire.start_next_cycle()
        return True

    async def _ask_at_stop(
        self, instance: Instance, life: int, way: str, stopping: trio.Event
    ) -> None:
        """Ask once after a process was told to stop."""
        plan = WAYS[way]
        wire = h11.Connection(h11.CLIENT)
        stream = None
        if plan.opened is None:
            stream = await self._open(instance, life, stopping)
        while instance.find_stop(life) is None:
            if stopping.is_set() or not self._is_up(instance, life):
                break
            if stream is not None and not await _keep(stream, wire):
                break
            await trio.sleep(_LOOK if stream is None else _KEEP)
        stopped_at = instance.find_stop(life)
        if stopped_at is None:
            return
        if plan.opened is not None:
            await trio.sleep_until(
                stopped_at + self._random.uniform(*plan.opened)
            )
            stream = await self._open(instance, life, stopping)
        if stream is None:
            return
        moment = stopped_at + self._random.uniform(*plan.sent)
        async with stream:
            if await ends_before(stream, max(moment, trio.current_time())):
                return
            sent, headers = self._make(way, instance, life)
            body_at = None
            if plan.body is not None:
                body_at = stopped_at + self._random.uniform(*plan.body)
            await self._ask(stream, wire, sent, headers, instance, body_at)

    def _make(
        self, way: str, instance: Instance, life: int
    ) -> tuple[Sent, dict[str, str]]:
        """Return a stream to be asked for, and its headers."""
        steps = self._random.uniform(*_SECONDS) * SECOND_MS
        events = round(steps / HARDWARE.step_base_ms / STRIDE)
        asked = Asked(
            f'draft-{self._soak.next_number()}',
            'draft',
            instance.name,
            trio.current_time(),
            tokens=events * STRIDE,
            life=life,
        )
        headers = make_headers(asked.name)
        headers['Deadline-Ms'] = str(round(_TIME_LIMIT * SECOND_MS))
        headers['Token-Count'] = f'40,{asked.tokens}'
        off = self._random.uniform(1 / _HINT_OFF, _HINT_OFF)
        if self._random.random() < _HINTS:
            headers['Length-Hint'] = str(round(asked.tokens * off))
        sent = Sent(way, asked)
        self.sent.append(sent)
        self._soak.checks.asked.append(asked)
        return sent, headers

    async def _ask(
        self,
        stream: trio.SocketStream,
        wire: h11.Connection,
        sent: Sent,
        headers: dict[str, str],
        instance: Instance,
        body_at: float | None = None,
    ) -> None:
        """Send a request and read its response, as far as it comes."""
        head = h11.Request(
            method='POST',
            target='/draft/',
            headers=[*headers.items(), ('Content-Length', '1')],
        )
        asked = sent.asked
        reset = False
        with trio.move_on_after(_PATIENCE):
            try:
                raw = wire.send(head) or b''
                if body_at is not None:
                    await stream.send_all(raw)
                    await trio.sleep_until(body_at)
                    raw = b''
                raw += wire.send(h11.Data(data=b'x')) or b''
                wire.send(h11.EndOfMessage())
                asked.at = trio.current_time()
                # It may be answered before it was sent.
                reset = await _is_reset_by(stream, raw)
                await read_answer(stream, wire, asked)
            except trio.BrokenResourceError:
                sent.read = False
            except h11.RemoteProtocolError:
                sent.read = not (reset or await was_reset(stream))
        self._end(sent, instance)

    def _end(self, sent: Sent, instance: Instance) -> None:
        asked = sent.asked
        asked.ended_at = trio.current_time()
        stopped_at = instance.find_stop(asked.life)
        if stopped_at is not None:
            sent.stopped_at = stopped_at
        excused = self._soak.stops.list_excused(
            asked, stopped_at, instance, _TIME_LIMIT
        )
        sent.excused = bool(excused)
        self._soak.checks.check_answer(asked)


async def _keep(stream: trio.SocketStream, wire: h11.Connection) -> bool:
    """Ask for what there is not, so that a connection is a kept one."""
    kept = Asked('', '', '', 0)
    request = h11.Request(
        method='GET', target='/no/', headers=[('Host', LOCAL)]
    )
    raw = (wire.send(request) or b'') + (wire.send(h11.EndOfMessage()) or b'')
    with suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
        await stream.send_all(raw)
        await read_answer(stream, wire, kept)
    kept_open = _is_kept(wire)
    if kept_open:
        wire.start_next_cycle()
    return kept_open


def _is_kept(wire: h11.Connection) -> bool:
    """Tell whether a connection may have another request."""
    states = {wire.our_state, wire.their_state}
    return states in ({h11.DONE}, {h11.IDLE})


def _describe(sent: Sent, seen: AtStop) -> str:
    """Return how a stream was sent and how it ended, to be counted."""
    phase, asked = 'later', sent.asked
    if seen.sent_after is None:
        phase = 'with no stop'
    elif seen.sent_after <= 0:
        phase = 'before SIGTERM'
    elif seen.sent_after <= SERVED_SECONDS:
        phase = 'to 3 s after'
    end = 'unread'
    if asked.whole:
        end = _ENDS_BY_STATUS.get(asked.status, 'failed')
    elif seen.ran:
        end = 'cut'
    elif seen.read:
        end = 'lost'
    return f'stream, {sent.way}, {phase}: {end}'
