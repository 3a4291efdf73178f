"""Registry of one instance's metrics, by aioprometheus."""

from collections.abc import Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from cartdale import invariants

_ACCEPT = ('text/plain',)


class MetricRegistry:
    """Make metrics under one prefix and render all of them.

    Broken invariants and calls to the store are among them.

    :param prefix: what every metric's name begins with.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._registry = Registry()
        self._violations = self.gauge(
            'invariant_violations', 'Broken invariants by name.'
        )
        self._calls = self.gauge('store_calls', 'Calls to the store.')

    def counter(self, name: str, text: str) -> Counter:
        """Make a counter."""
        full = f'{self._prefix}_{name}_total'
        return Counter(full, text, registry=self._registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Make a gauge."""
        full = f'{self._prefix}_{name}'
        return Gauge(full, text, registry=self._registry)

    def histogram(
        self, name: str, text: str, bounds: tuple[float, ...]
    ) -> Histogram:
        """Make a histogram.

        :param bounds: upper bounds of its buckets.
        """
        full = f'{self._prefix}_{name}'
        return Histogram(
            full, text, registry=self._registry, buckets=list(bounds)
        )

    def render(self, calls_by_path: Mapping[str, int]) -> bytes:
        """Return all metrics in Prometheus' text form."""
        for path, count in calls_by_path.items():
            self._calls.set({'path': path}, count)
        for name in invariants.NAMES:
            violations = invariants.count_violations(name)
            self._violations.set({'invariant': name}, violations)
        rendered, _ = render(self._registry, list(_ACCEPT))
        return bytes(rendered)
