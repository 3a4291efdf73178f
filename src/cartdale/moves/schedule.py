"""Estimate in which order generations leave an engine, and who is in time.

Every instance copies only its own generations, yet all copies leave by the
same link, one after another. All instances order them alike, from the same
report, so that each knows who copies before it, and hears from their loads
when they have. A generation stops as soon as it is copied, before the next
begins: where not all leave in time, only the last are lost. A copy that could
not end before the engine does is not begun: it would only hold up the others.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.fleet.loads import Load
from cartdale.fleet.types import RunReport
from cartdale.moves.estimates import SourceLink

#: Between the end of a copy and the begin of the next: its news, and a call.
_HANDOVER: Millis = 40
#: How long those before are waited for, in parts of their estimate: some find
#: no target, and copies that meet backups on their way take half as long again.
_PATIENCE = 1.5
#: Events that a generation is still expected to make, whatever it has made;
#: about half of what long generations make in all. It orders departures only.
_EVENTS_TO_COME = 125


#: How long a link must have been idle for each copy that should come before.
#: That a copy began is heard after 20 to 180 ms; whoever comes next in the
#: order so begins before those behind it.
_IDLE_BEFORE: Millis = 120


@dataclass(frozen=True, slots=True)
class Turn:
    """Say when a generation's copy has the link.

    :param ahead: how many copies come before.
    :param waits: time that they take at the most.
    :param takes: time that its own copy takes.
    """

    ahead: int
    waits: Millis
    takes: Millis


def line_up(
    reported: Iterable[RunReport], own: Iterable[RunReport]
) -> tuple[RunReport, ...]:
    """Return an engine's generations in the order in which they leave.

    First those that gain most for the memory that is copied. Those that are
    too young for the report are known to their own instance alone: they
    come last, so that all instances agree on the others.

    :param reported: what the engine held some hundred milliseconds ago.
    :param own: what this instance runs there.
    """
    known = sorted(reported, key=_rank)
    names = {run.request_id for run in known}
    young = [run for run in own if run.request_id not in names]
    return (*known, *sorted(young, key=_rank))


def find_turn(
    request_id: str, queue: Sequence[RunReport], link: SourceLink, load: Load
) -> Turn:
    """Return a generation's turn.

    :param queue: all that leave the engine, in order.
    :param load: of the engine, from all instances: it tells how many of
        the reported have ended, and how many need no copy.
    """
    rank = [run.request_id for run in queue].index(request_id)
    # Who has a backup is not known one by one; a copy too many at a time only
    # shares the link, one too few leaves it idle.
    ended = max(len(queue) - load.runs, 0)
    ahead = int(load.share_awaiting_copy * max(rank - ended, 0))
    before = [link.estimate(run.tokens) + _HANDOVER for run in queue[:rank]]
    waits = ahead * sum(before) // max(rank, 1)
    return Turn(
        ahead,
        int(_PATIENCE * waits),
        link.estimate(queue[rank].tokens),
    )


def may_begin(turn: Turn, ended: int, idle: Millis) -> bool:
    """Tell whether a generation's copy may have the link now.

    The order is estimated from a report that is half a second old: some of
    those before may need no copy, and then nobody would use the link. Where it
    stays idle, the next begins, as stations that share a medium do
    (Kleinrock and Tobagi, Packet Switching in Radio Channels, 1975).

    :param ended: copies that were needed when the engine began to leave and
        are needed no more.
    :param idle: how long nobody was heard to copy.
    """
    left = turn.ahead - ended
    return left <= 0 or idle >= left * _IDLE_BEFORE


def _rank(run: RunReport) -> tuple[float, str]:
    """Order by what is made for the memory held; ids settle the rest."""
    made = run.events + _EVENTS_TO_COME
    return -made / max(run.tokens, 1), run.request_id
