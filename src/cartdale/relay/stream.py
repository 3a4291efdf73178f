"""Carry a streamed generation, over as many engines as it moves through."""

from collections.abc import AsyncIterator
from dataclasses import replace
from enum import StrEnum

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.clock import SECOND_MS, Millis, seconds
from cartdale.fleet.types import RequestEnded, Upstream, UpstreamEntry
from cartdale.invariants import ONCE_IN_ORDER, check
from cartdale.problems.types import NotRunReason, OutcomeUnknown, Problem
from cartdale.relay.admission import NoRoom
from cartdale.relay.attempts import (
    conclude,
    find_decline,
    make_call,
    place,
    time_left,
)
from cartdale.relay.decide import (
    Answered,
    AttemptEnd,
    AttemptState,
    Broken,
    Declined,
    GiveUp,
    PassOn,
    Unsent,
    begin,
    refuse,
)
from cartdale.relay.frames import EventFrames, follows, read_id
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.ports import RelayPorts
from cartdale.relay.silence import is_engine_ahead
from cartdale.relay.types import (
    AnswerSink,
    LinkBroke,
    LinkBrokeError,
    OpenedAnswer,
    RoutedRequest,
    UpstreamCall,
    WholeAnswer,
)
from cartdale.switches import Mechanism

_SUCCESS = 200
_FIRST_SERVER_ERROR = 500
#: A stream that is silent for so long goes on elsewhere if it can: its engine
#: has stalled for longer than any pause that is in time.
_SILENCE: Millis = SECOND_MS
#: After so long its engine is asked whether it has made more than came here:
#: a connection may fall silent for good while its engine works on. Longer than
#: the reading of a prompt beside it, which is the longest usual pause.
_ASK_AFTER: Millis = SECOND_MS // 2


class StreamEnd(StrEnum):
    """Say how a stream ended."""

    WHOLE = 'whole'
    #: The caller has a true part of the answer and no end.
    CUT = 'cut'
    #: The upstream's own failure was passed on instead.
    FAILED = 'failed'


#: How a link to an engine ended: the stream's end, the attempt's end when
#: nothing was streamed, or the engine where the generation goes on.
LinkEnd = StreamEnd | AttemptEnd | UpstreamEntry


