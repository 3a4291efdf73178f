"""Hold what is known of the speeds of upstreams, and what peers told."""

from collections.abc import Callable, Collection, Mapping
from types import MappingProxyType

from loguru import logger
from msgspec import UNSET, UnsetType

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.types import Action, Restarted, Upstream, Vanished
from cartdale.speeds.decide import (
    TakenSample,
    find_incarnation,
    is_other_incarnation,
    read_moment,
)
from cartdale.speeds.lasting import ORDINARY
from cartdale.speeds.service import ServiceSpeeds
from cartdale.speeds.sums import OWN, ToldSums
from cartdale.speeds.types import (
    LoadSample,
    Moment,
    Observations,
    SpeedNews,
    SpeedSums,
    UpstreamSpeed,
)

#: Weight of an observation at an unknown slowness, and of a response of an
#: upstream with a queue.
_UNSURE = ORDINARY / 2
_QUEUED = ORDINARY / 5
#: Time between two messages with sums. The lasting speed is needed within
#: seconds; the publisher of a domain tells all upstreams to all domains.
_SUMS_INTERVAL: Millis = SECOND_MS
_DOMAIN_SUMS_INTERVAL: Millis = 2 * SECOND_MS
#: Maximum number of upstreams in one message, so that it fits a datagram.
_MAX_TOLD = 64
#: Maximum number of instances that the publisher of a domain speaks for.
_MAX_INSTANCES = 64
#: Minimum time between two log lines on unreadable headers of an upstream.
_LOG_INTERVAL: Millis = 5 * SECOND_MS
_LOOK_INTERVAL: Millis = 2 * SECOND_MS
_NOTHING: Mapping[str, UpstreamSpeed] = MappingProxyType({})

FindUpstream = Callable[[str], Upstream | None]


