"""When instances must know that an upstream's rate limit has ended."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from math import inf
from typing import Any

import msgspec

from cartdale.clock import as_seconds
from cartdale.codec import decode_json
from cartdale.fleet.permits import allot
from tests.fault_soak.instances import Instance
from tests.fault_soak.watch import SLACK_SECONDS, Upstream

#: Spans of time, from and until.
Absences = list[tuple[float, float]]
#: A limit that has ended is known to have, everywhere, so long after the first
#: answer without it.
ENDED_SECONDS = 1.0
#: Taken for a lower limit: without requests there are no answers.
_LEAST_PER_SECOND = 0.1
#: Changes after which nothing is known of an upstream's limit.
_FORGETTING = frozenset(('Restarted', 'Vanished'))
#: A permit that changes hands waits for its span and for its turn in another.
_SPANS_MOVED = 2


class _LogLine(msgspec.Struct):
    """Hold what a log line says of a limit."""

    at: float = 0
    event: str = ''
    upstream: str = ''
    change: str = ''
    per_second: float | None = None


@dataclass(frozen=True, slots=True)
class Limited:
    """Hold that an upstream named a limit, and until when."""

    upstream: Upstream
    per_second: float
    since: float
    until: float
    #: Whether it named another one right after.
    changed: bool

    @property
    def asked_by(self) -> float:
        """Return when all must know its end if all instances hold permits.

        A limit lets one request pass in so long, whose answer tells.
        """
        waits = 1 / max(self.per_second, _LEAST_PER_SECOND)
        return self.until + waits + ENDED_SECONDS + SLACK_SECONDS

    @property
    def away_seconds(self) -> float:
        """Return by how much later that is after an instance was away.

        Its permits lie idle meanwhile, and count as just used once it has
        begun or other instances have them.
        """
        span = as_seconds(allot(self.per_second).span)
        return _SPANS_MOVED * span + ENDED_SECONDS + SLACK_SECONDS


def find_heard_by(soak: Any, limited: Limited, wall_offset: float) -> float:
    """Return when all instances must know that a limit has ended.

    :param wall_offset: from trio's clock to the wall clock, in seconds.
    """
    absences_by_instance = {
        each.name: list_absences(each, wall_offset) for each in soak.instances
    }
    asked_by = limited.asked_by
    absences = [each for some in absences_by_instance.values() for each in some]
    for since, until in sorted(absences):
        if until > limited.since and since <= asked_by:
            asked_by = max(asked_by, until + limited.away_seconds)
    told = _list_told(soak, limited, absences_by_instance)
    first = min(told, default=inf)
    return min(asked_by, first + ENDED_SECONDS + SLACK_SECONDS)


def list_absences(instance: Instance, wall_offset: float) -> Absences:
    """Return when an instance stood still or took no requests.

    One that was told to stop takes none from then on until its next process
    has started.
    """
    started = [
        line.at - wall_offset
        for line in _read_lines(instance)
        if line.event == 'started'
    ]
    absences = list(instance.pauses)
    for end in instance.ends:
        launch = min((at for at in instance.starts if at > end), default=inf)
        until = min((at for at in started if at > launch), default=inf)
        absences.append((end, until))
    return absences


def keeps_limit(
    instance: Instance, upstream: str, at: float, wall_offset: float
) -> bool:
    """Read from an instance's log whether it keeps to an upstream's limit.

    A process that has only begun knows nothing of what its predecessor did.

    :param at: the moment, in trio's seconds.
    """
    keeps = False
    begun = max((start for start in instance.starts if start <= at), default=0)
    for event in _read_lines(instance):
        if event.at > at + wall_offset:
            break
        if event.upstream != upstream or event.at < begun + wall_offset:
            continue
        if event.change == 'LimitChanged':
            keeps = event.per_second is not None
        if event.change in _FORGETTING:
            keeps = False
    return keeps


def _list_told(
    soak: Any,
    limited: Limited,
    absences_by_instance: Mapping[str, Absences],
) -> Iterator[float]:
    """Yield when instances that were there got answers without the limit.

    The first requests may have crossed answers that still named it.
    """
    certain = limited.until + SLACK_SECONDS
    asked_by_name = {each.name: each for each in soak.checks.asked}
    attempts = Counter(
        seen.request_id
        for upstream in soak.upstreams
        for seen in upstream.worker.arrivals
    )
    for seen in limited.upstream.worker.arrivals:
        asked = asked_by_name.get(seen.request_id)
        if asked is None or seen.at < certain or not asked.ended_at:
            continue
        if asked.status != HTTPStatus.OK or attempts[asked.name] > 1:
            continue
        told_until = asked.ended_at + ENDED_SECONDS + SLACK_SECONDS
        was_away = any(
            since <= told_until and until >= asked.at
            for since, until in absences_by_instance[asked.instance]
        )
        if not was_away:
            yield asked.ended_at


def _read_lines(instance: Instance) -> Iterator[_LogLine]:
    for line in instance.log_path.read_bytes().splitlines():
        if line.startswith(b'{'):
            yield decode_json(line, _LogLine)
