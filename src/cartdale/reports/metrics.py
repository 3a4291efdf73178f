"""Metrics for Prometheus, by aioprometheus."""

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from cartdale import invariants
from cartdale.reports.types import AnswerMeasured

_ACCEPT = ('text/plain',)


class Metrics:
    """Own the registry of one instance."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._answers = self._count('answers', 'Answers by outcome.')
        self._tokens = self._count('tokens', 'Tokens received.')
        self._stall = self._count('stall_ms', 'Stall time in milliseconds.')
        self._violations = self._measure(
            'invariant_violations', 'Broken invariants by name.'
        )
        self._revision = self._measure(
            'configuration_revision', 'Configuration in force.'
        )
        self._calls = self._measure('store_calls', 'Calls to the store.')

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
        for path, count in calls_by_path.items():
            self._calls.set({'path': path}, count)
        for name in invariants.NAMES:
            violations = invariants.count_violations(name)
            self._violations.set({'invariant': name}, violations)
        rendered, _ = render(self._registry, list(_ACCEPT))
        return bytes(rendered)

    def _count(self, name: str, text: str) -> Counter:
        full = f'cartdale_{name}_total'
        return Counter(full, text, registry=self._registry)

    def _measure(self, name: str, text: str) -> Gauge:
        return Gauge(f'cartdale_{name}', text, registry=self._registry)
