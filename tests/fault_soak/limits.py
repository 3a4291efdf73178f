"""Upstreams that name rate limits, and callers that ask for more."""

import time
from http import HTTPStatus
from random import Random
from types import MappingProxyType
from typing import Any

import trio

from tests.fault_soak.callers import Callers
from tests.fault_soak.checks import (
    CONTACT_SECONDS,
    LIMIT_OVERAGE,
    LIMIT_WINDOW_SECONDS,
)
from tests.fault_soak.limit_ends import Limited, find_heard_by, keeps_limit
from tests.fault_soak.notices import list_up, stood_still
from tests.fault_soak.watch import SLACK_SECONDS, Upstream

#: Of plain services and engines, requests a second: few, none at all, many, and
#: what is no number, which says nothing.
_LIMITS = ('0.4', '1.6', '1.6', '3.1', '6', '0', 'few')
#: How long a limit holds: so long that a window lies in it whole.
_SHORTEST, _LONGEST = 10.0, 13.0
#: Between the end of one and the next.
_PAUSE_SECONDS = 1.0
#: How often it is looked whether the end of a limit must be known.
_LOOK_SECONDS = 0.5
#: Callers that ask the limited service beside the others, and their pause.
_CALLERS, _CALL_EVERY = 6, 0.15
#: Longest that a failure domain stays evacuated.
EVACUATED_SECONDS = 8
#: How long requests are counted once an end must be known.
_COUNTED_SECONDS = 2.5
#: More come in the rest of the time than a limit up to this would let pass.
_LOW_LIMIT = 1.6
_LEAST_AFTER = 2
#: Which kind of request asks which service for little.
_KIND_BY_SERVICE = (('portal', 'cut'), ('writers', 'tag'))
_KINDS_BY_SERVICE = MappingProxyType(
    {'portal': ('cut', 'look'), 'writers': ('tag', 'draft')}
)


