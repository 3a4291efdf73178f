"""Remember which rate limits were named in answers to this instance."""

from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.rate_limits import RateLimit, merge_limits

#: Peers are told of what was named for so long.
_TOLD: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class _Named:
    """Hold what was named last, and since when it is the same."""

    limit: RateLimit
    since: Millis

    def is_told(self, now: Millis) -> bool:
        """Tell whether peers should hear of it.

        Of a limit for as long as it is named, of its end for a while: the
        first answer without a limit may be asked for before the last one that
        named it came to a peer, which later answers make up for.
        """
        newest = self.limit.answered_at if self.limit.limited else self.since
        return now - newest <= _TOLD


class LimitHistory:
    """Hold what was named of late, to be told to peers.

    What peers told is left out: all would tell it to all for ever.
    """

    def __init__(self) -> None:
        self._named_by_upstream: dict[str, _Named] = {}
        #: Counts the limits that changed.
        self.version = 0

    def __contains__(self, upstream: str) -> bool:
        """Tell whether peers are told of an upstream's limit, or its end."""
        return upstream in self._named_by_upstream

    def note(self, upstream: str, named: RateLimit, now: Millis) -> None:
        """Take what an upstream named."""
        known = self._named_by_upstream.get(upstream)
        if known is None:
            self.version += 1
            self._named_by_upstream[upstream] = _Named(named, now)
            return
        limit = merge_limits(known.limit, named)
        changed = limit.per_second != known.limit.per_second
        self.version += changed
        since = now if changed else known.since
        self._named_by_upstream[upstream] = _Named(limit, since)

    def list_recent(self, now: Millis) -> dict[str, RateLimit]:
        """Return what was named of late, and forget the rest."""
        self._named_by_upstream = {
            upstream: named
            for upstream, named in self._named_by_upstream.items()
            if named.is_told(now)
        }
        return {
            upstream: named.limit
            for upstream, named in self._named_by_upstream.items()
        }
