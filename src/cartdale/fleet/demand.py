"""Measure the demand for each service at one instance."""

from collections import deque
from collections.abc import Iterable
from math import ceil, exp2, log2

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis

#: Requests are counted over this window, a few spans of a permit. With 4 s, so
#: many of 62 instances with one request per two seconds each appear idle at
#: times that half of a limit of 6 per second is unused (tests/load/limited.py).
_WINDOW: Millis = MINUTE_MS // 4


class DemandMeter:
    """Count the requests that arrive for each service."""

    def __init__(self) -> None:
        self._arrivals_by_service: dict[str, deque[Millis]] = {}

    def note(self, service: str, now: Millis) -> None:
        """Count a request."""
        arrivals = self._arrivals_by_service.setdefault(service, deque())
        arrivals.append(now)
        _forget(arrivals, now)

    def measure(self, services: Iterable[str], now: Millis) -> dict[str, float]:
        """Return the request rates of some services, per second.

        Rounded up to powers of two, so that the division of permits does not
        change with each request.
        """
        rates_by_service: dict[str, float] = {}
        for service in services:
            arrivals = self._arrivals_by_service.get(service, deque())
            _forget(arrivals, now)
            rate = len(arrivals) * SECOND_MS / _WINDOW
            rounded = exp2(ceil(log2(rate))) if rate else 0
            rates_by_service[service] = rounded
        return rates_by_service


def _forget(arrivals: deque[Millis], now: Millis) -> None:
    while arrivals and now - arrivals[0] >= _WINDOW:
        arrivals.popleft()
