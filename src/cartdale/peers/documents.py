"""Messages that instances need even where they have no other."""

import zlib
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

_ZLIB: Final = 'zlib'
#: Encodings of a document that can be read here.
ENCODINGS = (_ZLIB,)
#: Longest document that is decoded, in bytes: as long as a message between
#: instances may be, which holds 16,000 routes.
_LONGEST = 4_194_304


@dataclass(frozen=True, slots=True)
class FetchDocument:
    """Ask for the operator's document that is in force.

    :param accepts: encodings in which it may come; without one it comes as it
        is stored.
    """

    accepts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Document:
    """Hand on the operator's document.

    :param raw: empty when there is none yet.
    :param encoding: of ``raw``; empty for as it is stored.
    """

    raw: bytes
    encoding: str = ''


@dataclass(frozen=True, slots=True)
class DocumentUnreadable:
    """A peer's document can't be decoded."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unserved:
    """The message was not understood here."""


class DocumentEncoder:
    """Hand the document in force on to peers, encoded once for all of them.

    A new version is asked for by all instances at once, and after a loss of
    power many start together. Documents repeat themselves, and come to a tenth
    of their size: 1,400 routes are 365 kB, which take a link of 10 Mbit/s 0.3 s
    each, and those who wait for 20 others give up.
    """

    def __init__(self) -> None:
        self._raw = b''
        self._encoded = b''

    def encode(self, raw: bytes, accepts: tuple[str, ...]) -> Document:
        """Return a document in an encoding that the asker reads."""
        if _ZLIB not in accepts:
            return Document(raw)
        if raw != self._raw:
            self._raw = raw
            self._encoded = zlib.compress(raw)
        return Document(self._encoded, _ZLIB)


def decode_document(document: Document) -> Result[bytes, DocumentUnreadable]:
    """Return a peer's document as it is stored."""
    if not document.encoding:
        return Success(document.raw)
    if document.encoding != _ZLIB:
        return Failure(DocumentUnreadable(f'encoding {document.encoding}'))
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(document.raw, _LONGEST)
    except zlib.error as error:
        return Failure(DocumentUnreadable(str(error)))
    if not decompressor.eof:
        return Failure(DocumentUnreadable('cut off or too long'))
    return Success(raw)