class SpeedBook:
    """Learn the speeds of upstreams with the other instances.

    Nothing is learnt of a service, nor believed, unless its upstreams report
    their slowness. Engines are compared by the time of a token, others by that
    of a response.

    :param find_upstream: returns the state of an upstream by its id.
    :param is_plain: returns whether the upstreams of a service are no engines.
    """

    def __init__(
        self, find_upstream: FindUpstream, is_plain: Callable[[str], bool]
    ) -> None:
        self._is_plain = is_plain
        self._find_upstream = find_upstream
        self._services_by_name: dict[str, ServiceSpeeds] = {}
        self._told = ToldSums(_SUMS_INTERVAL, _MAX_TOLD)
        self._domain_told = ToldSums(_DOMAIN_SUMS_INTERVAL, _MAX_TOLD)
        #: Upstreams with samples that were not told yet, the longest first.
        self._untold: dict[str, None] = {}
        self._domain_untold: dict[str, None] = {}
        self._logged_at_by_upstream: dict[str, Millis] = {}
        self._looked_at: Millis | None = None
        #: Headers that could not be read, since the start.
        self.ignored_headers = 0
        #: Figures of peers that can't be true, since the start.
        self.ignored_news = 0

    # What this instance observes.

    def note_malformed(self, upstream: str, now: Millis) -> None:
        """Count a report of the load that could not be read."""
        self.ignored_headers += 1
        logged_at = self._logged_at_by_upstream.get(upstream)
        if logged_at is None or now - logged_at >= _LOG_INTERVAL:
            self._logged_at_by_upstream[upstream] = now
            logger.warning(
                'load report ignored',
                upstream=upstream,
                ignored=self.ignored_headers,
            )

    def note_sample(
        self, upstream: str, sample: LoadSample, now: Millis
    ) -> None:
        """Record what an upstream reports of its load."""
        service = self._find_service(upstream)
        if service is None or sample.slowness is None:
            return
        taken = TakenSample(
            sample.running, sample.waiting, sample.slowness, now
        )
        service.take(upstream, taken, now)
        self._untold[upstream] = None
        self._domain_untold[upstream] = None

    def find_usual(
        self, upstream: str, took: float, middle: Millis
    ) -> float | None:
        """Return the milliseconds per token under usual conditions.

        :param middle: when it took so long.
        :returns: ``None`` if the speed of the upstream is not learnt.
        """
        service = self._find_told(upstream, middle, plain=False)
        if service is None:
            return None
        return service.normalize(upstream, took, middle)

    def note_token_time(
        self, upstream: str, usual: float, middle: Millis, now: Millis
    ) -> None:
        """Record what ``find_usual`` returned for a part of a generation."""
        service = self._find_told(upstream, middle, plain=False)
        if service is None:
            return
        fresh = service.is_fresh(upstream, middle)
        weight = ORDINARY if fresh else _UNSURE
        observed = Observations(weight * usual, weight)
        self._add(upstream, service, observed, now)

    def note_answer(self, upstream: str, took: Millis, now: Millis) -> None:
        """Record the milliseconds of a successful plain response."""
        service = self._find_told(upstream, now, plain=True)
        if service is None:
            return
        usual = service.normalize(upstream, max(took, 1), now)
        weight = _QUEUED if service.has_queue(upstream) else ORDINARY
        observed = Observations(weight * usual, weight)
        self._add(upstream, service, observed, now)

    # What peers tell, and are told.

    def receive(
        self, sender: str, news: SpeedNews, now: Millis, instances: int = 1
    ) -> None:
        """Apply what a peer, or a whole failure domain, observed.

        :param instances: number of instances that observed it.
        """
        counted = min(max(instances, 1), _MAX_INSTANCES)
        for upstream, moment in news.moments_by_upstream.items():
            self._receive_moment(sender, upstream, moment, now)
        for name, sums in news.sums_by_upstream.items():
            self._receive_sums(sender, name, sums, counted, now)

    def write_news(self, now: Millis) -> SpeedNews | UnsetType:
        """Return what this instance observed and has not told yet, if any."""
        return _unless_empty(
            self._select_sums(self._told, (OWN,), now),
            self._take_moments(self._untold, (OWN,), now),
        )

    def write_domain_news(
        self, peers: Collection[str], now: Millis
    ) -> SpeedNews | UnsetType:
        """Return what a failure domain observed and was not told yet, if any.

        :param peers: names of the other instances of the failure domain.
        """
        observers = (OWN, *peers)
        return _unless_empty(
            self._select_sums(self._domain_told, observers, now),
            self._take_moments(self._domain_untold, observers, now),
        )

    # What is believed.

    def list_beliefs(
        self, service: str, now: Millis
    ) -> Mapping[str, UpstreamSpeed]:
        """Return the beliefs on the upstreams of a service.

        Empty unless one of them reported its slowness recently.
        """
        known = self._services_by_name.get(service)
        if known is None or not known.is_told(now):
            return _NOTHING
        return known.list_beliefs(now)

    def find(self, upstream: str, now: Millis) -> UpstreamSpeed | None:
        """Return the belief on an upstream; ``None`` if there is none."""
        known = self._find_upstream(upstream)
        if known is None:
            return None
        return self.list_beliefs(known.entry.service, now).get(upstream)

    def count_known(self, now: Millis) -> int:
        """Return the number of upstreams of which anything is believed."""
        return sum(
            len(self.list_beliefs(service, now))
            for service in self._services_by_name
        )

    def find_slowest(self, now: Millis) -> float:
        """Return the largest lasting factor; 1 if nothing is believed."""
        factors = [
            belief.factor
            for service in self._services_by_name
            for belief in self.list_beliefs(service, now).values()
        ]
        return max(factors, default=1)

    # How it ends.

    def follow(self, action: Action) -> None:
        """Forget an upstream that restarted or vanished."""
        match action:
            case Restarted(upstream=gone) | Vanished(upstream=gone):
                self._forget(gone)

    def look(self, now: Millis) -> None:
        """Drop what no longer counts, and log notable changes."""
        last = self._looked_at
        if last is not None and now - last < _LOOK_INTERVAL:
            return
        self._looked_at = now
        for name, service in self._services_by_name.items():
            service.expire(now)
            for change in service.list_changes(now):
                logger.info('upstream speed', service=name, **change)

    def _forget(self, upstream: str) -> None:
        for service in self._services_by_name.values():
            service.forget(upstream)
        self._told.forget(upstream)
        self._domain_told.forget(upstream)
        self._untold.pop(upstream, None)
        self._domain_untold.pop(upstream, None)
        self._logged_at_by_upstream.pop(upstream, None)

    def _find_service(self, upstream: str) -> ServiceSpeeds | None:
        """Return what is known of the service of an upstream."""
        known = self._find_upstream(upstream)
        if known is None:
            return None
        name = known.entry.service
        service = self._services_by_name.get(name)
        if service is None:
            service = ServiceSpeeds()
            self._services_by_name[name] = service
        # Upstreams and news of them may come before the configuration does.
        service.plain = self._is_plain(name)
        return service

    def _find_told(
        self, upstream: str, now: Millis, *, plain: bool
    ) -> ServiceSpeeds | None:
        """Return the service of an upstream if its speeds are learnt.

        They aren't while the upstream is slow after its start, nor from plain
        responses of engines.

        :param plain: whether they are to be learnt from plain responses.
        """
        known = self._find_upstream(upstream)
        if known is None or known.warm_at > now:
            return None
        if plain is not self._is_plain(known.entry.service):
            return None
        service = self._services_by_name.get(known.entry.service)
        return service if service and service.is_told(now) else None

    def _find_incarnation(self, upstream: str) -> int:
        known = self._find_upstream(upstream)
        return find_incarnation(known.entry.born) if known else 0

    def _add(
        self,
        upstream: str,
        service: ServiceSpeeds,
        times: Observations,
        now: Millis,
    ) -> None:
        incarnation = self._find_incarnation(upstream)
        service.sums.add(upstream, SpeedSums(incarnation, times), now)

    def _receive_moment(
        self, sender: str, upstream: str, moment: Moment, now: Millis
    ) -> None:
        sample = read_moment(moment, sender, now)
        if sample is None:
            self.ignored_news += 1
            return
        service = self._find_service(upstream)
        if service is not None and service.take(upstream, sample, now):
            self._domain_untold[upstream] = None

    def _receive_sums(
        self,
        sender: str,
        upstream: str,
        sums: SpeedSums,
        instances: int,
        now: Millis,
    ) -> None:
        service = self._find_service(upstream)
        known = self._find_incarnation(upstream)
        if service is None or is_other_incarnation(sums.incarnation, known):
            return
        if not service.sums.receive(sender, upstream, sums, instances, now):
            self.ignored_news += 1

    def _select_sums(
        self, told: ToldSums, observers: Collection[str], now: Millis
    ) -> dict[str, SpeedSums]:
        if not told.is_due(now):
            return {}
        sums_by_upstream: dict[str, SpeedSums] = {}
        for service in self._services_by_name.values():
            for upstream in service.sums.list_upstreams():
                merged = service.sums.merge_sums(upstream, observers, now)
                if merged is not None:
                    sums_by_upstream[upstream] = merged
        return told.select(sums_by_upstream, now)

    def _take_moments(
        self, untold: dict[str, None], observers: Collection[str], now: Millis
    ) -> dict[str, Moment]:
        """Return fresh moments, and note that they are told."""
        moments_by_upstream: dict[str, Moment] = {}
        for upstream in tuple(untold)[:_MAX_TOLD]:
            untold.pop(upstream)
            service = self._find_service(upstream)
            sample = service.find_sample(upstream) if service else None
            if service is None or sample is None:
                continue
            known = sample.source in observers
            if known and service.is_fresh(upstream, now):
                moments_by_upstream[upstream] = sample.tell(now)
        return moments_by_upstream


def _unless_empty(
    sums_by_upstream: dict[str, SpeedSums],
    moments_by_upstream: dict[str, Moment],
) -> SpeedNews | UnsetType:
    if sums_by_upstream or moments_by_upstream:
        return SpeedNews(sums_by_upstream, moments_by_upstream)
    return UNSET
