"""Compose and sign news of this instance and of its failure domain."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.codec import encode_binary
from cartdale.fleet.departure_records import list_departures
from cartdale.fleet.driver import Fleet
from cartdale.fleet.incarnations import Incarnation
from cartdale.fleet.types import Lifecycle, Upstream, UpstreamEntry
from cartdale.news.limits import write_limit
from cartdale.news.types import DomainNews, LimitNews, LoadNews, PeerEntry
from cartdale.peers.authentication import Authenticator, Envelope
from cartdale.scheduling.loads import Load

NEWS_KIND = LoadNews.__name__
DOMAIN_KIND = DomainNews.__name__
_ANY_RECIPIENT = '*'
#: Time for which news reports upstreams that left, and entries that changed.
_LEAVING_REPORTED: Millis = 3 * SECOND_MS
_CHANGE_REPORTED: Millis = 3 * SECOND_MS


@dataclass(frozen=True, slots=True)
class _ContentVersions:
    """Identify the content whose change triggers a message early."""

    loads: int
    version: int
    lifecycles: int
    unreachable: tuple[str, ...]
    lost: bool
    crashes: int
    departures: int
    limits: int
    admission: int


class NewsWriter:
    """Compose messages from the state of this instance's fleet.

    :param own: entry by which peers reach this instance.
    :param is_watcher: returns whether this instance watches the store for the
        others, and so reports new entries to them.
    :param store_lost: returns whether others should watch the store in place
        of this instance.
    """

    def __init__(
        self,
        own: PeerEntry,
        fleet: Fleet,
        clock: Clock,
        is_watcher: Callable[[], bool],
        store_lost: Callable[[], bool],
    ) -> None:
        self._own = own
        self._fleet = fleet
        self._clock = clock
        self._is_watcher = is_watcher
        self._store_lost = store_lost
        self._boot = clock.wall_time()
        self._number = 0
        self._last_written: _ContentVersions | None = None

    def has_new(self) -> bool:
        """Return whether content has changed since the last message."""
        last = self._last_written
        # Mostly it is the loads, and the other parts cost more to look at.
        if last is None or last.loads != self._fleet.loads.version:
            return True
        return last != self._current_versions()

    def write(
        self, authenticator: Authenticator, *, wide: bool = False
    ) -> bytes:
        """Return the next message, signed.

        :param wide: whether this instance counts enough peers for domain
            summaries.
        """
        self._number += 1
        versions = self._current_versions()
        self._last_written = versions
        leaving = self._list_leaving()
        news = LoadNews(
            boot=self._boot,
            number=self._number,
            version=self._fleet.table.version,
            peer=self._own,
            loads_by_upstream=self._fleet.loads.own(shared=True),
            leaving=leaving,
            entries=self._list_changed() if self._is_watcher() else (),
            store_lost=versions.lost,
            unreachable=versions.unreachable,
            evacuations=self._fleet.list_evacuations(),
            crashes=self._fleet.quarantine.list_news(),
            births=self._list_births(leaving),
            revisions=self._list_revisions(leaving),
            departing=self._list_departing(leaving, observed_locally=True),
            limits=self.list_limits(),
            offers=self._fleet.limits.measure_demand(),
            wide=wide,
            speeds=self._fleet.speeds.write_news(self._clock.now()),
            admission=self._fleet.order.describe(),
        )
        return self._sign(
            authenticator, _ANY_RECIPIENT, NEWS_KIND, encode_binary(news)
        )

    def list_unreachable(self) -> tuple[str, ...]:
        """Return upstreams that recently were not reached.

        Those that perhaps only this instance does not reach are left out.
        """
        now = self._clock.now()
        return tuple(
            name
            for name, upstream in self._fleet.state.upstreams_by_id.items()
            if upstream.unreachable_until > now and not upstream.path_unclear
        )

    def reaches(self, upstream: str) -> bool:
        """Tell whether this instance has not recently failed to reach one."""
        known = self._fleet.find(upstream)
        return known is None or known.unreachable_until <= self._clock.now()

    def describe_domain(
        self,
        alive: int,
        loads_by_upstream: dict[str, Load],
        reporters_by_upstream: dict[str, int],
        *,
        store_lost: bool,
    ) -> DomainNews:
        """Compose the news of this instance's failure domain.

        The number is set on signing and the parts with an age on sending, so
        that news with the same content compare equal.

        :param alive: number of instances there, this one included.
        :param loads_by_upstream: work that all of them have running.
        :param reporters_by_upstream: number of them that can't reach an
            upstream.
        :param store_lost: whether the store responds to none of them.
        """
        leaving = self._list_leaving()
        return DomainNews(
            boot=self._boot,
            number=0,
            version=self._fleet.table.version,
            peer=self._own,
            alive=alive,
            loads_by_upstream=loads_by_upstream,
            leaving=leaving,
            entries=self._list_changed(),
            reporters_by_upstream=reporters_by_upstream,
            store_lost=store_lost,
            evacuations=self._fleet.list_evacuations(),
            births=self._list_births(leaving),
            revisions=self._list_revisions(leaving),
            departing=self._list_departing(leaving),
        )

    def list_limits(self) -> dict[str, LimitNews]:
        """Return limits recently announced in responses to this instance."""
        now = self._clock.now()
        upstreams_by_id = self._fleet.state.upstreams_by_id
        return {
            name: write_limit(limit, upstreams_by_id[name].entry.born, now)
            for name, limit in self._fleet.limits.history.list_recent(
                now
            ).items()
            if name in upstreams_by_id
        }

    def sign_domain_news(
        self, authenticator: Authenticator, news: DomainNews, recipient: str
    ) -> bytes:
        """Return news of this failure domain, signed for one recipient."""
        self._number += 1
        numbered = replace(news, number=self._number)
        return self._sign(
            authenticator, recipient, DOMAIN_KIND, encode_binary(numbered)
        )

    def _sign(
        self,
        authenticator: Authenticator,
        recipient: str,
        kind: str,
        body: bytes,
    ) -> bytes:
        envelope = Envelope(
            sender=self._own.name,
            recipient=recipient,
            kind=kind,
            wall_ms=self._clock.wall_time(),
            body=msgspec.Raw(body),
        )
        return authenticator.sign(envelope)

    def _current_versions(self) -> _ContentVersions:
        return _ContentVersions(
            self._fleet.loads.version,
            self._fleet.table.version,
            self._fleet.lifecycles if self._is_watcher() else 0,
            self.list_unreachable(),
            lost=self._store_lost(),
            crashes=self._fleet.quarantine.version,
            departures=self._fleet.departures_observed,
            limits=self._fleet.limits.history.version,
            admission=self._fleet.order.version,
        )

    def _list_leaving(self) -> tuple[str, ...]:
        """Return the upstreams that began to leave recently.

        Also those that announced it to this instance, while the store may show
        them as before: an instance that starts can't know it otherwise.
        """
        earliest = self._clock.now() - _LEAVING_REPORTED
        state = self._fleet.state
        known = [
            name
            for name, upstream in state.upstreams_by_id.items()
            if upstream.lifecycle is Lifecycle.LEAVING
            and (
                upstream.changed_at >= earliest or _is_known_here_only(upstream)
            )
        ]
        unknown = [
            name
            for name, departure in state.departures_by_id.items()
            if departure.announced_at >= earliest
            or (departure.observed_locally and not departure.unlisted)
        ]
        return (*known, *unknown)

    def _list_departing(
        self, leaving: tuple[str, ...], *, observed_locally: bool = False
    ) -> tuple[str, ...]:
        """Return the leaving upstreams that announced it themselves.

        :param observed_locally: include only those that announced it to this
            instance. If instances repeated what peers reported, each departure
            would be sent by all instances to all.
        """
        departures = list_departures(self._fleet.state)
        return tuple(
            name
            for name in leaving
            if name in departures
            and (departures[name].observed_locally or not observed_locally)
        )

    def _list_births(self, leaving: tuple[str, ...]) -> dict[str, Millis]:
        """Return the start times of leaving upstreams that report one."""
        left = ((name, self._find_incarnation(name)) for name in leaving)
        return {name: each.born for name, each in left if each.born}

    def _list_revisions(self, leaving: tuple[str, ...]) -> dict[str, int]:
        """Return when leaving upstreams wrote, for those that tell births."""
        left = ((name, self._find_incarnation(name)) for name in leaving)
        return {
            name: each.revision
            for name, each in left
            if each.born and each.revision
        }

    def _find_incarnation(self, leaving: str) -> Incarnation:
        """Return what is known of the incarnation that leaves."""
        known = self._fleet.find(leaving)
        if known is not None:
            return known.entry
        return self._fleet.state.departures_by_id[leaving]

    def _list_changed(self) -> tuple[UpstreamEntry, ...]:
        """Return new entries, and those of upstreams that announced leaving."""
        now = self._clock.now()
        return tuple(
            upstream.entry
            for upstream in self._fleet.state.upstreams_by_id.values()
            if now - upstream.changed_at <= _CHANGE_REPORTED
            and (
                upstream.lifecycle is Lifecycle.LIVE
                or upstream.announced_leaving
            )
        )


def _is_known_here_only(leaving: Upstream) -> bool:
    """Tell whether an upstream announced leaving while its entry may not.

    The entry may still stand as before: in that incarnation it is not believed.
    """
    return leaving.leaving_observed_locally and not leaving.unlisted
