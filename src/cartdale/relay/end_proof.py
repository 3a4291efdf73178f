"""Decide what shows that a response is complete.

A response without framing ends with its connection, and so does one that was
cut short. That its upstream lives says nothing of the response: an upstream
that shuts down closes its responses before its process ends, one that leaves or
reaches a time limit stops them, and a path may close them. So an upstream is
asked again some time after the end, and what speaks against the response is
weighed.
"""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.fleet.types import EngineReport
from cartdale.relay.liveness import LifeCheck, LifeEvidence, LifeState
from cartdale.relay.types import CallerRequest

#: Why a response that ended in order does not count as complete.
UNPROVED = 'ended without proof of its end'
#: Time after its end from which the report of an engine shows the state after
#: it: reports are about half a second old.
ENGINE_SETTLES: Millis = 600
#: The same for a plain service, which reports nothing: time by which one that
#: shuts down has usually ended. Its caller waits for the whole response.
PLAIN_SETTLES: Millis = 300
#: Ends of one cause, such as a crash or a path that fails, are seen within this
#: time of each other.
TOGETHER: Millis = 100
#: Ends of an engine that closes its streams one after another are seen within
#: this time of each other.
SUCCESSIVE: Millis = 1000
#: Other generations of an engine that are rarely all over within the time
#: between two reports, unless the engine ended them.
_MANY_RUNS = 2
#: Events by which streams that began together may differ in one report.
_ABREAST = 2


class EndProof(StrEnum):
    """Grounds on which the end of a response counts as its whole."""

    #: A length, or chunks.
    FRAMED = 'framed'
    #: The engine sent as many tokens as the request allows at most.
    ALL_TOKENS = 'all tokens'
    #: The engine of its backup, which is kept until a run has ended well, keeps
    #: no copy.
    NO_COPY = 'no copy'
    #: The engine of its backup went on with it, and made nothing more.
    NOTHING_LEFT = 'nothing left'
    #: The same incarnation served on, and nothing speaks against the response.
    #: This says nothing of the response itself.
    SERVED_ON = 'served on'
    #: Nothing shows it: the response does not count as complete.
    NONE = 'none'


