"""Record the rate limits advertised in responses to this instance."""

from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.rate_limits import RateLimit, merge_limits

#: How long an advertised limit, or its end, is published to peers.
_PUBLISHED_FOR: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class _AdvertisedLimit:
    """Hold the limit advertised last and since when it is unchanged."""

    limit: RateLimit
    since: Millis

    def is_published(self, now: Millis) -> bool:
        """Tell whether the limit, or its end, is published to peers.

        A limit is published while it is advertised. Its end is published for a
        while: the request of the first response without the limit may have been
        sent before the last response with it reached a peer, which then cannot
        order the two; later responses settle it.
        """
        newest = self.limit.answered_at if self.limit.limited else self.since
        return now - newest <= _PUBLISHED_FOR


class LimitHistory:
    """Hold the recently advertised limits, for publication to peers.

    Limits reported by peers are left out: instances would otherwise republish
    them to each other forever.
    """

    def __init__(self) -> None:
        self._advertised_by_upstream: dict[str, _AdvertisedLimit] = {}
        #: Incremented whenever a limit is added or changes.
        self.version = 0

    def __contains__(self, upstream: str) -> bool:
        """Tell whether an upstream's limit, or its end, is published."""
        return upstream in self._advertised_by_upstream

    def note(self, upstream: str, advertised: RateLimit, now: Millis) -> None:
        """Record the limit that an upstream advertised."""
        known = self._advertised_by_upstream.get(upstream)
        if known is None:
            self.version += 1
            self._advertised_by_upstream[upstream] = _AdvertisedLimit(
                advertised, now
            )
            return
        limit = merge_limits(known.limit, advertised)
        changed = limit.per_second != known.limit.per_second
        self.version += changed
        since = now if changed else known.since
        self._advertised_by_upstream[upstream] = _AdvertisedLimit(limit, since)

    def list_recent(self, now: Millis) -> dict[str, RateLimit]:
        """Return the recently advertised limits and drop all others."""
        self._advertised_by_upstream = {
            upstream: advertised
            for upstream, advertised in self._advertised_by_upstream.items()
            if advertised.is_published(now)
        }
        return {
            upstream: advertised.limit
            for upstream, advertised in self._advertised_by_upstream.items()
        }
