"""Tell failures before sending from failures after it, as httpx raises them.

Apart from ``cartdale.transport``, so that an instance which reaches everything
below httpx does not load it at its start.
"""

import httpx

from cartdale.formatting import format_error
from cartdale.transport import SendTrace

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
    """
    trace = SendTrace()
    request.extensions['trace'] = trace
    try:
        return await client.send(request, stream=stream)
    except HTTPX_NOT_SENT_ERRORS as error:
        if trace.began:
            raise httpx.WriteError(format_error(error)) from error
        raise
