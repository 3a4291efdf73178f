"""Say what shows that a response is complete."""

from enum import StrEnum


class EndProof(StrEnum):
    """Grounds on which the end of a response counts as its whole."""

    #: A length, or chunks.
    FRAMED = 'framed'
    #: Without framing: the upstream was alive when it was asked after the end.
    ALIVE = 'alive'
    #: Nothing shows it: the response does not count as complete.
    NONE = 'none'
