"""Measure what callers ask of each service at one instance."""

from collections import deque
from collections.abc import Iterable
from math import ceil, exp2, log2

from cartdale.clock import MINUTE_MS, SECOND_MS, Millis

#: Over which requests are counted: a few spans of a permit. Over 4 s so many of
#: 62 instances with a request in two seconds each look idle for a moment that
#: half of a limit of 6 a second stays unused (tests/load/limited.py).
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
        """Return the requests a second of some services.

        Rounded up to powers of two: what is divided by it should not move
        with each request.
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
