"""The end of a planned stop: requests that are read as the rest is cut."""

import os

import pytest
import trio
from trio.lowlevel import checkpoint

from cartdale.clock import SECOND_MS
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    count_runs,
    make_draft,
    make_headers,
    until,
)
from tests.test_connection_faults import H2Caller, open_h2
from tests.test_goaway import make_h2_headers
from tests.test_log_fields import recorded
from tests.test_stop_commitments import open_stopping, set_grace
from tests.test_stops import make_request

#: Passes of the loop between a request and the cut of what runs.
PASSES = range(0, 14, 2)
#: Connections of a run: tasks of one pass run in random order.
CONNECTIONS = 8
#: Long enough for the answers beside other load.
GRACE = 16 * SECOND_MS
#: Takes longer than that.
OUTLASTING = 6000
#: How a stream ends that was answered, or that its caller knows was not read.
TOLD = frozenset(('answered', 'not read'))


def begin_draft(caller: H2Caller, request_id: str) -> int:
    """Begin a stream that outlasts the stop; the next flush sends it."""
    headers = make_h2_headers(request_id)
    headers[3] = (':path', '/draft/a')
    counted = make_draft(request_id, OUTLASTING)['Token-Count']
    return caller.begin(b'x', [*headers, ('token-count', counted)])


async def read_end(caller: H2Caller, number: int) -> str:
    """Return how a stream ended, as far as its caller can tell."""
    while number not in caller.ends:
        if not await caller.read_some():
            break
    if caller.ends.get(number) == 'ended':
        return 'answered'
    passed_over = bool(caller.goaways) and caller.goaways[-1] < number
    return 'not read' if passed_over or caller.was_reset else 'lost'


async def open_busy(stage: PlatformStage) -> list[H2Caller]:
    """Open connections, each with a stream that outlasts the stop."""
    callers = []
    for number in range(CONNECTIONS):
        caller = await open_h2(stage.runtimes[0].caller_port)
        begin_draft(caller, f'running-{number}')
        await caller.flush()
        callers.append(caller)
    await until(
        lambda: all(count_runs(stage, name) for name in _list_running())
    )
    return callers


def _list_running() -> list[str]:
    return [f'running-{number}' for number in range(CONNECTIONS)]


# Guards against a request that is read as what runs is cut, and whose
# connection ends without a word, so that its caller can't tell whether it ran.
@pytest.mark.parametrize('passes', PASSES)
async def test_request_read_as_the_rest_is_cut_is_answered(
    monkeypatch: pytest.MonkeyPatch, passes: int
) -> None:
    with recorded() as logged:
        async with open_stopping(monkeypatch) as (stage, instance):
            set_grace(instance, GRACE)
            callers = await open_busy(stage)
            instance.leave()
            await instance._stopping.wait()
            numbers = []
            for caller in callers:
                numbers.append(begin_draft(caller, f'late-{len(numbers)}'))
                raw = caller.connection.data_to_send()
                os.write(caller.stream.socket.fileno(), raw)
            for _ in range(passes):
                await checkpoint()
            instance._stop_scope.cancel()
            ends = []
            for caller, number in zip(callers, numbers, strict=True):
                ends.append(await read_end(caller, number))
            await stage.stopped[0].wait()
    assert set(ends) <= TOLD
    cut = [each for each in logged if each['event'] == 'request cut']
    assert len(cut) == CONNECTIONS
    assert all(each['request'].startswith('running') for each in cut)


# Guards against a request whose connection ends without an answer, as its body
# has not arrived by the end of a stop.
async def test_request_whose_body_is_late_is_answered_at_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with open_stopping(monkeypatch) as (stage, instance):
        stream = await trio.open_tcp_stream(LOCAL, instance.caller_port)
        request = make_request('/cut/a', make_headers('r1'))
        await stream.send_all(request.removesuffix(b'x'))
        await until(lambda: instance._app.count)
        instance.leave()
        await instance._stopping.wait()
        instance._stop_scope.cancel()
        assert (await stream.receive_some()).startswith(b'HTTP/1.1 503')
        await stage.stopped[0].wait()
