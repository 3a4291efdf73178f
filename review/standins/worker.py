"""Stand-in of a plain worker, as PROTOCOL.md describes one.

Run as a program, it serves one worker and writes what it runs to its standard
output, a JSON document a line.
"""

import asyncio
import json
import sys
import time
from collections.abc import Callable

from http_ import Connection, Request, Response, Server, write_head

Note = Callable[[dict], None]


class Worker:
    """Serve one worker.

    :param work: seconds that a request takes.
    :param parts: parts in which the body of an answer is written.
    :param framed: whether answers carry their length; without one, an answer
        ends with its connection.
    """

    def __init__(
        self,
        name: str,
        note: Note,
        slots: int = 6,
        queue: int = 24,
        work: float = 0.09,
        parts: int = 1,
        framed: bool = True,
    ) -> None:
        self.name = name
        self._note = note
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._queue = queue
        self._work = work
        self._parts = parts
        self._framed = framed
        self._running = 0
        self._waiting = 0
        self.server = Server(self._handle)

    @property
    def address(self) -> str:
        """Return where it is reached."""
        return f'127.0.0.1:{self.server.port}'

    def describe(self, service: str, zone: str) -> dict:
        """Return its entry in the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': self._slot_count,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
        }

    async def _handle(
        self, request: Request, connection: Connection
    ) -> Response | None:
        if request.path == '/health':
            return Response(200, {'Instance-Id': self.name, **self._load()})
        request_id = request.headers.get('request-id', '')
        if not request_id:
            return self._reject(400)
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            return self._reject(421, request_id)
        if self._waiting >= self._queue:
            return self._reject(503, request_id)
        return await self._run(request, request_id, connection)

    async def _run(
        self, request: Request, request_id: str, connection: Connection
    ) -> Response | None:
        self._note(
            {
                'event': 'arrives',
                'worker': self.name,
                'request': request_id,
                'tenant': request.headers.get('tenant', ''),
                'at': time.monotonic(),
            }
        )
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                return await self._answer(request_id, connection)
            finally:
                self._running -= 1

    async def _answer(
        self, request_id: str, connection: Connection
    ) -> Response | None:
        self._note(
            {
                'event': 'runs',
                'worker': self.name,
                'request': request_id,
                'at': time.monotonic(),
            }
        )
        headers = {
            'Request-Id': request_id,
            'Response-Seal': f'{self.name}.{request_id}',
            **self._load(),
        }
        if self._parts == 1 and self._framed:
            await asyncio.sleep(self._work)
            return Response(200, headers, make_body(request_id, 1))
        if self._framed:
            size = len(make_body(request_id, self._parts))
            headers['Content-Length'] = str(size)
        headers['Connection'] = 'close'
        connection.writer.write(write_head(200, headers))
        for number in range(self._parts):
            await asyncio.sleep(self._work / self._parts)
            connection.writer.write(make_part(request_id, number))
            await connection.writer.drain()
        return None

    def _load(self) -> dict[str, str]:
        load = f'{self._running},{self._waiting},{self._slot_count}'
        return {'Instance-Load': load}

    def _reject(self, status: int, request_id: str = '') -> Response:
        headers = {'Not-Executed': '1', 'Instance-Id': self.name}
        if request_id:
            headers['Request-Id'] = request_id
        return Response(status, headers)


def make_part(request_id: str, number: int) -> bytes:
    """Return one part of an answer's body."""
    return f'{request_id} part {number:03d}\n'.encode().ljust(160, b'.')


def make_body(request_id: str, parts: int) -> bytes:
    """Return the whole body of an answer."""
    return b''.join(make_part(request_id, each) for each in range(parts))


def _write_line(document: dict) -> None:
    sys.stdout.write(json.dumps(document) + '\n')
    sys.stdout.flush()


async def _serve(options: dict) -> None:
    worker = Worker(options.pop('name'), _write_line, **options)
    await worker.server.start()
    _write_line({'event': 'listens', 'address': worker.address})
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_serve(json.loads(sys.argv[1])))
