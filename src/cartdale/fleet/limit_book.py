"""Remember which rate limits were named in answers to this instance."""

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.rate_limits import RateLimit, merge_limits

#: Peers are told of what was named for so long.
_TOLD: Millis = 3 * SECOND_MS


class LimitBook:
    """Hold what was named of late, to be told to peers.

    What peers told is left out: all would tell it to all for ever.
    """

    def __init__(self) -> None:
        self._limits_by_upstream: dict[str, RateLimit] = {}
        #: Counts the limits that changed.
        self.version = 0

    def note(self, upstream: str, named: RateLimit) -> None:
        """Take what an upstream named."""
        known = self._limits_by_upstream.get(upstream)
        limit = named if known is None else merge_limits(known, named)
        if known is None or known.per_second != limit.per_second:
            self.version += 1
        self._limits_by_upstream[upstream] = limit

    def list_recent(self, now: Millis) -> dict[str, RateLimit]:
        """Return what was named of late, and forget the rest."""
        self._limits_by_upstream = {
            upstream: limit
            for upstream, limit in self._limits_by_upstream.items()
            if now - limit.answered_at <= _TOLD
        }
        return self._limits_by_upstream
