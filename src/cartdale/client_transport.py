"""Tell failures before sending from failures after it, as httpx raises them.

Apart from ``cartdale.transport``, so that an instance which reaches everything
below httpx does not load it at its start.
"""

from math import inf
from typing import Final

import httpx
import trio

from cartdale.bodies import OversizedBodyError, join_bounded
from cartdale.formatting import format_error
from cartdale.statuses import is_final
from cartdale.transport import MAX_ANSWER, SendTrace

#: Time-outs of a read within which a body is whole.
_READS: Final = 2
#: Failures before a request left this process: it certainly had no effect.
HTTPX_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


async def send_traced(
    client: httpx.AsyncClient, request: httpx.Request, *, stream: bool = False
) -> httpx.Response:
    """Send a request.

    An error that stands for a request which was not sent is passed on only if
    the request was not about to leave.

    :param stream: whether to leave the body unread.
    :raises httpx.ConnectError: or another error of
        ``HTTPX_NOT_SENT_ERRORS`` if nothing was sent.
    :raises httpx.ReadTimeout: if the body is not whole in time.
    :raises httpx.RemoteProtocolError: if it is larger than ``MAX_ANSWER``, or
        its status is not that of a final response.
    """
    trace = SendTrace()
    request.extensions['trace'] = trace
    try:
        response = await _open(client, request)
        return response if stream else await _read_whole(response)
    except HTTPX_NOT_SENT_ERRORS as error:
        if trace.began:
            raise httpx.WriteError(format_error(error)) from error
        raise


async def _open(
    client: httpx.AsyncClient, request: httpx.Request
) -> httpx.Response:
    """Return a final response, with its body unread."""
    response = await client.send(request, stream=True)
    if is_final(response.status_code):
        return response
    await response.aclose()
    detail = f'{response.status_code} is no status of a final response'
    raise httpx.RemoteProtocolError(detail)


async def _read_whole(response: httpx.Response) -> httpx.Response:
    """Return a response with its body, read within its bounds.

    Time-outs of the client are those of each read; twice as long is allowed for
    the whole body.
    """
    timeouts: dict[str, float | None] = response.request.extensions['timeout']
    timeout = timeouts.get('read')
    try:
        with trio.fail_after(inf if timeout is None else _READS * timeout):
            body = await join_bounded(response.aiter_bytes(), MAX_ANSWER)
    except OversizedBodyError as oversized:
        raise httpx.RemoteProtocolError(str(oversized)) from oversized
    except trio.TooSlowError as error:
        detail = 'the answer is not whole in time'
        raise httpx.ReadTimeout(detail) from error
    finally:
        await response.aclose()
    whole = httpx.Response(
        response.status_code,
        content=body,
        request=response.request,
        extensions=response.extensions,
    )
    # Given before, the library would decode the body again, and add a length,
    # which would count as the upstream's framing.
    whole.headers = response.headers
    return whole
