"""Cut instances of a soak from all upstreams, and check what callers see."""

import json
from dataclasses import dataclass
from random import Random
from typing import Any

import trio

from tests.fault_soak.checks import Asked
from tests.fault_soak.instances import Instance

_WAYS = ('silent', 'reset', 'refuse')
#: From a cut on callers at cut instances are served as others are after so
#: long, and so much later on a busy machine.
LEARNING_SECONDS = 1.0
MACHINE_SECONDS = 1.5
#: Shortest and longest cut, and pause before the next, in seconds.
_CUT_SECONDS = (5.0, 8.0)
_PAUSE_SECONDS = (0.5, 2.0)


@dataclass(frozen=True)
class Cut:
    """Hold which instances were cut, from and until, in the loop's time."""

    way: str
    instances: frozenset[str]
    since: float
    until: float


class Paths:
    """Cut paths between instances and upstreams.

    :param soak: the run that is disturbed.
    :param seed: of a generator of its own, so that the other faults of a seed
        stay as they are.
    """

    def __init__(self, soak: Any, seed: int) -> None:
        self._soak = soak
        self._random = Random(f'paths {seed}')
        self.cuts: list[Cut] = []

    async def run(self, stopping: trio.Event) -> None:
        """Cut paths, again and again, until told to stop."""
        while not stopping.is_set():
            await trio.sleep(self._random.uniform(*_PAUSE_SECONDS))
            await self._cut(stopping)

    def check(self) -> None:
        """Check that callers of cut instances were served as others were."""
        for cut in self.cuts:
            at_cut: list[bool] = []
            others: list[bool] = []
            for asked in self._soak.checks.asked:
                if not _is_in(asked, cut) or not self._is_undisturbed(asked):
                    continue
                counted = at_cut if asked.instance in cut.instances else others
                counted.append(asked.status == 200 and asked.whole)
            subject = f'{cut.way} cut of {sorted(cut.instances)}'
            self._soak.checks.check_paths(subject, at_cut, others)

    async def _cut(self, stopping: trio.Event) -> None:
        soak = self._soak
        number = self._random.randrange(1, len(soak.instances))
        chosen = self._random.sample(soak.instances, number)
        way = self._random.choice(_WAYS)
        lasts = self._random.uniform(*_CUT_SECONDS)
        now = trio.current_time()
        soak.faults[f'paths {way}'] += 1
        names = frozenset(each.name for each in chosen)
        try:
            with trio.move_on_after(lasts):
                await self._keep_cut(chosen, way, stopping)
        finally:
            for instance in chosen:
                instance.cuts_path.unlink(missing_ok=True)
            self.cuts.append(Cut(way, names, now, trio.current_time()))

    async def _keep_cut(
        self, chosen: list[Instance], way: str, stopping: trio.Event
    ) -> None:
        """Cut instances from all upstreams, also from those that are new."""
        while not stopping.is_set():
            ports = [each.proxy.port for each in self._soak.upstreams]
            for instance in chosen:
                text = json.dumps({'way': way, 'ports': ports})
                fresh = instance.cuts_path.with_suffix('.new')
                fresh.write_text(text)
                fresh.replace(instance.cuts_path)
            await trio.sleep(0.05)

    def _is_undisturbed(self, asked: Asked) -> bool:
        """Tell whether a request's instance was not disturbed meanwhile."""
        instance = next(
            each for each in self._soak.instances if each.name == asked.instance
        )
        paused = any(
            since < asked.ended_at and until > asked.at - LEARNING_SECONDS
            for since, until in instance.pauses
        )
        started = any(
            asked.at - MACHINE_SECONDS < at < asked.ended_at
            for at in instance.starts
        )
        return not paused and not started and instance.life == asked.life


def _is_in(asked: Asked, cut: Cut) -> bool:
    begins = cut.since + LEARNING_SECONDS + MACHINE_SECONDS
    return begins <= asked.at and asked.ended_at <= cut.until
