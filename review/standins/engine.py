"""Stand-in of an engine whose streams end with their connection.

Run as a program, it serves one engine and writes what it runs to its standard
output, a JSON document a line.
"""

import asyncio
import json
import sys
import time

from http_ import Connection, Request, Response, Server, write_head


class Engine:
    """Serve one engine; it keeps no copies.

    :param pause: seconds between two events.
    """

    def __init__(
        self,
        name: str,
        slots: int = 64,
        events: int = 40,
        pause: float = 0.05,
        first: float = 0.2,
    ) -> None:
        self.name = name
        self._slots = slots
        self._events = events
        self._pause = pause
        self._first = first
        self._runs: dict[str, int] = {}
        self.server = Server(self._handle)

    async def _handle(
        self, request: Request, connection: Connection
    ) -> Response | None:
        if request.path == '/health':
            return Response(200, {'Instance-Id': self.name})
        if request.path == '/cartdale/report':
            return self._report()
        if request.path == '/cartdale/kv-move':
            known = json.loads(request.body).get('id') in self._runs
            return Response(503 if known else 404)
        if request.path.startswith('/cartdale/'):
            return Response(404)
        return await self._run(request, connection)

    def _report(self) -> Response:
        used = 1000 * len(self._runs)
        document = {
            'stage': 'combined',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'running': len(self._runs),
            'kvUsed': used,
            'kvTotal': 34545,
            'handles': 0,
            'state': 'ready',
            'runs': [[each, 1000, n, 0] for each, n in self._runs.items()],
        }
        headers = {'Content-Type': 'application/json'}
        return Response(200, headers, json.dumps(document).encode())

    async def _run(
        self, request: Request, connection: Connection
    ) -> Response | None:
        request_id = request.headers.get('request-id', '')
        expected = request.headers.get('expect-instance', self.name)
        headers = {'Request-Id': request_id, 'Instance-Id': self.name}
        if expected != self.name:
            return Response(421, {**headers, 'Not-Executed': '1'})
        if len(self._runs) >= self._slots or 'kv-from' in request.headers:
            return Response(503, {**headers, 'Not-Executed': '1'})
        write_line({'event': 'runs', 'engine': self.name, 'request': request_id})
        self._runs[request_id] = 0
        try:
            await self._stream(request_id, connection)
        finally:
            self._runs.pop(request_id, None)
        return None

    async def _stream(self, request_id: str, connection: Connection) -> None:
        await asyncio.sleep(self._first)
        headers = {
            'Request-Id': request_id,
            'Response-Seal': f'{self.name}.{request_id}',
            'Content-Type': 'text/event-stream',
            'Connection': 'close',
        }
        connection.writer.write(write_head(200, headers))
        for number in range(1, self._events + 1):
            connection.writer.write(make_event(request_id, number))
            await connection.writer.drain()
            self._runs[request_id] = number
            await asyncio.sleep(self._pause)


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: {request_id} token {number:03d}\n\n'.encode()


def make_stream(request_id: str, events: int) -> bytes:
    """Return a whole stream."""
    numbers = range(1, events + 1)
    return b''.join(make_event(request_id, each) for each in numbers)


def write_line(document: dict) -> None:
    """Write one line of the record."""
    sys.stdout.write(json.dumps({**document, 'at': time.monotonic()}) + '\n')
    sys.stdout.flush()


async def _serve(options: dict) -> None:
    engine = Engine(**options)
    await engine.server.start()
    write_line(
        {'event': 'listens', 'address': f'127.0.0.1:{engine.server.port}'}
    )
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_serve(json.loads(sys.argv[1])))
