"""Decode streamed completion chunks."""

from dataclasses import dataclass, field

from cartdale.codec import decode_json


@dataclass(frozen=True, slots=True)
class Delta:
    """Text of a chat chunk."""

    content: str = ''


@dataclass(frozen=True, slots=True)
class Choice:
    """One alternative; cartdale requests only one."""

    text: str = ''
    delta: Delta = field(default_factory=Delta)
    finish_reason: str | None = None


@dataclass(frozen=True, slots=True)
class CompletionChunk:
    """One chunk of a text or chat completion.

    :param id: the engine's id of the completion.
    """

    id: str = ''
    object: str = ''
    created: int = 0
    model: str = ''
    choices: tuple[Choice, ...] = ()


def decode_chunk(payload: str) -> CompletionChunk:
    """Decode one chunk.

    :raises UndecodableError: if it is not a completion chunk.
    """
    return decode_json(payload, CompletionChunk)


def read_text(payload: str) -> str:
    """Return the text that one chunk adds."""
    return ''.join(
        choice.text or choice.delta.content
        for choice in decode_chunk(payload).choices
    )
