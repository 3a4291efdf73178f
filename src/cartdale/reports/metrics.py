"""Metrics for Prometheus, by aioprometheus."""

from cartdale.reports.registry import MetricRegistry
from cartdale.reports.types import AnswerMeasured


class Metrics:
    """Own the registry of one instance."""

    def __init__(self) -> None:
        registry = MetricRegistry('cartdale')
        self._registry = registry
        self._answers = registry.counter('answers', 'Answers by outcome.')
        self._tokens = registry.counter('tokens', 'Tokens received.')
        self._stall = registry.counter(
            'stall_ms', 'Stall time in milliseconds.'
        )
        self._revision = registry.gauge(
            'configuration_revision', 'Configuration in force.'
        )

    def record(self, measured: AnswerMeasured) -> None:
        """Count one answer that ended."""
        labels = {'service': measured.service}
        outcome = {**labels, 'outcome': measured.outcome.value}
        self._answers.inc(outcome)
        self._tokens.add(labels, measured.tokens)
        self._stall.add(labels, measured.stall_ms)

    def render(self, revision: int, calls_by_path: dict[str, int]) -> bytes:
        """Return all metrics in Prometheus' text form."""
        self._revision.set({}, revision)
        return self._registry.render(calls_by_path)
