"""Track the share of time that engines spend reading prompts."""

from collections.abc import Iterable, Mapping

from cartdale.scheduling.loads import Load

#: Weight of one poll in the moving average: at five polls per second, the last
#: four seconds dominate, about as long as a generation runs.
_POLL_WEIGHT = 0.05
#: Assumed share of an engine that was not polled yet.
_INITIAL_SHARE = 0.1


class ReadingShares:
    """Average over polls whether each engine is reading a prompt."""

    def __init__(self) -> None:
        #: Share of time spent reading prompts, 0 to 1.
        self.by_upstream: dict[str, float] = {}

    def look(
        self, upstreams: Iterable[str], loads_by_upstream: Mapping[str, Load]
    ) -> None:
        """Record one poll of the given upstreams and drop all others."""
        averages: dict[str, float] = {}
        for name in upstreams:
            average = self.by_upstream.get(name, _INITIAL_SHARE)
            is_reading = bool(loads_by_upstream.get(name, Load()).reading)
            averages[name] = average + _POLL_WEIGHT * (is_reading - average)
        self.by_upstream = averages
