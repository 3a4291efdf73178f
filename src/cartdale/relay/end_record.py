"""Record when the links of an instance ended, and when others were heard."""

from collections import deque
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.relay.end_proof import SUCCESSIVE, TOGETHER, Surroundings

#: Time for which an end is remembered: longer than any is looked into.
_KEPT: Millis = 10 * SECOND_MS


@dataclass(frozen=True, slots=True)
class LinkEnd:
    """End of a link that its framing does not explain.

    :param upstream: id of the upstream at the other end.
    :param events: number of events received over the link.
    """

    upstream: str
    request_id: str
    ended_at: Millis
    events: int


@dataclass(frozen=True, slots=True)
class LinkEvent:
    """Last event of a link.

    :param began_at: when the request was sent over the link.
    :param heard_at: when the event arrived.
    """

    upstream: str
    began_at: Millis
    heard_at: Millis


class EndRecord:
    """Remember the ends of links, and the last event of each link."""

    def __init__(self) -> None:
        self._ends: deque[LinkEnd] = deque()
        self._events_by_request: dict[str, LinkEvent] = {}

    def note_event(self, request_id: str, event: LinkEvent) -> None:
        """Note that an event of a stream arrived."""
        if request_id not in self._events_by_request:
            self._forget(event.heard_at - _KEPT)
        self._events_by_request[request_id] = event

    def note_end(self, end: LinkEnd) -> None:
        """Note that a link ended, or broke; once for each link.

        One without events, such as that of a plain request, is left out: it
        does not tell where it stood.
        """
        noted = {(each.upstream, each.request_id) for each in self._ends}
        if end.events and (end.upstream, end.request_id) not in noted:
            self._forget(end.ended_at - _KEPT)
            self._ends.append(end)

    def look_around(self, end: LinkEnd) -> Surroundings:
        """Return what was seen of other links around an end.

        Links that end by one cause stand at different events, while streams of
        one length that began together also end together. Events that had
        arrived before a common end may be read just after it, so that only
        later ones show a link that goes on.
        """
        together = [
            other.upstream
            for other in self._ends
            if other.events != end.events
            and abs(other.ended_at - end.ended_at) <= TOGETHER
        ]
        heard = {
            event.upstream
            for event in self._events_by_request.values()
            if event.began_at <= end.ended_at < event.heard_at - TOGETHER
        }
        return Surroundings(
            ended_here=end.upstream in together,
            heard_here=end.upstream in heard,
            ended_elsewhere=any(name != end.upstream for name in together),
            heard_anywhere=bool(heard),
            ended_before=any(
                other.upstream == end.upstream
                and other.events != end.events
                and 0 <= end.ended_at - other.ended_at <= SUCCESSIVE
                for other in self._ends
            ),
        )

    def _forget(self, before: Millis) -> None:
        """Drop what happened before a time."""
        while self._ends and self._ends[0].ended_at < before:
            self._ends.popleft()
        for request_id, event in tuple(self._events_by_request.items()):
            if event.heard_at < before:
                self._events_by_request.pop(request_id)
