"""Judge what the pauses of streams lie beside."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from cartdale.clock import SECOND_MS

#: Streams of one instance that must pause together for the pause to count as
#: the instance's own.
_TOGETHER = 3
#: Share of a pause that must lie beside the reading of another prompt.
_BESIDE_SHARE = 0.5


class PauseReason(StrEnum):
    """Say what a stream's longest pause lies beside."""

    INSTANCE = 'its instance stood still'
    MOVED = 'another link: it moved or was resumed'
    READING = 'another prompt was being read at its engine'
    ENGINE = 'its engine alone'


@dataclass(frozen=True, slots=True)
class Pause:
    """Hold a pause that exceeds the target.

    :param ended_at: wall time in seconds.
    :param took: in seconds, as ``link_age``.
    """

    ended_at: float
    took: float
    link_age: float
    upstream: str
    node: str

    @property
    def stamp(self) -> tuple[str, int]:
        """Return its instance and the millisecond of its end."""
        return self.node, round(self.ended_at * SECOND_MS)


@dataclass(frozen=True, slots=True)
class Reading:
    """Hold when an engine read a prompt, its queue included, in wall time."""

    upstream: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class PauseJudge:
    """Judge pauses by what else happened at their engine and instance."""

    #: By upstream.
    readings: dict[str, list[Reading]] = field(default_factory=dict)
    #: Pauses that ended in a millisecond, by instance.
    together: Counter[tuple[str, int]] = field(default_factory=Counter)

    def note(self, readings: Iterable[Reading], pause: Pause | None) -> None:
        """Take in what one request did at its engines."""
        for reading in readings:
            self.readings.setdefault(reading.upstream, []).append(reading)
        if pause:
            self.together[pause.stamp] += 1

    def judge(self, pause: Pause) -> PauseReason:
        """Return what a pause lies beside."""
        if self.together[pause.stamp] >= _TOGETHER:
            return PauseReason.INSTANCE
        if pause.link_age < pause.took:
            return PauseReason.MOVED
        beside = self._find_longest_reading(pause)
        if beside > _BESIDE_SHARE * pause.took:
            return PauseReason.READING
        return PauseReason.ENGINE

    def _find_longest_reading(self, pause: Pause) -> float:
        """Return the part of a pause, in seconds, that a reading covers.

        The reading of its own prompt ended before its first event.
        """
        return max(
            (
                min(reading.ended_at, pause.ended_at)
                - max(reading.began_at, pause.ended_at - pause.took)
                for reading in self.readings.get(pause.upstream, ())
            ),
            default=0,
        )
