"""Uneven speed of stand-ins, which they tell in their answers."""

from collections.abc import Callable
from random import Random

import trio

_PERCENT = 100
#: Usual slowness, and that of moments, by how often they begin.
_SLOWNESS = (1, 1, 1, 1, 2.5, 4)
#: Shortest and longest time until the slowness jumps, in seconds.
_JUMP_SECONDS = (0.2, 1.0)
_SLOTS = 16


class UnevenSpeed:
    """Vary how long work takes at a stand-in.

    :param factor: time that work takes there, relative to the usual.
    :param random: draws when the slowness jumps; ``None`` for never, and for
        answers that don't tell the load.
    :param work_seconds: time that a plain request takes at the usual speed.
    """

    def __init__(
        self,
        factor: float = 1,
        random: Random | None = None,
        work_seconds: float = 0,
    ) -> None:
        self._factor = factor
        self.work_seconds = work_seconds
        self._random = random
        self._slowness: float = 1

    @property
    def present(self) -> float:
        """Return the time that work takes now, relative to the usual."""
        return self._factor * self._slowness

    def describe_load(self, running: Callable[[], int]) -> str:
        """Return the load as the header says it; empty if it is not told.

        :param running: returns the number of requests that are worked on.
        """
        if self._random is None:
            return ''
        percent = round(self._slowness * _PERCENT)
        return f'{running()},0,{_SLOTS},{percent}'

    async def run(self) -> None:
        """Let the slowness jump, for ever."""
        random = self._random
        while random is not None:
            self._slowness = random.choice(_SLOWNESS)
            await trio.sleep(random.uniform(*_JUMP_SECONDS))