class EndDoubt(StrEnum):
    """What speaks against a response without framing that ended."""

    NONE = 'none'
    #: The upstream ended, or it is not known whether it did.
    NOT_ALIVE = 'not alive'
    #: It is no longer reached the way that the response took, so that the path
    #: may have ended the response.
    OTHER_PATH = 'other path'
    #: Its connection was reset after its end.
    RESET = 'reset'
    #: Perhaps another incarnation answers: neither it nor its report says which
    #: it is, and it runs nothing of before.
    UNIDENTIFIED = 'unidentified'
    #: A connection to a plain service was accepted, which may be by what stands
    #: before it, and got no answer.
    UNANSWERED = 'unanswered'
    #: The engine made more events, or still runs the generation.
    MORE_EVENTS = 'more events'
    STILL_RUNS = 'still runs'
    #: Other links of this instance ended at the same time, and none goes on.
    ENDED_TOGETHER = 'ended together'
    #: The engine leaves and runs nothing else, so that it may have stopped all.
    LEAVING = 'leaving'
    #: All that the engine ran ended.
    ALL_ENDED = 'all ended'


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What this instance saw of other links around an end.

    :param ended_here: whether others of the same upstream ended with it.
    :param heard_here: whether others of the same upstream went on after it.
    :param ended_elsewhere: whether others of other upstreams ended with it.
    :param heard_anywhere: whether any others went on after it.
    :param ended_before: whether others of the same upstream ended shortly
        before it.
    """

    ended_here: bool = False
    heard_here: bool = False
    ended_elsewhere: bool = False
    heard_anywhere: bool = False
    ended_before: bool = False

    @property
    def share_cause(self) -> bool:
        """Tell whether the end may have the cause of others with it."""
        here = self.ended_here and not self.heard_here
        return here or (self.ended_elsewhere and not self.heard_anywhere)


@dataclass(frozen=True, slots=True)
class EndedStream:
    """End of a generation's stream without framing.

    :param ended_at: when the end was seen.
    :param events: number of events received, from all engines.
    :param leaving: whether its engine is known to leave.
    :param carrier: instance that carried it; empty for none.
    """

    request_id: str
    ended_at: Millis
    events: int
    leaving: bool
    carrier: str = ''


def is_exhausted(request: CallerRequest, most_left: int) -> bool:
    """Tell whether a caller has as many tokens as its request allows.

    :param most_left: tokens that may still be generated; those of an earlier
        response, which the caller has, are not counted.
    """
    counted = request.max_tokens > 0 and not request.last_event
    return counted and not most_left


def find_life_doubt(check: LifeCheck, carrier: str) -> EndDoubt:
    """Return what speaks against an upstream that lives, reached as before.

    :param carrier: instance that carried the response; empty for none.
    """
    unidentified = check.evidence is LifeEvidence.UNIDENTIFIED
    if not unidentified and check.state is not LifeState.ALIVE:
        return EndDoubt.NOT_ALIVE
    if check.carrier != carrier:
        return EndDoubt.OTHER_PATH
    return EndDoubt.NONE


def find_doubt(
    end: EndedStream,
    first: LifeCheck,
    later: LifeCheck,
    around: Surroundings,
) -> EndDoubt:
    """Return what speaks against a stream that ended.

    :param first: check right after the end, of an engine that had not ended.
    :param later: check that shows the state after the end.
    """
    doubt = find_life_doubt(later, end.carrier)
    if doubt is not EndDoubt.NONE:
        return doubt
    report = later.report
    if report is None:
        return EndDoubt.NOT_ALIVE
    for run in report.runs:
        if run.request_id == end.request_id:
            more = run.events > end.events
            return EndDoubt.MORE_EVENTS if more else EndDoubt.STILL_RUNS
    prompt = first.asked_at <= end.ended_at + TOGETHER
    # A report that was read later may be another incarnation's already.
    before = first.report if prompt else None
    after = _list_others(end, report)
    if later.state is not LifeState.ALIVE:
        if after.isdisjoint(_list_others(end, before)):
            return EndDoubt.UNIDENTIFIED
    if around.share_cause:
        return EndDoubt.ENDED_TOGETHER
    if not after and (end.leaving or _announces_leaving(first, later)):
        return EndDoubt.LEAVING
    if not after and _count_apart(end, before) >= _MANY_RUNS:
        return EndDoubt.ALL_ENDED
    return EndDoubt.NONE


def may_run_out(
    end: EndedStream,
    first: LifeCheck,
    later: LifeCheck,
    around: Surroundings,
) -> bool:
    """Tell whether an engine may be closing its streams one after another.

    Most of what it ran has ended too. A sound engine with little work looks the
    same, and is given more time to show that it lives on.
    """
    before = _list_others(end, first.report)
    after = _list_others(end, later.report)
    gone, remaining = before - after, before & after
    ended = len(gone) + around.ended_before
    return ended > 0 and ended >= len(remaining)


def _count_apart(end: EndedStream, report: EngineReport | None) -> int:
    """Count the generations that did not begin with one that ended.

    Streams of one length that began together also end together. A report
    without the generation shows the time after its end, when they went on.
    """
    if report is None:
        return 0
    events_by_request = {run.request_id: run.events for run in report.runs}
    stood_at = events_by_request.get(end.request_id)
    if stood_at is None:
        return 0
    return sum(
        abs(events - stood_at) > _ABREAST
        for events in events_by_request.values()
    )


def _list_others(
    end: EndedStream, report: EngineReport | None
) -> AbstractSet[str]:
    """Return the ids of the other generations that an engine runs."""
    if report is None:
        return frozenset()
    listed = {run.request_id for run in report.runs}
    return listed - {end.request_id}


def _announces_leaving(*checks: LifeCheck) -> bool:
    """Tell whether a report says that the engine leaves."""
    reports = [check.report for check in checks if check.report is not None]
    return any(
        report.leaving or report.leaves_in is not None for report in reports
    )
