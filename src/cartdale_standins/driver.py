"""Drive the engine model by the clock, for the engine stand-in."""

from dataclasses import dataclass, field

import trio

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds
from cartdale.model.engine import EngineModel
from cartdale.model.types import Hardware, Job
from cartdale_standins.uneven import UnevenSpeed

_REPORT_LAG: Millis = 500
_RETENTION: Millis = 120_000
#: How often a frozen engine looks whether it goes on.
_FROZEN_POLL: Millis = 5


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Announce that a prefix entered the cache."""

    number: int
    prefix: str


@dataclass(slots=True)
class Record:
    """Track one generation for its readers."""

    prompt: str
    seed: int
    length: int
    chat: bool
    produced: int = 0
    ended_at: Millis = 0
    readers: int = 0
    changed: trio.Event = field(default_factory=trio.Event)

    def advance(self) -> None:
        """Count one token and wake the readers."""
        self.produced += 1
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = trio.Event()


class EngineDriver:
    """Step the model and keep what readers of streams need.

    :param hardware: speeds and sizes of the engine.
    """

    def __init__(self, hardware: Hardware, clock: Clock) -> None:
        self._clock = clock
        self.speed = UnevenSpeed()
        self.model = EngineModel(hardware)
        self.frozen = False
        self.records_by_generation: dict[str, Record] = {}
        self.lagged = self.model.report(0)
        self.events: list[CacheEvent] = []
        #: When work on each generation last ended, in seconds of the loop.
        self.dropped_at: dict[str, float] = {}
        #: Set when the model gets work.
        self._accepted = trio.Event()

    def accept(self, job: Job) -> bool:
        """Give the model a generation; tell whether it has room for it."""
        has_room = self.model.accept(job)
        self._accepted.set()
        return has_room

    async def run(self) -> None:
        """Drive the model by the clock."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lag_reports)
            while True:
                await self._advance()

    async def _advance(self) -> None:
        if self.frozen:
            await trio.sleep(as_seconds(_FROZEN_POLL))
            return
        if not self.model.busy:
            self._accepted = trio.Event()
            await self._accepted.wait()
            return
        step = self.model.step()
        await trio.sleep(step.duration * self.speed.present / SECOND_MS)
        for generation in step.produced:
            record = self.records_by_generation.get(generation)
            if record is None:
                continue
            record.advance()
            if record.produced >= record.length:
                record.ended_at = self._clock.now()
        self._note_prefixes()

    async def _lag_reports(self) -> None:
        while True:
            report = self.model.report(self._clock.now())
            await trio.sleep(as_seconds(_REPORT_LAG))
            self.lagged = report
            self._drop_old()

    def _drop_old(self) -> None:
        horizon = self._clock.now() - _RETENTION
        old = [
            generation
            for generation, record in self.records_by_generation.items()
            if 0 < record.ended_at < horizon
        ]
        for generation in old:
            self.records_by_generation.pop(generation)

    def _note_prefixes(self) -> None:
        known = {event.prefix for event in self.events}
        for prefix in self.model.cached_prefixes():
            if prefix not in known:
                number = len(self.events) + 1
                self.events.append(CacheEvent(number, prefix))
