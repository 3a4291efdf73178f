"""Follow one link to an upstream, and have its end looked into."""

from cartdale.clock import Millis
from cartdale.relay.inquests import BrokenLink
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import UpstreamCall


class CarriedLink:
    """Hold what the present link of a request carries.

    A request has one link after another, to upstreams where it goes on.
    """

    def __init__(self, ports: RelayPorts) -> None:
        self._ports = ports
        self._call: UpstreamCall | None = None
        self._began_at: Millis = 0
        self._events_before = 0
        self._begun = False

    def begin(self, call: UpstreamCall, events: int = 0) -> None:
        """Note that a link begins.

        :param events: that the caller has from earlier links.
        """
        self._call = call
        self._began_at = self._ports.clock.now()
        self._events_before = events
        self._begun = False

    def note_head(self) -> None:
        """Note that the head of an answer came."""
        self._begun = True

    def inquire(self, events: int = 0) -> None:
        """Have it found out whether the upstream ended as its link did.

        :param events: that the caller has by now.
        """
        call = self._call
        if call is None:
            return
        self._ports.inquests.hold(
            BrokenLink(
                request_id=call.routed.request.request_id,
                identity=call.routed.identity,
                upstream=call.upstream,
                sent_at=self._began_at,
                events=events - self._events_before,
                begun=self._begun,
            )
        )
