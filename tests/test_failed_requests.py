"""Requests that fail on an error of our own are logged and answered.

Guards against a violated invariant that leaves no line in the log, and against
answers that promise more than is known.
"""

from collections.abc import Callable
from itertools import count
from types import MappingProxyType, SimpleNamespace

import httpx
import pytest
import trio
from loguru import logger

from cartdale.clock import VirtualClock
from cartdale.exceptions import InvariantError
from cartdale.gateway.app import GatewayApp
from cartdale.gateway.exchange import Exchange
from cartdale.invariants import AT_MOST_ONCE
from cartdale.platform.translate import PlatformWire
from cartdale.relay.passing import EventPasser
from cartdale.relay.plain import PlainForwarder
from cartdale.relay.types import CallerRequest
from cartdale.stopping.driver import PlannedStop
from tests.platform_stage import (
    LOCAL,
    PlatformStage,
    ask,
    count_runs,
    draft,
    make_draft,
    open_platform,
    whole,
)
from tests.test_log_fields import recorded

REQUEST = CallerRequest('r1', 'POST', 'h', b'/', '', 0, ())
SCOPE = MappingProxyType(
    {
        'type': 'http',
        'method': 'POST',
        'raw_path': b'/',
        'query_string': b'',
        'headers': (),
    }
)
PORTS = SimpleNamespace(
    relay=SimpleNamespace(stop=PlannedStop()),
    clock=VirtualClock(),
    leaving=bool,
    account=None,
    body_account=None,
    wire=SimpleNamespace(read_request=lambda *_: REQUEST),
    table=lambda: SimpleNamespace(limits=SimpleNamespace(body_bytes=100)),
)


class Caller:
    """Send an empty body, and wait."""

    def __init__(self) -> None:
        self.sent = False

    async def receive(self) -> dict[str, str]:
        if self.sent:
            await trio.sleep_forever()
        self.sent = True
        return {'type': 'http.request'}

    async def send(self, event: object) -> None:
        """Drop an event."""


async def fail(nurseries: int) -> None:
    """Violate an invariant inside of nurseries."""
    if not nurseries:
        raise InvariantError(AT_MOST_ONCE, 'r1: 1 runs may exist')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail, nurseries - 1)


@pytest.mark.parametrize('nurseries', [0, 2])
async def test_violated_invariant_is_logged(
    monkeypatch, nurseries: int
) -> None:
    lines = []

    def note(line) -> None:
        if line.record['message'] == 'request failed':
            lines.append(line.record['extra'])

    async def forward(self) -> None:
        await fail(nurseries)

    monkeypatch.setattr(Exchange, '_answer_read', forward)
    caller = Caller()
    sink = logger.add(note)
    try:
        with pytest.raises(ExceptionGroup):
            await GatewayApp(PORTS)(SCOPE, caller.receive, caller.send)
    finally:
        logger.remove(sink)
    assert [each['request'] for each in lines] == ['r1']
    assert lines[0]['error'] == 'InvariantError'
    assert '1 runs may exist' in lines[0]['detail']


async def break_off(*_: object) -> None:
    """Fail on an unexpected error."""
    raise RuntimeError('a fault of a test')


def list_failed(lines: list[dict]) -> list[tuple[str, str]]:
    return [
        (line['request'], line['error'])
        for line in lines
        if line['event'] == 'request failed'
    ]


async def serves_on(stage: PlatformStage) -> None:
    """Check that the caller's connection and the instance serve on."""
    assert (await draft(stage, 'later')).content == whole('later')
    assert not stage.stopped[0].is_set()


async def test_a_request_that_fails_before_it_is_sent_may_be_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a caller who is told nothing of a request that is safe to
    # repeat, and against one error that costs other requests.
    monkeypatch.setattr(PlainForwarder, '_attempt', break_off)
    async with open_platform() as stage:
        with recorded() as lines:
            answer = await ask(stage, 'r1')
        assert answer.status_code == httpx.codes.SERVICE_UNAVAILABLE
        assert float(answer.headers['Retry-After']) > 0
        assert not count_runs(stage, 'r1')
        await serves_on(stage)
    assert list_failed(lines) == [('r1', 'RuntimeError')]


async def test_a_request_whose_head_cannot_be_read_may_be_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a failure without a line, for a request without an id.
    async with open_platform() as stage:
        with recorded() as lines, monkeypatch.context() as patched:
            patched.setattr(PlatformWire, 'read_request', fail_at(1))
            answer = await ask(stage, 'r1')
        assert answer.status_code == httpx.codes.SERVICE_UNAVAILABLE
        assert float(answer.headers['Retry-After']) > 0
        assert not count_runs(stage, 'r1')
        await serves_on(stage)
    assert list_failed(lines) == [('', 'RuntimeError')]


async def test_a_request_that_fails_after_it_was_sent_has_no_known_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a second run of a request that runs already, or ran.
    monkeypatch.setattr(PlainForwarder, '_read', break_off)
    async with open_platform() as stage:
        with recorded() as lines:
            answer = await ask(stage, 'r1')
        assert answer.status_code == httpx.codes.BAD_GATEWAY
        assert 'Retry-After' not in answer.headers
        assert count_runs(stage, 'r1') == 1
        await serves_on(stage)
    assert list_failed(lines) == [('r1', 'RuntimeError')]


async def test_a_stream_that_fails_after_its_head_is_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a stream that looks whole, or a connection that is used
    # again in the middle of a response.
    async with open_platform() as stage:
        with recorded() as lines, monkeypatch.context() as patched:
            patched.setattr(EventPasser, '_note_gap', fail_at(5))
            with pytest.raises(httpx.RemoteProtocolError):
                await stage.client.post(
                    stage.url('/draft/a'),
                    headers=make_draft('r1'),
                    content=b'brief',
                )
        assert count_runs(stage, 'r1') == 1
        await serves_on(stage)
    assert list_failed(lines) == [('r1', 'RuntimeError')]


def fail_at(call: int) -> Callable[..., None]:
    """Return a method that fails at one of its calls."""
    calls = count(1)

    def method(*_: object) -> None:
        if next(calls) == call:
            raise RuntimeError('a fault of a test')

    return method


async def test_a_failure_of_an_internal_interface_is_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against metrics that end with an error of which no line tells.
    async with open_platform() as stage:
        runtime = stage.runtimes[0]
        monkeypatch.setattr(runtime.metrics, 'render', fail_at(1))
        url = f'http://{LOCAL}:{runtime._metrics_listener.port}/metrics'
        with recorded() as lines:
            answer = await stage.client.get(url)
        assert answer.status_code == httpx.codes.INTERNAL_SERVER_ERROR
        await serves_on(stage)
    failed = [line for line in lines if line['event'] == 'request failed']
    assert [line['interface'] for line in failed] == ['metrics']
