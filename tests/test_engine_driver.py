"""Drive the model of the engine stand-in by the clock."""

import trio
from trio.testing import wait_all_tasks_blocked

from cartdale.clock import SystemClock, as_seconds
from cartdale.model.types import Hardware, Job
from cartdale_standins.driver import EngineDriver, Record

TOKENS = 3
#: Only reports of the load are due so often.
REPORT_SECONDS = 0.5
HARDWARE = Hardware(memory_tokens=1000, step_base_ms=4)


async def test_idle_engine_does_not_poll(autojump_clock) -> None:
    """Guards against engines that keep a core busy while they have no work.

    Tests with many engines then took too long beside other processes.
    """
    driver = EngineDriver(HARDWARE, SystemClock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(driver.run)
        await wait_all_tasks_blocked()
        statistics = trio.lowlevel.current_statistics()
        assert statistics.seconds_to_next_deadline >= REPORT_SECONDS
        nursery.cancel_scope.cancel()


# Guards against an idle engine that misses what it is given.
async def test_idle_engine_begins_and_ends_what_it_accepts(
    autojump_clock,
) -> None:
    driver = EngineDriver(HARDWARE, SystemClock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(driver.run)
        for name in ('one', 'two'):
            await wait_all_tasks_blocked()
            record = Record(name, 0, TOKENS, chat=False)
            driver.records_by_generation[name] = record
            assert driver.accept(Job(name, 10, TOKENS))
            began = trio.current_time()
            while record.produced < TOKENS:
                await record.changed.wait()
            took = trio.current_time() - began
            assert took < as_seconds(20 * HARDWARE.step_base_ms)
        nursery.cancel_scope.cancel()
