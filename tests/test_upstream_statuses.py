"""What reaches callers of the status that an upstream answers with.

Guards against a promise that a request did not run, though it did, and against
statuses that are none.
"""

from types import MappingProxyType

import httpx
import pytest

from tests.network_cuts import CutWay, NetworkCuts
from tests.platform_stage import (
    PlatformStage,
    make_draft,
    open_platform,
    until,
)
from tests.raw_upstream import BODY, RawUpstream, add_raw
from tests.test_accepted_values import carries

SEAL = b'Response-Seal: 3e1b.07'
NOT_RUN = b'Not-Executed: 1'
BAD_GATEWAY = 502
#: Statuses that tell a caller that its request did not run.
PROMISES = (b'408', b'429', b'503')
PASSED_ON = (b'400', b'404', b'409', b'413', b'500', b'502', b'504', b'599')
#: What is no status of a final answer.
NO_STATUSES = (
    b'000',
    b'099',
    b'100',
    b'101',
    b'199',
    b'600',
    b'700',
    b'999',
    b'2000',
    b'2',
    b'-20',
    b'2e2',
    b'',
)
SERVICES = MappingProxyType(
    {
        '/cut/a': 'portal',
        '/look/a': 'portal',
        '/draft/a': 'writers',
        '/tag/a': 'writers',
    }
)
#: Of requests that may run again.
MOST_RUNS = MappingProxyType({'/look/a': 2, '/tag/a': 2})


async def ask(stage: PlatformStage, path: str, instance: int = 0):
    return await stage.client.post(
        stage.url(path, instance), headers=make_draft('r1'), content=b'x'
    )


async def ask_raw(path: str, upstream: RawUpstream) -> httpx.Response:
    """Return what a caller gets of an upstream's answer."""
    async with open_platform(engines=0, plains=0) as stage:
        await add_raw(stage, SERVICES[path], upstream)
        answer = await ask(stage, path)
    assert 1 <= upstream.runs_by_request['r1'] <= MOST_RUNS.get(path, 1)
    return answer


async def ask_carried(
    path: str, upstream: RawUpstream, monkeypatch: pytest.MonkeyPatch
) -> httpx.Response:
    """Return the same, where another instance carries the request."""
    cuts = NetworkCuts(monkeypatch)
    async with open_platform(engines=0, plains=0, instances=2) as stage:
        port = await add_raw(stage, SERVICES[path], upstream)
        await until(lambda: all(map(carries, stage.runtimes)))
        cuts.cut('entry-0', [port], CutWay.REFUSE)
        answer = await ask(stage, path)
    assert upstream.runs_by_request['r1'] == 1
    return answer


def check_promises_nothing(answer: httpx.Response) -> None:
    """Check that a caller gets a failure that is this instance's own."""
    assert answer.status_code == BAD_GATEWAY
    assert 'response-seal' not in answer.headers
    assert 'retry-after' not in answer.headers
    assert BODY not in answer.content


# Guards against an order that is given again, since the upstream that took it
# answered with a status by which nothing ran.
@pytest.mark.parametrize('path', SERVICES)
@pytest.mark.parametrize('status', PROMISES)
async def test_promise_of_an_upstream_that_ran_the_request_is_not_passed_on(
    status: bytes, path: str
) -> None:
    retry_after = b'Retry-After: 1'
    for headers in ((SEAL, retry_after), (retry_after,)):
        upstream = RawUpstream(status, headers)
        check_promises_nothing(await ask_raw(path, upstream))


# Guards against promises that are withheld, though they are true.
@pytest.mark.parametrize('path', SERVICES)
@pytest.mark.parametrize('status', [b'429', b'503'])
async def test_request_that_an_upstream_did_not_run_is_refused(
    status: bytes, path: str
) -> None:
    upstream = RawUpstream(status, (NOT_RUN,))
    async with open_platform(engines=0, plains=0) as stage:
        await add_raw(stage, SERVICES[path], upstream)
        answer = await ask(stage, path)
    assert answer.status_code == 503
    assert answer.headers['retry-after']


# Guards against failures that are replaced, though they promise nothing.
@pytest.mark.parametrize('path', ['/cut/a', '/draft/a'])
@pytest.mark.parametrize('status', PASSED_ON)
async def test_failure_of_an_upstream_is_passed_on(
    status: bytes, path: str
) -> None:
    answer = await ask_raw(path, RawUpstream(status, (SEAL,)))
    assert answer.status_code == int(status)
    assert answer.headers['response-seal']
    assert answer.content == BODY


# Guards against a status that is none, and that many clients can't read.
@pytest.mark.parametrize('path', SERVICES)
@pytest.mark.parametrize('status', NO_STATUSES)
async def test_what_is_no_status_is_no_answer(status: bytes, path: str) -> None:
    check_promises_nothing(await ask_raw(path, RawUpstream(status, (SEAL,))))


# Guards against a request that runs again, since an answer that shows that it
# ran, or that is none, says that it did not.
@pytest.mark.parametrize('path', ['/cut/a', '/draft/a'])
@pytest.mark.parametrize('status', [b'200', b'204', b'302', b'700', b'000'])
async def test_promise_in_a_success_or_in_no_answer_counts_for_nothing(
    status: bytes, path: str
) -> None:
    upstream = RawUpstream(status, (SEAL, NOT_RUN))
    check_promises_nothing(await ask_raw(path, upstream))


# Guards against another instance, whose connection carries the answer, that
# passes on what the first one would not.
@pytest.mark.parametrize('path', ['/cut/a', '/draft/a'])
@pytest.mark.parametrize('status', [b'503', b'429', b'700', b'000'])
async def test_carried_answer_is_judged_too(
    status: bytes, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream = RawUpstream(status, (SEAL,))
    check_promises_nothing(await ask_carried(path, upstream, monkeypatch))
