"""Pass the events of a generation on to its caller, across links."""

from collections.abc import AsyncIterator

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.fleet.types import UpstreamEntry
from cartdale.invariants import ONCE_IN_ORDER, check_invariant
from cartdale.relay.event_intake import EventIntake
from cartdale.relay.frames import follows, read_id
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.kept_copies import look_for_backup
from cartdale.relay.links import CarriedLink
from cartdale.relay.ports import RelayPorts
from cartdale.relay.run_state import (
    MIN_ABSENT_REPORTS,
    MIN_REPORT_WAIT,
    RunState,
)
from cartdale.relay.silence import fetch_run_state
from cartdale.relay.silent_link import SilentLink
from cartdale.relay.types import (
    MAX_SOUND_SILENCE,
    LinkBrokeError,
    ResponseSink,
)
from cartdale.speeds.decide import describe_belief
from cartdale.switches import Mechanism

#: Silence after which the engine's report is checked for events that were not
#: received: a connection may stay silent while its engine works on. Longer than
#: the engine's reading of another prompt, which is the longest usual pause.
_STATUS_CHECK_AFTER: Millis = SECOND_MS // 2
#: Id of the first event of a stream whose ids are numbers.
_FIRST_ID = b'1'
#: Time of writing an event from which the caller may have delayed the next
#: ones, so that their times say nothing of the engine.
_SLOW_WRITE: Millis = 20


