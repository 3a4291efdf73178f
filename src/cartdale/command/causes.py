"""Name the cause of what became of a request, from its log lines."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Any

from cartdale.command.timeline import LogLine
from cartdale.problems.types import NotRunReason

#: Lines on a departure; the first in the order of letters says more.
_DEPARTURES = frozenset(('not moved', 'turn'))


#: Lines on a response that its caller did not read.
_UNREAD = frozenset(('response gave way', 'response not read in its time'))
#: Lines on a request that is sent to no upstream any more.
_BARRED = frozenset(('request barred', 'taken back'))


class Cause(StrEnum):
    """Say in words what became of a request."""

    ANSWERED = 'answered'
    UPSTREAM_FAILED = 'the upstream answered with a failure'
    NO_ROOM = 'refused: no room was likely to come in its time'
    EVACUATED = 'refused: all that could serve it is evacuated'
    COLD = 'refused: all that could serve it had just started'
    LIMITED = 'refused: all that could serve it had named a rate limit'
    RESTING = 'refused: all that could serve it had asked to be left alone'
    LEAVING = 'refused: all that could serve it was leaving'
    REGION = 'refused: nothing serves it in the regions that it may enter'
    QUARANTINED = 'refused: upstreams ended as they began to run it'
    NOT_READY = 'refused: the instance had no configuration yet'
    STOPPING = 'refused: its instance was to stop before it would have ended'
    TURNED_AWAY = 'refused: every upstream that was asked turned it away'
    NOT_CURRENT = (
        'refused: a newer configuration was known but not in force here'
    )
    HELD_BYTES = 'refused unread: its instance held too much for slow peers'
    NOT_READ = 'its caller did not read it'
    NOT_ALLOWED = 'refused: the configuration does not allow it'
    TIME_LIMIT = 'no answer came within its time limit'
    ENGINE_GONE = 'its engine left before its memory was copied'
    ENGINE_LOST = 'its engine was lost without a copy of its memory'
    FORGOTTEN = 'its engine had nothing of it any more; it may have run'
    LINK_BROKE = 'the link to its upstream broke; it may have run'
    CALLER_LEFT = 'the caller left'
    CHECK_FAILED = 'a check of the program ended it'
    INSTANCE_ENDED = 'its instance ended before its response was complete'
    INSTANCE_LOST = 'its instance was killed or lost its machine'
    UNKNOWN = 'its end is not in these logs'


#: By what an instance found missing; all others are for want of room.
_CAUSES_BY_SHORTAGE = MappingProxyType(
    {
        'evacuated': Cause.EVACUATED,
        'cold': Cause.COLD,
        'region': Cause.REGION,
        'resting': Cause.RESTING,
        'limited': Cause.LIMITED,
        'leaving': Cause.LEAVING,
    },
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold a cause, and what the lines say of it.

    :param detail: figures and names; empty for none.
    """

    cause: Cause
    detail: str = ''

    @property
    def is_failure(self) -> bool:
        """Tell whether the caller was not served."""
        return self.cause not in {Cause.ANSWERED, Cause.CALLER_LEFT}


def name_cause(own: Sequence[LogLine], restarts: Iterable[float]) -> Verdict:
    """Return what became of a request.

    :param own: its lines, in the order of their times.
    :param restarts: when its instance started, in wall time.
    """
    by_event = {line.event: line for line in own}
    for event, judge in _JUDGES:
        if event in by_event:
            verdict = judge(by_event)
            if verdict is not None:
                return verdict
    last = own[-1].at
    started = [at for at in restarts if at > last]
    if started:
        detail = f'it started again {min(started) - last:.1f} s later'
        return Verdict(Cause.INSTANCE_LOST, detail)
    return Verdict(Cause.UNKNOWN)


def _judge_check(by_event: dict[str, LogLine]) -> Verdict:
    detail = str(by_event['request failed'].details.get('detail', ''))
    return Verdict(Cause.CHECK_FAILED, detail)


def _judge_end(by_event: dict[str, LogLine]) -> Verdict:
    """Tell which side ended a request before its response was complete."""
    cut = by_event.get('request cut')
    if cut is None:
        return Verdict(Cause.CALLER_LEFT)
    return Verdict(
        Cause.INSTANCE_ENDED, f'after {cut.details.get("held", 0)} ms'
    )


def _judge_stream(by_event: dict[str, LogLine]) -> Verdict:
    details = by_event['stream ended'].details
    events = f'after {details.get("events", 0)} events'
    match details.get('end'):
        case 'whole':
            told = _describe_pause(by_event) + _describe_wait(by_event)
            return Verdict(Cause.ANSWERED, told)
        case 'failed':
            return Verdict(Cause.UPSTREAM_FAILED)
        case _:
            return _judge_cut(by_event, events)


def _describe_pause(by_event: dict[str, LogLine]) -> str:
    """Return where a whole answer paused for too long; empty for nowhere."""
    pause = by_event.get('pause too long')
    if pause is None:
        return ''
    took, events = pause.details.get('took'), pause.details.get('events')
    upstream = pause.details.get('upstream', '')
    factor, slowness = (
        pause.details.get('factor'),
        pause.details.get('slowness'),
    )
    speed = (
        ''
        if factor is None
        else f' (takes {factor} of the mean time, {slowness} of that then)'
    )
    where = f'{upstream}{speed}'
    return f'late: paused {took} ms at {where} after {events} events'


def _describe_wait(by_event: dict[str, LogLine]) -> str:
    """Return why an answered request waited for long; empty if it did not."""
    waited = by_event.get('waited for room')
    if waited is None:
        return ''
    took = waited.details.get('waited')
    return f'waited {took} ms for room{_describe_order(waited)}'


