"""Remember how long work of each kind took lately."""

from collections import deque
from math import ceil

#: Observations of a kind of work that count, the latest ones.
_KEPT = 32
#: Kinds of work that are known; the one that was added first is dropped.
_MAX_KINDS = 256


class RecentTimes:
    """Learn a time for each kind of work, from the latest of it.

    The averages of ``scheduling.pace`` take twenty generations to follow.

    :param share: of the observations that don't exceed what is told, 0 to 1.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._times_by_kind: dict[str, deque[float]] = {}

    def note(self, kind: str, took: float) -> None:
        """Record a time, in milliseconds."""
        times = self._times_by_kind.get(kind)
        if times is None:
            if len(self._times_by_kind) >= _MAX_KINDS:
                self._times_by_kind.pop(next(iter(self._times_by_kind)))
            times = deque(maxlen=_KEPT)
            self._times_by_kind[kind] = times
        times.append(took)

    def knows(self, kind: str) -> bool:
        """Tell whether anything was observed."""
        return bool(self._times_by_kind.get(kind))

    def find_from(self, kind: str, assumed: float) -> float:
        """Return the time that few exceed, from an assumed one on.

        :param assumed: counts as one observation until enough are known.
        """
        times = self._times_by_kind.get(kind, ())
        if len(times) < _KEPT:
            return self._pick((*times, assumed))
        return self._pick(tuple(times))

    def _pick(self, times: tuple[float, ...]) -> float:
        return sorted(times)[ceil(self._share * len(times)) - 1]
