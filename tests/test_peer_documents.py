"""The operator's document on its way from instance to instance."""

import zlib

import pytest
from returns.result import Failure, Success

from cartdale.codec import decode_binary, encode_binary, encode_json
from cartdale.peers.documents import (
    ENCODINGS,
    Document,
    DocumentEncoder,
    DocumentUnreadable,
    FetchDocument,
    decode_document,
)

RAW = encode_json({'routes': [{'name': 'r', 'service': 's'}] * 1000})
OTHER = encode_json({'routes': []})


def test_document_comes_as_it_was_stored() -> None:
    encoder = DocumentEncoder()
    for raw in (RAW, OTHER, b''):
        document = encoder.encode(raw, ENCODINGS)
        assert decode_document(document) == Success(raw)
    assert len(encoder.encode(RAW, ENCODINGS).raw) < len(RAW) / 10


def test_who_reads_no_encoding_gets_the_document_itself() -> None:
    """Instances of two versions run side by side while one is rolled out."""
    asked = decode_binary(encode_binary({}), FetchDocument)
    assert DocumentEncoder().encode(RAW, asked.accepts) == Document(RAW)
    answered = decode_binary(encode_binary({'raw': RAW}), Document)
    assert decode_document(answered) == Success(RAW)


@pytest.mark.parametrize(
    'document',
    [
        Document(RAW, 'zlib'),
        Document(zlib.compress(RAW)[:-5], 'zlib'),
        Document(zlib.compress(RAW), 'unheard-of'),
        Document(zlib.compress(bytes(4_194_305)), 'zlib'),
    ],
    ids=['not encoded', 'cut off', 'unknown encoding', 'too long'],
)
def test_what_cannot_be_decoded_is_told(document: Document) -> None:
    answer = decode_document(document)
    assert isinstance(answer, Failure)
    assert isinstance(answer.failure(), DocumentUnreadable)
