"""Command line of the stand-ins; each runs as a process of its own."""

import sys

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from quart_trio import QuartTrio

from cartdale.daemon.serve import BoundListener
from cartdale.model.types import Hardware
from cartdale.settings.types import Listener
from cartdale_standins.engine import EngineStandIn
from cartdale_standins.instances import InstancesStandIn
from cartdale_standins.plain import PlainStandIn
from cartdale_standins.platform_engine import PlatformEngine
from cartdale_standins.platform_store import PlatformStoreStandIn, enlist
from cartdale_standins.platform_worker import PlatformWorker
from cartdale_standins.store import StoreStandIn
from cartdale_standins.weights import WeightsStandIn

_MEMORY = 16384
_STEP_MS = 12
_PORT = option('port', 'p', 'Port to listen on.', flag=False)


class StandInCommand(Command):
    """Serve one stand-in until it is stopped."""

    options = [_PORT]

    def handle(self) -> int:
        """Bind, then serve."""
        listener = Listener('127.0.0.1', int(self.option('port') or 0))
        trio.run(self.serve, BoundListener(listener))
        return 0

    async def serve(self, bound: BoundListener) -> None:
        """Serve; overridden by each stand-in."""
        raise NotImplementedError

    async def serve_app(self, bound: BoundListener, app: QuartTrio) -> None:
        """Serve one application for ever."""
        await bound.serve(app, trio.Event())


class StoreCommand(StandInCommand):
    """Serve the key-value stand-in."""

    name = 'store'
    description = 'Serve the key-value stand-in.'

    async def serve(self, bound: BoundListener) -> None:
        """Serve the store."""
        await self.serve_app(bound, StoreStandIn().make_app())


class EngineCommand(StandInCommand):
    """Serve an engine stand-in."""

    name = 'engine'
    description = 'Serve an engine stand-in.'
    options = [
        _PORT,
        option('memory', 'm', 'Memory in tokens.', flag=False),
        option('step-ms', None, 'Base time of a step.', flag=False),
    ]

    async def serve(self, bound: BoundListener) -> None:
        """Serve the engine and drive its model."""
        hardware = Hardware(
            memory_tokens=int(self.option('memory') or _MEMORY),
            step_base_ms=float(self.option('step-ms') or _STEP_MS),
        )
        standin = EngineStandIn(hardware)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(standin.driver.run)
            await self.serve_app(bound, standin.make_app())


class WeightsCommand(StandInCommand):
    """Serve the weight-store stand-in."""

    name = 'weights'
    description = 'Serve the weight-store stand-in.'

    async def serve(self, bound: BoundListener) -> None:
        """Serve weights."""
        await self.serve_app(bound, WeightsStandIn().make_app())


class InstancesCommand(StandInCommand):
    """Serve the instance-list stand-in."""

    name = 'instances'
    description = 'Serve the instance-list stand-in.'

    async def serve(self, bound: BoundListener) -> None:
        """Serve the list."""
        await self.serve_app(bound, InstancesStandIn().make_app())


class PlainCommand(StandInCommand):
    """Serve the plain-service stand-in."""

    name = 'plain'
    description = 'Serve the plain-service stand-in.'

    async def serve(self, bound: BoundListener) -> None:
        """Serve the plain service."""
        await self.serve_app(bound, PlainStandIn().make_app())


class PlatformStoreCommand(StandInCommand):
    """Serve the stand-in of the platform's store."""

    name = 'platform-store'
    description = "Serve the stand-in of the platform's store."

    async def serve(self, bound: BoundListener) -> None:
        """Serve the store."""
        await self.serve_app(bound, PlatformStoreStandIn().make_app())


class PlatformPlainCommand(StandInCommand):
    """Serve a plain service that lists itself in the platform's store."""

    name = 'platform-plain'
    description = 'Serve a plain service of the platform.'
    service = 'portal'
    options = [
        _PORT,
        option('name', None, 'Id of this start.', flag=False),
        option('store', None, 'IP:PORT of the store.', flag=False),
    ]

    async def serve(self, bound: BoundListener) -> None:
        """List the service, then serve it."""
        worker = self.make_worker(f'127.0.0.1:{bound.port}')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                enlist,
                self.option('store'),
                self.option('name'),
                self.service,
                bound.port,
            )
            nursery.start_soon(worker.run)
            await self.serve_app(bound, worker.make_app())

    def make_worker(self, address: str) -> PlatformWorker:
        """Return what is served."""
        return PlatformWorker(self.option('name'))


class PlatformEngineCommand(PlatformPlainCommand):
    """Serve an engine that lists itself in the platform's store."""

    name = 'platform-engine'
    description = 'Serve an engine of the platform.'
    service = 'writers'

    def make_worker(self, address: str) -> PlatformWorker:
        """Return what is served."""
        hardware = Hardware(memory_tokens=_MEMORY, step_base_ms=_STEP_MS)
        return PlatformEngine(self.option('name'), address, hardware)


def main() -> None:
    """Run the ``cartdale-standin`` program."""
    application = Application('cartdale-standin', '0.1.0')
    for command in (
        StoreCommand(),
        EngineCommand(),
        PlainCommand(),
        InstancesCommand(),
        WeightsCommand(),
        PlatformStoreCommand(),
        PlatformPlainCommand(),
        PlatformEngineCommand(),
    ):
        application.add(command)
    sys.exit(application.run())
