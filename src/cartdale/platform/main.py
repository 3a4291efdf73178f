"""Start an entry instance on the platform."""

import os
import signal
import sys
import time
from pathlib import Path

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, as_seconds, run_loop
from cartdale.daemon.collector import spare_loaded_objects
from cartdale.daemon.gateway import GatewayRuntime
from cartdale.daemon.signals import obey_signals
from cartdale.exceptions import BadInputError, CartdaleError, InputFault
from cartdale.failures import log_failure
from cartdale.logs import configure_json_logs, name_logs
from cartdale.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    PlatformSettings,
    load_start_settings,
)
from cartdale.switches import OFF_VARIABLE, parse_switches

#: How long an ending process waits for the reader of its logs.
_LAST_LINES_TIMEOUT: Millis = 100
#: How long a start waits for a file that lacks fields, and between looks.
_SETTINGS_TIMEOUT: Millis = 3 * SECOND_MS
_SETTINGS_EVERY: Millis = 50
_ENDING = (signal.SIGTERM, signal.SIGINT)
_DEFAULT_PATH = '/etc/cartdale/local.conf'


def main() -> None:
    """Run the daemon with the settings file that the platform provides."""
    logs = configure_json_logs('')
    try:
        _serve(Path(os.environ.get(SETTINGS_PATH_VARIABLE, _DEFAULT_PATH)))
    finally:
        logs.close(_LAST_LINES_TIMEOUT)


def wait_for_settings(path: Path) -> PlatformSettings:
    """Read the settings, for a while again if the file is not whole.

    The platform may be writing it at this moment.

    :raises BadInputError: naming file, line and field of every fault.
    """
    ends_at = time.monotonic() + as_seconds(_SETTINGS_TIMEOUT)
    logged: tuple[InputFault, ...] = ()
    read = load_start_settings(path)
    while read.lacks_fields and time.monotonic() < ends_at:
        if read.faults != logged:
            logged = read.faults
            detail = BadInputError(logged).format_message()
            logger.warning('settings not whole', detail=detail)
        time.sleep(as_seconds(_SETTINGS_EVERY))
        read = load_start_settings(path)
    if read.settings is None:
        raise BadInputError(read.faults)
    for fault in read.faults:
        instance = read.settings.name
        logger.error('default used', instance=instance, detail=str(fault))
    return read.settings


def _serve(path: Path) -> None:
    try:
        settings = wait_for_settings(path)
        switches = parse_switches(os.environ.get(OFF_VARIABLE, ''))
    except CartdaleError as error:
        logger.error('settings refused', detail=error.format_message())
        sys.stderr.write(f'{error.format_message()}\n')
        sys.exit(error.exit_code)
    name_logs(settings.name)
    spare_loaded_objects()
    try:
        run_loop(_run, GatewayRuntime(settings, path, switches))
    except Exception as error:
        log_failure('instance ended', error, instance=settings.name)
        raise


async def _run(runtime: GatewayRuntime) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(obey_signals, runtime.leave, runtime.reload)
        await runtime.run()
        # Nobody obeys one from here on, and it would end the process before
        # its last lines are written.
        signal.pthread_sigmask(signal.SIG_BLOCK, _ENDING)
        nursery.cancel_scope.cancel()
