"""Entry instances as processes, started with the deploy file's command."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """node={name}
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
internalPorts={low},{high}
seeds={seeds}
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.537
limits.cpuCores=2
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


def free_ports(count):
    """Return ports that are free for channels and for datagrams.

    They are below those that systems give to outgoing channels.
    """
    found = []
    while len(found) < count:
        port = random.randrange(16000, 30000)
        if port not in _taken and _is_free(port):
            _taken.add(port)
            found.append(port)
    return found


_taken = set()


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as trial:
            try:
                trial.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


class Instance:
    """One entry instance."""

    def __init__(self, folder, name, zone, store):
        self.folder = Path(folder)
        self.name = name
        self.zone = zone
        self.store = store
        self.ports = free_ports(5)
        self.process = None
        self.seeds = ''

    @property
    def front(self):
        return self.ports[0]

    def start(self):
        """Start the process with the command of the deploy file."""
        front, ready, control, low, high = self.ports
        settings = self.folder / f'{self.name}.conf'
        settings.write_text(
            SETTINGS.format(
                name=self.name, zone=self.zone, front=front, ready=ready,
                control=control, low=low, high=high, seeds=self.seeds,
                store=self.store,
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        program, *arguments = deploy['roles']['entry']['run'].split(' ')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['CARTDALE_BOOT'] = str(settings)
        deps = ROOT / 'target' / 'deps'
        env['PYTHONPATH'] = str(deps)
        self.log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [program, *arguments], cwd=ROOT, env=env,
            stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL,
        )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def ready(self, within=20.0):
        """Wait until it says that it is ready."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports[1]
            )
            writer.write(
                b'GET /cartdale/ready HTTP/1.1\r\nHost: ready\r\n'
                b'Connection: close\r\n\r\n'
            )
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    def resident_kb(self):
        for line in Path(f'/proc/{self.process.pid}/status').read_text().splitlines():
            if line.startswith('VmHWM'):
                return int(line.split()[1])
        return 0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def link_seeds(instances):
    seeds = ','.join(f'127.0.0.1:{each.ports[2]}' for each in instances[:3])
    for each in instances:
        each.seeds = seeds
