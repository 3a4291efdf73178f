"""Run the soak: ``python -m tests.fault_soak.run --seeds 50``.

Instances run as processes; the store, engines and plain services are
stand-ins in this process, each behind a proxy that faults go through.
"""

import argparse
import logging
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from types import MappingProxyType

import httpx
import trio
from loguru import logger

from cartdale.daemon.serve import BoundListener
from cartdale.model.types import Hardware
from cartdale.settings.types import Listener
from cartdale_standins.platform_engine import PlatformEngine
from cartdale_standins.platform_store import (
    PlatformStoreFaults,
    PlatformStoreStandIn,
)
from cartdale_standins.platform_worker import PlatformWorker
from tests.fault_soak.checks import CONTACT_SECONDS, Asked, Checks
from tests.fault_soak.instances import Instance
from tests.fault_soak.proxy import LOCAL, FaultProxy, Weather
from tests.fault_soak.watch import Upstream, Watch
from tests.platform_stage import make_configuration, make_headers

#: What is done to the system, and how often relative to each other.
FAULTS = MappingProxyType(
    {
        'store path': 3,
        'store': 2,
        'store forgets': 1,
        'engine path': 2,
        'engine dies': 2,
        'engine drains': 4,
        'lost answers': 2,
        'kill': 2,
        'pause': 2,
        'stop': 2,
        'reload': 1,
        'configure': 3,
    }
)
#: An engine ends so long after it began to leave.
_NOTICE_SECONDS = 2.6
_TICK_SECONDS = 0.05
#: Callers for each instance, each with one request at a time.
_CALLERS = 5
_CLIENT_TIMEOUT = 20
_START_SECONDS = 20
_HARDWARE = Hardware(
    memory_tokens=20000, step_base_ms=4, step_per_sequence_ms=0.01
)


