"""Engine model: continuous batching in limited memory, without I/O.

One instance stands for one engine. The stand-in drives it by the clock,
the measurements drive it in virtual time.
"""

from collections import OrderedDict

from cartdale.clock import Millis
from cartdale.model.types import Hardware, Job, LoadReport, Step

#: Duration reported by a step that had nothing to do.
_IDLE_STEP_MS = 1.0


class _Sequence:
    """Track one generation inside the engine."""

    __slots__ = ('arrival', 'job', 'prefill_left', 'priority', 'produced')

    def __init__(self, job: Job, arrival: int) -> None:
        self.job = job
        self.arrival = arrival
        self.priority = job.priority
        self.produced = 0
        self.prefill_left = 0

    @property
    def context(self) -> int:
        """Memory in tokens when running."""
        return self.job.prompt_tokens + self.produced

    def rank(self) -> tuple[int, int]:
        """Order by priority, then by arrival; the smallest goes first."""
        return (-self.priority, self.arrival)


def _rank(sequence: _Sequence) -> tuple[int, int]:
    return sequence.rank()


class EngineModel:
    """Batch, preempt and finish jobs step by step.

    :param hardware: speeds and sizes.
    """

    def __init__(self, hardware: Hardware) -> None:
        self.hardware = hardware
        self._running: list[_Sequence] = []
        self._waiting: list[_Sequence] = []
        self._sequences_by_generation: dict[str, _Sequence] = {}
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._used = 0
        self._accepted = 0
        self._preemptions = 0
        self._step_ms = hardware.step_base_ms

    @property
    def busy(self) -> bool:
        """Tell whether a step would do anything."""
        return bool(self._running or self._waiting)

    def accept(self, job: Job) -> bool:
        """Take a job, or refuse it before running it."""
        if len(self._waiting) >= self.hardware.max_waiting:
            return False
        if job.prompt_tokens >= self.hardware.memory_tokens:
            return False
        self._accepted += 1
        sequence = _Sequence(job, self._accepted)
        self._sequences_by_generation[job.generation] = sequence
        self._waiting.append(sequence)
        return True

    def cancel(self, generation: str) -> None:
        """Forget a job and free its memory."""
        sequence = self._sequences_by_generation.pop(generation, None)
        if sequence is None:
            return
        if sequence in self._running:
            self._running.remove(sequence)
            self._used -= sequence.context
            return
        self._waiting.remove(sequence)

    def set_priority(self, generation: str, priority: int) -> None:
        """Change the priority of a job that has not ended."""
        sequence = self._sequences_by_generation.get(generation)
        if sequence is not None:
            sequence.priority = priority

    def describe(self, generation: str) -> str:
        """Return ``running``, ``waiting`` or ``unknown``."""
        sequence = self._sequences_by_generation.get(generation)
        if sequence is None:
            return 'unknown'
        return 'running' if sequence in self._running else 'waiting'

    def report(self, now: Millis) -> LoadReport:
        """Summarise the load at a moment."""
        return LoadReport(
            at=now,
            used_tokens=self._used,
            running=len(self._running),
            waiting=len(self._waiting),
            accepted=self._accepted,
            step_ms=self._step_ms,
            preemptions=self._preemptions,
        )

    def step(self) -> Step:
        """Run one step of the batch."""
        preempted = self._make_room()
        if self.hardware.displaces:
            preempted += self._displace()
        self._admit()
        if not self._running:
            return Step(_IDLE_STEP_MS, (), preempted, ())
        prefilled = self._prefill()
        ready = [seq for seq in self._running if not seq.prefill_left]
        ended = self._decode(ready)
        duration = (
            self.hardware.step_base_ms
            + self.hardware.step_per_sequence_ms * len(ready)
            + prefilled / self.hardware.prefill_tokens_per_ms
        )
        self._step_ms = duration
        produced = tuple(seq.job.generation for seq in ready)
        return Step(duration, produced, preempted, ended)

    def cached_prefixes(self) -> tuple[str, ...]:
        """Return the prefixes in the cache, oldest first."""
        return tuple(self._prefixes)

    def _make_room(self) -> tuple[str, ...]:
        preempted: list[str] = []
        while self._used + len(self._running) > self.hardware.memory_tokens:
            preempted.append(self._push_aside())
        return tuple(preempted)

    def _displace(self) -> tuple[str, ...]:
        """Push less urgent ones aside for the most urgent that waits."""
        displaced: list[str] = []
        if not self._waiting:
            return ()
        first = min(self._waiting, key=_rank)
        while self._running and not self._fits(first):
            if max(self._running, key=_rank).priority >= first.priority:
                break
            displaced.append(self._push_aside())
        return tuple(displaced)

    def _push_aside(self) -> str:
        """Take the memory of the newest of the least urgent."""
        victim = max(self._running, key=_rank)
        self._running.remove(victim)
        self._used -= victim.context
        self._waiting.append(victim)
        self._preemptions += 1
        return victim.job.generation

    def _admit(self) -> None:
        if not self._waiting:
            return
        self._waiting.sort(key=_rank)
        while self._waiting and self._fits(self._waiting[0]):
            sequence = self._waiting.pop(0)
            cached = self._touch_prefix(sequence.job)
            sequence.prefill_left = max(1, sequence.context - cached)
            self._used += sequence.context
            self._running.append(sequence)

    def _fits(self, sequence: _Sequence) -> bool:
        count = len(self._running) + 1
        wanted = self._used + sequence.context + count
        return (
            count <= self.hardware.max_sequences
            and wanted <= self.hardware.memory_tokens
        )

    def _touch_prefix(self, job: Job) -> int:
        if not job.prefix:
            return 0
        cached = self._prefixes.pop(job.prefix, 0)
        self._prefixes[job.prefix] = job.prefix_tokens
        while sum(self._prefixes.values()) > self.hardware.prefix_tokens:
            self._prefixes.popitem(last=False)
        return cached

    def _prefill(self) -> int:
        budget = self.hardware.prefill_chunk
        for sequence in self._running:
            if not sequence.prefill_left:
                continue
            taken = min(budget, sequence.prefill_left)
            sequence.prefill_left -= taken
            budget -= taken
            if not budget:
                break
        return self.hardware.prefill_chunk - budget

    def _decode(self, ready: list[_Sequence]) -> tuple[str, ...]:
        ended: list[_Sequence] = []
        for decoding in ready:
            decoding.produced += 1
            if decoding.produced >= decoding.job.output_tokens:
                ended.append(decoding)
        self._used += len(ready)
        for finished in ended:
            self._running.remove(finished)
            self._used -= finished.context
            self._sequences_by_generation.pop(finished.job.generation)
        return tuple(sequence.job.generation for sequence in ended)
