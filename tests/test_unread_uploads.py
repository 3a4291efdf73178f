"""Answers that an upstream sends, and breaks off, before it has read a body.

A failed write takes the error of a reset connection, so that the reads after it
end as if the answer had ended in order.
"""

import httpx
import pytest

from cartdale.relay.end_proof import EndDoubt
from tests.early_upstream import (
    LONG_BODY,
    AnswerEnd,
    AnswerFraming,
    EarlyUpstream,
    add_early,
    make_events,
)
from tests.network_cuts import CutWay, NetworkCuts
from tests.platform_stage import PlatformStage, make_draft, open_platform, until
from tests.test_accepted_values import carries
from tests.test_crash_probes import collect_lines
from tests.test_upstream_statuses import MOST_RUNS, SERVICES

#: Paths of requests that run once.
ONCE = ('/cut/a', '/draft/a')
#: Ends that reset the connection while the request is written.
CUT_ENDS = (
    AnswerEnd.RESET,
    AnswerEnd.LATE_RESET,
    AnswerEnd.CLOSED_UNREAD,
    AnswerEnd.HALF_CLOSED_RESET,
)
FRAMED = (AnswerFraming.LENGTH, AnswerFraming.CHUNKS)
EVENTS = 3


def make_upstream(path: str, end: AnswerEnd, **more) -> EarlyUpstream:
    """Return an upstream of the route of a path."""
    streams = SERVICES[path] == 'writers'
    body = make_events('r1', EVENTS) if streams else b''
    return EarlyUpstream(end, body=body, **more)


async def upload(
    stage: PlatformStage, path: str, body: bytes = LONG_BODY
) -> tuple[int, bytes, bool]:
    """Send a request; return its status, what arrives, and if it is whole."""
    parts: list[bytes] = []
    asked = stage.client.stream(
        'POST', stage.url(path), headers=make_draft('r1'), content=body
    )
    complete = True
    async with asked as response:
        try:
            async for part in response.aiter_bytes():
                parts.append(part)
        except httpx.RemoteProtocolError:
            complete = False
    return response.status_code, b''.join(parts), complete


def check_cut(answer: tuple[int, bytes, bool], upstream: EarlyUpstream) -> None:
    """Check that a caller gets no answer that looks whole, as it was cut."""
    status, received, complete = answer
    if status == httpx.codes.OK:
        assert not complete
        assert upstream.body.startswith(received)
    else:
        assert status == httpx.codes.BAD_GATEWAY
        assert b'answer to' not in received


async def ask_carried(
    path: str,
    upstream: EarlyUpstream,
    monkeypatch: pytest.MonkeyPatch,
    body: bytes = LONG_BODY,
) -> tuple[int, bytes, bool]:
    """Upload through another instance, which alone reaches the upstream."""
    cuts = NetworkCuts(monkeypatch)
    async with open_platform(engines=0, plains=0, instances=2) as stage:
        port = await add_early(stage, SERVICES[path], upstream)
        await until(lambda: all(map(carries, stage.runtimes)))
        cuts.cut('entry-0', [port], CutWay.REFUSE)
        answer = await upload(stage, path, body)
        assert stage.runtimes[0].detours.router.detours
    return answer


# Guards against a part of an answer that counts as its whole: the write failed,
# and took the error of the connection from the reads after it.
@pytest.mark.parametrize(
    ('path', 'end', 'version'),
    [
        *((path, end, '1.1') for path in ONCE for end in CUT_ENDS),
        *((path, AnswerEnd.RESET, '1.0') for path in ONCE),
        *((path, AnswerEnd.RESET, '1.1') for path in MOST_RUNS),
    ],
)
async def test_answer_cut_during_the_upload_is_not_whole(
    path: str, end: AnswerEnd, version: str
) -> None:
    lines = collect_lines('attempt ended')
    upstream = make_upstream(path, end, version=version)
    async with open_platform(engines=0, plains=0) as stage:
        await add_early(stage, SERVICES[path], upstream)
        answer = await upload(stage, path)
    check_cut(answer, upstream)
    assert 'not written whole' in lines[0]['detail']
    assert 1 <= upstream.runs_by_request['r1'] <= MOST_RUNS.get(path, 1)


