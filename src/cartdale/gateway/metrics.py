"""Counters and histograms of the gateway, by aioprometheus."""

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
from cartdale.clock import SECOND_MS, Millis
from cartdale.problems.types import NotRun, Problem
from cartdale.reports.registry import MetricRegistry
from cartdale.routes.types import Route

_TEXT_TYPE = (b'content-type', b'text/plain; version=0.0.4')
#: Upper bounds in seconds: around the targets of first events and of pauses.
_FIRST_BOUNDS = (0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, inf)
_GAP_BOUNDS = (0.05, 0.1, 0.18, 0.25, 0.5, 1, 2, 5, inf)


@dataclass(frozen=True, slots=True)
class Constraints:
    """Say what bounds the choice of upstreams now.

    :param evacuated: failure domains that get nothing new.
    :param cold: upstreams that are cold.
    :param sent_cold: requests sent to cold upstreams since the start.
    :param quarantined: requests that are sent to no upstream.
    :param leaving: upstreams that take no new work any more.
    :param resting: upstreams that asked this instance for rest.
    :param limited: upstreams that name a rate limit.
    :param permitted: this instance's part of those limits, in requests a
        second.
    :param withheld: requests held back by them as they were to be sent, since
        the start.
    """

    evacuated: int
    cold: int
    sent_cold: int
    quarantined: int
    leaving: int
    resting: int
    limited: int
    permitted: float
    withheld: int


#: Of each field of the constraints: the gauge's name, and what it shows.
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
    ('permitted', 'permitted_requests_per_second', 'Own part of rate limits.'),
    ('withheld', 'requests_withheld_by_limits', 'Held back since the start.'),
    ('sent_cold', 'requests_to_cold_upstreams', 'Sent since the start.'),
)


class GatewayMetrics:
    """Own the registry of one instance on the platform.

    :param read_version: returns the configuration in force.
    :param calls_by_path: counts the calls to the store.
    :param read_constraints: returns what bounds the choice of upstreams.
    """

    def __init__(
        self,
        read_version: Callable[[], int],
        calls_by_path: dict[str, int],
        read_constraints: Callable[[], Constraints],
    ) -> None:
        self._read_version = read_version
        self._read_constraints = read_constraints
        self._calls_by_path = calls_by_path
        registry = MetricRegistry('cartdale_gateway')
        self._registry = registry
        self._answers = registry.counter(
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
        self._gauges_by_field = {
            field: registry.gauge(name, text) for field, name, text in _GAUGES
        }

    def note_answer(self, route: Route, status: int) -> None:
        """Count an upstream's answer that was passed on."""
        self._answers.inc({'kind': route.kind.value, 'status': str(status)})

    def note_refusal(self, problem: Problem) -> None:
        """Count an answer of our own."""
        reason = type(problem).__name__
        if isinstance(problem, NotRun):
            reason = problem.reason.name
        self._refusals.inc({'reason': reason})

    def note_stream(
        self, end: str, moves: int, first: Millis, gap: Millis
    ) -> None:
        """Count a stream that ended.

        :param end: how it ended.
        :param moves: times that it went on at another engine.
        :param first: wait for its head.
        :param gap: its longest pause.
        """
        self._streams.inc({'end': end})
        self._moves.add({}, moves)
        self._first.add({}, first / SECOND_MS)
        self._gap.add({}, gap / SECOND_MS)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text form."""
        self._version.set({}, self._read_version())
        constraints = self._read_constraints()
        for field, gauge in self._gauges_by_field.items():
            gauge.set({}, getattr(constraints, field))
        return self._registry.render(self._calls_by_path)


class MetricsApp:
    """Serve the metrics as an ASGI application on every path."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    async def __call__(
        self, scope: AsgiEvent, receive: Receive, send: Send
    ) -> None:
        """Answer one ASGI connection."""
        if not await accept_http_request(scope, receive, send):
            return
        await send_response(
            send, int(HTTPStatus.OK), (_TEXT_TYPE,), self._metrics.render()
        )
