"""What an error of the transport says of a request of the own interface."""

from pathlib import Path

import httpx
import pytest
from returns.result import Result

from cartdale.engines.http import HttpEngine
from cartdale.engines.plain import PlainRequest, PlainService
from cartdale.engines.types import (
    EngineUnreachable,
    GenerationRequest,
    LinkLost,
    Order,
)
from tests.stage import open_stage

ADDRESS = 'http://engine'
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class FailingTransport(httpx.AsyncBaseTransport):
    """Fail before a request is sent, or late with the same error."""

    def __init__(self, error: type[httpx.HTTPError], *, late: bool) -> None:
        self.error = error
        self.late = late

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        trace = request.extensions.get('trace')
        if trace is not None and self.late:
            await trace('http11.send_request_headers.started', {})
        raise self.error('no connection')


class LateTransport(httpx.AsyncHTTPTransport):
    """Send each request and fail with an error of connecting."""

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        response = await super().handle_async_request(request)
        await response.aread()
        raise httpx.ConnectError('late')


async def start(client: httpx.AsyncClient) -> Result:
    engine = HttpEngine(client, ADDRESS, 1000)
    request = GenerationRequest('g', '/v1/completions', b'{}', 7, 0)
    async with engine.start(request) as opened:
        return opened


async def command(client: httpx.AsyncClient) -> Result:
    engine = HttpEngine(client, ADDRESS, 1000)
    return await engine.command(Order(1, 'drain', 'engine'))


async def call_plain(client: httpx.AsyncClient) -> Result:
    service = PlainService(client, ADDRESS, 1000)
    return await service.call(PlainRequest('POST', 'cut', b'{}', {}))


# Guards against a second send after a transport's error that stands for a
# request which was not sent.
@pytest.mark.parametrize('error', NOT_SENT)
@pytest.mark.parametrize('send', [start, command, call_plain])
async def test_error_of_connecting_after_the_send_proves_nothing(
    send, error: type[httpx.HTTPError]
) -> None:
    transport = FailingTransport(error, late=True)
    async with httpx.AsyncClient(transport=transport) as client:
        assert isinstance((await send(client)).failure(), LinkLost)


@pytest.mark.parametrize('error', NOT_SENT)
@pytest.mark.parametrize('send', [start, command, call_plain])
async def test_error_of_connecting_proves_that_nothing_was_sent(
    send, error: type[httpx.HTTPError]
) -> None:
    transport = FailingTransport(error, late=False)
    async with httpx.AsyncClient(transport=transport) as client:
        assert isinstance((await send(client)).failure(), EngineUnreachable)


async def test_the_send_is_noticed_on_a_real_connection(tmp_path: Path) -> None:
    async with open_stage(tmp_path, instances=0) as stage:
        address = stage.addresses_by_name['plain-0']
        async with httpx.AsyncClient(transport=LateTransport()) as client:
            service = PlainService(client, address, 1000)
            request = PlainRequest('POST', 'cut', b'{}', {}, key='k')
            answer = await service.call(request)
        assert stage.plain.runs_by_key == {'k': 1}
        assert isinstance(answer.failure(), LinkLost)
