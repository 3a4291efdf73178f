"""Obey the signals that a daemon gets from its platform."""

import signal
from collections.abc import Callable
from functools import partial

import trio
from loguru import logger

from cartdale.exceptions import CartdaleError
from cartdale.supervision import contain

_WANTED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def obey_signals(
    leave: Callable[[], None], reload: Callable[[], None]
) -> None:
    """Leave on SIGTERM and SIGINT, read settings again on SIGHUP.

    Settings that are refused are logged, and what was in force stays. Signals
    that the start of the program blocked are obeyed too.
    """
    with trio.open_signal_receiver(*_WANTED) as received:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _WANTED)
        async for number in received:
            obey = leave
            if number == signal.SIGHUP:
                obey = partial(_reload, reload)
            with contain('signals', signal=signal.Signals(number).name):
                obey()


def _reload(reload: Callable[[], None]) -> None:
    try:
        reload()
    except CartdaleError as error:
        logger.error('settings refused', detail=error.format_message())
