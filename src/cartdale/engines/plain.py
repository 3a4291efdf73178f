"""Adapter to plain services over HTTP."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import httpx
from returns.result import Failure, Result, Success

from cartdale.client_transport import NOT_SENT
from cartdale.clock import Millis, seconds
from cartdale.engines.types import (
    EngineFailure,
    EngineRefused,
    EngineUnreachable,
    LinkLost,
)
from cartdale.formatting import format_error

HEADER_FENCE = 'X-Fence'
HEADER_KEY = 'Idempotency-Key'
#: Statuses by which a plain service says that it did not run a request.
_REFUSALS = frozenset(
    (
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
_PASSED_ON = ('content-type', 'accept')


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """Carry a call to a plain service.

    :param path: path and query behind the service's name.
    :param fence: epoch for services that check it; 0 for none.
    """

    method: str
    path: str
    body: bytes
    headers_by_name: Mapping[str, str]
    key: str = ''
    fence: int = 0


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """Carry the answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService:
    """Call one upstream of a plain service.

    :param client: client shared by all upstreams.
    :param timeout: longest wait for the whole answer.
    """

    def __init__(
        self, client: httpx.AsyncClient, address: str, timeout: Millis
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = seconds(timeout)

    async def call(
        self, asked: PlainRequest
    ) -> Result[PlainAnswer, EngineFailure]:
        """Make one attempt."""
        try:
            response = await self._client.request(
                asked.method,
                f'{self._address}/{asked.path}',
                content=asked.body,
                headers=_select_headers(asked),
                timeout=self._timeout,
            )
        except NOT_SENT as error:
            return Failure(EngineUnreachable(format_error(error)))
        except httpx.HTTPError as late_error:
            return Failure(LinkLost(format_error(late_error)))
        if response.status_code in _REFUSALS:
            return Failure(EngineRefused(response.status_code))
        return Success(
            PlainAnswer(
                response.status_code,
                response.headers.get('content-type', ''),
                response.content,
            ),
        )


def _select_headers(asked: PlainRequest) -> dict[str, str]:
    headers = {
        name: value
        for name, value in asked.headers_by_name.items()
        if name.lower() in _PASSED_ON
    }
    if asked.key:
        headers[HEADER_KEY] = asked.key
    if asked.fence:
        headers[HEADER_FENCE] = str(asked.fence)
    return headers
