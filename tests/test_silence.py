"""State of a request with a silent connection, by its engine's report."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio

from cartdale.fleet.types import EngineReport, RunReport
from cartdale.platform.upstreams import PlatformUpstreams
from cartdale.relay import stream
from cartdale.relay.run_state import RunState, find_run_state
from tests.platform_stage import draft, open_platform, whole


def make_report(*runs: RunReport, waiting: int = 0) -> EngineReport:
    return EngineReport(len(runs), waiting, 0, 0, runs=runs)


MADE_TEN = RunReport('r', 100, 10, 0)
OTHER = RunReport('q', 100, 10, 0)


@pytest.mark.parametrize(
    ('report', 'events', 'state'),
    [
        (None, 0, RunState.UNREADABLE),
        (make_report(OTHER, MADE_TEN), 9, RunState.AHEAD),
        (make_report(MADE_TEN), 10, RunState.RUNNING),
        (make_report(OTHER, waiting=1), 0, RunState.WAITING),
        (make_report(OTHER), 0, RunState.GONE),
        (make_report(), 12, RunState.GONE),
    ],
)
def test_report_tells_the_state_of_a_request(
    report: EngineReport | None, events: int, state: RunState
) -> None:
    assert find_run_state(report, 'r', events) is state


# Guards against a stream without an event that its caller never got: a report
# without the request arrived at the same time as the response.
@pytest.mark.parametrize('path', ['/draft/a', '/tag/a'])
async def test_response_that_arrives_with_a_report_is_whole(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    opened = trio.Event()
    open_upstream = PlatformUpstreams.open

    @asynccontextmanager
    async def open_together(
        self: PlatformUpstreams, call: Any
    ) -> AsyncIterator[Any]:
        async with open_upstream(self, call) as answer:
            opened.set()
            yield answer

    async def await_response(*_ports: Any) -> None:
        await opened.wait()

    monkeypatch.setattr(PlatformUpstreams, 'open', open_together)
    monkeypatch.setattr(stream, 'await_loss', await_response)
    async with open_platform(engines=2) as stage:
        answer = await draft(stage, 'r1', path=path)
        assert answer.content == whole('r1')
