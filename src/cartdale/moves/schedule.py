"""Estimate when the link of an engine that leaves is free again.

Every instance copies only its own generations, yet all copies leave by the
same link, one after another. Nobody is stopped while others still copy: the
rest of its memory would wait behind them, and the caller with it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.fleet.types import RunReport
from cartdale.routes.types import EngineTraits

_BITS = 8
_BITS_PER_MEGABIT_MS = 1000
#: Copies between failure domains take twice as long; targets are mixed.
_LINK_FACTOR = 1.7
#: Before an engine's end, what was copied is stopped even if its link is in
#: use: the rest of the memory is small, and must be read anew otherwise.
_LAST_CALL: Millis = 150
#: What every copy adds: its call, and the engine's own preparation.
_SETUP_MS = 5


@dataclass(slots=True)
class Departure:
    """Hold what is known of an engine's end; it becomes known in steps.

    :param until: when the engine is gone.
    :param quiet_at: when its link is free, if nobody copies more.
    """

    until: Millis
    quiet_at: Millis

    @property
    def stop_at(self) -> Millis:
        """Return when a generation whose memory was copied is stopped."""
        return min(self.quiet_at, self.until - _LAST_CALL)


def estimate_copy(tokens: int, engine: EngineTraits) -> Millis:
    """Return how long the copy of a generation takes, in milliseconds."""
    bits = tokens * engine.token_bytes * _BITS
    through_link = bits / (engine.link_mbps * _BITS_PER_MEGABIT_MS)
    return int(_LINK_FACTOR * through_link) + _SETUP_MS


def estimate_all(
    reported: Iterable[RunReport],
    own_tokens_by_request: dict[str, int],
    engine: EngineTraits,
) -> Millis:
    """Return how long the copies of all generations take together.

    :param reported: what the engine held some hundred milliseconds ago.
    :param own_tokens_by_request: this instance's generations there, which
        may be too young for the report.
    """
    tokens_by_request = {run.request_id: run.tokens for run in reported}
    for request_id, tokens in own_tokens_by_request.items():
        tokens_by_request.setdefault(request_id, tokens)
    return sum(
        estimate_copy(held, engine) for held in tokens_by_request.values()
    )
