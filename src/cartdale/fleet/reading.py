"""Follow how much of their time engines read prompts."""

from collections.abc import Iterable, Mapping

from cartdale.fleet.loads import Load

#: Weight of one look among the others: with five looks a second, those of the
#: last four seconds decide, about as long as a generation stays.
_WEIGHT = 0.05
#: Taken for an engine that was not looked at yet.
_AT_FIRST = 0.1


class ReadingShares:
    """Average over looks whether each engine reads a prompt."""

    def __init__(self) -> None:
        #: Part of the time, 0 to 1.
        self.by_upstream: dict[str, float] = {}

    def look(
        self, upstreams: Iterable[str], loads_by_upstream: Mapping[str, Load]
    ) -> None:
        """Take one look at all; those that are not named are forgotten."""
        averages: dict[str, float] = {}
        for name in upstreams:
            average = self.by_upstream.get(name, _AT_FIRST)
            reads = bool(loads_by_upstream.get(name, Load()).reading)
            averages[name] = average + _WEIGHT * (reads - average)
        self.by_upstream = averages
