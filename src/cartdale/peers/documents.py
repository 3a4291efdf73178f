"""Messages that transfer the operator's document, and its encoding.

Instances that support no other peer messages need these too.
"""

import zlib
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from cartdale.ranges import Span

_ZLIB: Final = 'zlib'
#: Document encodings that this instance can decode.
ENCODINGS = (_ZLIB,)
#: Maximum size of a decoded document. It equals the size limit of a message
#: between instances, which holds 16,000 routes.
_MAX_DOCUMENT_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class FetchDocument:
    """Request the operator's current document.

    :param accepts: encodings that the requester can decode; if empty, the
        document is sent as stored.
    :param may_wait: whether the response may be to ask again later. Instances
        of earlier builds don't understand that, and a request for a whole
        failure domain is not to wait.
    """

    accepts: tuple[str, ...] = ()
    may_wait: bool = False


@dataclass(frozen=True, slots=True)
class Document:
    """Response with the operator's document.

    :param raw: the document; empty if there is none yet.
    :param encoding: encoding of ``raw``; empty if it is sent as stored.
    :param retry_after: if positive, the document was not sent, since others
        are being sent: time after which to ask again, in milliseconds.
    """

    raw: bytes
    encoding: str = ''
    retry_after: Span = 0


@dataclass(frozen=True, slots=True)
class DocumentUnreadable:
    """A document received from a peer can't be decoded."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unserved:
    """Response to a message that this instance does not support."""


class DocumentEncoder:
    """Encode the current document for peers, caching the encoded form.

    All instances request a new version at the same time, and many start
    together after a power loss. Documents are repetitive and compress to a
    tenth of their size. Uncompressed, 1,400 routes are 365 kB, which take 0.3 s
    per instance on a 10 Mbit/s link; an instance queued behind 20 others would
    time out.
    """

    def __init__(self) -> None:
        self._raw = b''
        self._encoded = b''

    def encode(self, raw: bytes, accepts: tuple[str, ...]) -> Document:
        """Return the document in an encoding that the requester accepts."""
        if not raw or _ZLIB not in accepts:
            return Document(raw)
        if raw != self._raw:
            self._raw = raw
            self._encoded = zlib.compress(raw)
        return Document(self._encoded, _ZLIB)


def decode_document(document: Document) -> Result[bytes, DocumentUnreadable]:
    """Return the stored form of a document received from a peer."""
    if not document.encoding:
        return Success(document.raw)
    if document.encoding != _ZLIB:
        return Failure(DocumentUnreadable(f'encoding {document.encoding}'))
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(document.raw, _MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return Failure(DocumentUnreadable(str(error)))
    if not decompressor.eof:
        return Failure(DocumentUnreadable('cut off or too long'))
    return Success(raw)
