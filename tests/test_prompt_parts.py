"""Shared parts of a prompt: decoded, and carried to the quarantine.

Guards against evidence that is held against a request's own part, or against
the same part under two names.
"""

import json

import pytest
from loguru import logger
from returns.result import Success

from cartdale.callers.read import make_delivery_request, read_generation
from cartdale.callers.types import Caller, Directory
from cartdale.declarations.types import Customer, Service, UpstreamKind
from cartdale.platform.callers import read_request
from cartdale.quarantine.identity import (
    MAX_PARTS,
    PART_BYTES,
    Fingerprint,
    identify,
    identify_part,
    identify_parts,
)
from tests.platform_stage import (
    count_runs,
    make_draft,
    make_headers,
    open_platform,
    until,
)

#: In no normal form, with a malformed entry; to be forwarded as it is.
UNUSUAL = '5C1E07A2:800, 0091bd3f06:410,zz:1,,e4402b7d:250'
CHAT_PATH = '/v1/chat/completions'


def read_parts(*raw: bytes) -> tuple[str, ...]:
    headers = tuple((b'prompt-prefix', value) for value in raw)
    return read_request('POST', b'/', headers).shared_parts


def make_fingerprint(**body: object) -> Fingerprint:
    """Return the fingerprint of a request to the own interface."""
    customer = Customer((), ('s',))
    service = Service(UpstreamKind.ENGINE, ('e0',), 'm')
    directory = Directory({'s': service})
    raw = json.dumps({'model': 's', **body}).encode()
    read = read_generation(directory, Caller('c', customer), CHAT_PATH, raw)
    assert isinstance(read, Success)
    delivery = make_delivery_request(read.unwrap(), 'g', None, 0)
    expected = identify('POST', 's', CHAT_PATH.encode(), 'c', raw)
    assert delivery.fingerprint.identity == expected
    return delivery.fingerprint


def make_messages(*texts: str) -> list[dict[str, str]]:
    return [{'role': 'user', 'content': text} for text in texts]


def collect_parts(event: str) -> list[str]:
    """Collect the field ``parts`` of a kind of log lines."""
    found: list[str] = []

    def take(message) -> None:
        if message.record['message'] == event:
            found.append(message.record['extra']['parts'])

    logger.add(take)
    return found


