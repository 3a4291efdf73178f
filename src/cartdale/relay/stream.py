"""Forward a streamed generation across the engines that it moves to."""

from dataclasses import replace
from enum import StrEnum
from math import inf

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.clock import Millis, as_seconds
from cartdale.fleet.types import RequestEnded, Upstream, UpstreamEntry
from cartdale.formatting import Plain
from cartdale.problems.types import NotRunReason, OutcomeUnknown, Problem
from cartdale.quarantine.driver import Guard
from cartdale.relay.attempts import (
    conclude,
    find_decline,
    find_refusal,
    log_time_limit,
    make_call,
    may_choose_again,
    place,
    record_sends,
    time_left,
    wait_out_backoff,
    withdraw,
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
    Unwritten,
    Withheld,
    begin,
    refuse,
)
from cartdale.relay.end_proof import UNPROVED, EndProof, is_exhausted
from cartdale.relay.generation import RunningGeneration
from cartdale.relay.links import CarriedLink
from cartdale.relay.passing import EventPasser
from cartdale.relay.ports import RelayPorts
from cartdale.relay.rest import (
    QUESTION_TIME,
    BackupAnswer,
    conclude_rest,
    find_loss,
    find_rest,
    has_nothing_left,
    may_ask_backup,
    note_proof,
)
from cartdale.relay.silence import await_loss
from cartdale.relay.types import (
    CompleteResponse,
    LinkBroke,
    LinkBrokeError,
    NotSent,
    OpenedResponse,
    ResponseSink,
    RoutedRequest,
    SendFailure,
    SendWithheld,
    Unwritable,
    UpstreamCall,
)
from cartdale.relay.waiting import NoCapacity
from cartdale.switches import Mechanism

_SUCCESS = 200
_FIRST_SERVER_ERROR = 500


class StreamEnd(StrEnum):
    """Outcome of a stream."""

    WHOLE = 'whole'
    #: The caller received a correct part of the response without its end.
    CUT = 'cut'
    #: The upstream's failure response was passed on instead.
    FAILED = 'failed'


#: How a link to an engine ended: the end of the stream, the end of the attempt
#: if nothing was streamed, or the engine at which the generation resumes.
LinkEnd = StreamEnd | AttemptEnd | UpstreamEntry


