"""Estimate the order in which generations leave an engine, and their turns.

Each instance copies only its own generations, but all copies leave by the same
link, one after another. All instances derive the same order from the same
report, so each knows which copies come before its own, and learns from the
published loads when those are complete. A generation stops as soon as it is
copied, before the next copy begins: if not all can leave in time, only the last
are lost. A copy that could not complete before the engine ends is not started,
since it would only delay the others.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.fleet.types import RunReport
from cartdale.moves.estimates import SourceLink
from cartdale.scheduling.loads import Load

#: Time between the end of a copy and the start of the next: news and a call.
_HANDOVER_TIME: Millis = 40
#: Maximum wait for the copies ahead, as a multiple of their estimated time:
#: some find no target, and copies that share a link with backups take half as
#: long again.
_WAIT_FACTOR = 1.5
#: Events that a generation is still expected to produce, independent of those
#: already produced: about half the total of long generations. Used only to
#: order departures.
_EXPECTED_EVENTS = 125


#: Time that a link must have been idle for each copy that is still ahead. News
#: that a copy began arrives after 20 to 180 ms, so that the next in the order
#: starts before those behind it.
_IDLE_PER_COPY: Millis = 120


@dataclass(frozen=True, slots=True)
class Turn:
    """A generation's turn to use the link for its copy.

    :param ahead: number of copies that come before.
    :param waits: maximum time that those copies take.
    :param takes: time that its own copy takes.
    """

    ahead: int
    waits: Millis
    takes: Millis


def order_departures(
    reported: Iterable[RunReport], own: Iterable[RunReport]
) -> tuple[RunReport, ...]:
    """Return an engine's generations in the order in which they leave.

    Generations with the highest gain per copied memory come first. Those too
    new for the report are known only to their own instance; they come last, so
    that all instances agree on the order of the others.

    :param reported: the engine's generations some hundred milliseconds ago.
    :param own: this instance's generations at the engine.
    """
    known = sorted(reported, key=_rank)
    names = {run.request_id for run in known}
    unreported = [run for run in own if run.request_id not in names]
    return (*known, *sorted(unreported, key=_rank))


def find_turn(
    request_id: str, queue: Sequence[RunReport], link: SourceLink, load: Load
) -> Turn:
    """Return a generation's turn.

    :param queue: all generations that leave the engine, in order.
    :param load: the engine's load from all instances: how many of the
        reported generations have ended, and how many need no copy.
    """
    rank = [run.request_id for run in queue].index(request_id)
    # The load does not identify the generations that have a backup, so `ahead`
    # is an estimate. One concurrent copy too many only shares the link; one too
    # few leaves it idle.
    ended = max(len(queue) - load.runs, 0)
    ahead = int(load.share_awaiting_copy * max(rank - ended, 0))
    before = [
        link.estimate(run.tokens) + _HANDOVER_TIME for run in queue[:rank]
    ]
    waits = ahead * sum(before) // max(rank, 1)
    return Turn(
        ahead,
        int(_WAIT_FACTOR * waits),
        link.estimate(queue[rank].tokens),
    )


def may_begin(turn: Turn, ended: int, idle: Millis) -> bool:
    """Return whether a generation's copy may use the link now.

    The order is estimated from a report that is half a second old. Some of the
    generations ahead may need no copy, which would leave the link unused. If
    the link stays idle, the next copy starts, as with carrier sensing on a
    shared medium (Kleinrock and Tobagi, Packet Switching in Radio Channels,
    1975).

    :param ended: copies that were needed when the engine began to leave and
        are no longer needed.
    :param idle: time since the last report of a running copy.
    """
    left = turn.ahead - ended
    return left <= 0 or idle >= left * _IDLE_PER_COPY


def _rank(run: RunReport) -> tuple[float, str]:
    """Return a sort key: output per memory held, then the id to break ties."""
    made = run.events + _EXPECTED_EVENTS
    return -made / max(run.tokens, 1), run.request_id
