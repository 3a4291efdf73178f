"""Entry instances as processes beside the stand-ins of a test's stage."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import trio

from cartdale.platform.settings import SETTINGS_PATH_VARIABLE
from tests.fault_soak.instances import ROOT
from tests.fault_soak.ports import ReservedPorts, reserve_ports
from tests.platform_stage import LOCAL, PlatformStage, make_headers, until

_PORTS = 5
#: Of a throttled process, in seconds: how long it stands still, and then runs.
_THROTTLE_SECONDS = 0.01


@dataclass
class ProcessInstance:
    """Run one entry instance as the platform does, but start it only once.

    :param port_count: of the reserved ports: those of callers, of the
        balancer, of other instances, of metrics, and of new instances.
    """

    name: str
    folder: Path
    store_port: int
    settings: dict[str, object] = field(default_factory=dict)
    reserved: ReservedPorts = field(
        default_factory=lambda: reserve_ports(_PORTS)
    )
    process: subprocess.Popen[bytes] | None = None

    @property
    def ports(self) -> tuple[int, ...]:
        return self.reserved.numbers

    @property
    def settings_path(self) -> Path:
        return self.folder / f'{self.name}.conf'

    @property
    def log_path(self) -> Path:
        return self.folder / f'{self.name}.log'

    @property
    def ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def start(self) -> None:
        """Write the settings and start the program."""
        self.write_settings()
        self.run_program()

    def run_program(self) -> None:
        """Start the program."""
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / 'deploy' / 'cartdaled.py')],
                env={
                    **os.environ,
                    SETTINGS_PATH_VARIABLE: str(self.settings_path),
                },
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def write_settings(self, **changed: object) -> None:
        """Write the settings file, with some fields changed.

        :param changed: texts by name, with two underscores for the dot.
        """
        ports = self.ports
        self.settings.update(
            (name.replace('__', '.'), text) for name, text in changed.items()
        )
        written = {
            'node': self.name,
            'ip': LOCAL,
            'zone': 'west',
            'region': 'here',
            'listen.front': f'{LOCAL}:{ports[0]}',
            'listen.ready': f'{LOCAL}:{ports[1]}',
            'internalPorts': f'{ports[2]},{ports[3]}',
            'listen.control': f'{LOCAL}:{ports[4]}',
            'bounds.graceS': 8,
            'bounds.retryBudgetRatio': 0.2,
            'bounds.budgetWindowS': 10,
            'bounds.budgetSlack': 50,
            'platform.address': f'{LOCAL}:{self.store_port}',
            **self.settings,
        }
        self.settings_path.write_text(
            ''.join(f'{name}={text}\n' for name, text in written.items())
        )

    def stop(self) -> None:
        """Kill the process, and let others have its ports."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.reserved.close()

    def read_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        lines = self.log_path.read_bytes().splitlines()
        decoded = [json.loads(line) for line in lines if line[:1] == b'{']
        return [line for line in decoded if line.get('event') == event]

    async def is_ready(self, client: httpx.AsyncClient) -> bool:
        """Return what the balancer would find."""
        url = f'http://{LOCAL}:{self.ports[1]}/cartdale/ready'
        try:
            response = await client.get(url, timeout=1)
        except httpx.HTTPError:
            return False
        return response.status_code == httpx.codes.OK

    async def wait_ready(self, client: httpx.AsyncClient) -> None:
        """Wait until the instance is ready.

        :raises AssertionError: if its process ends first.
        """
        while not await self.is_ready(client):
            assert not self.ended, self.log_path.read_text()[-2000:]
            await trio.sleep(0.05)

    async def ask(
        self, client: httpx.AsyncClient, request_id: str
    ) -> httpx.Response:
        """Ask a plain service, once, and return its answer."""
        return await client.post(
            f'http://{LOCAL}:{self.ports[0]}/cut/a',
            headers=make_headers(request_id),
            content=b'x',
        )


@contextmanager
def open_instances(
    stage: PlatformStage, folder: Path, *names: str
) -> Iterator[list[ProcessInstance]]:
    """Give instances that use a stage's store; the context's end kills them."""
    instances = [
        ProcessInstance(name, folder, stage.store_port) for name in names
    ]
    try:
        yield instances
    finally:
        for each in instances:
            each.stop()


async def wait_for_line(instance: ProcessInstance, event: str) -> None:
    """Wait until an instance has logged an event."""
    await until(lambda: instance.read_lines(event))


async def stop_as_the_platform(
    instance: ProcessInstance, grace_seconds: float
) -> None:
    """Tell an instance to stop, and kill its process at the grace's end."""
    process = instance.process
    assert process is not None
    process.send_signal(signal.SIGTERM)
    with trio.move_on_after(grace_seconds):
        await until(lambda: instance.ended)
    process.kill()
    await until(lambda: instance.ended)


@contextmanager
def throttled(instance: ProcessInstance) -> Iterator[None]:
    """Let a process run for half of the time, as with half a processor."""
    process = instance.process
    assert process is not None
    ended = threading.Event()

    def throttle() -> None:
        while not ended.is_set():
            process.send_signal(signal.SIGSTOP)
            time.sleep(_THROTTLE_SECONDS)
            process.send_signal(signal.SIGCONT)
            time.sleep(_THROTTLE_SECONDS)

    thread = threading.Thread(target=throttle)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


@contextmanager
def hold_port(port: int, kind: socket.SocketKind) -> Iterator[None]:
    """Hold a port as a connection of another program does."""
    with socket.socket(type=kind) as holder:
        holder.bind((LOCAL, port))
        yield
