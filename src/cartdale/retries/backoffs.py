"""Keep to the time for which upstreams want no requests.

A 503 may say for how long its upstream wants to be left alone (RFC 9110,
section 10.2.3). The longest time that one asked for holds: a shorter one that
it asks for later is that of another answer.
"""

from math import isnan

from cartdale.clock import HOUR_MS, SECOND_MS, Clock, Millis

#: Longest rest that an upstream is taken to ask for.
MAX_BACKOFF: Millis = 24 * HOUR_MS


def parse_retry_after(asked: str | bytes) -> Millis:
    """Read how long an upstream wants to be left alone, in seconds there.

    Dates are not read: the clocks of upstreams may be seconds off. What is no
    number, or lies in the past, asks for nothing.
    """
    try:
        wanted = float(asked)
    except ValueError:
        return 0
    if isnan(wanted):
        return 0
    return int(min(max(wanted, 0) * SECOND_MS, MAX_BACKOFF))


class BackoffTracker:
    """Know which upstreams asked this instance for rest, and for how long."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_by_upstream: dict[str, Millis] = {}

    def note(self, upstream: str, backoff: Millis) -> None:
        """Take what an upstream asks for; 0 for nothing."""
        until = self._clock.now() + backoff
        known = self._until_by_upstream.get(upstream, 0)
        if backoff and until > known:
            self._until_by_upstream[upstream] = until

    def remaining(self, upstream: str) -> Millis:
        """Return for how long nothing may be sent to an upstream."""
        until = self._until_by_upstream.get(upstream, 0)
        return max(until - self._clock.now(), 0)

    def list_backing_off(self) -> tuple[str, ...]:
        """Return the upstreams that rest, and forget those that did."""
        now = self._clock.now()
        self._until_by_upstream = {
            name: until
            for name, until in self._until_by_upstream.items()
            if until > now
        }
        return tuple(self._until_by_upstream)
