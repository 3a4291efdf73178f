"""Messages of the engine model."""

from dataclasses import dataclass

from cartdale.clock import Millis


@dataclass(frozen=True, slots=True)
class Hardware:
    """Describe one engine's speed and memory.

    :param memory_tokens: cache memory shared by running sequences, tokens.
    :param max_sequences: sequences in one batch.
    :param max_waiting: sequences that may wait inside the engine.
    :param step_base_ms: time of a decoding step with no sequence.
    :param step_per_sequence_ms: added for each sequence in the batch.
    :param prefill_tokens_per_ms: prompt tokens read in a millisecond.
    :param prefill_chunk: prompt tokens read in one step at most.
    :param prefix_tokens: memory of the prompt-prefix cache, in tokens.
    :param displaces: whether a job pushes less urgent ones aside to get in.
    """

    memory_tokens: int = 16384
    max_sequences: int = 64
    max_waiting: int = 128
    step_base_ms: float = 12
    step_per_sequence_ms: float = 0.25
    prefill_tokens_per_ms: float = 16
    prefill_chunk: int = 512
    prefix_tokens: int = 16384
    displaces: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """Ask an engine for one generation.

    :param output_tokens: true length, which no caller knows ahead.
    :param prefix: identity of the shared start of the prompt.
    :param prefix_tokens: length of that start, in tokens.
    """

    generation: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix: str = ''
    prefix_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Step:
    """Report one decoding step.

    :param duration: in milliseconds, with fractions.
    :param produced: generations that got one token, in batch order.
    :param preempted: generations whose memory was taken away.
    :param ended: generations that produced their last token.
    """

    duration: float
    produced: tuple[str, ...]
    preempted: tuple[str, ...]
    ended: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell what an engine is doing.

    :param at: engine's time of the report, in milliseconds.
    :param used_tokens: memory of running sequences, in tokens.
    :param accepted: jobs taken since start, from all instances.
    :param step_ms: duration of the last step.
    :param preemptions: since start.
    """

    at: Millis
    used_tokens: int
    running: int
    waiting: int
    accepted: int
    step_ms: float
    preemptions: int
