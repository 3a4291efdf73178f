"""Start entry instances with the command of the deploy file."""

import asyncio
import os
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http_ import call

ROOT = Path(__file__).resolve().parents[2]
_READY_WAIT = 20

SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front,control
ip=127.0.0.1
zone={zone}
region=nairobi
zones.westlands=nairobi
zones.upperhill=nairobi
zones.kilimani=nairobi
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
internalPorts={first},{last}
seeds={seeds}
bootstrap=true
countsAsLoss=false
limits.memoryMb=150
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.downgradeSlackMs=250
bounds.skewBoundMs=5000
bounds.revokeStrict=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=56
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=5.4
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


def reserve_ports(count: int) -> list[int]:
    """Return free loopback ports."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(('127.0.0.1', 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Processes:
    """Own all processes that a script starts, and end them."""

    def __init__(self) -> None:
        self.work = Path(tempfile.mkdtemp(prefix='cartdale-review-'))
        self._started: list[asyncio.subprocess.Process] = []

    async def start(
        self, name: str, command: list[str], variables: dict[str, str]
    ) -> asyncio.subprocess.Process:
        """Start one process whose output goes to the temporary folder."""
        with (self.work / f'{name}.log').open('ab') as output:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=variables, stdout=output, stderr=output
            )
        self._started.append(process)
        return process

    async def end(self) -> None:
        """End all that still run, and remove the temporary folder."""
        for process in self._started:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._started:
            await process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


class Instance:
    """One entry instance.

    :param store: ``IP:PORT`` of the platform's store.
    """

    def __init__(
        self, processes: Processes, name: str, zone: str, store: str
    ) -> None:
        self.name = name
        self.zone = zone
        self._store = store
        self._processes = processes
        front, ready, control, first, last = reserve_ports(5)
        self.front, self.ready, self.control = front, ready, control
        self._internal = first, last
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, seeds: list['Instance']) -> None:
        """Start the process, by the deploy file's command."""
        path = self._processes.work / f'{self.name}.conf'
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                front=self.front,
                ready=self.ready,
                control=self.control,
                first=self._internal[0],
                last=self._internal[1],
                store=self._store,
                seeds=','.join(f'127.0.0.1:{each.control}' for each in seeds),
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        variables = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'CARTDALE_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        self.process = await self._processes.start(
            self.name, command, variables
        )

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        headers = {'Host': f'127.0.0.1:{self.ready}'}
        answer = await call(
            self.ready, 'GET', '/cartdale/ready', headers, timeout=1
        )
        return answer.status == 200


async def start_instances(
    processes: Processes, store: str, count: int
) -> list[Instance]:
    """Start instances and wait until all are ready.

    :raises CouldNotRunError: if one is not ready in time.
    """
    zones = ('westlands', 'upperhill', 'kilimani')
    instances = [
        Instance(processes, f'front-{number}', zones[number % 3], store)
        for number in range(count)
    ]
    for each in instances:
        await each.start(instances[:3])
    until = time.monotonic() + _READY_WAIT
    for each in instances:
        while not await each.is_ready():
            if time.monotonic() > until:
                raise CouldNotRunError(f'{each.name} is not ready')
            await asyncio.sleep(0.1)
    return instances


class CouldNotRunError(Exception):
    """Raised if a case could not run."""


def run_case(main, folder: Path) -> None:
    """Run a case and exit with its result.

    :param main: coroutine function; gets the processes, a function that writes
        a line to the record and whether the disruption happens; returns
        whether the rule held.
    :param folder: of the case.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    began = time.monotonic()
    processes = Processes()

    async def run() -> int:
        with (folder / 'record.txt').open('w') as record:

            def note(line: str) -> None:
                record.write(f'{time.monotonic() - began:8.3f} {line}\n')
                record.flush()

            note(f'disruption: {"yes" if trouble else "no"}')
            try:
                async with asyncio.timeout(110):
                    held = await main(processes, note, trouble)
            except (CouldNotRunError, TimeoutError, OSError) as error:
                note(f'could not run: {type(error).__name__} {error}')
                return 2
            finally:
                await processes.end()
            note('the rule held' if held else 'the rule was broken')
            return 0 if held else 1

    try:
        code = asyncio.run(run())
    except Exception as error:
        sys.stderr.write(f'{type(error).__name__}: {error}\n')
        code = 2
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
