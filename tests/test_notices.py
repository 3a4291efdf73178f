"""Notices: what upstreams say of themselves beside an answer."""

from math import inf

import httpcore
import pytest

from cartdale.clock import HOUR_MS
from cartdale.fleet.types import Advisory
from cartdale.platform.exchanges import read_advisory


def answer(status: int, **headers: str) -> httpcore.Response:
    named = [
        (name.replace('_', '-').encode(), text.encode())
        for name, text in headers.items()
    ]
    return httpcore.Response(status, headers=named)


@pytest.mark.parametrize('status', [200, 404, 500, 503])
def test_any_answer_may_say_that_its_upstream_leaves(status: int) -> None:
    assert read_advisory(answer(status, Server_Leaving='1')).leaving
    assert not read_advisory(answer(status, Server_Leaving='0')).leaving
    assert not read_advisory(answer(status)).leaving


def test_another_upstream_at_the_address_says_nothing_of_this_one() -> None:
    other = answer(421, Server_Leaving='1', Retry_After='3')
    assert read_advisory(other) == Advisory()


@pytest.mark.parametrize(
    ('asked', 'rest'),
    [
        ('3', 3000),
        (' 0.25 ', 250),
        ('0', 0),
        ('-2', 0),
        ('1e9', 24 * HOUR_MS),
        ('1e400', 24 * HOUR_MS),
        ('nan', 0),
        ('soon', 0),
        ('', 0),
        ('Wed, 21 Oct 2026 07:28:00 GMT', 0),
    ],
)
def test_rest_is_read_in_seconds(asked: str, rest: int) -> None:
    assert read_advisory(answer(503, Retry_After=asked)).backoff == rest


def test_only_who_turns_a_request_away_for_now_asks_for_rest() -> None:
    assert not read_advisory(answer(429, Retry_After='3')).backoff
    assert not read_advisory(answer(500, Retry_After='3')).backoff


@pytest.mark.parametrize(
    ('named', 'limit'),
    [
        (('3.1',), 3.1),
        ((' 2 ',), 2),
        (('0',), 0),
        (('1e9',), 1e9),
        (('inf',), inf),
        (('4', '2.5'), 2.5),
        (('4, 2.5',), 2.5),
        ((), inf),
        (('-1',), None),
        (('nan',), None),
        (('3', 'nan'), None),
        (('nan', '3'), None),
        (('',), None),
        (('few',), None),
    ],
)
def test_limit_is_read_in_requests_a_second(
    named: tuple[str, ...], limit: float | None
) -> None:
    headers = [(b'Server-Limit', text.encode()) for text in named]
    response = httpcore.Response(200, headers=headers)
    assert read_advisory(response).limit == limit


@pytest.mark.parametrize('status', [200, 404, 500, 503])
def test_any_answer_may_name_a_limit(status: int) -> None:
    assert read_advisory(answer(status, Server_Limit='3.1')).limit == 3.1


def test_another_upstream_at_the_address_does_not_tell_a_limit() -> None:
    assert read_advisory(answer(421, Server_Limit='3.1')).limit is None