class FaultSoak:
    """Run one seed.

    :param mutant: fault of the program that must be found; empty for none.
    """

    def __init__(
        self, seed: int, folder: Path, instances: int = 3, mutant: str = ''
    ) -> None:
        self.random = Random(seed)
        self.checks = Checks()
        self.faults: Counter[str] = Counter()
        self.store = PlatformStoreStandIn()
        self.store_disturbed_at: float = 0
        self.upstreams: list[Upstream] = []
        self.version = 1
        self.confirmed_at: float = 0
        self.instances: list[Instance] = []
        self.ready: set[str] = set()
        self._folder = folder
        self._count = instances
        self._mutant = mutant
        self._numbers = iter(range(10**9))

    async def run(self, seconds: float) -> None:
        """Disturb the system for some time and check what must hold."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self._set_up()
            watch = Watch(self)
            async with httpx.AsyncClient(timeout=_CLIENT_TIMEOUT) as client:
                self.client = client
                nursery.start_soon(watch.follow_ready)
                await self._wait_ready()
                nursery.start_soon(watch.watch_upstreams)
                nursery.start_soon(watch.probe)
                await self._play(seconds)
            for instance in self.instances:
                instance.end()
            await trio.sleep(_TICK_SECONDS)
            nursery.cancel_scope.cancel()
        runs: Counter[str] = Counter()
        for upstream in self.upstreams:
            runs.update(upstream.worker.runs_by_request)
        self.checks.check_runs(runs)

    def next_number(self) -> int:
        """Return a number that no name of this run has had."""
        return next(self._numbers)

    async def _wait_ready(self) -> None:
        with trio.fail_after(_START_SECONDS):
            while len(self.ready) < self._count:
                await trio.sleep(_TICK_SECONDS)

    async def _play(self, seconds: float) -> None:
        async with trio.open_nursery() as callers:
            stopping = trio.Event()
            for _ in range(_CALLERS * self._count):
                callers.start_soon(self._call, stopping)
            with trio.move_on_after(seconds):
                await self._disturb()
            stopping.set()
        # What was refused must not run later either.
        await trio.sleep(1)

    async def _set_up(self) -> None:
        bound = BoundListener(Listener(LOCAL, 0))
        self.nursery.start_soon(
            bound.serve, self.store.make_app(), trio.Event()
        )
        self.store.put('op/config', make_configuration())
        for _ in range(3):
            self._add(PlatformEngine, 'writers')
        for _ in range(2):
            self._add(PlatformWorker, 'portal')
        for number in range(self._count):
            path = FaultProxy(bound.port)
            self.nursery.start_soon(path.run)
            instance = Instance(
                f'entry-{number}', self._folder, path, self._mutant
            )
            self.instances.append(instance)
            self.nursery.start_soon(instance.run, self.checks.violations)

    def _add(self, kind: type[PlatformWorker], service: str) -> None:
        bound = BoundListener(Listener(LOCAL, 0))
        proxy = FaultProxy(bound.port)
        name = f'{service}-{self.next_number()}'
        if kind is PlatformEngine:
            worker = PlatformEngine(name, proxy.address, _HARDWARE)
        else:
            worker = PlatformWorker(name)
        self.nursery.start_soon(proxy.run)
        self.nursery.start_soon(worker.run)
        self.nursery.start_soon(bound.serve, worker.make_app(), trio.Event())
        upstream = Upstream(worker, proxy, service)
        self.upstreams.append(upstream)
        self._list(upstream, 'ready')

    def _list(self, upstream: Upstream, state: str) -> None:
        self.store.put(
            f'servers/{upstream.worker.name}',
            {
                'service': upstream.service,
                'address': upstream.proxy.address,
                'zone': 'west',
                'slots': 64,
                'state': state,
            },
        )

    # Callers.

    async def _call(self, stopping: trio.Event) -> None:
        while not stopping.is_set():
            await trio.sleep(self.random.uniform(0.02, 0.3))
            ready = [each for each in self.instances if each.name in self.ready]
            if not ready:
                continue
            instance = self.random.choice(ready)
            kind = self.random.choices(('draft', 'cut', 'look'), (3, 2, 1))[0]
            asked = Asked(
                f'{kind}-{self.next_number()}',
                kind,
                instance.name,
                trio.current_time(),
                tokens=4 * self.random.randrange(10, 300),
            )
            self.checks.asked.append(asked)
            await self._ask(asked, instance)
            asked.ended_at = trio.current_time()
            self.checks.check_answer(asked)
            self._check_stop(asked, instance)

    async def _ask(self, asked: Asked, instance: Instance) -> None:
        headers = make_headers(asked.name)
        if asked.kind == 'draft':
            headers['Token-Count'] = f'40,{asked.tokens}'
            headers['Length-Hint'] = str(asked.tokens)
        method = 'GET' if asked.kind == 'look' else 'POST'
        url = f'{instance.caller_url}/{asked.kind}/'
        try:
            async with self.client.stream(
                method, url, headers=headers
            ) as answer:
                asked.status = answer.status_code
                async for chunk in answer.aiter_raw():
                    asked.body += chunk
                asked.whole = True
        except httpx.TransportError:
            # The caller sees a broken link; the checks judge what came.
            return

    def _check_stop(self, asked: Asked, instance: Instance) -> None:
        stopped_at = instance.stopped_at
        if stopped_at is None or not asked.at < stopped_at < asked.ended_at:
            return
        since = asked.at - CONTACT_SECONDS
        hurt = any(each.disturbed_at > since for each in self.upstreams)
        store = self.store_disturbed_at > since
        # Its own disturbance is the signal itself, unless another came.
        other = instance.killed or instance.disturbed_at > stopped_at
        refused = asked.status and asked.status != httpx.codes.OK
        self.checks.check_stop(asked, bool(hurt or store or other or refused))

    # Faults.

    async def _disturb(self) -> None:
        """Do one thing after another; what lasts overlaps the next."""
        while True:
            await trio.sleep(self.random.uniform(0.3, 1.2))
            fault = self.random.choices(tuple(FAULTS), tuple(FAULTS.values()))[
                0
            ]
            self.faults[fault] += 1
            self._do(fault)

    def _do(self, fault: str) -> None:
        instance = self.random.choice(self.instances)
        lasts = self.random.uniform(0.3, 3)
        match fault:
            case 'store path':
                instance.disturb(lasts)
                self.nursery.start_soon(
                    self._weather, instance.store, self._pick(), lasts
                )
            case 'store':
                self.store_disturbed_at = trio.current_time() + lasts
                self.nursery.start_soon(self._store_faults, lasts)
            case 'store forgets':
                self.store_disturbed_at = trio.current_time()
                self.store.forget()
            case 'engine path':
                upstream = self.random.choice(self._list_up())
                upstream.disturbed_at = trio.current_time() + lasts
                self.nursery.start_soon(
                    self._weather, upstream.proxy, self._pick(), lasts
                )
            case 'engine dies':
                self._replace(drains=False)
            case 'engine drains':
                self._replace(drains=True)
            case 'lost answers':
                plain = self.random.choice(self._list_up('portal')).worker
                plain.faults.cuts += self.random.randrange(1, 4)
                plain.faults.strangers += self.random.randrange(2)
            case 'kill':
                instance.signal(signal.SIGKILL)
            case 'pause':
                instance.disturb(lasts)
                self.nursery.start_soon(self._pause, instance, lasts)
            case 'stop':
                instance.signal(signal.SIGTERM)
            case 'reload':
                instance.signal(signal.SIGHUP)
            case 'configure':
                self._configure()

    def _pick(self) -> Weather:
        return self.random.choice(
            [each for each in Weather if each is not Weather.CALM]
        )

    def _list_up(self, service: str = 'writers') -> list[Upstream]:
        return [
            each
            for each in self.upstreams
            if each.service == service
            and each.is_up
            and each.drained_at is None
        ]

    async def _weather(
        self, proxy: FaultProxy, weather: Weather, lasts: float
    ) -> None:
        proxy.set(weather)
        await trio.sleep(lasts)
        proxy.set(Weather.CALM)

    async def _store_faults(self, lasts: float) -> None:
        silent = self.random.random() < 0.5
        self.store.faults = PlatformStoreFaults(busy=not silent, silent=silent)
        await trio.sleep(lasts)
        self.store.faults = PlatformStoreFaults()
        self.store_disturbed_at = trio.current_time()

    async def _pause(self, instance: Instance, lasts: float) -> None:
        if instance.signal(signal.SIGSTOP):
            await trio.sleep(lasts)
            instance.signal(signal.SIGCONT)

    def _replace(self, *, drains: bool) -> None:
        """Take an engine away and add another."""
        upstream = self.random.choice(self._list_up())
        self._add(PlatformEngine, 'writers')
        if drains:
            upstream.drained_at = trio.current_time()
            self._list(upstream, 'draining')
            self.nursery.start_soon(self._die, upstream, _NOTICE_SECONDS)
            return
        upstream.disturbed_at = trio.current_time()
        self.nursery.start_soon(self._die, upstream, 0)

    async def _die(self, upstream: Upstream, after: float) -> None:
        # A drained engine serves on for longer than it must, so that late
        # work would show.
        await trio.sleep(2 * after)
        assert isinstance(upstream.worker, PlatformEngine)
        upstream.disturbed_at = trio.current_time()
        upstream.worker.die()
        upstream.proxy.set(Weather.RESET)
        self.store.remove(f'servers/{upstream.worker.name}')

    def _configure(self) -> None:
        """Confirm a configuration with one more route."""
        document = make_configuration(self.version + 1)
        template = document['routes'][-1]
        for version in range(2, self.version + 2):
            route = {
                **template,
                'name': f'v{version}',
                'pathPrefix': f'/v{version}/',
            }
            document['routes'].append(route)
        self.store.put('op/config', document)
        self.version += 1
        self.confirmed_at = trio.current_time()


async def _run(
    seed: int, folder: Path, seconds: float, instances: int, mutant: str
) -> FaultSoak:
    soak = FaultSoak(seed, folder, instances, mutant)
    await soak.run(seconds)
    return soak


def run_seed(
    seed: int, seconds: float, instances: int = 3, mutant: str = ''
) -> FaultSoak:
    """Run one seed and return what it saw."""
    with tempfile.TemporaryDirectory() as folder:
        soak = trio.run(_run, seed, Path(folder), seconds, instances, mutant)
        if soak.checks.violations and not mutant:
            for log in sorted(Path(folder).glob('*.log')):
                kept = Path(f'soak-{seed}-{log.name}')
                kept.write_bytes(log.read_bytes())
        return soak


def main() -> int:
    """Run seeds and print a table of what was done and found."""
    options = _parse()
    logger.remove()
    logging.disable(logging.CRITICAL)
    faults: Counter[str] = Counter()
    ends: Counter[str] = Counter()
    found = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = run_seed(
            seed, options.seconds, options.instances, options.mutant
        )
        faults.update(soak.faults)
        ends.update(soak.checks.ends)
        found += len(soak.checks.violations)
        for violation in soak.checks.violations:
            _say(f'seed {seed}: {violation}')
    _say(f'{options.seeds} seeds, {sum(ends.values())} requests')
    for name, count in (*faults.most_common(), *ends.most_common()):
        _say(f'  {name}: {count}')
    _say(f'{found} violations')
    return 1 if found else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--mutant', default='')
    return parser.parse_args()


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
