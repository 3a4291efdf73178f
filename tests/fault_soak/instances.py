"""Entry instances as processes, and the signals that disturb them."""

import os
import signal
import sys
from contextlib import closing
from dataclasses import dataclass, field
from functools import partial
from math import inf
from pathlib import Path

import trio

from tests.fault_soak.ports import ReservedPorts, reserve_ports
from tests.fault_soak.proxy import LOCAL, FaultProxy

ROOT = Path(__file__).resolve().parents[2]
_DAEMON = ROOT / 'deploy' / 'cartdaled.py'
_MUTANT = Path(__file__).with_name('mutants.py')
_CUT_PROGRAM = Path(__file__).with_name('cut_program.py')
GRACE = 8
#: A process that is killed is started again after so long, in seconds.
_RESTART_AFTER = 0.3
_PORTS = 5
_ENDING = frozenset((signal.SIGKILL, signal.SIGTERM))
_HUP_BIT = 1 << (signal.SIGHUP - 1)
_SETTINGS = """
node={name}
ip=127.0.0.1
zone={failure_domain}
region=here
listen.front=127.0.0.1:{ports[0]}
listen.ready=127.0.0.1:{ports[1]}
listen.control=127.0.0.1:{ports[4]}
seeds={seeds}
internalPorts={ports[2]},{ports[3]}
bounds.graceS={grace}
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=50
platform.address={store}
"""
#: Less than a process takes, so that few bytes may be held for slow callers.
_PRESSURE = """
contracts=pressure
limits.memoryMb=32
"""


