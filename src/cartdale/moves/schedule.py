"""Spread the copies of an engine's generations over its link.

Every instance moves only its own generations, yet all copies leave by the
same link, one after another. All instances read the same report and derive
the same order from it, so each begins when the link is free.
"""

from collections.abc import Iterable, Mapping

from cartdale.clock import Millis
from cartdale.fleet.types import RunReport
from cartdale.routes.types import EngineTraits

_BITS = 8
_BITS_PER_MEGABIT_MS = 1000
#: Copies between failure domains take twice as long; targets are mixed.
_LINK_FACTOR = 1.5
#: Between the end of a copy and the start of the next: two calls each way.
_TURN_MS = 12


def estimate_copy(tokens: int, engine: EngineTraits) -> Millis:
    """Return how long the copy of a generation takes, in milliseconds."""
    bits = tokens * engine.token_bytes * _BITS
    return int(_LINK_FACTOR * bits / (engine.link_mbps * _BITS_PER_MEGABIT_MS))


def schedule(
    runs: Iterable[RunReport], engine: EngineTraits
) -> Mapping[str, Millis]:
    """Return when the copy of each generation begins, by request id.

    :returns: milliseconds from the time of the report; the smallest first,
        so that as many as possible leave in time.
    """
    begins_by_request: dict[str, Millis] = {}
    begins = 0
    for run in sorted(runs, key=_size):
        begins_by_request[run.request_id] = begins
        begins += estimate_copy(run.tokens, engine) + _TURN_MS
    return begins_by_request


def _size(run: RunReport) -> tuple[int, str]:
    return (run.tokens, run.request_id)