def _describe_order(line: LogLine) -> str:
    """Return who went before a request; empty if no order was applied."""
    details = line.details
    if 'urgent_ahead' not in details:
        return ''
    ahead = (
        f'{details["urgent_ahead"]} more urgent',
        f'{details["owed_ahead"]} of customers served less',
        f'{details["alike_ahead"]} older elsewhere',
        f'{details["own_ahead"]} here',
    )
    kept = f'{details["reserve"]} tokens an engine kept for urgent ones'
    age = f'news {details["news_age"]} ms old'
    return f'; before it: {", ".join(ahead)}; {kept}; {age}'


def _judge_cut(by_event: dict[str, LogLine], events: str) -> Verdict:
    unread = _UNREAD & by_event.keys()
    if unread:
        return _judge_unread(by_event[min(unread)], events)
    if 'time limit' in by_event:
        return Verdict(Cause.TIME_LIMIT, events)
    if 'request barred' in by_event:
        return _judge_barred(by_event)
    departures = _DEPARTURES & by_event.keys()
    if not departures:
        lost = by_event.get('stream lost')
        seen = '' if lost is None else f', {lost.details.get("detail", "")}'
        return Verdict(Cause.ENGINE_LOST, f'{events}{seen}')
    left = by_event[min(departures)]
    ahead = left.details.get('ahead', 0)
    upstream = left.details.get('upstream', '')
    detail = f'{upstream} {events}, {ahead} copies before it'.strip()
    return Verdict(Cause.ENGINE_GONE, detail)


def _judge_unread(line: LogLine, events: str) -> Verdict:
    details = line.details
    held, unread = details.get('held', 0), details.get('unread', 0)
    return Verdict(
        Cause.NOT_READ, f'{events}, {held} bytes, not read for {unread} ms'
    )


def _judge_refusal(by_event: dict[str, LogLine]) -> Verdict:
    details = by_event['refused'].details
    held = f'after {details.get("held", 0)} ms'
    status = details.get('status', 0)
    if status:
        return _judge_status(details)
    if _BARRED & by_event.keys():
        return _judge_barred(by_event)
    detail = str(details.get('detail', ''))
    match details.get('problem'):
        case 'NotRun':
            return _judge_not_run(by_event, str(details.get('reason')), held)
        case 'OutcomeUnknown' if 'time limit' in detail:
            return Verdict(Cause.TIME_LIMIT, held)
        case 'OutcomeUnknown' if 'nothing of it' in detail:
            return Verdict(Cause.FORGOTTEN, held)
        case _:
            return Verdict(Cause.LINK_BROKE, detail)


def _judge_status(details: dict[str, Any]) -> Verdict:
    detail = f'status {details["status"]}'
    version, newest = details.get('version', 0), details.get('newest', 0)
    if newest <= version:
        return Verdict(Cause.NOT_ALLOWED, detail)
    return Verdict(
        Cause.NOT_CURRENT, f'{detail}, version {version}, newest {newest}'
    )


def _judge_barred(by_event: dict[str, LogLine]) -> Verdict:
    barred = by_event.get('request barred')
    if barred is None:
        return Verdict(Cause.QUARANTINED, 'taken back from its engine')
    return Verdict(Cause.QUARANTINED, str(barred.details.get('ended', '')))


def _judge_not_run(
    by_event: dict[str, LogLine], reason: str, held: str
) -> Verdict:
    room = by_event.get('no room')
    if room is not None:
        shortage = str(room.details.get('shortage', ''))
        cause = _CAUSES_BY_SHORTAGE.get(shortage, Cause.NO_ROOM)
        chance = room.details.get('chance')
        detail = f'{held}, chance {chance}'
        return Verdict(cause, detail + _describe_order(room))
    late = by_event.get('outlasts this instance')
    if late is not None:
        left = late.details.get('stops_in', 0)
        return Verdict(Cause.STOPPING, f'{held}, {left} ms before the stop')
    if reason == NotRunReason.HELD_BYTES:
        return _judge_unread_body(by_event)
    if reason == NotRunReason.NOT_CURRENT:
        return Verdict(Cause.NOT_CURRENT, held)
    if 'configuration' in reason:
        return Verdict(Cause.NOT_READY)
    return Verdict(Cause.TURNED_AWAY, held)


def _judge_plain_unread(by_event: dict[str, LogLine]) -> Verdict:
    return _judge_unread(by_event['response gave way'], 'answered')


def _judge_unread_body(by_event: dict[str, LogLine]) -> Verdict:
    refused = by_event.get('body refused unread')
    if refused is None:
        return Verdict(Cause.HELD_BYTES)
    held = {
        name: refused.details.get(name, 0)
        for name in ('size', 'bodies', 'responses', 'limit')
    }
    detail = ', '.join(f'{name} {count}' for name, count in held.items())
    return Verdict(Cause.HELD_BYTES, f'bytes: {detail}')


def _judge_attempt(by_event: dict[str, LogLine]) -> Verdict | None:
    details = by_event['attempt ended'].details
    if details.get('step') != 'PassOn':
        return None
    if details.get('good'):
        return Verdict(Cause.ANSWERED)
    return Verdict(Cause.UPSTREAM_FAILED, str(details.get('upstream', '')))


#: What decides goes first: a request may have lines of several kinds.
_JUDGES = (
    ('request failed', _judge_check),
    ('caller left', _judge_end),
    ('stream ended', _judge_stream),
    ('response gave way', _judge_plain_unread),
    ('refused', _judge_refusal),
    ('request cut', _judge_end),
    ('attempt ended', _judge_attempt),
)
