"""Record when the links of an instance ended, and when others were heard."""

from collections import deque
from dataclasses import dataclass

from cartdale.clock import SECOND_MS, Millis
from cartdale.relay.end_proof import TOGETHER, Surroundings

#: Time for which an end is remembered: longer than any is looked into.
_KEPT: Millis = 10 * SECOND_MS


@dataclass(frozen=True, slots=True)
class LinkEnd:
    """End of a link that its framing does not explain.

    :param upstream: id of the upstream at the other end.
    """

    upstream: str
    request_id: str
    ended_at: Millis


class EndRecord:
    """Remember the ends of links, and the last event of each upstream."""

    def __init__(self) -> None:
        self._ends: deque[LinkEnd] = deque()
        self._heard_at_by_upstream: dict[str, Millis] = {}

    def note_event(self, upstream: str, now: Millis) -> None:
        """Note that an event of a stream arrived."""
        self._heard_at_by_upstream[upstream] = now

    def note_end(self, end: LinkEnd) -> None:
        """Note that a link ended, or broke."""
        self._ends.append(end)
        kept_from = end.ended_at - _KEPT
        while self._ends[0].ended_at < kept_from:
            self._ends.popleft()
        for name, heard_at in tuple(self._heard_at_by_upstream.items()):
            if heard_at < kept_from:
                self._heard_at_by_upstream.pop(name)

    def look_around(self, end: LinkEnd) -> Surroundings:
        """Return what was seen of other links around an end.

        Events that had arrived before a common end may be read just after it,
        so that only later ones show a link that goes on.
        """
        together = [
            other.upstream
            for other in self._ends
            if other.request_id != end.request_id
            and abs(other.ended_at - end.ended_at) <= TOGETHER
        ]
        heard = {
            name
            for name, heard_at in self._heard_at_by_upstream.items()
            if heard_at > end.ended_at + TOGETHER
        }
        return Surroundings(
            ended_here=end.upstream in together,
            heard_here=end.upstream in heard,
            ended_elsewhere=any(name != end.upstream for name in together),
            heard_anywhere=bool(heard),
        )
