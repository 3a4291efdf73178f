"""Remember how long work of each service took lately."""

from collections import deque
from math import ceil

#: Observations of a service that count, the latest ones.
_KEPT = 32


class RecentTimes:
    """Learn a time of each service from its latest work.

    The averages of ``scheduling.pace`` take twenty generations to follow.

    :param share: of the observations that don't exceed what is told, 0 to 1.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._times_by_service: dict[str, deque[float]] = {}

    def note(self, service: str, took: float) -> None:
        """Record a time, in milliseconds."""
        times = self._times_by_service.get(service)
        if times is None:
            times = deque(maxlen=_KEPT)
            self._times_by_service[service] = times
        times.append(took)

    def find(self, service: str) -> float | None:
        """Return the time that few exceed; ``None`` if nothing is known."""
        times = self._times_by_service.get(service)
        return self._pick(tuple(times)) if times else None

    def find_from(self, service: str, assumed: float) -> float:
        """Return the time that few exceed, from an assumed one on.

        :param assumed: counts as one observation until enough are known.
        """
        times = self._times_by_service.get(service, ())
        if len(times) < _KEPT:
            return self._pick((*times, assumed))
        return self._pick(tuple(times))

    def _pick(self, times: tuple[float, ...]) -> float:
        return sorted(times)[ceil(self._share * len(times)) - 1]
