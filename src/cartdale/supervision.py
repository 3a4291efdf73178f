"""Supervision: an unexpected error costs a task or an item, not the instance.

``keep_running`` is for tasks that never end, ``run_guarded`` for work that is
done once, and ``contain`` for one item of a task.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from math import inf
from typing import TypeVarTuple, Unpack

import trio
from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_result,
    wait_exponential_jitter,
)

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis, as_seconds
from cartdale.failures import log_failure

#: Pauses before a failed task starts again: the first one, which doubles with
#: each further failure, and the longest.
FIRST_RESTART_SECONDS = 0.1
LONGEST_RESTART_SECONDS = 5
_JITTER_SECONDS = 0.05
_RESTART_WAIT = wait_exponential_jitter(
    multiplier=FIRST_RESTART_SECONDS,
    max=LONGEST_RESTART_SECONDS,
    jitter=_JITTER_SECONDS,
)
#: A task that ran for so long starts again after the first pause.
STEADY_AFTER: Millis = MINUTE_MS // 2
#: Minimum time between two log lines on the same task, or on the same item of
#: it, which may fail as often as it arrives.
LOG_INTERVAL: Millis = SECOND_MS
#: Tasks and items whose last log line is remembered.
_MAX_LOGGED = 1000

_Arguments = TypeVarTuple('_Arguments')

_failures_by_task: Counter[str] = Counter()
_Subject = tuple[str, str]
#: When the last failure of each task and item was logged, on the clock of the
#: running loop.
_logged_at_by_subject: trio.lowlevel.RunVar[dict[_Subject, float]] = (
    trio.lowlevel.RunVar('failures logged at')
)


def count_task_failures() -> dict[str, int]:
    """Return how often each task failed in this process, by its name."""
    return dict(_failures_by_task)


@contextmanager
def contain(task: str, part: str = '', **fields: object) -> Iterator[None]:
    """Log and count an error of the context instead of raising it.

    A cancellation passes, and so does what ends the interpreter.

    :param task: what fails, as named in the log and in the metrics.
    :param part: identifies what of it fails, if each has log lines of its own;
        not logged itself.
    :param fields: additional fields of the log line.
    """
    try:
        yield
    except* Exception as failure:
        _failures_by_task[task] += 1
        if _may_log((task, part)):
            count = _failures_by_task[task]
            log_failure(
                'task failed', failure, task=task, failures=count, **fields
            )


async def run_guarded(
    name: str,
    task: Callable[[Unpack[_Arguments]], Awaitable[object]],
    *arguments: Unpack[_Arguments],
) -> None:
    """Run a task once; log its failure."""
    with contain(name):
        await task(*arguments)


async def keep_running(
    name: str,
    task: Callable[[Unpack[_Arguments]], Awaitable[object]],
    *arguments: Unpack[_Arguments],
) -> None:
    """Run a task until it returns; log each failure and start it again.

    The pauses between starts grow while the task fails soon after each.
    """
    await _Supervised(name, partial(task, *arguments)).run()


class _Supervised:
    """One task that is started again after each failure."""

    def __init__(
        self, name: str, task: Callable[[], Awaitable[object]]
    ) -> None:
        self._name = name
        self._task = task
        self._started_at: float = 0

    async def run(self) -> None:
        """Run the task until it returns."""
        retrying = AsyncRetrying(
            sleep=trio.sleep,
            retry=retry_if_result(_has_failed),
            wait=self._choose_pause,
        )
        await retrying(self._run_once)

    async def _run_once(self) -> bool:
        """Run the task; return whether it ended without a failure."""
        self._started_at = trio.current_time()
        ended = False
        with contain(self._name):
            await self._task()
            ended = True
        return ended

    def _choose_pause(self, attempts: RetryCallState) -> float:
        """Return the seconds until the next start."""
        ran = trio.current_time() - self._started_at
        if ran >= as_seconds(STEADY_AFTER):
            attempts.attempt_number = 1
        return _RESTART_WAIT(attempts)


def _has_failed(ended: bool) -> bool:
    return not ended


def _may_log(subject: _Subject) -> bool:
    """Tell whether it is time for a log line, and remember it."""
    logged_at_by_subject = _logged_at_by_subject.get({})
    now = trio.current_time()
    last = logged_at_by_subject.get(subject, -inf)
    if now - last < as_seconds(LOG_INTERVAL):
        return False
    if len(logged_at_by_subject) >= _MAX_LOGGED:
        logged_at_by_subject.clear()
    logged_at_by_subject[subject] = now
    _logged_at_by_subject.set(logged_at_by_subject)
    return True
