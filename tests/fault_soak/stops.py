"""Kept connections around planned stops and the ends of their rests."""

import signal
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from itertools import cycle
from random import Random
from types import MappingProxyType
from typing import Any

import h11
import trio

from cartdale.clock import SECOND_MS, SystemClock, as_seconds
from cartdale.daemon.gateway import LEAVE_PAUSE
from cartdale_standins.driver import EngineDriver
from cartdale_standins.platform_engine import STRIDE, PlatformEngine
from cartdale_standins.platform_worker import PlatformWorker
from cartdale_standins.uneven import UnevenSpeed
from tests.fault_soak.checks import CONTACT_SECONDS, STREAMS, Asked
from tests.fault_soak.instances import Instance
from tests.fault_soak.notices import list_up
from tests.fault_soak.outlasting import (
    FEW_EVENTS,
    HARDWARE,
    IDLE_MS,
    OutlastingStreams,
)
from tests.fault_soak.proxy import LOCAL, LinkState
from tests.fault_soak.wire import ends_before, read_answer
from tests.platform_stage import make_headers

#: Kept connections of each instance.
_CONNECTIONS = 12
#: Other callers of each instance: few, so that it may have nothing in progress
#: as it closes connections.
_CALLERS = 1
#: What is asked for on them, and how often relative to each other.
_KINDS = MappingProxyType({'cut': 4, 'look': 1})
#: Time limit that requests name, in seconds: each ends within the grace, even
#: one that was sent as connections were closed.
_TIME_LIMIT = 4.0
#: A caller that has seen no end by then gives up, in seconds.
_PATIENCE = 12.0
#: Seconds from an instance's close of connections: until when connections are
#: kept busy, when bursts begin, and when they are over.
_BUSY_UNTIL, _BURST_FROM, _BURST_UNTIL = -0.9, -0.02, 0.25
#: Spreads of a burst around the close, in seconds, and how often a connection
#: takes part in it: each stop has one of its own. A request that is in progress
#: as connections are closed keeps its instance from ending.
_SPREADS = (0.003, 0.01, 0.04)
_SHARES = (0.1, 0.3, 1)
#: Moments around the expected end of a rest, or a close, in seconds; and by how
#: much the expectation changes with each that was missed.
_JITTER = 0.002
_STEP = 0.001
_MOST_OFF = 0.04
#: For so long a process gets no processor now and then, as on a busy machine:
#: what is due meanwhile is due at once. Far below every bound.
_HOLD_UP = (0.015, 0.06)
_HOLD_UP_PAUSE = (0.1, 0.4)
#: From when on one is held up at its close of connections.
_HOLD_UP_BEFORE = 0.02
#: How often a connection rests until its time is over, and how often it is used
#: again at once.
_RESTS, _HURRIES = 0.7, 0.15
_PAUSE = (0, 0.3)
_HURRY = (0, 0.003)
_RECONNECT_SECONDS = 0.05
#: Idle time-outs of configurations, in milliseconds.
_IDLE_MS = (300, 450, 700, 1000, 1500)
#: Of so many seeds one asks for streams that outlast stops.
_OUTLASTING_EVERY = 4
#: Routes that a configuration has beside those of its versions.
_MOST_ROUTES = 40
#: Time that plain requests take, for one upstream after another: short, and
#: longer than an instance takes from its last look to its end.
_WORK_SECONDS = (0.6, 0.05)
#: Events of streams: so few that they end within the grace of a stop.
_EVENTS = (10, 60)
#: Signals in a series, from and to, and the longest time between two.
_SERIES = (2, 4)
_SIGNAL_GAP = 0.5
_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP)
_SERIES_PAUSE = (0.5, 1.5)
_CONFIGURATIONS = (1, 4)
_CONFIGURATION_GAP = (0.05, 0.3)
_CONFIGURATION_PAUSE = (0.8, 2.5)
_SILENCE = (0.5, 1.3)
_SILENCE_PAUSE = (1.0, 3.5)


@dataclass
class Sent:
    """Hold a request on a kept connection, and what was near it.

    :param stopped_at: when its instance had been told to stop, if it had.
    :param excused: what was disturbed near it, of what may cut it.
    """

    asked: Asked
    stopped_at: float | None
    excused: frozenset[str] = frozenset()


