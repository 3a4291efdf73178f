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
#: Copies between failure domains take twice as long. Where the link must be
#: free most targets are taken as far, else as mixed.
_MOSTLY_FAR = 1.7
_MIXED = 1.35
#: Before an engine's end, what was copied is stopped even if its link is in
#: use: the rest of the memory is small, and must be read anew otherwise.
_LAST_CALL: Millis = 150
#: What every copy adds: its call, and the engine's own preparation.
_SETUP_MS = 5


@dataclass(frozen=True, slots=True)
class Turn:
    """Place a generation among all that leave an engine, smallest first.

    :param rank: how many are smaller.
    :param waits: time that the copies of the smaller ones take.
    :param takes: time that its own copy takes.
    """

    rank: int
    waits: Millis
    takes: Millis


@dataclass(slots=True)
class Departure:
    """Hold what is known of an engine's end; it becomes known in steps.

    :param until: when the engine is gone.
    :param quiet_at: when its link is free, if nobody copies more.
    """

    until: Millis
    quiet_at: Millis

    def leaves_time(self, begins: Millis, turn: Turn) -> bool:
        """Tell whether a copy that begins at a time is done before the end."""
        return begins + turn.takes <= self.until - _LAST_CALL

    @property
    def stop_at(self) -> Millis:
        """Return when a generation whose memory was copied is stopped."""
        return min(self.quiet_at, self.until - _LAST_CALL)


def place(
    tokens: int, reported: Iterable[RunReport], engine: EngineTraits
) -> Turn:
    """Return a generation's turn.

    :param tokens: memory that it holds.
    :param reported: what the engine held some hundred milliseconds ago.
    """
    smaller = [run.tokens for run in reported if run.tokens < tokens]
    waits = sum(estimate_copy(held, engine, _MIXED) for held in smaller)
    return Turn(len(smaller), waits, estimate_copy(tokens, engine, _MIXED))


def estimate_copy(
    tokens: int, engine: EngineTraits, factor: float = _MOSTLY_FAR
) -> Millis:
    """Return how long the copy of a generation takes, in milliseconds.

    :param factor: 1 within a failure domain, 2 between two.
    """
    bits = tokens * engine.token_bytes * _BITS
    through_link = bits / (engine.link_mbps * _BITS_PER_MEGABIT_MS)
    return int(factor * through_link) + _SETUP_MS


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
