"""Track one link to an upstream, and probe the upstream when it breaks."""

from dataclasses import replace

from loguru import logger

from cartdale.clock import Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.relay.crash_probes import BrokenLink
from cartdale.relay.end_checks import (
    check_plain_end,
    check_stream_end,
    describe_end,
)
from cartdale.relay.end_proof import EndDoubt, EndProof
from cartdale.relay.end_record import LinkEvent
from cartdale.relay.ports import RelayPorts
from cartdale.relay.types import OpenedResponse, RoutedRequest


class CarriedLink:
    """Track the current link of a request.

    A request that resumes elsewhere has several links in sequence.
    """

    def __init__(self, ports: RelayPorts, routed: RoutedRequest) -> None:
        self._ports = ports
        self._routed = routed
        self._upstream: UpstreamEntry | None = None
        self._began_at: Millis = 0
        self._events = 0
        #: When the response head was received; ``None`` before.
        self._begun_at: Millis | None = None
        #: The response; ``None`` before its head was received.
        self._answer: OpenedResponse | None = None

    def begin(self, upstream: UpstreamEntry) -> None:
        """Start to track a link."""
        self._upstream = upstream
        self._began_at = self._ports.clock.now()
        self._events = 0
        self._begun_at = None
        self._answer = None

    def note_head(self, answer: OpenedResponse) -> None:
        """Note that the response head was received."""
        self._begun_at = self._ports.clock.now()
        self._answer = answer

    def note_event(self) -> None:
        """Note that an event was received."""
        self._events += 1
        if self._upstream is not None:
            self._ports.end_record.note_event(
                self._routed.request.request_id,
                LinkEvent(
                    self._upstream.upstream,
                    self._began_at,
                    self._ports.clock.now(),
                ),
            )
        if self._events == EVENTS_PAST_START + 1:
            self._record_survival()

    def note_complete(self) -> None:
        """Note that a success is complete.

        A failure may come from an upstream that did not run the request.
        """
        self._record_survival()

    def probe_upstream(self) -> None:
        """Queue a crash probe of the upstream of the current link."""
        link = self._describe()
        if link is not None:
            self._ports.end_record.note_end(describe_end(link))
            self._ports.crash_prober.probe(link)

    async def prove_end(
        self, events: int | None = None, *, backed_up: bool = False
    ) -> EndProof:
        """Return what shows that a response without framing is complete.

        :param events: events received of a stream, from all engines; ``None``
            for a plain response.
        :param backed_up: whether the backup of a stream will be asked too.
        """
        link = self._describe()
        if link is None:
            return EndProof.NONE
        self._ports.end_record.note_end(describe_end(link))
        if events is None:
            check = await check_plain_end(self._ports, link)
        else:
            check = await check_stream_end(
                self._ports, link, events, backed_up=backed_up
            )
        if self._answer is not None and self._answer.was_reset():
            check = replace(check, doubt=EndDoubt.RESET)
        life = check.life
        if life.report is not None:
            self._ports.end_habits.note_copies(
                link.upstream.service, life.report.copies
            )
        logger.info(
            'end without framing',
            request=link.request_id,
            upstream=link.upstream.upstream,
            events=link.events,
            state=life.state,
            evidence=life.evidence,
            asked_after=life.asked_at - link.broke_at,
            took=self._ports.clock.now() - link.broke_at,
            proof=check.proof,
            doubt=check.doubt,
            carrier=link.carrier,
            asked_through=life.carrier,
        )
        return check.proof

    def _describe(self) -> BrokenLink | None:
        if self._upstream is None:
            return None
        return BrokenLink(
            request_id=self._routed.request.request_id,
            fingerprint=self._routed.fingerprint,
            upstream=self._upstream,
            sent_at=self._began_at,
            broke_at=self._ports.clock.now(),
            events=self._events,
            begun_at=self._begun_at,
            carrier=self._answer.carrier if self._answer else '',
        )

    def _record_survival(self) -> None:
        began_at = self._began_at if self._begun_at is None else self._begun_at
        self._ports.fleet.quarantine.record_survival(
            self._routed.fingerprint, began_at
        )