@dataclass
class Instance:
    """Run one entry instance as a process.

    :param store: its own way to the store.
    :param seeds: where instances give briefings, this one included.
    :param mutant: fault of the program that the soak has to find; empty for
        none.
    :param cuttable: whether its paths to upstreams can be cut.
    :param pressure: whether it accounts for bytes held for slow peers.
    """

    name: str
    folder: Path
    store: FaultProxy
    mutant: str = ''
    cuttable: bool = False
    pressure: bool = False
    failure_domain: str = 'west'
    seeds: list[str] = field(default_factory=list)
    reserved: ReservedPorts = field(
        default_factory=partial(reserve_ports, _PORTS)
    )
    process: trio.Process | None = None
    #: Counts its starts: nothing is remembered from one to the next.
    life: int = 0
    #: When something was last wrong with it or its way to the store.
    disturbed_at: float = 0
    #: Whether it was told to stop, and when it was.
    stopped_at: float | None = None
    killed: bool = False
    #: Whether it was told to read its settings before the interpreter ran a
    #: line of the program: the system ends it then.
    reloaded_early: bool = False
    leaving_for_good: bool = False
    #: When it was started.
    starts: list[float] = field(default_factory=list)
    #: When it was told to stop, or ended by a signal.
    ends: list[float] = field(default_factory=list)
    #: When it was killed.
    kills: list[float] = field(default_factory=list)
    #: When the platform killed it, since it outlasted its grace.
    overruns: list[float] = field(default_factory=list)
    _told: trio.Event = field(default_factory=trio.Event)
    #: When it stood still, from and until.
    pauses: list[tuple[float, float]] = field(default_factory=list)

    @property
    def ports(self) -> tuple[int, ...]:
        return self.reserved.numbers

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def caller_url(self) -> str:
        return f'http://{LOCAL}:{self.ports[0]}'

    @property
    def control_address(self) -> str:
        return f'{LOCAL}:{self.ports[4]}'

    @property
    def ready_url(self) -> str:
        return f'http://{LOCAL}:{self.ports[1]}/cartdale/ready'

    @property
    def metrics_url(self) -> str:
        return f'http://{LOCAL}:{self.ports[3]}/'

    @property
    def cuts_path(self) -> Path:
        return self.folder / f'{self.name}.cuts'

    @property
    def log_path(self) -> Path:
        return self.folder / f'{self.name}.log'

    @property
    def settings_path(self) -> Path:
        return self.folder / f'{self.name}.conf'

    def make_settings(self) -> str:
        """Return the text of its settings."""
        more = _PRESSURE if self.pressure else ''
        return more + _SETTINGS.format(
            name=self.name,
            failure_domain=self.failure_domain,
            ports=self.ports,
            store=self.store.address,
            seeds=','.join(self.seeds),
            grace=GRACE,
        )

    def describe_start(self) -> str:
        """Tell how often it was started, and what it logged last."""
        lines = self.log_path.read_text().splitlines() or ['nothing logged']
        return f'{self.name}, started {self.life} times: {lines[-1]}'

    def disturb(self, seconds: float = 0) -> None:
        """Note that it is disturbed for some time from now."""
        until = trio.current_time() + seconds
        self.disturbed_at = max(self.disturbed_at, until)

    async def run(self, unexpected: list[str]) -> None:
        """Start it again whenever it ends, until it is ended for good."""
        settings = self.settings_path
        settings.write_text(self.make_settings())
        command = [sys.executable, str(_MUTANT if self.mutant else _DAEMON)]
        if self.mutant:
            command.append(self.mutant)
        elif self.cuttable:
            command = [sys.executable, str(_CUT_PROGRAM), str(self.cuts_path)]
        env = {**os.environ, 'CARTDALE_BOOT': str(settings)}
        with closing(self.reserved), self.log_path.open('ab') as log:
            while not self.leaving_for_good:
                self.life += 1
                self.starts.append(trio.current_time())
                self.killed = False
                self.reloaded_early = False
                self.stopped_at = None
                self._told = trio.Event()
                self.disturb()
                self.process = await trio.lowlevel.open_process(
                    command, env=env, cwd=ROOT, stdout=log, stderr=log
                )
                code = await self._wait_for_end(self.process)
                if not self.killed and not self._is_expected(code):
                    unexpected.append(f'{self.name} ended by itself: {code}')
                self.disturb()
                await trio.sleep(_RESTART_AFTER)

    def signal(self, number: signal.Signals) -> bool:
        """Send a signal to the process that this object started."""
        if not self.is_running:
            return False
        if number is signal.SIGKILL:
            self.killed = True
            self.kills.append(trio.current_time())
        if number is signal.SIGTERM:
            self.stopped_at = trio.current_time()
            self._told.set()
        if number is signal.SIGHUP and not self.takes_reload():
            self.reloaded_early = True
        if number in _ENDING or self.reloaded_early:
            self.ends.append(trio.current_time())
        self.disturb()
        self.process.send_signal(number)
        return True

    def find_stop(self, life: int) -> float | None:
        """Return when the process of a life was first told to stop."""
        began = self.starts[life - 1]
        later = (*self.starts, inf)[life]
        return next((at for at in self.ends if began < at < later), None)

    def is_sound(self, since: float, until: float, settled: float) -> bool:
        """Tell whether it ran all the time, and for some seconds before.

        :param settled: how long it ran before, in seconds.
        """
        begun = max((at for at in self.starts if at < until), default=until)
        ended = max((at for at in self.ends if at < until), default=0)
        paused = any(
            start < until and end > since - settled
            for start, end in self.pauses
        )
        return not paused and ended < begun <= since - settled

    def takes_reload(self) -> bool:
        """Tell whether the process ignores or handles SIGHUP already."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(('SigIgn', 'SigCgt'))
        ]
        return any(mask & _HUP_BIT for mask in masks)

    def end(self) -> None:
        """Kill it for good."""
        self.leaving_for_good = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    async def _wait_for_end(self, process: trio.Process) -> int:
        """Wait for a process, and leave none behind.

        The run may break off, or end while the process is being started. One
        that was left would go on to call its store and upstreams, on ports
        that other stand-ins get.
        """
        if self.leaving_for_good:
            self.killed = True
            process.kill()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._kill_after_grace, process)
                code = await process.wait()
                nursery.cancel_scope.cancel()
        finally:
            process.kill()
        return code

    async def _kill_after_grace(self, process: trio.Process) -> None:
        """Do as the platform does with who is still there."""
        await self._told.wait()
        await trio.sleep(GRACE)
        self.overruns.append(trio.current_time())
        process.kill()

    def _is_expected(self, code: int) -> bool:
        """Tell whether an exit is that of a program that was told to stop.

        One that was told while it still started ends by the signal itself, and
        so does one that was to read its settings before it could.
        """
        return (
            code == 0
            or (self.stopped_at is not None and code == -signal.SIGTERM)
            or (self.reloaded_early and code == -signal.SIGHUP)
            or (self._overran() and code == -signal.SIGKILL)
        )

    def _overran(self) -> bool:
        return max(self.overruns, default=0) > self.starts[-1]
