"""Clock: the one source of time, in milliseconds."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import trio

#: A point in time or a duration, in whole milliseconds.
Millis = int

SECOND_MS: Millis = 1000
MINUTE_MS: Millis = 60 * SECOND_MS
HOUR_MS: Millis = 60 * MINUTE_MS


class Clock(Protocol):
    """Give the current time to code that decides nothing by itself."""

    def now(self) -> Millis:
        """Return monotonic milliseconds since an arbitrary origin."""

    def wall_time(self) -> Millis:
        """Return milliseconds since the Unix epoch."""


class BootClock(trio.abc.Clock):
    """Let a trio loop count the time in which its machine was suspended.

    The steady clock stands still then, and with it whatever is believed for a
    while: leases, time limits, the age of news, who is alive. On its own the
    loop wakes from a wait only after the rest of that wait; every instance
    looks around a few times a second.
    """

    def start_clock(self) -> None:
        """Begin; there is nothing to do."""

    def current_time(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how many seconds remain until a time."""
        return deadline - self.current_time()


def run_loop(entry: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Run a program's loop on a clock that counts suspended time."""
    trio.run(entry, *arguments, clock=BootClock())


@dataclass(frozen=True, slots=True)
class SystemClock:
    """Read the running trio loop's clock, which tests may replace."""

    def now(self) -> Millis:
        """Return monotonic milliseconds of the running loop."""
        return int(trio.current_time() * SECOND_MS)

    def wall_time(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return int(time.time() * SECOND_MS)


class VirtualClock:
    """Advance only when told to, for tests and measurements.

    :param start: first reading of the monotonic clock, in milliseconds.
    :param epoch: what to add for the wall clock, in milliseconds.
    """

    def __init__(self, start: Millis = 0, epoch: Millis = 0) -> None:
        self._current = start
        self._epoch = epoch

    def now(self) -> Millis:
        """Return the virtual monotonic time."""
        return self._current

    def wall_time(self) -> Millis:
        """Return the virtual wall time."""
        return self._epoch + self._current

    def advance(self, step: Millis) -> None:
        """Move time forward by ``step`` milliseconds."""
        self._current += step


def as_seconds(duration: Millis) -> float:
    """Convert milliseconds to the seconds that libraries expect."""
    return duration / SECOND_MS
