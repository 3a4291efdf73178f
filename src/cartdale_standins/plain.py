"""Plain-service stand-in: records every run it makes."""

from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

import trio
from quart import Response, request
from quart_trio import QuartTrio

from cartdale.codec import encode_json

HEADER_FENCE = 'X-Fence'
HEADER_KEY = 'Idempotency-Key'


class PlainStandIn:
    """Run whatever it is asked and count the runs by key."""

    def __init__(self) -> None:
        self.runs_by_key: Counter[str] = Counter()
        self.delay_seconds = float(0)
        #: For how many seconds callers are told to stay away; empty to serve.
        self.retry_after = ''
        #: When calls were turned away, in seconds of the loop's clock.
        self.refused_at: list[float] = []
        #: Body that ends the service, how often one did, and what cuts its
        #: connections then.
        self.crash_body = b''
        self.crash_count = 0
        self.on_crash: Callable[[], None] | None = None

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio('plain')
        app.add_url_rule('/standin/runs', 'runs', self._show_runs)
        app.add_url_rule(
            '/<path:path>', 'run', self._run, methods=['GET', 'POST', 'PUT']
        )
        return app

    async def _run(self, path: str) -> Response:
        if self.retry_after:
            self.refused_at.append(trio.current_time())
            return Response(
                b'',
                status=HTTPStatus.SERVICE_UNAVAILABLE.value,
                headers={'Retry-After': self.retry_after},
            )
        key = request.headers.get(HEADER_KEY, '')
        self.runs_by_key[key] += 1
        await trio.sleep(self.delay_seconds)
        if self.on_crash is not None and await _read_body() == self.crash_body:
            self.crash_count += 1
            self.on_crash()
            await trio.sleep_forever()
        return _answer({'path': path, 'run': self.runs_by_key[key]})

    async def _show_runs(self) -> Response:
        return _answer(self.runs_by_key)


async def _read_body() -> bytes:
    body = await request.get_data(as_text=False)
    return body if isinstance(body, bytes) else body.encode()


def _answer(message: object) -> Response:
    return Response(encode_json(message), content_type='application/json')
