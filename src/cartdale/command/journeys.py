"""Follow each request through the instances, from their log lines."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from cartdale.clock import SECOND_MS
from cartdale.command.causes import Cause, Verdict, name_cause
from cartdale.command.pauses import Pause, Reading
from cartdale.command.timeline import LogLine


class StartDelay(StrEnum):
    """Say what most of the time before a late start went to."""

    REFUSED = 'an earlier refusal'
    WAITED = 'waiting at its instance'
    TRIED = 'attempts that came to nothing'
    UPSTREAM = 'the upstream that answered'


@dataclass(frozen=True, slots=True)
class Journey:
    """Hold what became of one request of a caller, retries included.

    :param asked_at: when its first submission arrived, in wall time.
    :param waits: time from each submission's arrival to its first placement,
        in milliseconds.
    :param sent: upstreams of its sends, in their order.
    :param readings: of its prompt, the one that its first event followed.
    :param returns: delays until it was told to return, in milliseconds.
    :param returned: whether it came back after a refusal.
    :param shortages: what was missing at refusals.
    :param start_delay: why it began late; ``None`` if it did not.
    :param pause: its longest pause over the target, if any.
    """

    route: str
    customer: str
    rank: str
    node: str
    asked_at: float
    verdict: Verdict
    waits: tuple[int, ...] = ()
    sent: tuple[str, ...] = ()
    grounds: tuple[str, ...] = ()
    readings: tuple[Reading, ...] = ()
    returns: tuple[int, ...] = ()
    returned: bool = False
    shortages: tuple[str, ...] = ()
    start_delay: StartDelay | None = None
    pause: Pause | None = None

    @property
    def is_served(self) -> bool:
        """Tell whether the caller has the whole answer."""
        return self.verdict.cause is Cause.ANSWERED


def follow_requests(lines: Iterable[LogLine]) -> list[Journey]:
    """Return the journeys of all requests that lines name.

    :param lines: in the order of their times.
    """
    by_request: defaultdict[str, list[LogLine]] = defaultdict(list)
    restarts_by_node: defaultdict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.request:
            by_request[line.request].append(line)
        elif line.event == 'started':
            restarts_by_node[line.node].append(line.at)
    return [
        _follow(own, restarts_by_node[own[-1].node])
        for own in by_request.values()
    ]


def _follow(own: list[LogLine], restarts: list[float]) -> Journey:
    named: dict[str, Any] = {}
    for line in own:
        named = {**line.details, **named}
    last = _find_last_submission(own)
    refusals = list(filter(_is_told_to_return, own))
    sends = _select(own, 'sending')
    asked_at = _find_arrival(own[0])
    return Journey(
        route=str(named.get('route') or '(none)'),
        customer=str(named.get('customer') or '(none)'),
        rank=str(named.get('rank', '(none)')),
        node=last[-1].node,
        asked_at=asked_at,
        verdict=name_cause(last, restarts),
        waits=_list_waits(own),
        sent=_list_details(sends, 'upstream'),
        grounds=_list_details(sends, 'grounds'),
        readings=_list_readings(last),
        returns=_list_details(refusals, 'retry_after'),
        returned=bool(refusals) and last[0].at > refusals[0].at,
        shortages=_list_details(_select(own, 'no room'), 'shortage'),
        start_delay=_find_start_delay(last, asked_at),
        pause=_find_pause(last),
    )


def _select(lines: Iterable[LogLine], event: str) -> list[LogLine]:
    return [line for line in lines if line.event == event]


def _list_details(lines: Iterable[LogLine], name: str) -> tuple[Any, ...]:
    return tuple(line.details.get(name) for line in lines)


def _is_told_to_return(line: LogLine) -> bool:
    return line.event == 'refused' and 'retry_after' in line.details


def _find_last_submission(own: list[LogLine]) -> list[LogLine]:
    """Return the lines after the last refusal that others follow."""
    first = 0
    for index, line in enumerate(own[:-1], start=1):
        if _is_told_to_return(line):
            first = index
    return own[first:]


def _find_arrival(line: LogLine) -> float:
    passed: int = line.details.get('waited', line.details.get('held', 0))
    return line.at - passed / SECOND_MS


def _list_waits(own: list[LogLine]) -> tuple[int, ...]:
    """Return the wait of each submission for its first placement."""
    waits: list[int] = []
    is_new = True
    for line in own:
        if line.event == 'placed' and is_new:
            waits.append(line.details.get('waited', 0))
            is_new = False
        is_new = is_new or line.event == 'refused'
    return tuple(waits)


def _find_first_event(last: Sequence[LogLine]) -> float | None:
    """Return when a stream or answer began, in wall time."""
    placements = _select(last, 'placed')
    for ended in _select(last, 'stream ended'):
        details = ended.details
        began = details.get('first_event') or details.get('first_after')
        if not began or not placements:
            return None
        return _find_arrival(placements[0]) + int(began) / SECOND_MS
    for answered in _select(last, 'attempt ended'):
        if answered.details.get('step') == 'PassOn':
            return answered.at
    return None


def _list_readings(last: Sequence[LogLine]) -> tuple[Reading, ...]:
    """Return when and where the prompt of a stream was read."""
    if not _select(last, 'stream ended'):
        return ()
    first = _find_first_event(last)
    readings: list[Reading] = []
    for line in _select(last, 'sending'):
        if first is None or line.at >= first:
            break
        if line.details.get('grounds') == 'NewRun':
            readings.append(Reading(line.details['upstream'], line.at, first))
    return tuple(readings[-1:])


def _find_start_delay(
    last: Sequence[LogLine], asked_at: float
) -> StartDelay | None:
    placements = _select(last, 'placed')
    first = _find_first_event(last)
    target = placements[0].details.get('target', 0) if placements else 0
    if first is None or not target:
        return None
    if (first - asked_at) * SECOND_MS <= target:
        return None
    placed_at = placements[0].at
    arrived_at = _find_arrival(placements[0])
    sent_at = max(line.at for line in placements if line.at <= first)
    spans = (
        (arrived_at - asked_at, StartDelay.REFUSED),
        (placed_at - arrived_at, StartDelay.WAITED),
        (sent_at - placed_at, StartDelay.TRIED),
        (first - sent_at, StartDelay.UPSTREAM),
    )
    return max(spans, key=_length_of)[1]


def _find_pause(last: Sequence[LogLine]) -> Pause | None:
    pauses = _select(last, 'pause too long')
    if not pauses:
        return None
    longest = max(pauses, key=_took)
    return Pause(
        ended_at=longest.at,
        took=_took(longest) / SECOND_MS,
        link_age=longest.details.get('link_age', 0) / SECOND_MS,
        upstream=str(longest.details.get('upstream')),
        node=longest.node,
    )


def _length_of(span: tuple[float, StartDelay]) -> float:
    return span[0]


def _took(line: LogLine) -> int:
    took: int = line.details.get('took', 0)
    return took
