"""An upstream that runs each request, and answers as a test chooses."""

from collections import Counter
from dataclasses import dataclass, field

import trio

from tests.platform_stage import LOCAL, PlatformStage, until

#: An engine that runs nothing at the moment.
REPORT = (
    b'{"running": 0, "queued": 0, "kvUsed": 0, "kvTotal": 20000, "runs": []}'
)
BODY = b'what the upstream says'


@dataclass
class RawUpstream:
    """Answer all requests in one way.

    :param status: the status of each answer, as it is written.
    :param lines: first lines of the requests that it ran.
    :param headers: headers beside the id of the request and the framing.
    :param runs_by_request: how often it ran each request.
    """

    status: bytes
    headers: tuple[bytes, ...] = ()
    body: bytes = BODY
    report_status: bytes = b'200'
    copy_status: bytes = b'404'
    runs_by_request: Counter[str] = field(default_factory=Counter)
    lines: list[bytes] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer one request, and close its connection."""
        async with stream:
            try:
                head = await _read_head(stream)
            except (trio.BrokenResourceError, ValueError):
                return
            await stream.send_all(self._answer(head))

    def _answer(self, head: bytes) -> bytes:
        path = head.split(b' ')[1]
        if path == b'/cartdale/report':
            return _write(self.report_status, (), REPORT)
        if path == b'/cartdale/kv-move':
            return _write(self.copy_status, (), b'{}')
        request_id = _find_header(head, b'request-id')
        self.runs_by_request[request_id.decode()] += 1
        self.lines.append(head.partition(b'\r\n')[0])
        headers = (b'Request-Id: %b' % request_id, *self.headers)
        return _write(self.status, headers, self.body)


async def add_raw(
    stage: PlatformStage, service: str, upstream: RawUpstream
) -> int:
    """Serve and list an upstream; return its port once all know it."""
    listeners = await stage.nursery.start(trio.serve_tcp, upstream.serve, 0)
    port: int = listeners[0].socket.getsockname()[1]
    stage.list_upstream('raw', service, f'{LOCAL}:{port}')
    await until(
        lambda: all(runtime.fleet.find('raw') for runtime in stage.runtimes)
    )
    return port


async def _read_head(stream: trio.SocketStream) -> bytes:
    raw = b''
    while b'\r\n\r\n' not in raw:
        received = await stream.receive_some()
        if not received:
            raise ValueError
        raw += received
    head, _, body = raw.partition(b'\r\n\r\n')
    size = int(_find_header(head, b'content-length') or b'0')
    while len(body) < size:
        body += await stream.receive_some()
    return head


def _find_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b'\r\n')[1:]:
        found, _, text = line.partition(b':')
        if found.strip().lower() == name:
            return text.strip()
    return b''


def _write(status: bytes, headers: tuple[bytes, ...], body: bytes) -> bytes:
    lines = (
        b'HTTP/1.1 %b Odd' % status,
        b'Content-Length: %d' % len(body),
        b'Connection: close',
        *headers,
    )
    return b'\r\n'.join((*lines, b'', body))
