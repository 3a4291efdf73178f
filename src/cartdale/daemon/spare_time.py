"""Tell when the loop has nothing else to do."""

import trio

#: Tasks run in any order within a pass of the loop, so that only the second
#: pass without another step shows that no task is left out.
_QUIET_PASSES = 2

_Tasks = set[trio.lowlevel.Task]
_WAITING: trio.lowlevel.RunVar[_Tasks] = trio.lowlevel.RunVar('spare_time')


class _StepCounter(trio.abc.Instrument):
    """Count the steps of tasks, but for those that wait for spare time.

    :param waiting: the latter.
    """

    def __init__(self, waiting: _Tasks) -> None:
        self._waiting = waiting
        self.steps = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count one step."""
        self.steps += task not in self._waiting


async def wait_for_spare_time() -> None:
    """Return once every other task waits for something."""
    waiting = _find_waiting()
    counter = _StepCounter(waiting)
    task = trio.lowlevel.current_task()
    waiting.add(task)
    trio.lowlevel.add_instrument(counter)
    try:
        await _wait_for_quiet(counter)
    finally:
        trio.lowlevel.remove_instrument(counter)
        waiting.remove(task)


async def _wait_for_quiet(counter: _StepCounter) -> None:
    quiet = 0
    while quiet < _QUIET_PASSES:
        before = counter.steps
        await trio.lowlevel.checkpoint()
        quiet = quiet + 1 if counter.steps == before else 0


def _find_waiting() -> _Tasks:
    """Return the tasks of this loop that wait for spare time."""
    try:
        return _WAITING.get()
    except LookupError:
        waiting: _Tasks = set()
        _WAITING.set(waiting)
        return waiting