# Guards against the same where another instance carries the request: it must
# not end a reply in order whose answer was cut.
@pytest.mark.parametrize('end', CUT_ENDS)
@pytest.mark.parametrize('path', ONCE)
async def test_carried_answer_cut_during_the_upload_is_not_whole(
    path: str, end: AnswerEnd, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream = make_upstream(path, end)
    check_cut(await ask_carried(path, upstream, monkeypatch), upstream)
    assert upstream.runs_by_request['r1'] == 1


# Guards against a failure that is passed on whole, though it was cut.
@pytest.mark.parametrize('path', ONCE)
async def test_failure_cut_during_the_upload_is_not_whole(path: str) -> None:
    upstream = EarlyUpstream(AnswerEnd.RESET, status=413)
    async with open_platform(engines=0, plains=0) as stage:
        await add_early(stage, SERVICES[path], upstream)
        answer = await upload(stage, path)
    check_cut(answer, upstream)


# Guards against whole answers that are lost with the rest of their request.
@pytest.mark.parametrize('framing', FRAMED)
@pytest.mark.parametrize('end', [AnswerEnd.RESET, AnswerEnd.CLOSED_UNREAD])
@pytest.mark.parametrize('path', ONCE)
async def test_delimited_answer_arrives_whole_whatever_ends_the_connection(
    path: str, end: AnswerEnd, framing: AnswerFraming
) -> None:
    upstream = make_upstream(path, end, framing=framing)
    async with open_platform(engines=0, plains=0) as stage:
        await add_early(stage, SERVICES[path], upstream)
        status, received, complete = await upload(stage, path)
    assert (status, complete) == (httpx.codes.OK, True)
    assert received == (upstream.body or b'answer to r1')


# Guards against sound answers without framing that are taken for cut ones.
@pytest.mark.parametrize('body', [b'brief', LONG_BODY], ids=['short', 'long'])
@pytest.mark.parametrize(
    'end', [AnswerEnd.IN_ORDER, AnswerEnd.HALF_CLOSED_READ]
)
@pytest.mark.parametrize('path', ONCE)
async def test_answer_that_ends_in_order_is_whole(
    path: str, end: AnswerEnd, body: bytes
) -> None:
    upstream = make_upstream(path, end)
    async with open_platform(engines=0, plains=0) as stage:
        await add_early(stage, SERVICES[path], upstream)
        status, received, complete = await upload(stage, path, body)
    assert (status, complete) == (httpx.codes.OK, True)
    assert received == (upstream.body or b'answer to r1')


# Guards against an answer that counts as whole, though its connection is reset
# while its end is proved: its request was written whole, and never read.
@pytest.mark.parametrize('path', SERVICES)
async def test_answer_that_is_reset_after_its_end_is_not_whole(
    path: str,
) -> None:
    lines = collect_lines('end without framing')
    upstream = make_upstream(path, AnswerEnd.HALF_CLOSED_RESET)
    async with open_platform(engines=0, plains=0) as stage:
        await add_early(stage, SERVICES[path], upstream)
        answer = await upload(stage, path, b'brief')
    check_cut(answer, upstream)
    assert [line['doubt'] for line in lines] == [EndDoubt.RESET]
    assert 1 <= upstream.runs_by_request['r1'] <= MOST_RUNS.get(path, 1)


# Guards against the same where another instance carries the request.
@pytest.mark.parametrize('path', ONCE)
async def test_carried_answer_that_is_reset_after_its_end_is_not_whole(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream = make_upstream(path, AnswerEnd.HALF_CLOSED_RESET)
    answer = await ask_carried(path, upstream, monkeypatch, b'brief')
    check_cut(answer, upstream)
    assert upstream.runs_by_request['r1'] == 1
