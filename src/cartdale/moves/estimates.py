"""Estimate copy times, and which generations can leave an engine in time.

The figures are for engines of 7 ms a step with links of 2.7 to 24 Gbit/s. Once
an engine's own report states when it ends, that replaces ``EXPECTED_NOTICE``.
"""

from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.ranges import clamp
from cartdale.routes.types import EngineSpec

#: Assumed time between an engine's notice and its end, until its reports state
#: it. Reclaimed engines get 1.5 to 2.1 s. Too short a value skips copies that
#: would complete; too long a value starts copies that delay others.
EXPECTED_NOTICE: Millis = 1600
#: Upper bound of an engine's time per token, which is 8 to 12 ms. A generation
#: that ends before its engine at this pace needs no copy.
MAX_TOKEN_TIME: Millis = 15
#: A copy to another failure domain takes twice as long, but copies to different
#: targets overlap: four in a row take 290 ms each, not 360 ms.
SAME_DOMAIN_FACTOR = 1
OTHER_DOMAIN_FACTOR = 1.6
_BITS = 8
_BITS_PER_MEGABIT_MS = 1000
#: Time before an engine's end at which a copied generation is stopped even if
#: the link is busy: the remaining memory is small, and would have to be
#: recomputed otherwise. Over a free link, the stop and the final copy take 20
#: to 40 ms.
_STOP_BEFORE_END: Millis = 150
#: Fixed cost of a copy: the call, and the engine's own preparation.
_SETUP_MS = 5


@dataclass(frozen=True, slots=True)
class SourceLink:
    """The outbound link of an engine that is leaving.

    :param factor: multiplier of a copy's time over the bare link:
        ``SAME_DOMAIN_FACTOR`` for targets in the engine's failure domain,
        ``OTHER_DOMAIN_FACTOR`` for others, or a value between the two.
    """

    engine: EngineSpec
    factor: float = OTHER_DOMAIN_FACTOR

    def estimate(self, tokens: int) -> Millis:
        """Return the time that the copy of a generation takes."""
        bits = tokens * self.engine.token_bytes * _BITS
        through_link = bits / (self.engine.link_mbps * _BITS_PER_MEGABIT_MS)
        return clamp(self.factor * through_link) + _SETUP_MS

    def carries_all(self, tokens: int) -> bool:
        """Return whether a copy of this size completes within the notice."""
        return self.estimate(tokens) <= EXPECTED_NOTICE - _STOP_BEFORE_END


@dataclass(slots=True)
class Departure:
    """The expected end of an engine; later reports make it more precise.

    :param until: time at which the engine is gone.
    """

    until: Millis

    def allows_copy(self, begins: Millis, takes: Millis) -> bool:
        """Return whether a copy completes before the generation is stopped.

        :param begins: start time of the copy.
        :param takes: duration of the copy.
        """
        return begins + takes <= self.stop_at

    @property
    def stop_at(self) -> Millis:
        """Return the time at which a copied generation is stopped."""
        return self.until - _STOP_BEFORE_END


def ends_in_time(tokens: int) -> bool:
    """Return whether an engine generates so many tokens before it is gone."""
    return tokens * MAX_TOKEN_TIME <= EXPECTED_NOTICE
