"""Follow one link to an upstream, and have its end looked into."""

from cartdale.clock import Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.relay.crash_probes import BrokenLink
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import RoutedRequest


class CarriedLink:
    """Follow the present link of a request.

    A request has one link after another, to upstreams where it goes on.
    """

    def __init__(self, ports: RelayPorts, routed: RoutedRequest) -> None:
        self._ports = ports
        self._routed = routed
        self._upstream: UpstreamEntry | None = None
        self._began_at: Millis = 0
        self._events = 0
        self._begun = False

    def begin(self, upstream: UpstreamEntry) -> None:
        """Note that a link begins."""
        self._upstream = upstream
        self._began_at = self._ports.clock.now()
        self._events = 0
        self._begun = False

    def note_head(self) -> None:
        """Note that the head of an answer came."""
        self._begun = True

    def note_event(self) -> None:
        """Note that an event came."""
        self._events += 1
        if self._events == EVENTS_PAST_START + 1:
            self._acquit()

    def note_whole(self, *, framed: bool, good: bool) -> None:
        """Note that an answer came that looks whole.

        :param framed: whether it says itself where it ends; without that one
            whose upstream ended looks the same.
        :param good: whether it is a success; a failure may come from an
            upstream that ran nothing of the request.
        """
        if not framed:
            self.inquire()
        elif good:
            self._acquit()

    def inquire(self) -> None:
        """Have it found out whether the upstream ended as its link did."""
        if self._upstream is None:
            return
        self._ports.crash_prober.probe(
            BrokenLink(
                request_id=self._routed.request.request_id,
                identity=self._routed.identity,
                upstream=self._upstream,
                sent_at=self._began_at,
                events=self._events,
                begun=self._begun,
            )
        )

    def _acquit(self) -> None:
        self._ports.fleet.quarantine.record_survival(self._routed.identity)
