"""Tell when the loop has nothing else to do."""

import trio

_QUIET_PASSES = 2


class _StepCounter(trio.abc.Instrument):
    """Count the steps of all tasks."""

    def __init__(self) -> None:
        self.steps = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count one step."""
        self.steps += 1


async def wait_for_spare_time() -> None:
    """Return once every other task waits for something.

    Tasks run in any order within a pass of the loop, so that only the second
    pass without another step shows that no task is left out.
    """
    counter = _StepCounter()
    trio.lowlevel.add_instrument(counter)
    try:
        await _wait_for_quiet(counter)
    finally:
        trio.lowlevel.remove_instrument(counter)


async def _wait_for_quiet(counter: _StepCounter) -> None:
    quiet = 0
    while quiet < _QUIET_PASSES:
        before = counter.steps
        await trio.lowlevel.checkpoint()
        own = counter.steps == before + 1
        quiet = quiet + 1 if own else 0
