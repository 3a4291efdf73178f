"""Messages that instances need even where they have no other."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FetchDocument:
    """Ask for the operator's document that is in force."""


@dataclass(frozen=True, slots=True)
class Document:
    """Hand on the operator's document as it is stored.

    :param raw: empty when there is none yet.
    """

    raw: bytes


@dataclass(frozen=True, slots=True)
class Unserved:
    """The message was not understood here."""
