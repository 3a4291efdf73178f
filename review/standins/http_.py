"""Minimal HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

_READ_BYTES = 65536


@dataclass
class Request:
    """One request as received.

    :param headers: values by name in lower case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the first value of each query parameter."""
        parsed = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[0] for name, values in parsed.items()}


@dataclass
class Response:
    """A response with a known length."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass
class Connection:
    """One open connection of a server.

    :param silent: whether nothing is read or written any more, although the
        connection stays open.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    silent: bool = False
    closed: asyncio.Event = field(default_factory=asyncio.Event)


Handler = Callable[[Request, Connection], Awaitable[Response | None]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers; ``None`` at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, mark, value = line.partition(':')
        if mark:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts: list[bytes] = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(part[:-2])


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; ``None`` at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(' ', 2)
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader)
    elif headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def write_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f'HTTP/1.1 {status} x']
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class Server:
    """Serve one handler on a loopback port.

    A handler that returns ``None`` has written its response itself, and the
    connection is closed.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self.connections: list[Connection] = []
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**24
        )
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self.connections.append(connection)
        try:
            await self._serve_requests(connection)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            """The connection ends."""
        finally:
            connection.closed.set()
            self.connections.remove(connection)
            writer.close()

    async def _serve_requests(self, connection: Connection) -> None:
        while True:
            request = await read_request(connection.reader)
            if request is None or connection.silent:
                await self._wait_while_silent(connection)
                return
            response = await self._handler(request, connection)
            if connection.silent:
                await self._wait_while_silent(connection)
                return
            if response is None:
                return
            headers = {
                **response.headers,
                'Content-Length': str(len(response.body)),
            }
            connection.writer.write(
                write_head(response.status, headers) + response.body
            )
            await connection.writer.drain()
            if request.headers.get('connection', '').lower() == 'close':
                return

    async def _wait_while_silent(self, connection: Connection) -> None:
        if connection.silent:
            while await connection.reader.read(_READ_BYTES):
                """Discard what the peer still sends."""


@dataclass
class Answer:
    """What a client saw of one request.

    :param status: 0 if no head was received.
    :param complete: whether the response was complete by its framing.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    error: str = ''


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout: float = 5,
) -> Answer:
    """Send one request over a new connection and read the whole response."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout):
            await _call(port, method, target, headers, body, answer)
    except TimeoutError:
        answer.error = 'no response in time'
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        answer.error = f'{type(error).__name__}: {error}'
    return answer


async def _call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    answer: Answer,
) -> None:
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port, limit=2**24
    )
    try:
        sent = {**headers, 'Connection': 'close'}
        if body or method != 'GET':
            sent['Content-Length'] = str(len(body))
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {value}' for name, value in sent.items())
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            answer.error = 'closed without a response'
            return
        first, answer.headers = head
        answer.status = int(first.split(' ')[1])
        if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
            answer.body = await _read_chunks(reader)
        elif 'content-length' in answer.headers:
            answer.body = await reader.readexactly(
                int(answer.headers['content-length'])
            )
        else:
            answer.body = await reader.read()
        answer.complete = True
    finally:
        writer.close()
