"""Counters and histograms of the gateway, in aioprometheus."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from cartdale.asgi import (
    AsgiEvent,
    Receive,
    Send,
    accept_http_request,
    send_response,
)
from cartdale.bounded_pool import count_endless_heads
from cartdale.clock import SECOND_MS, Millis
from cartdale.pressure.driver import Account
from cartdale.pressure.types import Holding
from cartdale.problems.types import NotRun, Problem
from cartdale.reports.registry import MetricRegistry
from cartdale.routes.types import Route
from cartdale.supervision import count_task_failures

_TEXT_TYPE = (b'content-type', b'text/plain; version=0.0.4')
#: Bucket bounds in seconds, around the targets of first events and of pauses.
_FIRST_BOUNDS = (0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, inf)
_GAP_BOUNDS = (0.05, 0.1, 0.18, 0.25, 0.5, 1, 2, 5, inf)


@dataclass(frozen=True, slots=True)
class Constraints:
    """The current constraints on the choice of upstreams.

    :param evacuated: failure domains that get no new requests.
    :param cold: upstreams that are cold.
    :param sent_cold: requests sent to cold upstreams since the start.
    :param quarantined: requests that are sent to no upstream.
    :param leaving: upstreams that accept no new work.
    :param resting: upstreams that requested a back-off from this instance.
    :param limited: upstreams that announce a rate limit.
    :param permitted: this instance's share of those limits, in requests per
        second.
    :param unreachable: upstreams that this instance recently failed to reach.
    :param blocked: upstreams that this instance reaches through others only.
    :param detours: requests sent through other instances since the start.
    :param carried: requests carried for other instances since the start.
    :param not_carried: requests of other instances that this one had no
        capacity to carry, since the start.
    :param withheld: requests that those limits stopped just before they were
        sent, since the start.
    :param speeds_known: upstreams of whose speed something is believed.
    :param slowest_factor: largest time that work usually takes at one of them,
        relative to the mean of its service.
    :param load_ignored: reports of the load that could not be read, since the
        start.
    :param speeds_ignored: figures of peers on speeds that can't be true, since
        the start.
    :param waiting: requests that wait for room here.
    :param waiting_urgent: those of the most urgent rank.
    :param reserved: memory kept free at each engine for more urgent requests,
        in tokens.
    :param promised: callers told to return that have not yet.
    """

    evacuated: int
    cold: int
    sent_cold: int
    quarantined: int
    leaving: int
    resting: int
    limited: int
    unreachable: int
    blocked: int
    detours: int
    carried: int
    not_carried: int
    permitted: float
    withheld: int
    speeds_known: int = 0
    slowest_factor: float = 1
    load_ignored: int = 0
    speeds_ignored: int = 0
    waiting: int = 0
    waiting_urgent: int = 0
    reserved: int = 0
    promised: int = 0


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """The configuration in force, and what is known of newer ones.

    :param in_force: version in force.
    :param newest: newest version that this instance has heard of.
    :param behind: time since when it has known of a version newer than the one
        in force; 0 if it knows of none.
    :param unverified: datagrams of peers that could not be verified, since the
        start; versions in them are not known.
    """

    in_force: int
    newest: int
    behind: Millis
    unverified: int


#: For each field of ``Constraints``: the gauge's name and its help text.
_GAUGES = (
    (
        'evacuated',
        'evacuated_domains',
        'Failure domains that get nothing new.',
    ),
    ('cold', 'cold_upstreams', 'Upstreams that get only a bounded rate.'),
    ('quarantined', 'quarantined_requests', 'Requests that no upstream gets.'),
    ('leaving', 'leaving_upstreams', 'Upstreams that get nothing new.'),
    ('resting', 'resting_upstreams', 'Upstreams that asked to be left alone.'),
    ('limited', 'limited_upstreams', 'Upstreams that name a rate limit.'),
    (
        'unreachable',
        'unreachable_upstreams',
        'Upstreams not reached from here.',
    ),
    ('blocked', 'blocked_paths', 'Upstreams reached through others only.'),
    ('detours', 'detours_sent', 'Sent through others since the start.'),
    ('carried', 'detours_carried', 'Carried for others since the start.'),
    ('not_carried', 'detours_refused', 'Not carried for want of capacity.'),
    ('permitted', 'permitted_requests_per_second', 'Own part of rate limits.'),
    ('withheld', 'requests_withheld_by_limits', 'Held back since the start.'),
    ('waiting', 'waiting_requests', 'Waiting for room here.'),
    ('waiting_urgent', 'urgent_waiting_requests', 'Those of rank 0.'),
    ('reserved', 'reserved_tokens', 'Kept free at each engine.'),
    ('promised', 'promised_returns', 'Callers told to return by this one.'),
    ('sent_cold', 'requests_to_cold_upstreams', 'Sent since the start.'),
    ('speeds_known', 'upstreams_with_known_speed', 'Their speed is believed.'),
    (
        'slowest_factor',
        'slowest_upstream_factor',
        'Largest usual time relative to the mean of the service.',
    ),
    ('load_ignored', 'load_reports_ignored', 'Unreadable since the start.'),
    ('speeds_ignored', 'speed_news_ignored', 'Untrue since the start.'),
)


class PressureMetrics:
    """The gauges of the bytes that one instance holds."""

    def __init__(self, registry: MetricRegistry, account: Account) -> None:
        self._account = account
        self._held = registry.gauge('held_bytes', 'Held now, by reason.')
        self._limit = registry.gauge('held_bytes_limit', 'Held at most.')
        self._waiting = registry.gauge(
            'responses_read_ahead', 'Responses that wait for their callers.'
        )
        self._decisions = registry.gauge(
            'held_bytes_decisions', 'Decisions since the start, by kind.'
        )

    def update(self) -> None:
        """Read the account."""
        account = self._account
        totals, counts = account.totals, account.counts
        self._held.set({'reason': Holding.RESPONSE.value}, totals.responses)
        self._held.set({'reason': Holding.BODY.value}, totals.bodies)
        self._held.set({'reason': Holding.EVENT.value}, totals.events)
        self._limit.set({}, account.limits.total)
        self._waiting.set({}, account.waiting_responses)
        for kind, count in (
            ('gave_way', counts.ended),
            ('unfinished', counts.unfinished),
            ('held_up', counts.held_up),
            ('body_refused', counts.refused),
            ('event_given_up', account.events.ended),
        ):
            self._decisions.set({'kind': kind}, count)


class GatewayMetrics:
    """The metrics of one instance on the platform.

    :param read_versions: returns the configuration versions known here.
    :param calls_by_path: number of calls to the store by path.
    :param read_constraints: returns the constraints on the choice of upstreams.
    :param account: of the bytes held; ``None`` for none.
    """

    def __init__(
        self,
        read_versions: Callable[[], KnownVersions],
        calls_by_path: dict[str, int],
        read_constraints: Callable[[], Constraints],
        account: Account | None = None,
    ) -> None:
        self._read_versions = read_versions
        self._read_constraints = read_constraints
        self._calls_by_path = calls_by_path
        registry = MetricRegistry('cartdale_gateway')
        self._registry = registry
        self._responses = registry.counter(
            'answers', 'Answers by kind and status.'
        )
        self._refusals = registry.counter('refusals', 'Own refusals by reason.')
        self._streams = registry.counter('streams', 'Streams by their end.')
        self._moves = registry.counter('moves', 'Generations that went on.')
        self._first = registry.histogram(
            'first_event_seconds', 'Wait for the head.', _FIRST_BOUNDS
        )
        self._gap = registry.histogram(
            'longest_gap_seconds', 'Longest pause of a stream.', _GAP_BOUNDS
        )
        self._version = registry.gauge('configuration_version', 'In force.')
        self._newest = registry.gauge(
            'newest_configuration_version', 'Newest version heard of.'
        )
        self._behind = registry.gauge(
            'configuration_behind_seconds',
            'Time since a version newer than the one in force is known.',
        )
        self._unverified = registry.gauge(
            'unverified_datagrams', 'Not verified since the start.'
        )
        self._endless = registry.gauge(
            'endless_response_heads', 'Given up since the start.'
        )
        self._failures = registry.gauge(
            'task_failures', 'Unexpected errors since the start, by task.'
        )
        self._gauges_by_field = {
            field: registry.gauge(name, text) for field, name, text in _GAUGES
        }
        self._pressure = PressureMetrics(registry, account) if account else None

    def record_response(self, route: Route, status: int) -> None:
        """Count an upstream's response that was forwarded."""
        self._responses.inc({'kind': route.kind.value, 'status': str(status)})

    def record_refusal(self, problem: Problem) -> None:
        """Count a refusal by this instance."""
        reason = type(problem).__name__
        if isinstance(problem, NotRun):
            reason = problem.reason.name
        self._refusals.inc({'reason': reason})

    def record_stream(
        self, end: str, moves: int, first: Millis, gap: Millis
    ) -> None:
        """Count a stream that ended.

        :param end: how it ended.
        :param moves: number of times that it resumed at another engine.
        :param first: time to its head.
        :param gap: its longest pause between events.
        """
        self._streams.inc({'end': end})
        self._moves.add({}, moves)
        self._first.add({}, first / SECOND_MS)
        self._gap.add({}, gap / SECOND_MS)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        versions = self._read_versions()
        self._version.set({}, versions.in_force)
        self._newest.set({}, versions.newest)
        self._behind.set({}, versions.behind / SECOND_MS)
        self._unverified.set({}, versions.unverified)
        constraints = self._read_constraints()
        for field, gauge in self._gauges_by_field.items():
            gauge.set({}, getattr(constraints, field))
        self._endless.set({}, count_endless_heads())
        for task, count in count_task_failures().items():
            self._failures.set({'task': task}, count)
        if self._pressure is not None:
            self._pressure.update()
        return self._registry.render(self._calls_by_path)


class MetricsApp:
    """ASGI application that serves the metrics on every path."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        await send_response(
            send, int(HTTPStatus.OK), (_TEXT_TYPE,), self._metrics.render()
        )