class Limits:
    """Let upstreams name limits, one after another and all of a service.

    :param soak: the run that they belong to.
    """

    def __init__(self, soak: Any, seed: int) -> None:
        self._soak = soak
        # Of its own, so that the other faults of a seed are as without it.
        self._random = Random(f'limits {seed}')
        self._spans: list[Limited] = []
        #: From trio's clock to the wall clock of the logs, in seconds.
        self._wall_offset = time.time() - trio.current_time()

    async def run(self, asking: Callers, stopping: trio.Event) -> None:
        """Name limits until told to stop."""
        while not stopping.is_set():
            await trio.sleep(_PAUSE_SECONDS)
            service, kind = self._random.choice(_KIND_BY_SERVICE)
            everyone = self._random.random() < 0.4
            listed = list_up(self._soak, service)
            chosen = listed if everyone else listed[:1]
            over = trio.Event()
            async with trio.open_nursery() as nursery:
                for _ in range(_CALLERS):
                    nursery.start_soon(
                        asking.press, kind, _CALL_EVERY, self._random, over
                    )
                spans = await self._limit(chosen)
                while trio.current_time() < self._find_checked_until(spans):
                    await trio.sleep(_LOOK_SECONDS)
                over.set()

    def check(self) -> None:
        """Check at the end what came while a limit held, and after it."""
        for limited in self._spans:
            self._check_sum(limited)
            if not limited.changed:
                self._check_end(limited)

    def _find_heard_by(self, limited: Limited) -> float:
        return find_heard_by(self._soak, limited, self._wall_offset)

    def _find_checked_until(self, spans: list[Limited]) -> float:
        """Return until when requests are counted after the end of limits."""
        heard_by = max(map(self._find_heard_by, spans), default=0)
        return heard_by + _COUNTED_SECONDS

    async def _limit(self, chosen: list[Upstream]) -> list[Limited]:
        """Have some name a limit, and perhaps another one later."""
        before = len(self._spans)
        self._soak.faults['names a limit'] += len(chosen)
        first = self._random.choice(_LIMITS)
        lasts = self._random.uniform(_SHORTEST, _LONGEST)
        changes = self._random.random() < 0.3
        await self._hold(chosen, first, lasts, changes=changes)
        if changes:
            second = self._random.choice(_LIMITS)
            await self._hold(chosen, second, lasts, changes=False)
        return self._spans[before:]

    async def _hold(
        self, chosen: list[Upstream], named: str, lasts: float, *, changes: bool
    ) -> None:
        since = trio.current_time()
        births = [each.worker.crashes.born for each in chosen]
        for each in chosen:
            each.worker.limit = named
        await trio.sleep(lasts)
        until = trio.current_time()
        for upstream, born in zip(chosen, births, strict=True):
            same_life = upstream.worker.crashes.born == born
            if upstream.worker.limit and not changes:
                upstream.worker.limit = ''
            if (
                same_life
                and upstream.is_up
                and named.replace('.', '').isdigit()
            ):
                limited = Limited(upstream, float(named), since, until, changes)
                self._spans.append(limited)

    def _check_sum(self, limited: Limited) -> None:
        worker = limited.upstream.worker
        told = [
            seen.at
            for seen in worker.limit_announcements
            if limited.since <= seen.at <= limited.until
        ]
        if not told:
            return
        first = told[0] + CONTACT_SECONDS + SLACK_SECONDS
        arrivals = self._list_arrivals(limited.upstream, first, limited.until)
        for start, _ in arrivals:
            end = start + LIMIT_WINDOW_SECONDS
            if end > limited.until:
                break
            excused = self._list_excused(start, end)
            count = sum(
                start <= at < end and sender not in excused
                for at, sender in arrivals
            )
            self._soak.checks.check_limit(
                worker.name, limited.per_second, count
            )

    def _check_end(self, limited: Limited) -> None:
        """Check that a limit that has ended keeps nothing away.

        Nobody keeps to it any more; and where callers of the service find no
        room, more come than it would have let pass.
        """
        start = self._find_heard_by(limited)
        end = start + _COUNTED_SECONDS
        if not self._is_calm(limited, end):
            return
        name = limited.upstream.worker.name
        keeping = self._list_keeping(name, start, end)
        self._soak.checks.check_limit_forgotten(name, keeping)
        wanting = self._count_refused(limited.upstream.service, start, end)
        if limited.per_second > _LOW_LIMIT or not wanting:
            return
        arrivals = self._list_arrivals(limited.upstream, start, end)
        passing = LIMIT_OVERAGE * limited.per_second * (end - start)
        self._soak.checks.check_limit_ended(
            name, len(arrivals), int(passing) + _LEAST_AFTER
        )

    def _list_keeping(self, name: str, start: float, end: float) -> list[str]:
        """Return the instances that keep a limit at the start of a span."""
        excused = self._list_excused(start, end)
        return [
            each.name
            for each in self._soak.instances
            if each.name not in excused
            and keeps_limit(each, name, start, self._wall_offset)
        ]

    def _count_refused(self, service: str, start: float, end: float) -> int:
        """Return how many requests to a service found no room in a span."""
        kinds = _KINDS_BY_SERVICE[service]
        return sum(
            asked.kind in kinds
            and start <= asked.at <= end
            and asked.status == HTTPStatus.SERVICE_UNAVAILABLE
            for asked in self._soak.checks.asked
        )

    def _is_calm(self, limited: Limited, end: float) -> bool:
        """Tell whether nothing but the limit kept requests away.

        Another fault of the upstream, or of all instances at once.
        """
        upstream = limited.upstream
        since = limited.until - CONTACT_SECONDS
        worker = upstream.worker
        disturbed = [
            upstream.disturbed_at,
            upstream.drained_at or 0,
            upstream.evacuated_at + EVACUATED_SECONDS,
            *worker.crashes.crashed_at,
            *(seen.at for seen in worker.backoff_requests),
            *(seen.at for seen in worker.leaving_announcements),
        ]
        # A store that came back older may have kept an evacuation that had
        # ended; it holds until the operator ends it again.
        key = f'op/evacuate/{upstream.domain}'
        evacuated = self._soak.store.state.find(key) is not None
        excused = self._list_excused(limited.until, end)
        all_excused = len(excused) == len(self._soak.instances)
        calm = max(disturbed) < since and not (all_excused or evacuated)
        return calm and upstream.is_up

    def _list_arrivals(
        self, upstream: Upstream, start: float, end: float
    ) -> list[tuple[float, str]]:
        """Return when requests came, and from which instance."""
        senders = {each.name: each.instance for each in self._soak.checks.asked}
        return [
            (seen.at, senders[seen.request_id])
            for seen in upstream.worker.arrivals
            if start <= seen.at <= end and seen.request_id in senders
        ]

    def _list_excused(self, start: float, end: float) -> set[str]:
        """Return the instances that stood still or began again near a span."""
        since = start - CONTACT_SECONDS
        return {
            each.name
            for each in self._soak.instances
            if any(since - SLACK_SECONDS <= at <= end for at in each.starts)
            or stood_still(self._soak, each.name, since, end)
        }
