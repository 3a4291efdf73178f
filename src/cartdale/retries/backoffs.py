"""Track the back-offs that upstreams request.

A 503 response may state a back-off in ``Retry-After`` (RFC 9110, section
10.2.3). The back-off that ends last applies: a shorter one that arrives
later belongs to another response.
"""

from math import isnan

from cartdale.clock import HOUR_MS, SECOND_MS, Clock, Millis

#: Longer requested back-offs are reduced to this.
MAX_BACKOFF: Millis = 24 * HOUR_MS


def parse_retry_after(header: str | bytes) -> Millis:
    """Parse a back-off in seconds from a ``Retry-After`` header.

    Dates are not supported, since the clocks of upstreams may be seconds
    off. Returns 0 for text that is not a number and for negative numbers.
    """
    try:
        seconds = float(header)
    except ValueError:
        return 0
    if isnan(seconds):
        return 0
    return int(min(max(seconds, 0) * SECOND_MS, MAX_BACKOFF))


class BackoffTracker:
    """Ends of the back-offs that upstreams requested from this instance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_by_upstream: dict[str, Millis] = {}

    def note(self, upstream: str, backoff: Millis) -> None:
        """Record a back-off that an upstream requested; 0 for none."""
        until = self._clock.now() + backoff
        known_until = self._until_by_upstream.get(upstream, 0)
        if backoff and until > known_until:
            self._until_by_upstream[upstream] = until

    def remaining(self, upstream: str) -> Millis:
        """Return the remaining back-off of an upstream, or 0."""
        until = self._until_by_upstream.get(upstream, 0)
        return max(until - self._clock.now(), 0)

    def list_backing_off(self) -> tuple[str, ...]:
        """Return the upstreams that are backing off; drop ended back-offs."""
        now = self._clock.now()
        self._until_by_upstream = {
            name: until
            for name, until in self._until_by_upstream.items()
            if until > now
        }
        return tuple(self._until_by_upstream)
