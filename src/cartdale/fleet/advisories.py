"""Record the advisories in responses of upstreams."""

from loguru import logger

from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.fleet.brittleness import (
    GENERATION_TIME,
    can_spread,
    find_brittle_limit,
    lower_limit,
)
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
        #: When the limit of a brittle upstream was last lowered.
        self._lowered_at_by_upstream: dict[str, Millis] = {}

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
        self._take_load(upstream, advisory)
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
            tolerance=advisory.tolerance,
            limit=after.rate_limit.per_second,
            limit_before=before.rate_limit.per_second,
        )

    def must_withhold(
        self, upstream: str, *, resumes: bool, counted: bool = False
    ) -> bool:
        """Tell whether a request may no longer be sent to an upstream.

        Called just before sending, some time after the placement: connecting
        takes from a millisecond to seconds, as does the way to an intermediary,
        and other requests that were placed at the same moment may have been
        rejected meanwhile.

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
        if self._is_evacuated(known, resumes=resumes):
            return True
        return not counted and not self._fleet.spend(known, resumes=resumes)

    def find_backoff(self, upstream: str) -> Millis:
        """Return for how long an upstream backs off; 0 if it does not."""
        known = self._fleet.find(upstream)
        if known is None:
            return 0
        return max(known.backoff_until - self._clock.now(), 0)

    def record_backoff(self, upstream: str, backoff: Millis) -> None:
        """Record a back-off that applies to whom requests go through."""
        self._fleet.dispatch(BackoffRequested(upstream, backoff))

    def _is_evacuated(self, known: Upstream, *, resumes: bool) -> bool:
        """Tell whether an evacuation forbids to send a request."""
        if resumes:
            return not self._fleet.may_finish_move(known.entry)
        return known.entry.failure_domain in self._fleet.list_evacuated()

    def _take_load(self, upstream: str, advisory: Advisory) -> None:
        speeds = self._fleet.speeds
        if advisory.load_malformed:
            speeds.note_malformed(upstream, self._clock.now())
        elif advisory.load is not None:
            speeds.note_sample(upstream, advisory.load, self._clock.now())

    def _take_limit(
        self, known: Upstream, advisory: Advisory, asked_at: Millis
    ) -> None:
        named = self._find_limit(known, advisory, asked_at)
        if named is None:
            return
        upstream, history = known.entry.upstream, self._fleet.limits.history
        relevant = (
            named.limited or known.rate_limit.limited or upstream in history
        )
        # Nearly all responses advertise no limit where there was none before.
        if relevant:
            history.note(upstream, named, self._clock.now())
            self._fleet.dispatch(LimitAdvertised(upstream, named))

    def _find_limit(
        self, known: Upstream, advisory: Advisory, asked_at: Millis
    ) -> RateLimit | None:
        """Return the limit that a response sets; ``None`` if it sets none.

        The lower one of the limit that it names and the one that is derived for
        a brittle upstream.
        """
        now = self._clock.now()
        derived = self._derive_limit(known, advisory)
        named = advisory.limit
        if derived is not None and (named is None or derived < named):
            return RateLimit(derived, asked_at, now, paced=True)
        return None if named is None else RateLimit(named, asked_at, now)

    def _derive_limit(
        self, known: Upstream, advisory: Advisory
    ) -> float | None:
        """Return the limit of a brittle upstream, in requests per second.

        ``None`` if it is not brittle, or not limited before a rejection.
        """
        tolerance = advisory.tolerance
        if tolerance is None:
            return None
        service = known.entry.service
        spec = self._fleet.table.services_by_name.get(service)
        plain = spec is None or spec.engine is None
        limit = find_brittle_limit(
            known.rate_limit,
            known.entry.slots,
            self._fleet.pace(service).answer_time if plain else GENERATION_TIME,
            tolerance,
        )
        senders = self._fleet.limits.gate.count_senders(
            service, known.entry.upstream
        )
        limited = known.rate_limit.paced or advisory.rejected
        if not limited and not can_spread(limit, senders):
            return None
        if advisory.rejected and self._may_lower(known):
            return lower_limit(limit, tolerance)
        return limit

    def _may_lower(self, known: Upstream) -> bool:
        """Tell whether rejections lower a limit, once for each second."""
        name, now = known.entry.upstream, self._clock.now()
        lowered_at = self._lowered_at_by_upstream.get(name)
        if lowered_at is not None and now - lowered_at < SECOND_MS:
            return False
        self._lowered_at_by_upstream[name] = now
        return True


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
