"""What is no status of a final response is no answer, whoever sends it.

Guards against an instance that acts on an answer with such a status: of the
platform's store, of an engine, of a plain service, or of another instance.
"""

from types import SimpleNamespace

import httpcore
import httpx
import pytest
import trio
from returns.result import Failure

from cartdale.detours.calls import REPLY_HEADER, DetourCalls
from cartdale.detours.types import DetourOutcome, DetourReply, UpstreamRequest
from cartdale.fleet.advisories import AdvisoryRecorder
from cartdale.news.types import PeerEntry
from cartdale.platform.settings import Endpoint
from cartdale.platform.store import make_store
from cartdale.platform.upstreams import PlatformUpstreams
from cartdale.relay.types import CopyFault, MemoryCopy
from cartdale.statuses import is_final
from cartdale.store.types import StoreUnavailable, WriteUnknown
from tests.platform_stage import LOCAL
from tests.raw_upstream import RawUpstream
from tests.test_send_errors_own import call_plain, command, start

STATUSES = (0, 99, 100, 199, 600, 700, 999)
#: Final statuses by which the store does not answer a call.
NO_ANSWERS = (201, 204, 302, 500)


def write_status(status: int) -> bytes:
    return b'%03d' % status


async def open_raw(nursery: trio.Nursery, raw: RawUpstream) -> Endpoint:
    listeners = await nursery.start(trio.serve_tcp, raw.serve, 0)
    return Endpoint(LOCAL, listeners[0].socket.getsockname()[1])


@pytest.mark.parametrize('status', STATUSES)
def test_only_final_statuses_are_answers(status: int) -> None:
    assert not is_final(status)
    assert is_final(200)
    assert is_final(599)


@pytest.mark.parametrize('status', [*STATUSES, *NO_ANSWERS])
async def test_store_that_answers_with_another_status_tells_nothing(
    status: int,
) -> None:
    raw = RawUpstream(write_status(status), body=b'{"items": [], "asOf": 9}')
    async with trio.open_nursery() as nursery:
        store = make_store(await open_raw(nursery, raw), 500)
        listing = await store.fetch('')
        written = await store.transact((), ())
        granted = await store.grant(1000)
        nursery.cancel_scope.cancel()
    assert isinstance(listing.failure(), StoreUnavailable)
    assert isinstance(granted.failure(), WriteUnknown)
    assert isinstance(written, Failure)


@pytest.mark.parametrize('status', STATUSES)
async def test_engine_that_answers_with_no_status_tells_nothing(
    status: int,
) -> None:
    wrong = write_status(status)
    raw = RawUpstream(wrong, report_status=wrong, copy_status=wrong)
    async with trio.open_nursery() as nursery:
        end = await open_raw(nursery, raw)
        address = f'{end.address}:{end.port}'
        upstreams = PlatformUpstreams(AdvisoryRecorder(None, None))
        report = await upstreams.report(address)
        copied = await upstreams.copy(MemoryCopy('r', address, 'a:1', True))
        nursery.cancel_scope.cancel()
    assert isinstance(report, Failure)
    assert copied.failure().fault is CopyFault.BROKEN


PEER = PeerEntry('front-1', '10.1.0.1', 7200)


class Carrier:
    """Say that a request was answered with a status, which none can be."""

    def __init__(self, status: int) -> None:
        self._reply = DetourReply(DetourOutcome.OPENED, status)

    async def handle_async_request(self, request) -> httpcore.Response:
        return httpcore.Response(200, headers=[(REPLY_HEADER, b'signed')])

    def sign_message(self, recipient: str, message: object) -> bytes:
        return b'signed'

    def open_message(self, signed: bytes, shape: type) -> SimpleNamespace:
        return SimpleNamespace(sender=PEER.name, message=self._reply)


# Guards against a request that counts as answered, or as not run, by the word
# of the instance that carried it.
@pytest.mark.parametrize('status', STATUSES)
async def test_carrier_that_tells_no_status_has_perhaps_sent_the_request(
    status: int,
) -> None:
    carrier = Carrier(status)
    calls = DetourCalls(carrier, carrier)
    request = UpstreamRequest('10.0.0.1:80', 'POST', b'/', (), is_work=True)
    released = []
    with pytest.raises(
        httpcore.RemoteProtocolError, match='without a sound reply'
    ):
        await calls.send(PEER, request, None, lambda: released.append(PEER))
    assert released


# Guards against such answers at the own interface's upstreams.
@pytest.mark.parametrize('send', [start, command, call_plain])
@pytest.mark.parametrize('status', STATUSES)
async def test_upstream_of_the_own_interface_answers_with_a_status(
    send, status: int
) -> None:
    transport = httpx.MockTransport(lambda _: httpx.Response(status))
    async with httpx.AsyncClient(transport=transport) as client:
        answer = await send(client)
    assert 'no status' in answer.failure().detail