class Stops:
    """Stop instances, change idle time-outs, and ask on kept connections.

    :param soak: the run that is disturbed.
    :param seed: of generators of its own, so that the other faults of a seed
        stay as they are.
    """

    def __init__(self, soak: Any, seed: int) -> None:
        self._soak = soak
        self._random = Random(f'stops {seed}')
        #: Of the callers, whose draws depend on what they see.
        self._moments = Random(f'moments {seed}')
        self._work = cycle(_WORK_SECONDS)
        self._idle_ms = _IDLE_MS[-1]
        self._routes = 0
        self._bursts: dict[tuple[str, int], tuple[float, float]] = {}
        #: How much later than expected rests end.
        self._rest_off: float = 0
        self.sent: list[Sent] = []
        #: Whether all other faults stay away: most lost requests are excused by
        #: one of them otherwise.
        self.alone = bool(seed % 2)
        #: Streams that outlast stops, in seeds in which no engine is disturbed.
        self._outlasting: OutlastingStreams | None = None
        if seed % _OUTLASTING_EVERY == _OUTLASTING_EVERY - 1:
            self._outlasting = OutlastingStreams(soak, seed)
            self._idle_ms = IDLE_MS[-1]

    def prepare(self, worker: PlatformWorker) -> None:
        """Set an upstream up before it runs."""
        if not isinstance(worker, PlatformEngine):
            worker.speed = UnevenSpeed(work_seconds=next(self._work))
        elif self._outlasting is not None:
            worker.driver = EngineDriver(HARDWARE, SystemClock())

    def fill(self, document: dict) -> None:
        """Give a configuration its idle time-out and its further routes."""
        document['limits']['idleTimeoutMs'] = self._idle_ms
        template = document['routes'][-1]
        document['routes'].extend(
            {**template, 'name': f'more{number}', 'pathPrefix': f'/m{number}/'}
            for number in range(self._routes)
        )

    @property
    def callers(self) -> int:
        """Return the number of callers, for each instance, of streams too."""
        return _CALLERS

    def shorten(self, asked: Asked) -> None:
        """Make a stream so short that it does not outlast a stop."""
        if asked.kind in STREAMS:
            events = _EVENTS if self._outlasting is None else FEW_EVENTS
            asked.tokens = STRIDE * self._moments.randrange(*events)

    async def run(self, stopping: trio.Event) -> None:
        """Disturb and ask until told to stop."""
        async with trio.open_nursery() as nursery:
            for instance in self._soak.instances:
                nursery.start_soon(self._hold_up, instance, stopping)
                for rests in (True, False) * (_CONNECTIONS // 2):
                    nursery.start_soon(
                        self._keep_asking, instance, rests, stopping
                    )
            if self._outlasting is not None:
                nursery.start_soon(self._outlasting.run, stopping)
            async with trio.open_nursery() as faults:
                faults.start_soon(self._stop_instances)
                faults.start_soon(self._configure)
                faults.start_soon(self._silence, 'portal')
                if self._outlasting is None:
                    faults.start_soon(self._silence, 'writers')
                await stopping.wait()
                faults.cancel_scope.cancel()

    def check(self) -> None:
        """Check at the end that no request ran and lost its response."""
        self._count_bursts()
        self._soak.faults['killed at graceS'] = sum(
            len(each.overruns) for each in self._soak.instances
        )
        if self._outlasting is not None:
            self._outlasting.check()
        for sent in self.sent:
            asked = sent.asked
            ran_at = {
                each.worker.name
                for each in self._soak.upstreams
                if each.worker.runs_by_request[asked.name]
            }
            self._count(sent, ran=bool(ran_at))
            if asked.whole or not ran_at:
                continue
            excused = bool(sent.excused & {*ran_at, 'instance', 'store'})
            self._soak.faults['lost, excused'] += excused
            self._soak.checks.check_lost(asked, sorted(ran_at), excused)

    def list_excused(
        self,
        asked: Asked,
        stopped_at: float | None,
        instance: Instance,
        time_limit: float,
    ) -> list[str]:
        """Return what was disturbed near a request that has just ended."""
        since = asked.at - CONTACT_SECONDS
        began = min(asked.at, stopped_at or asked.at) - CONTACT_SECONDS
        excused = [
            each.worker.name
            for each in self._soak.upstreams
            if each.disturbed_at > since
        ]
        if self._soak.store_disturbed_at > since:
            excused.append('store')
        killed = any(at >= asked.at for at in instance.kills)
        paused = any(
            start < asked.ended_at and end > began
            for start, end in instance.pauses
        )
        late = asked.ended_at - asked.at >= time_limit
        if killed or paused or late:
            excused.append('instance')
        return excused

    def _count(self, sent: Sent, *, ran: bool) -> None:
        faults, asked = self._soak.faults, sent.asked
        faults['sent on kept connections'] += 1
        crossed = not asked.whole and not ran
        faults['crossed a close'] += crossed
        if sent.stopped_at is not None:
            faults['sent after SIGTERM'] += 1
            faults['answered after SIGTERM'] += asked.whole

    def _count_bursts(self) -> None:
        """Count closes of instances near which several requests were sent."""
        near: Counter[tuple[str, int]] = Counter()
        for sent in self.sent:
            if sent.stopped_at is None:
                continue
            late = sent.asked.at - _find_close(sent.stopped_at)
            if _BUSY_UNTIL <= late <= _BURST_UNTIL:
                near[sent.asked.instance, sent.asked.life] += 1
        bursts = sum(count > 1 for count in near.values())
        self._soak.faults['burst at a close'] += bursts

    async def _stop_instances(self) -> None:
        """Send signals to several instances, again and again."""
        while True:
            await trio.sleep(self._random.uniform(*_SERIES_PAUSE))
            self._soak.faults['series of stops'] += 1
            for _ in range(self._random.randrange(*_SERIES)):
                instance = self._random.choice(self._soak.instances)
                number = self._random.choice(_SIGNALS)
                self._soak.note(f'series of stops, {instance.name}, {number}')
                instance.signal(number)
                await trio.sleep(self._random.uniform(0, _SIGNAL_GAP))

    async def _configure(self) -> None:
        """Confirm configurations, several soon after each other."""
        while True:
            for _ in range(self._random.randrange(*_CONFIGURATIONS)):
                times = _IDLE_MS if self._outlasting is None else IDLE_MS
                self._idle_ms = self._random.choice(times)
                self._routes = self._random.randrange(_MOST_ROUTES)
                self._soak.faults['idle time-out changed'] += 1
                self._soak.note(
                    f'idle {self._idle_ms} ms, {self._routes} routes'
                )
                self._soak.confirm()
                gap = self._random.uniform(*_CONFIGURATION_GAP)
                await trio.sleep(gap)
            await trio.sleep(self._random.uniform(*_CONFIGURATION_PAUSE))

    async def _silence(self, service: str) -> None:
        """Let upstreams stand still for a while, one after another."""
        while True:
            await trio.sleep(self._random.uniform(*_SILENCE_PAUSE))
            listed = list_up(self._soak, service)
            if not listed:
                continue
            upstream = self._random.choice(listed)
            lasts = self._random.uniform(*_SILENCE)
            self._soak.faults[f'{service} fall silent'] += 1
            name = upstream.worker.name
            self._soak.note(f'{name} falls silent, {lasts:.2f} s')
            now = trio.current_time()
            upstream.cuts.append((now, now + lasts))
            if service == 'writers':
                # Streams may leave a silent engine; plain requests stay.
                upstream.disturbed_at = now + lasts
            upstream.proxy.set(LinkState.SILENCE)
            try:
                await trio.sleep(lasts)
            finally:
                if not upstream.gone:
                    upstream.proxy.set(LinkState.NORMAL)

    async def _hold_up(self, instance: Instance, stopping: trio.Event) -> None:
        """Hold up a process for moments, also as it closes connections."""
        while not stopping.is_set():
            moment = trio.current_time() + self._moments.uniform(
                *_HOLD_UP_PAUSE
            )
            stopped_at = self._find_stop(instance, instance.life)
            if self.alone:
                # It takes itself off the store's list as it ends.
                slow = stopped_at is not None
                instance.store.set(
                    LinkState.DELAY if slow else LinkState.NORMAL
                )
            if stopped_at is not None:
                close_at = _find_close(stopped_at) - _HOLD_UP_BEFORE
                if trio.current_time() < close_at:
                    moment = min(moment, close_at)
            await trio.sleep_until(moment)
            now = trio.current_time()
            paused = any(end > now for _, end in instance.pauses)
            if paused or not instance.is_running:
                continue
            process = instance.process
            # Not as a disturbance, which would excuse what it brings about.
            process.send_signal(signal.SIGSTOP)
            try:
                await trio.sleep(self._moments.uniform(*_HOLD_UP))
            finally:
                process.send_signal(signal.SIGCONT)
            self._soak.faults['held up for a moment'] += 1

    async def _keep_asking(
        self, instance: Instance, rests: bool, stopping: trio.Event
    ) -> None:
        """Keep a connection open, and open another one when it has ended.

        :param rests: whether it often rests until its time is over.
        """
        while not stopping.is_set():
            await trio.sleep(_RECONNECT_SECONDS)
            if not instance.is_running:
                continue
            life = instance.life
            try:
                stream = await trio.open_tcp_stream(LOCAL, instance.ports[0])
            except OSError:
                continue
            async with stream:
                await self._use(stream, instance, life, rests, stopping)

    async def _use(
        self,
        stream: trio.SocketStream,
        instance: Instance,
        life: int,
        rests: bool,
        stopping: trio.Event,
    ) -> None:
        """Ask on one connection until it ends."""
        wire = h11.Connection(h11.CLIENT)
        aimed = False
        moment = self._choose_moment(instance, life, aimed)
        while not stopping.is_set():
            closed = await ends_before(stream, moment)
            if aimed:
                self._learn(closed)
            if closed:
                return
            asked = self._make_asked(instance, life)
            sent = Sent(asked, self._find_stop(instance, life))
            self.sent.append(sent)
            with trio.move_on_after(_PATIENCE):
                await _ask(stream, wire, asked)
            asked.ended_at = trio.current_time()
            self._soak.checks.check_answer(asked)
            sent.excused = frozenset(
                self.list_excused(asked, sent.stopped_at, instance, _TIME_LIMIT)
            )
            if wire.our_state is not h11.DONE or not asked.whole:
                return
            if wire.their_state is not h11.DONE:
                return
            wire.start_next_cycle()
            aimed = rests and self._moments.random() < _RESTS
            moment = self._choose_moment(instance, life, aimed)

    def _make_asked(self, instance: Instance, life: int) -> Asked:
        kinds = tuple(_KINDS)
        kind = self._moments.choices(kinds, tuple(_KINDS.values()))[0]
        asked = Asked(
            f'{kind}-{self._soak.next_number()}',
            kind,
            instance.name,
            trio.current_time(),
            life=life,
        )
        self._soak.checks.asked.append(asked)
        return asked

    def _find_stop(self, instance: Instance, life: int) -> float | None:
        """Return when the process of a connection was first told to stop."""
        if instance.life != life:
            return None
        return instance.find_stop(life)

    def _choose_moment(
        self, instance: Instance, life: int, aimed: bool
    ) -> float:
        """Return when to ask next on a connection that rests from now on.

        :param aimed: whether to ask as its rest ends.
        """
        now = trio.current_time()
        stopped_at = self._find_stop(instance, life)
        if stopped_at is not None:
            return self._choose_moment_of_stop(
                now, _find_close(stopped_at), (instance.name, life)
            )
        if aimed:
            off = self._rest_off + self._moments.uniform(-_JITTER, _JITTER)
            return now + as_seconds(self._idle_ms) + off
        return now + self._draw_pause(self._moments.random() < _HURRIES)

    def _learn(self, closed: bool) -> None:
        """Expect ends of rests a little earlier, or later."""
        step = -_STEP if closed else _STEP
        off = self._rest_off + step
        self._rest_off = min(max(off, -_MOST_OFF), _MOST_OFF)

    def _choose_moment_of_stop(
        self, now: float, close_at: float, life: tuple[str, int]
    ) -> float:
        """Return a moment that is dense around the close of connections."""
        drawn = self._moments.choice(_SPREADS), self._moments.choice(_SHARES)
        spread, share = self._bursts.setdefault(life, drawn)
        moment = now + self._draw_pause(hurries=False)
        if moment < close_at + _BUSY_UNTIL:
            return moment
        if now >= close_at + _BURST_FROM:
            return now + self._draw_pause(hurries=True)
        if self._moments.random() < share:
            return close_at + self._moments.uniform(-spread, 2 * spread)
        return close_at + _BURST_UNTIL

    def _draw_pause(self, hurries: bool) -> float:
        return self._moments.uniform(*(_HURRY if hurries else _PAUSE))


def _find_close(stopped_at: float) -> float:
    """Return when an instance closes connections that rest."""
    return stopped_at + as_seconds(LEAVE_PAUSE)


async def _ask(
    stream: trio.SocketStream, wire: h11.Connection, asked: Asked
) -> None:
    """Send a request and read its response, as far as it comes."""
    method = 'GET' if asked.kind == 'look' else 'POST'
    headers = make_headers(asked.name)
    headers['Deadline-Ms'] = str(round(_TIME_LIMIT * SECOND_MS))
    head = h11.Request(
        method=method,
        target=f'/{asked.kind}/',
        headers=[*headers.items(), ('Content-Length', '0')],
    )
    raw = (wire.send(head) or b'') + (wire.send(h11.EndOfMessage()) or b'')
    with suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
        await stream.send_all(raw)
        await read_answer(stream, wire, asked)
