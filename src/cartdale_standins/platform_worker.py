"""Stand-in of the platform's plain services, and what engines share."""

from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus

from quart import Response, request
from quart_trio import QuartTrio

METHODS = ('GET', 'POST', 'PUT')
FAILED = HTTPStatus.INTERNAL_SERVER_ERROR.value


class LinkCutError(Exception):
    """Abort a connection in the middle of an answer."""


@dataclass
class PlainFaults:
    """Switch a plain service's failures, each for the next requests.

    :param declines: requests that are turned away as not run.
    :param cuts: requests that run and whose answer is lost.
    :param errors: requests that run and fail.
    :param strangers: requests answered with another request's id.
    """

    declines: int = 0
    cuts: int = 0
    errors: int = 0
    strangers: int = 0


class PlatformWorker:
    """Answer what every upstream answers, and run plain requests.

    :param name: id of this start of the upstream.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = PlainFaults()
        self.runs_by_request: Counter[str] = Counter()
        self.heads: list[dict[str, str]] = []
        self.bodies: list[bytes] = []

    def make_app(self) -> QuartTrio:
        """Build the HTTP application."""
        app = QuartTrio(self.name)
        app.add_url_rule(
            '/<path:path>', 'run', self._run, methods=list(METHODS)
        )
        return app

    async def run(self) -> None:
        """Do what goes on beside the requests."""

    def seal(self, request_id: str) -> str:
        """Return the seal of an answer."""
        return f'{self.name}.{request_id}'

    async def _run(self, path: str) -> Response:
        refusal = self._refuse()
        if refusal:
            return refusal
        self.bodies.append(await _read_body())
        request_id = request.headers['Request-Id']
        self.runs_by_request[request_id] += 1
        if self._spend('cuts'):
            raise LinkCutError
        if self._spend('strangers'):
            request_id = 'of-another'
        failed = self._spend('errors')
        return Response(
            f'{path} of {request_id}',
            status=FAILED if failed else HTTPStatus.OK.value,
            headers=self._sign(request_id),
        )

    def _refuse(self) -> Response | None:
        self.heads.append(dict(request.headers.items()))
        if request.headers.get('Expect-Instance', self.name) != self.name:
            return Response(status=HTTPStatus.MISDIRECTED_REQUEST.value)
        if self._spend('declines'):
            return decline()
        return None

    def _sign(self, request_id: str) -> dict[str, str]:
        return {
            'Request-Id': request_id,
            'Response-Seal': self.seal(request_id),
        }

    def _spend(self, fault: str) -> bool:
        left: int = getattr(self.faults, fault)
        if left:
            setattr(self.faults, fault, left - 1)
        return bool(left)


def decline() -> Response:
    """Say that the request did not run."""
    return Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE.value,
        headers={'Not-Executed': '1'},
    )


async def _read_body() -> bytes:
    body = await request.get_data(as_text=False)
    return body if isinstance(body, bytes) else body.encode()
