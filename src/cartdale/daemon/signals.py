"""Obey the signals that a daemon gets from its platform."""

import signal
from collections.abc import Callable

import trio

_WANTED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def obey_signals(
    leave: Callable[[], None], reload: Callable[[], None]
) -> None:
    """Leave on SIGTERM and SIGINT, read settings again on SIGHUP."""
    with trio.open_signal_receiver(*_WANTED) as received:
        async for number in received:
            if number == signal.SIGHUP:
                reload()
                continue
            leave()
