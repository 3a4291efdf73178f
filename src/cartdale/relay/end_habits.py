"""Remember how many ends of streams without framing were proved.

An end that nothing of its stream proves is a sound one's or an early one's. At
a service whose streams mostly end with proof it is probably early; where many
sound streams end without, the lack says nothing.

That an engine keeps no copy of a run shows the run's good end only where copies
are kept at all.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cartdale.clock import SECOND_MS, Millis
from cartdale.fleet.types import UpstreamEntry

#: Latest ends that count.
_WINDOW = 128
#: Proved ends for each unproved one from which proof is expected. An early end
#: that is taken for the whole is worse than a sound one that is shown as cut.
_PROVED_FOR_EACH = 4
#: Time after which an end without proof counts as usual if its engine lives on.
#: An engine that shuts down closes many streams, none of which does.
_SETTLES: Millis = 5 * SECOND_MS


@dataclass(frozen=True, slots=True)
class UnprovedEnd:
    """End of a stream that nothing proves, nor disproves.

    :param upstream: engine that ran the stream.
    """

    upstream: UpstreamEntry
    ended_at: Millis


@dataclass(slots=True)
class _Service:
    """Hold what is remembered of one service.

    :param ends: whether each of the latest ends was proved.
    :param unsettled: ends without proof that don't count yet.
    :param most_copies: most copies that an engine kept; ``None`` before any
        report told how many.
    :param untold: whether a report did not tell.
    """

    ends: deque[bool] = field(default_factory=lambda: deque(maxlen=_WINDOW))
    unsettled: deque[UnprovedEnd] = field(
        default_factory=lambda: deque(maxlen=_WINDOW)
    )
    most_copies: int | None = None
    untold: bool = False


class EndHabits:
    """Remember the latest ends of each service's streams without framing."""

    def __init__(self) -> None:
        self._services_by_name: dict[str, _Service] = {}

    def note_proved(self, service: str) -> None:
        """Note an end that something of its stream shows to be good."""
        self._find(service).ends.append(True)

    def note_unproved(self, end: UnprovedEnd) -> None:
        """Note an end that nothing of its stream shows."""
        self._find(end.upstream.service).unsettled.append(end)

    def expects_proof(
        self,
        service: str,
        now: Millis,
        lives_on: Callable[[UpstreamEntry], bool],
    ) -> bool:
        """Tell whether an end without proof is rare, counted with the others.

        Until some ends were proved, nothing is expected.

        :param lives_on: tells whether an engine has not ended, and stays.
        """
        known = self._find(service)
        while known.unsettled and now - known.unsettled[0].ended_at >= _SETTLES:
            end = known.unsettled.popleft()
            if lives_on(end.upstream):
                known.ends.append(False)
        proved = sum(known.ends)
        unproved = len(known.ends) - proved
        return proved >= _PROVED_FOR_EACH * (unproved + 1)

    def note_copies(self, service: str, copies: int | None) -> None:
        """Note how many copies an engine keeps for others.

        :param copies: ``None`` if its report does not tell.
        """
        known = self._find(service)
        if copies is None:
            known.untold = True
        else:
            known.most_copies = max(known.most_copies or 0, copies)

    def keeps_copies(self, service: str) -> bool:
        """Tell whether engines keep copies, or may, since no report tells."""
        return self._find(service).most_copies != 0

    def may_tell_copies(self, service: str) -> bool:
        """Tell whether a report may show the first copies."""
        known = self._find(service)
        return not (known.most_copies or known.untold)

    def _find(self, service: str) -> _Service:
        return self._services_by_name.setdefault(service, _Service())
