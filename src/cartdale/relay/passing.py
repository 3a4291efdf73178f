"""Pass a generation's events on to its caller, over one link after another."""

from collections.abc import AsyncIterator

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.fleet.types import UpstreamEntry
from cartdale.invariants import ONCE_IN_ORDER, check_invariant
from cartdale.relay.frames import EventFrames, follows, read_id
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.links import CarriedLink
from cartdale.relay.ports import RelayPorts
from cartdale.relay.silence import (
    LOOK_AFTER,
    REPORTS_WITHOUT,
    RunState,
    look_up,
)
from cartdale.relay.types import LinkBrokeError, ResponseSink
from cartdale.switches import Mechanism

#: A stream that is silent for so long goes on elsewhere if it can: its engine
#: has stalled for longer than any pause that is in time.
_SILENCE: Millis = SECOND_MS
#: After so long its engine is asked whether it has made more than came here:
#: a connection may fall silent for good while its engine works on. Longer than
#: the reading of a prompt beside it, which is the longest usual pause.
_ASK_AFTER: Millis = SECOND_MS // 2


class EventPasser:
    """Pass events on, each once and in order, whatever link they come by.

    :param last_event: id of the last event that the caller has.
    :param target_gap: longest pause between two events that is in time; 0 for
        any.
    :param link: what the events come by, one after another.
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
        self._frames = EventFrames()
        self._repeatable = False
        self._resumed = False
        #: Id of the last event that the caller has.
        self.last_event = last_event
        #: Longest pause between two events.
        self.longest_gap: Millis = 0
        #: Where the generation goes on since its link fell silent, if it does.
        self.left_for: UpstreamEntry | None = None
        self._last_at: Millis = 0
        #: When the present wait for bytes began; ``None`` while some are
        #: passed on: a caller who reads slowly is not an engine that is silent.
        self._reading_since: Millis | None = None
        #: Around each wait for bytes of the present link.
        self._reading = trio.CancelScope()
        self._link_since: Millis = 0
        #: Reports of the engine in a row that did not know the generation.
        self._reports_without = 0
        #: Whether the generation is on its way from a silent link to another,
        #: and whether it is gone.
        self._leaving_link = False
        self._link_left = False

    @property
    def pending(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._frames.pending

    async def pass_until_end(
        self,
        chunks: AsyncIterator[bytes],
        *,
        repeatable: bool,
        resumed: bool = False,
    ) -> str:
        """Pass a link's events on; return how it broke, empty for its end.

        :param repeatable: whether another engine may go on without a copy.
        :param resumed: whether the engine goes on from a copy.
        """
        self._resumed = resumed
        self._frames = EventFrames()
        self._repeatable = repeatable
        self._link_since = self._ports.clock.now()
        self._reports_without = 0
        self._leaving_link = False
        self._link_left = False
        self.left_for = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_silence)
            broken = await self._pass_chunks(chunks)
            if not self._leaving_link:
                nursery.cancel_scope.cancel()
        return broken

    async def _pass_chunks(self, chunks: AsyncIterator[bytes]) -> str:
        """Pass events on until the link ends, breaks or was left.

        Only the reading is ever cancelled: an event that is being written
        counts as passed on already.
        """
        while not self._link_left:
            self._reading = trio.CancelScope()
            self._reading_since = self._ports.clock.now()
            try:
                with self._reading:
                    chunk = await anext(chunks, None)
            except LinkBrokeError as error:
                return error.detail
            self._reading_since = None
            if self._reading.cancelled_caught:
                break
            if chunk is None:
                return ''
            for event in self._frames.feed(chunk):
                if self._begins_late(event):
                    return 'its first event is not the first'
                await self._pass(event)
        return 'silence'

    def _begins_late(self, event: bytes) -> bool:
        """Tell whether an engine goes on after events that never came here.

        One that goes on from a copy is told the last event that the caller
        has; of a caller without any it can't know where to begin.
        """
        name = read_id(event)
        empty_handed = self._resumed and not self.last_event
        return empty_handed and name.isdigit() and int(name) > 1

    async def _watch_silence(self) -> None:
        """Leave the link once it is silent though more could come.

        It stays open until the generation has stopped: an engine whose
        connection closes drops what it runs.
        """
        ran_on = False
        while not ran_on or not await self._is_silent():
            slept_at = self._ports.clock.now()
            await trio.sleep(as_seconds(_ASK_AFTER))
            # An instance that stood still itself first reads what has come.
            slept = self._ports.clock.now() - slept_at
            ran_on = slept < 2 * _ASK_AFTER
        self._leaving_link = True
        self.left_for = await self._generation.lose_link()
        self._link_left = True
        self._reading.cancel()

    async def _is_silent(self) -> bool:
        last_at = max(self._last_at, self._link_since)
        since = self._ports.clock.now() - last_at
        if since < _ASK_AFTER:
            return False
        if not self._ports.fleet.switches.is_enabled(Mechanism.SILENCE):
            return False
        movable = self._generation.backup or self._repeatable
        if self._last_at and movable and since >= _SILENCE:
            return True
        state = await look_up(self._ports, self._generation)
        if state is RunState.GONE and self._has_waited(LOOK_AFTER):
            self._reports_without += 1
            return self._reports_without >= REPORTS_WITHOUT
        self._reports_without = 0
        return bool(self._last_at) and state is RunState.AHEAD

    def _has_waited(self, longest: Millis) -> bool:
        """Tell whether bytes of the present link were waited for so long."""
        began = self._reading_since
        return began is not None and self._ports.clock.now() - began >= longest

    async def _pass(self, event: bytes) -> None:
        name = read_id(event)
        check_invariant(
            ONCE_IN_ORDER,
            holds=not name or follows(name, self.last_event),
            detail=f'event {name!r} after {self.last_event!r}',
        )
        self.last_event = name or self.last_event
        self._generation.advance()
        self._link.note_event()
        self._note_gap()
        await self._sink.write(event)

    def _note_gap(self) -> None:
        now = self._ports.clock.now()
        gap = now - self._last_at if self._last_at else 0
        self._last_at = now
        if self._target_gap and gap > max(self._target_gap, self.longest_gap):
            self._log_gap(gap)
        self.longest_gap = max(self.longest_gap, gap)

    def _log_gap(self, gap: Millis) -> None:
        """Tell of a pause that is too long, and longer than any before."""
        logger.info(
            'pause too long',
            request=self._generation.request_id,
            upstream=self._generation.upstream,
            took=gap,
            target=self._target_gap,
            events=self._generation.events,
            moves=self._generation.moves,
            link_age=self._last_at - self._link_since,
        )
