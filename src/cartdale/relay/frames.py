"""Split a stream of server-sent events without changing its bytes.

The caller gets exactly the bytes that the upstream sent: events are only
delimited here, never decoded and re-encoded.
"""

_TERMINATORS = (b'\n\n', b'\r\n\r\n')
_LONGEST_TERMINATOR = 4
_ID_FIELD = b'id:'


class EventFrames:
    """Split received bytes into complete events."""

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def pending(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return bytes(self._pending)

    @property
    def pending_size(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._pending)

    def feed(self, received: bytes) -> list[bytes]:
        """Append bytes and return the events that are complete."""
        # What was searched before is not searched again: an event may come in
        # many parts.
        start = max(len(self._pending) - _LONGEST_TERMINATOR + 1, 0)
        self._pending += received
        events: list[bytes] = []
        position = 0
        while True:
            end = _find_end(self._pending, start)
            if not end:
                break
            events.append(bytes(self._pending[position:end]))
            position = end
            start = end
        if position:
            self._pending = self._pending[position:]
        return events


def read_id(event: bytes) -> bytes:
    """Return the id of an event; empty if it has none."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return b''


def follows(event_id: bytes, last: bytes) -> bool:
    """Tell whether an event id may follow the last one.

    Numeric ids must increase; other ids must only differ.
    """
    if event_id.isdigit() and last.isdigit():
        return _read_number(event_id) > _read_number(last)
    return event_id != last


def _read_number(event_id: bytes) -> tuple[int, bytes]:
    """Return what orders numbers of any length: their length, then digits."""
    significant = event_id.lstrip(b'0')
    return len(significant), significant


def _find_end(raw: bytearray, start: int) -> int:
    ends = [
        position + len(terminator)
        for terminator in _TERMINATORS
        if (position := raw.find(terminator, start)) >= 0
    ]
    return min(ends, default=0)
