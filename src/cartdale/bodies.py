"""Read bodies within bounds, letting other tasks run in between."""

from collections.abc import AsyncIterable, AsyncIterator
from typing import Final

import httpcore
import trio

#: Time after which a task that reads a body lets others run.
_TURN_SECONDS: Final = 0.005


class OversizedBodyError(Exception):
    """Raised when a body is larger than what is read of it.

    :param limit: in bytes.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f'over {limit} bytes')


async def take_turns(chunks: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
    """Iterate over the parts of a body, letting other tasks run in between.

    Many small parts may have been received at once, so that the client library
    passes them on without a checkpoint.
    """
    turn_ends = trio.current_time() + _TURN_SECONDS
    async for chunk in chunks:
        yield chunk
        if trio.current_time() >= turn_ends:
            await trio.lowlevel.checkpoint()
            turn_ends = trio.current_time() + _TURN_SECONDS


async def join_bounded(chunks: AsyncIterable[bytes], limit: int) -> bytes:
    """Return a body, read whole.

    :param limit: in bytes.
    :raises OversizedBodyError: if the body is larger.
    """
    parts: list[bytes] = []
    size = 0
    async for chunk in take_turns(chunks):
        size += len(chunk)
        if size > limit:
            raise OversizedBodyError(limit)
        parts.append(chunk)
    return b''.join(parts)


async def read_bounded(
    response: httpcore.Response, limit: int
) -> httpcore.Response:
    """Return a response with its body, which is read whole.

    :param limit: of the body, in bytes.
    :raises httpcore.RemoteProtocolError: if the body is larger.
    """
    try:
        body = await join_bounded(response.aiter_stream(), limit)
    except OversizedBodyError as error:
        raise httpcore.RemoteProtocolError(str(error)) from error
    whole = httpcore.Response(
        response.status,
        headers=response.headers,
        content=body,
        extensions=response.extensions,
    )
    await whole.aread()
    return whole
