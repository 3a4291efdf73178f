"""Command line of the daemon."""

import sys
from pathlib import Path

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from cartdale.clock import run_loop
from cartdale.daemon.collector import spare_loaded_objects
from cartdale.daemon.runtime import Runtime
from cartdale.daemon.signals import obey_signals
from cartdale.exceptions import CartdaleError
from cartdale.failures import log_failure
from cartdale.logs import configure_logs
from cartdale.settings.load import load_settings


class RunCommand(Command):
    """Serve as an entry instance until told to leave."""

    name = 'run'
    description = 'Serve as an entry instance until told to leave.'
    options = [
        option('settings', 's', 'Settings file.', flag=False),
    ]

    def handle(self) -> int:
        """Run the daemon."""
        path = Path(self.option('settings') or 'cartdaled.json')
        try:
            settings = load_settings(path)
            configure_logs(settings.logging, settings.name)
            runtime = Runtime(settings, path.parent)
        except CartdaleError as error:
            self.line_error(error.format_message())
            return error.exit_code
        spare_loaded_objects()
        try:
            run_loop(_run, runtime)
        except Exception as error:
            log_failure('instance ended', error, instance=settings.name)
            raise
        return 0


class CheckCommand(Command):
    """Check a settings file."""

    name = 'check'
    description = 'Check a settings file and its key files.'
    options = RunCommand.options

    def handle(self) -> int:
        """Report every fault of the settings."""
        path = Path(self.option('settings') or 'cartdaled.json')
        try:
            load_settings(path)
        except CartdaleError as error:
            self.line_error(error.format_message())
            return error.exit_code
        self.line(f'{path}: good')
        return 0


async def _run(runtime: Runtime) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(obey_signals, runtime.leave, runtime.reload_keys)
        await runtime.run()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the ``cartdaled`` program."""
    application = Application('cartdaled', '0.1.0')
    application.add(RunCommand())
    application.add(CheckCommand())
    sys.exit(application.run())
