"""Remember how fast generations of each service went lately."""

from collections import deque
from math import ceil

#: Generations of a service that count, the latest ones.
_KEPT = 32
#: Share of them that were at least as fast as the time that is told.
_SHARE = 0.9


class TokenTimes:
    """Learn the time of a token from generations that have just begun.

    The averages of ``scheduling.pace`` take twenty whole generations to follow.
    """

    def __init__(self) -> None:
        self._times_by_service: dict[str, deque[float]] = {}

    def note(self, service: str, token_time: float) -> None:
        """Record the milliseconds per token of one generation."""
        times = self._times_by_service.get(service)
        if times is None:
            times = deque(maxlen=_KEPT)
            self._times_by_service[service] = times
        times.append(token_time)

    def find(self, service: str, default: float) -> float:
        """Return the milliseconds per token that few exceed.

        :param default: returned if nothing is known.
        """
        times = sorted(self._times_by_service.get(service, ()))
        if not times:
            return default
        return times[ceil(_SHARE * len(times)) - 1]
