"""Estimate what leaves an engine before it ends, and how long that takes.

The figures were measured on engines of 7 ms a step with links of 2.7 to 24
Gbit/s; an engine's own report, once it tells when it ends, takes the place of
``SERVES_ON``.
"""

from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.routes.types import EngineSpec

#: How long an engine is taken to serve on until its reports tell: reclaimed
#: ones were measured to get 1.5 to 2.1 s. Too short a time gives up copies
#: that would end, too long a one begins copies that hold up others.
SERVES_ON: Millis = 1600
#: Longest that an engine takes for a token, 8 to 12 ms as measured: what ends
#: before its engine at this pace needs no copy.
TOKEN_LONGEST: Millis = 15
#: Copies between failure domains take twice as long, but those to different
#: targets overlap: four in a row were measured to take 290 ms each, not 360.
SAME_DOMAIN_FACTOR = 1
OTHER_DOMAIN_FACTOR = 1.6
_BITS = 8
_BITS_PER_MEGABIT_MS = 1000
#: Before an engine's end, what was copied is stopped even if its link is in
#: use: the rest of the memory is small, and must be read anew otherwise. Over
#: a free link the stop and the rest were measured to take 20 to 40 ms.
_STOP_BEFORE_END: Millis = 150
#: What every copy adds: its call, and the engine's own preparation.
_SETUP_MS = 5


@dataclass(frozen=True, slots=True)
class SourceLink:
    """Describe the link over which an engine is emptied.

    :param factor: multiplies the time that the bare link needs for a copy:
        ``SAME_DOMAIN_FACTOR`` for targets in the engine's failure domain,
        ``OTHER_DOMAIN_FACTOR`` for others, or between.
    """

    engine: EngineSpec
    factor: float = OTHER_DOMAIN_FACTOR

    def estimate(self, tokens: int) -> Millis:
        """Return how long the copy of a generation takes."""
        bits = tokens * self.engine.token_bytes * _BITS
        through_link = bits / (self.engine.link_mbps * _BITS_PER_MEGABIT_MS)
        return int(self.factor * through_link) + _SETUP_MS

    def carries_all(self, tokens: int) -> bool:
        """Tell whether so much memory leaves an engine that gives notice."""
        return self.estimate(tokens) <= SERVES_ON - _STOP_BEFORE_END


@dataclass(slots=True)
class Departure:
    """Hold what is known of an engine's end; it becomes known in steps.

    :param until: when the engine is gone.
    """

    until: Millis

    def leaves_time(self, begins: Millis, takes: Millis) -> bool:
        """Tell whether a copy is done before the generation is stopped.

        :param begins: when the copy begins.
        :param takes: time that it takes.
        """
        return begins + takes <= self.stop_at

    @property
    def stop_at(self) -> Millis:
        """Return when a generation whose memory was copied is stopped."""
        return self.until - _STOP_BEFORE_END


def ends_in_time(tokens: int) -> bool:
    """Tell whether so many tokens are surely made before an engine is gone."""
    return tokens * TOKEN_LONGEST <= SERVES_ON
