"""What an instance that was asked to carry a request says of it."""

import httpcore
import pytest

from cartdale.detours.calls import DetourCalls
from cartdale.detours.direct import DirectTransport
from cartdale.detours.guard import SendGuard, WithheldError
from cartdale.detours.types import DetourOutcome, DetourReply, UpstreamRequest
from cartdale.news.types import PeerEntry
from cartdale.relay.send_record import NewRun, SendRecord

PEER = PeerEntry('front-1', '10.1.0.1', 7200)
REQUEST = UpstreamRequest('10.0.0.1:80', 'POST', b'/draft/', (), is_work=True)


class Answering:
    """Answer each request with a status and no reply."""

    def __init__(self, status: int) -> None:
        self._status = status

    async def handle_async_request(self, request) -> httpcore.Response:
        return httpcore.Response(self._status)


class Unsigned:
    """Sign nothing."""

    def sign_message(self, recipient: str, message: object) -> bytes:
        return b'signed'

    def open_message(self, signed: bytes, shape: type) -> None:
        """Take no message for genuine."""


async def ask(status: int) -> httpcore.Response | DetourReply | None:
    calls = DetourCalls(Answering(status), Unsigned())
    return await calls.send(PEER, REQUEST, None, lambda: None)


# Guards against a second send of a request that a peer sent before it failed.
@pytest.mark.parametrize('status', [200, 400, 500, 502, 503, 504])
async def test_peer_that_failed_may_have_sent_the_request(status: int) -> None:
    with pytest.raises(httpcore.RemoteProtocolError, match=str(status)):
        await ask(status)


@pytest.mark.parametrize('status', [403, 404, 413])
async def test_peer_that_refused_unread_has_sent_nothing(status: int) -> None:
    answer = await ask(status)
    assert isinstance(answer, DetourReply)
    assert answer.outcome is DetourOutcome.BUSY


class LateError:
    """Fail with an error of connecting after the request was sent."""

    async def handle_async_request(self, request) -> httpcore.Response:
        trace = request.extensions['trace']
        await trace('http11.send_request_headers.started', {})
        raise httpcore.ConnectError('late')


class Observer:
    """Let the request go."""

    async def __call__(self) -> None:
        """Let it go."""

    def retract(self) -> None:
        """Fail, since it was sent."""
        pytest.fail('nothing shows that it was not sent')


# Guards against a second send after a transport's error that stands for a
# request which was not sent.
async def test_error_of_connecting_after_the_send_proves_nothing() -> None:
    with pytest.raises(httpcore.WriteError):
        await DirectTransport(LateError()).send(REQUEST, Observer())
    calls = DetourCalls(LateError(), Unsigned())
    with pytest.raises(httpcore.ReadTimeout):
        await calls.send(PEER, REQUEST, Observer(), lambda: None)


class Advisories:
    """Count the sends that the bounds of an upstream allow."""

    def __init__(self) -> None:
        self.spent = 0

    def must_withhold(self, upstream: str, **_: bool) -> bool:
        self.spent += 1
        return False


# Guards against a bound on the rate of an upstream that is used up by requests
# which are not sent.
async def test_quarantined_request_spends_nothing_of_an_upstreams_rate() -> (
    None
):
    advisories = Advisories()
    record = SendRecord('r', 1, lambda: bool(advisories), lambda: True)
    permit = record.permit(NewRun())
    guard = SendGuard(advisories, REQUEST, permit)
    with pytest.raises(WithheldError, match='quarantined'):
        await guard()
    assert not advisories.spent
    assert not permit.used
