"""Transfer of the operator's document between instances."""

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


def test_decoded_document_equals_the_stored_one() -> None:
    encoder = DocumentEncoder()
    for raw in (RAW, OTHER, b''):
        document = encoder.encode(raw, ENCODINGS)
        assert decode_document(document) == Success(raw)
    assert len(encoder.encode(RAW, ENCODINGS).raw) < len(RAW) / 10


# A briefing of an instance that has no configuration yet must be readable: it
# has the key, the peers and the upstreams.
def test_missing_document_is_decoded_as_missing() -> None:
    document = DocumentEncoder().encode(b'', ENCODINGS)
    assert decode_document(document) == Success(b'')


def test_requester_without_encodings_gets_the_stored_document() -> None:
    """Instances of two versions exchange documents during a rollout."""
    request = decode_binary(encode_binary({}), FetchDocument)
    assert DocumentEncoder().encode(RAW, request.accepts) == Document(RAW)
    response = decode_binary(encode_binary({'raw': RAW}), Document)
    assert decode_document(response) == Success(RAW)


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
def test_undecodable_document_is_reported(document: Document) -> None:
    result = decode_document(document)
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), DocumentUnreadable)


# An older instance would take a response without a document for a broken one.
def test_request_of_an_earlier_build_is_not_told_to_wait() -> None:
    older = decode_binary(encode_binary({'accepts': []}), FetchDocument)
    assert not older.may_wait