class StreamCarrier:
    """Carry one generation.

    :param sink: where the answer is written.
    :param generation: holds which engine runs it.
    """

    def __init__(
        self,
        ports: RelayPorts,
        routed: RoutedRequest,
        sink: AnswerSink,
        generation: RunningGeneration,
    ) -> None:
        self._ports = ports
        self._routed = routed
        self._sink = sink
        self._generation = generation
        resumption = ports.fleet.switches.has(Mechanism.RESUMPTION)
        self._attempts: AttemptState = begin(
            routed.route
            if resumption
            else replace(routed.route, resumable=False)
        )
        self._frames = EventFrames()
        resumable = routed.route.resumable
        self._last_event = routed.request.last_event if resumable else b''
        #: An upstream's own failure, passed on if nobody else is asked.
        self._failure: WholeAnswer | None = None
        #: Around each wait for bytes of the present link.
        self._reading = trio.CancelScope()
        self._link_since: Millis = 0
        #: Whether the generation is on its way from a silent link to another,
        #: and whether it is gone.
        self._leaving_link = False
        self._link_left = False
        self._next: UpstreamEntry | None = None
        self._started = False
        self._sent = False
        self._last_at: Millis = 0
        self.longest_gap: Millis = 0

    async def carry(self) -> Result[StreamEnd, Problem]:
        """Stream the answer, or return why nothing was streamed."""
        self._ports.budget.count(self._routed.service, self._ports.clock.now())
        left = time_left(self._ports, self._routed)
        try:
            with trio.move_on_after(seconds(left)):
                return await self._try_upstreams()
            return self._time_out()
        finally:
            self._generation.end()

    async def _try_upstreams(self) -> Result[StreamEnd, Problem]:
        tried: set[str] = set()
        while True:
            upstream = await place(self._ports, self._routed, tried)
            if isinstance(upstream, NoRoom):
                reason = NotRunReason.NO_UPSTREAM
                wait = upstream.retry_after
                return self._give_up(refuse(self._attempts, reason, wait))
            tried.add(upstream.entry.upstream)
            ended = await self._attempt(upstream)
            if isinstance(ended, StreamEnd):
                return Success(ended)
            self._generation.end(over=False)
            after, step = conclude(
                self._ports,
                self._routed,
                self._attempts,
                ended,
                upstream.entry.upstream,
            )
            self._attempts = after
            match step:
                case GiveUp(problem=problem):
                    return self._give_up(problem)
                case PassOn():
                    return await self._pass_failure()

    def _give_up(self, problem: Problem) -> Result[StreamEnd, Problem]:
        """Cut what was begun, or return why nothing was streamed."""
        return Success(StreamEnd.CUT) if self._started else Failure(problem)

    async def _pass_failure(self) -> Result[StreamEnd, Problem]:
        failure = self._failure
        if failure is None or self._started:
            return Success(StreamEnd.CUT)
        await self._sink.answer(failure.status, failure.headers, failure.body)
        return Success(StreamEnd.FAILED)

    async def _attempt(self, upstream: Upstream) -> StreamEnd | AttemptEnd:
        backup = self._generation.begin(upstream.entry)
        call = make_call(
            self._ports, self._routed, upstream, backup, self._last_event
        )
        ended = await self._open(call)
        while isinstance(ended, UpstreamEntry):
            ended = await self._resume(ended)
        return ended

    async def _resume(self, upstream: UpstreamEntry) -> LinkEnd:
        """Go on at an engine that holds the generation's memory."""
        point, backup = self._generation.prepare_resume(upstream)
        left = time_left(self._ports, self._routed)
        call = UpstreamCall(
            self._routed, upstream, left, self._last_event, point, backup
        )
        ended = await self._open(call)
        if isinstance(ended, Unsent | Declined):
            return self._generation.resume_rejected() or self._break('refused')
        return ended

    async def _open(self, call: UpstreamCall) -> LinkEnd:
        self._sent = True
        async with self._ports.upstreams.open(call) as opened:
            match opened:
                case Success(answer):
                    return await self._read(answer, call)
                case Failure(LinkBroke(detail=detail)):
                    return self._break(detail)
        return Unsent()

    async def _read(self, answer: OpenedAnswer, call: UpstreamCall) -> LinkEnd:
        fleet = self._ports.fleet
        upstream = call.upstream.upstream
        declined = find_decline(fleet, answer, upstream)
        if declined is not None:
            return declined
        if answer.status >= _FIRST_SERVER_ERROR:
            return await self._read_failure(answer)
        if not self._started:
            await self._sink.start(answer.status, answer.headers)
            self._started = True
        if call.resume is not None:
            self._generation.resumed()
        fleet.tell(RequestEnded(upstream, good=answer.status == _SUCCESS))
        return await self._pass_events(answer)

    async def _read_failure(self, answer: OpenedAnswer) -> LinkEnd:
        """Keep an upstream's own failure; another may be asked instead."""
        if self._started:
            return self._break(f'status {answer.status}')
        try:
            body = b''.join([chunk async for chunk in answer.chunks])
        except LinkBrokeError as error:
            return self._break(error.detail)
        self._failure = WholeAnswer(answer.status, answer.headers, body)
        return Answered(good=False)

    async def _pass_events(self, answer: OpenedAnswer) -> LinkEnd:
        self._frames = EventFrames()
        broken = await self._pass_until_end(answer.chunks)
        if broken and self._next is not None:
            return self._next
        if broken:
            return await self._lose_link(broken)
        if self._generation.is_stopped and not answer.framed:
            # A stopped stream is closed without its end, and so is a whole
            # one whose body has no frame.
            return await self._lose_link('stopped')
        if self._frames.pending:
            if answer.status == _SUCCESS:
                return await self._lose_link('ended inside an event')
            await self._sink.write(self._frames.pending)
        await self._sink.finish()
        return StreamEnd.WHOLE

    async def _pass_until_end(self, chunks: AsyncIterator[bytes]) -> str:
        """Pass events on; return how the link broke, empty for its end."""
        self._link_since = self._ports.clock.now()
        self._leaving_link = False
        self._link_left = False
        self._next = None
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
            try:
                with self._reading:
                    chunk = await anext(chunks, None)
            except LinkBrokeError as error:
                return error.detail
            if self._reading.cancelled_caught:
                break
            if chunk is None:
                return ''
            await self._pass(chunk)
        return 'silence'

    async def _watch_silence(self) -> None:
        """Leave the link once it is silent though more could come.

        It stays open until the generation has stopped: an engine whose
        connection closes drops what it runs.
        """
        ran_on = False
        while not ran_on or not await self._is_silent():
            slept_at = self._ports.clock.now()
            await trio.sleep(seconds(_ASK_AFTER))
            # An instance that stood still itself first reads what has come.
            slept = self._ports.clock.now() - slept_at
            ran_on = slept < 2 * _ASK_AFTER
        self._leaving_link = True
        self._next = await self._generation.lose_link()
        self._link_left = True
        self._reading.cancel()

    async def _is_silent(self) -> bool:
        last_at = max(self._last_at, self._link_since)
        since = self._ports.clock.now() - last_at
        if not self._last_at or since < _ASK_AFTER:
            return False
        if not self._ports.fleet.switches.has(Mechanism.SILENCE):
            return False
        movable = self._generation.backup or self._may_repeat()
        if movable and since >= _SILENCE:
            return True
        return await is_engine_ahead(self._ports, self._generation)

    def _may_repeat(self) -> bool:
        """Tell whether another engine may go on without any memory."""
        return self._attempts.runs + 1 < self._attempts.may_run

    async def _pass(self, chunk: bytes) -> None:
        for event in self._frames.feed(chunk):
            name = read_id(event)
            check(
                ONCE_IN_ORDER,
                holds=not name or follows(name, self._last_event),
                detail=f'event {name!r} after {self._last_event!r}',
            )
            self._last_event = name or self._last_event
            self._generation.advance()
            self._note_gap()
            await self._sink.write(event)

    def _note_gap(self) -> None:
        now = self._ports.clock.now()
        if self._last_at:
            self.longest_gap = max(self.longest_gap, now - self._last_at)
        self._last_at = now

    async def _lose_link(self, detail: str) -> LinkEnd:
        """Return where the generation goes on, or how the attempt ended."""
        upstream = await self._generation.lose_link()
        if upstream is not None:
            return upstream
        logger.warning(
            'stream lost',
            request=self._routed.request.request_id,
            events=self._generation.events,
            detail=detail,
        )
        return self._break(detail)

    def _break(self, detail: str) -> Broken:
        return Broken(detail, begun=self._started)

    def _time_out(self) -> Result[StreamEnd, Problem]:
        logger.warning('time limit', request=self._routed.request.request_id)
        if self._started:
            return Success(StreamEnd.CUT)
        if self._sent:
            return Failure(OutcomeUnknown('the time limit passed'))
        return Failure(refuse(self._attempts, NotRunReason.DEADLINE))
