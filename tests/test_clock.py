"""A machine that was suspended: what is believed for a while ages meanwhile.

The steady clock stands still then; CLOCK_BOOTTIME and the time of day go on.
"""

import time
from collections.abc import Callable

import pytest
import trio

from cartdale.clock import SECOND_MS, SystemClock, run_loop
from cartdale.daemon import main as own_program
from cartdale.platform import main as platform_program

SUSPENDED_SECONDS = 30


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return what suspends the machine: only CLOCK_BOOTTIME moves on."""
    read = time.clock_gettime
    passed = [0]

    def read_later(clock: int) -> float:
        later = passed[0] if clock == time.CLOCK_BOOTTIME else 0
        return read(clock) + later

    def suspend_now() -> None:
        passed[0] += SUSPENDED_SECONDS

    monkeypatch.setattr(time, 'clock_gettime', read_later)
    return suspend_now


def test_suspended_time_counts(suspend: Callable[[], None]) -> None:
    found: list[int] = []

    async def look() -> None:
        clock = SystemClock()
        before = clock.now()
        suspend()
        found.append(clock.now() - before)

    run_loop(look)
    assert found[0] >= SUSPENDED_SECONDS * SECOND_MS


def test_time_limits_pass_while_suspended(suspend: Callable[[], None]) -> None:
    found: list[bool] = []

    async def wait() -> None:
        with trio.move_on_after(SUSPENDED_SECONDS) as limit:
            suspend()
            # Whatever wakes the loop next sees that the limit has passed.
            await trio.sleep(0.01)
            await trio.sleep_forever()
        found.append(limit.cancelled_caught)

    run_loop(wait)
    assert found == [True]


@pytest.mark.parametrize('program', [own_program, platform_program])
def test_programs_count_suspended_time(program) -> None:
    assert program.run_loop is run_loop
