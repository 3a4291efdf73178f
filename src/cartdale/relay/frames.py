"""Split a stream of server-sent events without changing its bytes.

The caller gets exactly the bytes that the upstream made, so events are only
delimited here, never decoded and written anew.
"""

_ENDS = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


class EventFrames:
    """Cut received bytes into whole events."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def pending(self) -> bytes:
        """Return the bytes of the event that is not whole yet."""
        return self._pending

    def feed(self, received: bytes) -> list[bytes]:
        """Take bytes and return the events that became whole."""
        self._pending += received
        events: list[bytes] = []
        while True:
            end = _find_end(self._pending)
            if not end:
                return events
            events.append(self._pending[:end])
            self._pending = self._pending[end:]


def read_id(event: bytes) -> bytes:
    """Return an event's id; empty when it has none."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return b''


def follows(name: bytes, last: bytes) -> bool:
    """Tell whether an event may come after the last one.

    Ids rise; ids that are no numbers can only be told to differ.
    """
    if name.isdigit() and last.isdigit():
        return int(name) > int(last)
    return name != last


def _find_end(raw: bytes) -> int:
    ends = [
        found + len(mark) for mark in _ENDS if (found := raw.find(mark)) >= 0
    ]
    return min(ends, default=0)
