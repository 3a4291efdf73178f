"""Advisories: drain, back-off and rate-limit headers of responses."""

from math import inf

import httpcore
import pytest

from cartdale.clock import HOUR_MS
from cartdale.fleet.types import Advisory
from cartdale.platform.exchanges import read_advisory


def make_response(status: int, **headers: str) -> httpcore.Response:
    raw_headers = [
        (name.replace('_', '-').encode(), text.encode())
        for name, text in headers.items()
    ]
    return httpcore.Response(status, headers=raw_headers)


@pytest.mark.parametrize('status', [200, 404, 500, 503])
def test_leaving_is_read_from_any_status(status: int) -> None:
    assert read_advisory(make_response(status, Server_Leaving='1')).leaving
    assert not read_advisory(make_response(status, Server_Leaving='0')).leaving
    assert not read_advisory(make_response(status)).leaving


def test_misdirected_response_carries_no_advisory() -> None:
    misdirected = make_response(421, Server_Leaving='1', Retry_After='3')
    assert read_advisory(misdirected) == Advisory()


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
def test_backoff_is_read_in_seconds(asked: str, rest: int) -> None:
    assert read_advisory(make_response(503, Retry_After=asked)).backoff == rest


def test_retry_after_of_other_statuses_requests_no_backoff() -> None:
    assert not read_advisory(make_response(429, Retry_After='3')).backoff
    assert not read_advisory(make_response(500, Retry_After='3')).backoff


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
def test_limit_is_read_in_requests_per_second(
    named: tuple[str, ...], limit: float | None
) -> None:
    headers = [(b'Server-Limit', text.encode()) for text in named]
    response = httpcore.Response(200, headers=headers)
    assert read_advisory(response).limit == limit


@pytest.mark.parametrize('status', [200, 404, 500, 503])
def test_limit_is_read_from_any_status(status: int) -> None:
    assert read_advisory(make_response(status, Server_Limit='3.1')).limit == 3.1


def test_misdirected_response_carries_no_limit() -> None:
    assert read_advisory(make_response(421, Server_Limit='3.1')).limit is None
