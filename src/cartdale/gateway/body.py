"""Read the body of a request, as far as the instance can hold it."""

from enum import Enum, auto

from cartdale.asgi import TYPE, Receive
from cartdale.pressure.driver import BodyIntake
from cartdale.pressure.types import RefuseBody


class Unread(Enum):
    """Why there is no body."""

    #: The caller left.
    LEFT = auto()
    #: It exceeds the configured limit.
    TOO_LARGE = auto()


async def read_body(
    receive: Receive, limit: int, intake: BodyIntake | None = None
) -> bytes | Unread | RefuseBody:
    """Return the body, or why it was not read.

    :param limit: in bytes.
    :param intake: accounts for it; ``None`` to read whatever comes.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        refused = intake.note_read(min(size, limit)) if intake else None
        if refused is not None:
            return refused
        event = await receive()
        if event[TYPE] == 'http.disconnect':
            return Unread.LEFT
        part: bytes = event.get('body', b'')
        parts.append(part)
        size += len(part)
        if size > limit:
            return Unread.TOO_LARGE
        if not event.get('more_body', False):
            return b''.join(parts)
