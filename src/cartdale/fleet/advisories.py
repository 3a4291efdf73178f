"""Record the advisories in responses of upstreams."""

from loguru import logger

from cartdale.clock import Clock, Millis
from cartdale.fleet.driver import Fleet
from cartdale.fleet.rate_limits import RateLimit
from cartdale.fleet.types import (
    Advisory,
    BackoffRequested,
    LeavingAnnounced,
    Lifecycle,
    LimitAdvertised,
    Upstream,
)


class AdvisoryRecorder:
    """Record advisories, and withhold requests that they forbid.

    :param fleet: holds the state of upstreams.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock

    def now(self) -> Millis:
        """Return the time, by the clock that ``record`` expects."""
        return self._clock.now()

    def record(
        self,
        upstream: str,
        advisory: Advisory,
        request_id: str,
        asked_at: Millis,
    ) -> None:
        """Record the advisory of a response when its head arrives.

        :param request_id: of the request.
        :param asked_at: when the request was sent, in monotonic milliseconds.
        """
        before = self._fleet.find(upstream)
        if before is None:
            return
        if advisory.leaving:
            self._fleet.dispatch(LeavingAnnounced(upstream))
        if advisory.backoff:
            self._fleet.dispatch(BackoffRequested(upstream, advisory.backoff))
        self._take_limit(before, advisory, asked_at)
        after = self._fleet.find(upstream)
        if after is None or _is_same(before, after):
            return
        self._fleet.departures_observed += advisory.leaving
        self._fleet.announce()
        logger.info(
            'upstream says',
            upstream=upstream,
            request=request_id,
            leaving=advisory.leaving,
            rest=advisory.backoff,
            limit=after.rate_limit.per_second,
            limit_before=before.rate_limit.per_second,
        )

    def must_withhold(
        self, upstream: str, *, resumes: bool, counted: bool = False
    ) -> bool:
        """Tell whether a request may no longer be sent to an upstream.

        Called just before sending, some time after the placement: connecting
        takes from a millisecond to seconds, and other requests that were placed
        at the same moment may have been rejected meanwhile.

        :param resumes: whether the request resumes from a copy there. It is no
            new work and would be lost otherwise, so that it is sent to a
            leaving upstream as well.
        :param counted: whether the bounds on the rate of the upstream count the
            request already.
        """
        known = self._fleet.find(upstream)
        if known is None or known.backoff_until > self._clock.now():
            return True
        if known.lifecycle is Lifecycle.LEAVING and not resumes:
            return True
        return not counted and not self._fleet.spend(known, resumes=resumes)

    def _take_limit(
        self, known: Upstream, advisory: Advisory, asked_at: Millis
    ) -> None:
        if advisory.limit is None:
            return
        named = RateLimit(advisory.limit, asked_at, self._clock.now())
        upstream, history = known.entry.upstream, self._fleet.limits.history
        relevant = (
            named.limited or known.rate_limit.limited or upstream in history
        )
        # Nearly all responses advertise no limit where there was none before.
        if relevant:
            history.note(upstream, named, self._clock.now())
            self._fleet.dispatch(LimitAdvertised(upstream, named))


def _is_same(before: Upstream, after: Upstream) -> bool:
    """Tell whether nothing changed except the times of a limit."""
    if before is after:
        return True
    limits = before.rate_limit, after.rate_limit
    same_limit = limits[0].per_second == limits[1].per_second
    others = (
        (each.lifecycle, each.leaving_observed_locally, each.backoff_until)
        for each in (before, after)
    )
    return same_limit and len(set(others)) == 1