class EventPasser:
    """Pass each event on once and in order, across all links.

    :param last_event: id of the last event that the caller has.
    :param target_gap: maximum pause between two events; 0 for no limit.
    :param link: tracks the current link.
    """

    def __init__(
        self,
        ports: RelayPorts,
        sink: ResponseSink,
        generation: RunningGeneration,
        last_event: bytes,
        target_gap: Millis,
        link: CarriedLink,
    ) -> None:
        self._link = link
        self._target_gap = target_gap
        self._ports = ports
        self._sink = sink
        self._generation = generation
        self._intake = EventIntake(ports.account, self._stop_reading)
        self._repeatable = False
        self._resumed = False
        #: Id of the last event that the caller has.
        self.last_event = last_event
        #: Longest pause between two events.
        self.longest_gap: Millis = 0
        #: Engine to resume at after a silent link was abandoned, if any.
        self.next_upstream: UpstreamEntry | None = None
        self._last_at: Millis = 0
        #: When the last event had been written.
        self._written_at: Millis = 0
        #: When the first event came; 0 before it.
        self.first_at: Millis = 0
        #: When the current wait for bytes began; ``None`` while events are
        #: passed on: a slow caller must not count as a silent engine.
        self._reading_since: Millis | None = None
        #: Cancels the current wait for bytes.
        self._reading = trio.CancelScope()
        self._link_since: Millis = 0
        #: Consecutive reports of the engine that did not list the generation.
        self._absent_reports = 0
        #: The link that is being abandoned, if any.
        self._silent_link: SilentLink | None = None
        self._link_abandoned = False
        #: Whether the current link has ended.
        self._link_over = False

    @property
    def pending(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return self._intake.pending

    async def pass_until_end(
        self,
        chunks: AsyncIterator[bytes],
        *,
        repeatable: bool,
        resumed: bool = False,
    ) -> str:
        """Pass a link's events on; return how it broke, empty if it did not.

        :param repeatable: whether another engine may resume without a copy.
        :param resumed: whether the engine resumes from a copy.
        """
        self._resumed = resumed
        self._intake = EventIntake(self._ports.account, self._stop_reading)
        self._repeatable = repeatable
        self._link_since = self._ports.clock.now()
        self._absent_reports = 0
        self._silent_link = None
        self._link_abandoned = False
        self._link_over = False
        self.next_upstream = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_silence)
            look = trio.CancelScope()
            nursery.start_soon(self._look_for_backup, look)
            with self._intake.open(self._generation.request_id):
                failure = await self._pass_chunks(chunks)
            look.cancel()
            self._end_link(failure, nursery.cancel_scope)
        return failure

    def _end_link(self, failure: str, watch: trio.CancelScope) -> None:
        """End the watch, unless it abandons the link at the moment."""
        self._link_over = True
        if self._silent_link is None:
            watch.cancel()
        else:
            self._silent_link.end(broken=bool(failure))

    async def _look_for_backup(self, look: trio.CancelScope) -> None:
        with look:
            await look_for_backup(self._ports, self._generation)

    async def _pass_chunks(self, chunks: AsyncIterator[bytes]) -> str:
        """Pass events on until the link ends, breaks or is abandoned.

        Only the read is ever cancelled: an event that is being written already
        counts as passed on.
        """
        while not self._link_abandoned:
            self._reading = trio.CancelScope()
            self._reading_since = self._ports.clock.now()
            try:
                with self._reading:
                    chunk = await anext(chunks, None)
            except LinkBrokeError as error:
                return error.detail
            self._reading_since = None
            if self._intake.is_exceeded():
                return 'an event is too large'
            if self._reading.cancelled_caught:
                break
            if chunk is None:
                return ''
            for event in self._intake.feed(chunk):
                if self._skips_first_events(event):
                    return 'its first event is not the first'
                await self._pass(event)
            if self._intake.is_exceeded():
                return 'an event is too large'
        return 'silence'

    def _skips_first_events(self, event: bytes) -> bool:
        """Tell whether a resumed stream skips its first events.

        An engine that resumes from a copy gets the id of the last event that
        the caller has. If there is none, it can't know where to begin.
        """
        event_id = read_id(event)
        without_position = self._resumed and not self.last_event
        return without_position and (
            event_id.isdigit() and follows(event_id, _FIRST_ID)
        )

    def _stop_reading(self) -> None:
        self._reading.cancel()

    async def _watch_silence(self) -> None:
        """Abandon the link once it is silent though more events are due.

        The link stays open until the generation has stopped: an engine drops
        the request of a connection that closes. Events may arrive again until
        then, for example those of a request that was preempted.
        """
        while not self._link_over:
            await self._await_silence()
            link = SilentLink()
            self._silent_link = link
            self.next_upstream = await self._generation.lose_link(silent=link)
            self._silent_link = None
            if not link.recovered:
                self._link_abandoned = True
                self._stop_reading()
                return

    async def _await_silence(self) -> None:
        on_schedule = False
        while not on_schedule or not await self._is_silent():
            slept_at = self._ports.clock.now()
            await trio.sleep(as_seconds(_STATUS_CHECK_AFTER))
            # After a pause of its own process, an instance first reads what
            # has arrived.
            slept = self._ports.clock.now() - slept_at
            on_schedule = slept < 2 * _STATUS_CHECK_AFTER

    async def _is_silent(self) -> bool:
        if self._reading_since is None:
            # The engine waits for the caller, to whom an event is written.
            return False
        last_at = max(self._last_at, self._link_since, self._written_at)
        since = self._ports.clock.now() - last_at
        if since < _STATUS_CHECK_AFTER:
            return False
        if not self._ports.fleet.switches.is_enabled(Mechanism.SILENCE):
            return False
        movable = self._generation.backup or self._repeatable
        if self._last_at and movable and since >= MAX_SOUND_SILENCE:
            return True
        state = await fetch_run_state(self._ports, self._generation)
        if state is RunState.GONE and self._has_waited(MIN_REPORT_WAIT):
            self._absent_reports += 1
            return self._absent_reports >= MIN_ABSENT_REPORTS
        self._absent_reports = 0
        return bool(self._last_at) and state is RunState.AHEAD

    def _has_waited(self, duration: Millis) -> bool:
        """Tell whether the current wait for bytes has lasted so long."""
        began = self._reading_since
        return began is not None and self._ports.clock.now() - began >= duration

    async def _pass(self, event: bytes) -> None:
        event_id = read_id(event)
        check_invariant(
            ONCE_IN_ORDER,
            holds=not event_id or follows(event_id, self.last_event),
            detail=f'event {event_id!r} after {self.last_event!r}',
        )
        self.last_event = event_id or self.last_event
        self._generation.advance()
        self._link.note_event()
        self._note_gap()
        await self._sink.write(event)
        self._written_at = self._ports.clock.now()
        if self._written_at - self._last_at >= _SLOW_WRITE:
            self._generation.meter.skip()

    def _note_gap(self) -> None:
        now = self._ports.clock.now()
        gap = now - self._last_at if self._last_at else 0
        self.first_at = self.first_at or now
        self._last_at = now
        if self._target_gap and gap > max(self._target_gap, self.longest_gap):
            self._log_gap(gap)
        self.longest_gap = max(self.longest_gap, gap)

    def _log_gap(self, gap: Millis) -> None:
        """Log a pause that exceeds the target and all earlier pauses."""
        logger.info(
            'pause too long',
            request=self._generation.request_id,
            upstream=self._generation.upstream,
            took=gap,
            target=self._target_gap,
            events=self._generation.events,
            moves=self._generation.moves,
            link_age=self._last_at - self._link_since,
            **describe_belief(
                self._ports.fleet.speeds.find(
                    self._generation.upstream, self._last_at
                )
            ),
        )