@pytest.mark.parametrize(
    ('raw', 'parts'),
    [
        (b'5c1e07a2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        (b'91bd3f06:410,5c1e07a2:800,e4402b7d:250', ('91bd3f06', '5c1e07a2')),
        (
            b' 5c1e07a2:800 ,\t91bd3f06:410 , e4402b7d:250 ',
            ('5c1e07a2', '91bd3f06'),
        ),
        (b'e4402b7d:250', ()),
        (b'', ()),
        (b',', ()),
        # An ID that is also the last one's is the request's own.
        (b'a:1,b:2,c:3,0B:4', ('a', 'c')),
        (b'a:1,a:1,b:2', ('a', 'a')),
        (b'a:0,b:2', ('a',)),
    ],
)
def test_parts_are_decoded_in_order_without_the_last(raw, parts) -> None:
    assert read_parts(raw) == parts


@pytest.mark.parametrize(
    'malformed',
    [
        b'',
        b'a',
        b'a:',
        b':5',
        b'xyz:5',
        b'0x1f:5',
        b'a:-5',
        b'a:5.5',
        b'a:5:6',
        b'a :5',
        b'a:5 b:6',
        b'a:\xb2',
        b'\xe9:5',
    ],
)
def test_malformed_entries_are_skipped(malformed) -> None:
    entries = (malformed, b'1a:800', malformed, b'2b:410', b'3c:250', malformed)
    assert read_parts(b','.join(entries)) == ('1a', '2b')
    assert not read_parts(malformed)


def test_case_and_leading_zeros_of_a_part_do_not_count() -> None:
    assert read_parts(b'00Ab:1,AB:2,000:3,0:4,1:5') == ('ab', 'ab', '0', '0')


def test_request_without_the_header_has_no_parts() -> None:
    assert not read_parts()


def test_fingerprint_has_each_part_once_and_at_most_the_last_ones() -> None:
    names = [f'{number:x}' for number in range(1, MAX_PARTS + 4)]
    digests = tuple(map(identify_part, names))
    assert identify_parts(names) == digests[-MAX_PARTS:]
    assert identify_parts(names[:MAX_PARTS]) == digests[:MAX_PARTS]
    assert identify_parts((*names[:2], names[0])) == digests[:2]
    assert identify_parts(name for name in names[:2] * 20) == digests[:2]
    assert not identify_parts(())


def test_parts_and_requests_have_different_digests() -> None:
    one, other = identify_part('1a'), identify_part('1b')
    assert one != other
    assert len(one) == len(other) == PART_BYTES
    request = identify('', '', b'', '', b'')
    assert not {one, other, identify_part('')} & {request, request[:PART_BYTES]}


def test_parts_are_logged_in_hexadecimal() -> None:
    assert not Fingerprint(b'r').format_parts()
    assert Fingerprint(b'r', (b'\x01', b'\xab')).format_parts() == '01 ab'


def test_messages_of_a_chat_but_the_last_are_parts() -> None:
    long = make_fingerprint(messages=make_messages('a', 'b', 'c'))
    other = make_fingerprint(messages=make_messages('a', 'b', 'd'))
    shorter = make_fingerprint(messages=make_messages('a', 'e'))
    assert len(long.parts) == 2
    assert long.parts == other.parts
    assert shorter.parts == long.parts[:1]
    assert not make_fingerprint(messages=make_messages('a')).parts


def test_part_of_a_chat_tells_role_and_content_apart() -> None:
    parts = set()
    for role, text in (('a', 'b: c'), ('a: b', 'c'), ('a', 'b'), ('', 'ab')):
        messages = [{'role': role, 'content': text}, *make_messages('last')]
        parts.update(make_fingerprint(messages=messages).parts)
    assert len(parts) == 4


def test_long_chat_has_the_last_parts() -> None:
    texts = [str(number) for number in range(MAX_PARTS + 5)]
    whole = make_fingerprint(messages=make_messages(*texts))
    recent = make_fingerprint(messages=make_messages(*texts[-MAX_PARTS - 1 :]))
    assert whole.parts == recent.parts
    assert len(whole.parts) == MAX_PARTS


def test_plain_prompt_has_no_parts() -> None:
    assert not make_fingerprint(prompt='a prompt').parts


async def test_header_reaches_the_upstream_unchanged() -> None:
    async with open_platform() as stage:
        named = {'Prompt-Prefix': UNUSUAL}
        await stage.client.post(
            stage.url('/draft/a'),
            headers={**make_draft('r1'), **named},
            content=b'brief',
        )
        await stage.client.post(
            stage.url('/cut/one'),
            headers={**make_headers('r2'), **named},
        )
        assert count_runs(stage, 'r1') == 1
        assert count_runs(stage, 'r2') == 1
        for upstream in (stage.engines[0], stage.plains[0]):
            assert [head['Prompt-Prefix'] for head in upstream.heads] == [
                UNUSUAL
            ]


async def test_parts_are_logged_with_placements_and_broken_links() -> None:
    placed, broke = collect_parts('placed'), collect_parts('link broke')
    async with open_platform() as stage:
        stage.plains[0].faults.lost_responses = 2
        for request_id, more in (
            ('r1', {'Prompt-Prefix': UNUSUAL}),
            ('r2', {}),
        ):
            await stage.client.post(
                stage.url('/cut/one'), headers=make_headers(request_id, **more)
            )
        await until(lambda: len(broke) == 2)
    shared = ' '.join(
        identify_part(name).hex() for name in ('5c1e07a2', '91bd3f06')
    )
    assert placed == [shared, '']
    assert broke == [shared, '']