class StreamForwarder:
    """Forward one generation.

    :param sink: receives the response.
    :param generation: tracks which engine runs it.
    """

    def __init__(
        self,
        ports: RelayPorts,
        routed: RoutedRequest,
        sink: ResponseSink,
        generation: RunningGeneration,
    ) -> None:
        self._ports = ports
        self._routed = routed
        self._sink = sink
        self._generation = generation
        resumption = ports.fleet.switches.is_enabled(Mechanism.RESUMPTION)
        self._attempts: AttemptState = begin(
            routed.route
            if resumption
            else replace(routed.route, resumable=False)
        )
        #: Where the request was sent, and how often it may run.
        self.sends = record_sends(ports, routed, self._attempts)
        resumable = routed.route.resumable
        last_event = routed.request.last_event if resumable else b''
        self._link = CarriedLink(ports, routed)
        self._passer = EventPasser(
            ports,
            sink,
            generation,
            last_event,
            routed.route.target_gap,
            self._link,
        )
        #: An upstream's failure response, passed on if no attempt follows.
        self._failure: CompleteResponse | None = None
        self._started = False
        #: Head of the last response, and what shows that it is complete.
        self._head: OpenedResponse | None = None
        self._proof = EndProof.NONE
        #: Answer to the question whether a run that seems over goes on.
        self._answer = BackupAnswer.NONE
        #: Bounds that question.
        self._question = trio.CancelScope()

    @property
    def longest_gap(self) -> Millis:
        """Return the longest pause between two events."""
        return self._passer.longest_gap

    @property
    def first_at(self) -> Millis:
        """Return when the first event came; 0 if none did."""
        return self._passer.first_at

    def describe_end(self) -> dict[str, Plain]:
        """Return how the last response ended, for a log line."""
        head = self._head
        return {
            'proof': self._proof,
            'status': head.status if head else 0,
            'carrier': head.carrier if head else '',
        }

    async def forward(self) -> Result[StreamEnd, Problem]:
        """Stream the response, or return why nothing was streamed."""
        self._ports.budget.count(self._routed.service, self._ports.clock.now())
        left = time_left(self._ports, self._routed)
        try:
            with trio.move_on_after(as_seconds(left)):
                return await self._try_upstreams()
            return self._time_out()
        finally:
            self._generation.end()

    async def _try_upstreams(self) -> Result[StreamEnd, Problem]:
        tried: set[str] = set()
        while True:
            upstream = await place(
                self._ports, self._routed, tried, begun=self._started
            )
            if isinstance(upstream, NoCapacity):
                wait = upstream.retry_after
                refused = refuse(self._attempts, upstream.reason, wait)
                return self._give_up(refused)
            tried.add(upstream.entry.upstream)
            ended = await self._attempt(upstream)
            if isinstance(ended, StreamEnd):
                return Success(ended)
            self._generation.end(over=False)
            if may_choose_again(ended):
                tried.discard(upstream.entry.upstream)
            after, step = conclude(
                self._ports,
                self._routed,
                self._attempts,
                ended,
                upstream.entry.upstream,
                self.sends,
            )
            self._attempts = after
            match step:
                case GiveUp(problem=problem):
                    return self._give_up(problem)
                case PassOn():
                    return await self._pass_failure()

    def _give_up(self, problem: Problem) -> Result[StreamEnd, Problem]:
        """Cut a started stream, or return why nothing was streamed."""
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
            self._ports,
            self._routed,
            upstream,
            self.sends,
            backup,
            self._passer.last_event,
        )
        ended = await self._open(call)
        while isinstance(ended, UpstreamEntry):
            if self._proof is EndProof.SERVED_ON:
                ended = await self._ask_backup(ended)
            else:
                ended = await self._resume(ended)
        return ended

    async def _ask_backup(self, upstream: UpstreamEntry) -> LinkEnd:
        """Resume a run that seems over, if its backup is still kept.

        That none is kept shows little, since it may be lost: what else shows
        the end of the run holds then. Without an answer the run may go on. If
        nothing is told, the end is unproved: a request that may run again does.
        """
        ended: LinkEnd | None = None
        self._answer = BackupAnswer.NOT_TOLD
        self._question = trio.CancelScope(
            deadline=trio.current_time() + as_seconds(QUESTION_TIME)
        )
        with self._question:
            ended = await self._resume(upstream)
        if ended is None:
            self._answer = BackupAnswer.NONE
        logger.info(
            'backup asked',
            request=self._routed.request.request_id,
            upstream=upstream.upstream,
            answer=self._answer,
            source_silent=self._generation.source_silent,
        )
        if ended is not None and self._answer is BackupAnswer.GOES_ON:
            return ended
        self._proof = conclude_rest(
            self._ports,
            self._routed,
            self._generation,
            self._attempts,
            self._answer,
        )
        if self._proof is EndProof.NONE:
            return self._break(f'its backup: {self._answer}')
        await self._sink.finish()
        return StreamEnd.WHOLE

    async def _resume(self, upstream: UpstreamEntry) -> LinkEnd:
        """Resume at an engine that holds the generation's memory."""
        if await find_refusal(self._ports, self._routed) is not None:
            # It would also crash the engine that holds its backup.
            return self._break('quarantined')
        if not self._ports.fleet.may_finish_move(upstream):
            return self._generation.resume_rejected() or self._break(
                'evacuated'
            )
        await wait_out_backoff(self._ports, upstream)
        point, backup = self._generation.prepare_resume(upstream)
        call = UpstreamCall(
            self._routed,
            upstream,
            self.sends.permit(point.grounds),
            time_left(self._ports, self._routed),
            self._passer.last_event,
            point,
            backup,
        )
        ended = await self._open(call)
        if isinstance(ended, Unsent | Withheld | Unwritten | Declined):
            if isinstance(ended, Declined) and not ended.rests:
                self._answer = BackupAnswer.NO_COPY
            return self._generation.resume_rejected() or self._break('refused')
        return ended

    async def _open(self, call: UpstreamCall) -> LinkEnd:
        """Send a request and read its response, unless the engine lost it."""
        self._link.begin(call.upstream)
        guard = self._ports.fleet.quarantine.guard(self._routed.fingerprint)
        ended: LinkEnd | None = None
        with guard:
            ended = await self._await_response(call, guard)
        if guard.stopped:
            return withdraw(self._routed, call.upstream.upstream)
        if ended is None:
            return await self._lose_link('nothing of it at its engine')
        return ended

    async def _await_response(
        self, call: UpstreamCall, guard: Guard
    ) -> LinkEnd | None:
        """Read a response; ``None`` if the engine does not have the request.

        :param guard: released when the response begins: by then the engine has
            either survived the request or crashed too early to withdraw it.
        """
        head_watch, response_wait = trio.CancelScope(), trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_loss, head_watch, response_wait)
            with response_wait:
                async with self._ports.upstreams.open(call) as opened:
                    head_watch.cancel()
                    guard.release()
                    lost = response_wait.cancel_called
                    return await self._handle_opened(opened, call, lost=lost)
        return None

    async def _watch_for_loss(
        self, head_watch: trio.CancelScope, response_wait: trio.CancelScope
    ) -> None:
        """Cancel the wait for a response once the engine lost the request.

        :param head_watch: cancelled when the response begins.
        :param response_wait: cancelled once the engine lost the request.
        """
        with head_watch:
            if self._ports.fleet.switches.is_enabled(Mechanism.SILENCE):
                await await_loss(self._ports, self._generation)
                # The response may have begun while the last report arrived.
                if not head_watch.cancel_called:
                    response_wait.cancel()

    async def _handle_opened(
        self,
        opened: Result[OpenedResponse, SendFailure],
        call: UpstreamCall,
        *,
        lost: bool,
    ) -> LinkEnd | None:
        """Read a response; ``None`` if the engine lost the request.

        :param lost: whether the wait was cancelled just as the response began.
        """
        if lost:
            return None
        match opened:
            case Success(answer):
                return await self._read(answer, call)
            case Failure(LinkBroke(detail=detail)) if call.resume is None:
                return await self._lose_link(detail)
            case Failure(LinkBroke(detail=detail)):
                self._link.probe_upstream()
                return self._break(detail)
            case Failure(SendWithheld()):
                return Withheld()
            case Failure(Unwritable(part=part)):
                return Unwritten(part)
            case Failure(NotSent(detail=detail, confirmed=confirmed)):
                return Unsent(detail, confirmed)
        return Unsent()

    async def _read(
        self, answer: OpenedResponse, call: UpstreamCall
    ) -> LinkEnd:
        fleet = self._ports.fleet
        upstream = call.upstream.upstream
        declined = find_decline(fleet, answer, call)
        if declined is not None:
            return declined
        self._link.note_head(answer)
        self._head = answer
        resumed = call.resume is not None
        if answer.status != _SUCCESS:
            if self._started or resumed:
                # It is not the rest of the response that has begun.
                return self._break(f'status {answer.status}')
            return await self._read_failure(answer, upstream)
        if not answer.framed:
            self._ports.unframed.note(
                call.upstream.service, self._ports.clock.now()
            )
        if not self._started:
            await self._sink.start(answer.status, answer.headers)
            self._started = True
        if resumed:
            self._question.deadline = inf
            self._answer = BackupAnswer.GOES_ON
            self._ports.end_habits.note_copies(self._routed.service, 1)
            self._proof = EndProof.NONE
            self._generation.resumed()
        fleet.dispatch(RequestEnded(upstream, good=True))
        return await self._pass_events(answer, resumed=resumed)

    async def _read_failure(
        self, answer: OpenedResponse, upstream: str
    ) -> LinkEnd:
        """Keep an upstream's failure response; another attempt may follow."""
        if answer.denies_run:
            return Answered(good=False, denied_run=True)
        try:
            body = await self._ports.read_whole(
                self._routed.request.request_id, answer.chunks
            )
        except LinkBrokeError as error:
            self._link.probe_upstream()
            return self._break(error.detail)
        if not answer.framed:
            self._proof = await self._link.prove_end(0)
            if self._proof is EndProof.NONE:
                return self._break(UNPROVED)
        self._failure = CompleteResponse(answer.status, answer.headers, body)
        if answer.status >= _FIRST_SERVER_ERROR:
            return Answered(good=False)
        self._ports.fleet.dispatch(RequestEnded(upstream, good=False))
        await self._sink.answer(answer.status, answer.headers, body)
        return StreamEnd.FAILED

    async def _pass_events(
        self, answer: OpenedResponse, *, resumed: bool = False
    ) -> LinkEnd:
        failure = await self._passer.pass_until_end(
            answer.chunks,
            repeatable=self._attempts.allows_another,
            resumed=resumed,
        )
        if failure and self._passer.next_upstream is not None:
            return self._passer.next_upstream
        if not failure and self._is_empty(answer):
            self._link.probe_upstream()
            return self._break('ended before its first event')
        failure = failure or await self._find_early_end(answer)
        if failure:
            return await self._lose_link(failure)
        resumed = resumed or bool(self._passer.last_event)
        if has_nothing_left(self._generation, self._proof, resumed=resumed):
            self._proof = note_proof(
                self._ports, self._routed, EndProof.NOTHING_LEFT
            )
        if self._proof is EndProof.SERVED_ON:
            ports, routed = self._ports, self._routed
            upstream = await find_rest(ports, routed, self._generation)
            failure = find_loss(
                ports, routed, self._generation, upstream, self._attempts
            )
            if failure:
                self._proof = EndProof.NONE
                return await self._lose_link(failure)
            if upstream is not None:
                return upstream
        await self._sink.finish()
        return StreamEnd.WHOLE

    def _is_empty(self, answer: OpenedResponse) -> bool:
        """Tell whether a stream ended before its first event.

        It may be complete without one if its engine says so by the framing, or
        if the caller resumed it and has all events.
        """
        if answer.framed or self._may_be_stopped():
            return False
        begun = self._passer.pending or self._passer.last_event
        return not (begun or self._generation.events)

    async def _find_early_end(self, answer: OpenedResponse) -> str:
        """Return why a stream that ended is incomplete; empty if it is not."""
        if not answer.framed and self._may_be_stopped():
            # A stopped stream closes without its end, and so does a complete
            # one whose body is not delimited.
            return 'stopped'
        if self._passer.pending:
            return 'ended inside an event'
        if answer.framed:
            self._proof = EndProof.FRAMED
        elif is_exhausted(self._routed.request, self._generation.most_left):
            self._proof = note_proof(
                self._ports, self._routed, EndProof.ALL_TOKENS
            )
        else:
            self._proof = await self._link.prove_end(
                self._generation.events,
                backed_up=may_ask_backup(
                    self._ports, self._routed, self._generation
                ),
            )
        if self._proof is EndProof.NONE:
            return UNPROVED
        self._link.note_complete()
        return ''

    def _may_be_stopped(self) -> bool:
        """Tell whether its engine may have stopped the generation."""
        return self._generation.is_stopped or self._generation.stop_sent

    async def _lose_link(self, detail: str) -> LinkEnd:
        """Return the engine to resume at, or how the attempt ended."""
        if not self._generation.is_stopped:
            self._link.probe_upstream()
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
        log_time_limit(self._routed, self._generation.upstream)
        if self._started:
            return Success(StreamEnd.CUT)
        if self.sends.runs:
            return Failure(OutcomeUnknown('the time limit passed'))
        return Failure(refuse(self._attempts, NotRunReason.DEADLINE))
