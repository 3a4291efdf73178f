"""Run the delivery of one response: place, stream, compare and resume."""

from dataclasses import replace
from typing import assert_never

import trio
from returns.result import Failure, Success

from cartdale.clock import Millis, as_seconds
from cartdale.engines.types import (
    Event,
    GenerationUnknown,
    OpenedEvents,
    StreamPhase,
)
from cartdale.problems.types import (
    NotRun,
    NotRunReason,
    Problem,
)
from cartdale.quarantine.decide import EVENTS_PAST_START
from cartdale.quarantine.run_tracking import RunTracker
from cartdale.routing.types import Work
from cartdale.streams.answers import (
    Batch,
    Broken,
    Chunk,
    Completed,
    DeliveryRequest,
    choose_outcome,
)
from cartdale.streams.chunks import read_text
from cartdale.streams.decide import (
    correct_refusal,
    decide,
    make_stream_state,
    restart_on,
)
from cartdale.streams.link import Link, refuse_while_backing_off
from cartdale.streams.ports import DeliveryPorts
from cartdale.streams.position import (
    DeliveredPrefix,
    Origin,
    Position,
)
from cartdale.streams.types import (
    SILENCE_MS,
    Action,
    AskStatus,
    Attach,
    ChunkArrived,
    Compare,
    Deliver,
    Fail,
    Finish,
    GenerationLost,
    LinkBroke,
    Message,
    NotSent,
    Phase,
    PrefixDiffers,
    Protect,
    Restart,
    SilenceElapsed,
    StartRefused,
    StatusArrived,
    StreamState,
)
from cartdale.supervision import run_guarded

_STATUS_TIMEOUT: Millis = 1000
_ABANDON_GRACE: Millis = 15_000
_RETRY_AFTER: Millis = 2000
#: Names what is done beside a delivery.
_ASIDE = 'calls to engines'

#: Reasons for the end of a link that count as a failure of the engine.
_ENGINE_AT_FAULT = (NotSent, StartRefused, GenerationLost)
#: Messages that show that an engine ended, if no link can be opened any
#: more: it lost the generation, or is unreachable for seconds.
_ENGINE_ENDED = (NotSent, LinkBroke, GenerationLost, StatusArrived)


class Delivery:
    """Deliver one response to one caller."""

    def __init__(self, ports: DeliveryPorts, request: DeliveryRequest) -> None:
        self._ports = ports
        self.request = request
        self._link = Link()
        self._pending_chunks: list[Chunk] = []
        self._ending: Completed | Broken | None = None
        self._run_tracker = RunTracker(
            ports.quarantine,
            request.fingerprint,
            request.generation.generation,
        )
        self._meter = ports.recorder.make_meter(
            request.work.service, request.customer
        )
        position = request.position
        digest = position.prefix_digest if position else ''
        self._prefix = DeliveredPrefix(ports.position_signer, digest)
        self.state = make_stream_state(
            request.generation.generation,
            '',
            ports.clock.now(),
            may_repeat=request.may_repeat,
        )

    @property
    def signed_origin(self) -> str:
        """Return the signed origin, with which others attach."""
        return self._prefix.signed_origin

    async def start(self) -> Problem | None:
        """Place the work and open the first link.

        :returns: the refusal, if the work cannot be placed.
        """
        position = self.request.position
        if position is not None:
            self._resume(position)
            return None
        refusal = self._run_tracker.find_refusal()
        if refusal is not None:
            return refusal
        backing_off = self._ports.backoffs.list_backing_off()
        placed = await self._ports.placer.place(
            _exclude_upstreams(self.request.work, backing_off)
        )
        match placed:
            case Success(upstream):
                refusal = self._run_tracker.find_refusal()
                if refusal is not None:
                    # Quarantined while it waited for capacity.
                    self._report_end(finished=False)
                    return refusal
                self.state = replace(self.state, upstream=upstream)
                self._ports.budget.earn(self.request.customer, upstream)
                self._open_start()
                return None
            case Failure(failure):
                problem: Problem = failure
                return problem
        return None

    async def next_batch(self) -> Batch:
        """Wait for chunks or for the end of the response."""
        while True:
            if self._pending_chunks:
                batch = tuple(self._pending_chunks)
                self._pending_chunks.clear()
                return batch
            if self._ending is not None:
                return self._ending
            await self._process_link()

    def close(self) -> None:
        """Release the link; cancel unfinished work after a grace period."""
        self._link.drop()
        measured = self._meter.finish(choose_outcome(self._ending))
        self._ports.recorder.record(measured)
        if self.state.phase is Phase.ENDED or not self.state.upstream:
            self._report_end(finished=isinstance(self._ending, Completed))
            return
        self._ports.nursery.start_soon(
            run_guarded, _ASIDE, self._cancel_later, self.state
        )

    def _resume(self, position: Position) -> None:
        origin = position.origin
        self.state = make_stream_state(
            origin.generation,
            origin.upstream,
            self._ports.clock.now(),
            may_repeat=self.request.may_repeat,
            delivered=position.offset,
            resumed=True,
        )
        self._bind()
        self._attach(Attach(0))

    def _open_start(self) -> None:
        self.state = replace(self.state, progress_at=self._ports.clock.now())
        self._prefix.restart()
        self._bind()
        self._run_tracker.note_sent(self._ports.clock.now())
        engine = self._ports.find_engine(self.state.upstream)
        request = replace(
            self.request.generation, generation=self.state.generation
        )
        if self._ports.backoffs.remaining(self.state.upstream):
            # The placer does not know of the back-off, or has no other
            # engine.
            self._read(refuse_while_backing_off())
        else:
            self._read(engine.start(request))

    def _attach(self, attach: Attach) -> None:
        if not attach.offset:
            self._prefix.restart()
        engine = self._ports.find_engine(self.state.upstream)
        self._read(engine.attach(self.state.generation, attach.offset))

    def _read(self, opener: OpenedEvents) -> None:
        self._link.drop()
        self._link = Link()
        self._ports.nursery.start_soon(
            run_guarded, _ASIDE, self._link.run, opener
        )

    async def _process_link(self) -> None:
        link = self._link
        scope = trio.move_on_after(as_seconds(SILENCE_MS))
        with scope:
            await link.wait()
        if scope.cancelled_caught:
            await self._dispatch(SilenceElapsed())
            return
        closing = link.closing
        await self._apply_events(link.take())
        if closing is not None and link is self._link:
            self._report_closing(closing)
            await self._dispatch(closing)

    async def _apply_events(self, events: tuple[Event, ...]) -> None:
        before = self.state.delivered
        for event in events:
            await self._apply_event(event)
        delivered = self.state.delivered - before
        if delivered:
            gap = self._meter.note(delivered, self._ports.clock.now())
            service = self.request.work.service
            self._ports.recorder.measurements.record_gap(service, gap)

    async def _apply_event(self, event: Event) -> None:
        after, actions = decide(
            self.state,
            ChunkArrived(event.generation, event.offset),
            self._ports.clock.now(),
        )
        if after.received > self.state.received:
            self._prefix.add(read_text(event.payload))
            if after.received == EVENTS_PAST_START + 1:
                self._run_tracker.note_ran_on()
        self.state = after
        for action in actions:
            if isinstance(action, Deliver):
                position = self._prefix.deliver(event.offset)
                self._pending_chunks.append(Chunk(position, event.payload))
                continue
            await self._carry_out(action)

    async def _dispatch(self, message: Message) -> None:
        after, actions = decide(self.state, message, self._ports.clock.now())
        self.state = after
        lost = any(isinstance(action, Restart | Fail) for action in actions)
        if lost and after.sent and isinstance(message, _ENGINE_ENDED):
            begun = max(after.received, after.delivered)
            self._run_tracker.note_lost(after.upstream, begun)
        for action in actions:
            await self._carry_out(action)

    async def _carry_out(self, action: Action) -> None:
        match action:
            case Deliver():
                """Handled where the event is available."""
            case Protect(steps=steps):
                self._protect(steps)
            case Compare():
                await self._compare()
            case Attach(pause=pause):
                await trio.sleep(as_seconds(pause))
                self._attach(action)
            case AskStatus():
                await self._ask_status()
            case Restart():
                await self._restart()
            case Finish():
                self._run_tracker.note_ran_on()
                self._ending = Completed()
            case Fail(problem=problem):
                backoff = self._ports.backoffs.remaining(self.state.upstream)
                self._ending = Broken(_extend_retry_after(problem, backoff))
            case _:
                assert_never(action)

    def _protect(self, steps: int) -> None:
        engine = self._ports.find_engine(self.state.upstream)
        priority = self.request.generation.priority + steps
        self._ports.nursery.start_soon(
            run_guarded,
            _ASIDE,
            engine.raise_priority,
            self.state.generation,
            priority,
        )

    async def _compare(self) -> None:
        if self.state.received != self.state.delivered:
            return
        if not self._prefix.matches():
            await self._dispatch(PrefixDiffers())

    async def _ask_status(self) -> None:
        engine = self._ports.find_engine(self.state.upstream)
        answer = await engine.status(self.state.generation, _STATUS_TIMEOUT)
        if answer == Failure(GenerationUnknown()):
            await self._dispatch(GenerationLost())
            return
        status = answer.value_or(None)
        if status is not None and status.phase is StreamPhase.WAITING:
            self._meter.preemptions += int(self.state.received > 0)
        await self._dispatch(StatusArrived(status))

    async def _restart(self) -> None:
        self._report_end(finished=False)
        abandoned = self.state
        refusal = self._run_tracker.find_refusal()
        if refusal is not None:
            self._give_up(refusal)
            return
        if not self._ports.budget.withdraw(
            self.request.customer, abandoned.upstream
        ):
            self._give_up(NotRun(NotRunReason.REFUSED, _RETRY_AFTER))
            return
        self._ports.nursery.start_soon(
            run_guarded, _ASIDE, self._cancel, abandoned
        )
        first = self.request.generation.generation
        generation = f'{first}-{abandoned.repeats + 1}'
        backing_off = self._ports.backoffs.list_backing_off()
        avoided = _exclude_upstreams(
            self.request.work, (abandoned.upstream, *backing_off)
        )
        work = replace(avoided, work_id=generation)
        placed = await self._ports.placer.place(work)
        match placed:
            case Success(upstream):
                self.state = restart_on(
                    abandoned,
                    generation,
                    upstream,
                    self._ports.clock.now(),
                )
                self._open_start()
            case Failure(problem):
                self._give_up(problem)

    def _give_up(self, problem: Problem) -> None:
        backoff = self._ports.backoffs.remaining(self.state.upstream)
        self._ending = Broken(
            correct_refusal(self.state, _extend_retry_after(problem, backoff))
        )
        self.state = replace(self.state, phase=Phase.ENDED)

    def _bind(self) -> None:
        self._prefix.bind(
            Origin(
                generation=self.state.generation,
                upstream=self.state.upstream,
                customer=self.request.customer,
                service=self.request.work.service,
                body_digest=self.request.body_digest,
            ),
        )

    def _report_closing(self, closing: Message) -> None:
        if isinstance(closing, StartRefused):
            self._ports.backoffs.note(self.state.upstream, closing.backoff)
        if isinstance(closing, _ENGINE_AT_FAULT):
            self._ports.placer.report_failure(
                self.state.generation, self.state.upstream
            )

    def _report_end(self, *, finished: bool) -> None:
        work_id = self.state.generation
        self._ports.placer.report_end(
            work_id, self.state.received, finished=finished
        )

    async def _cancel(self, abandoned: StreamState) -> None:
        if abandoned.sent:
            engine = self._ports.find_engine(abandoned.upstream)
            await engine.cancel(abandoned.generation)

    async def _cancel_later(self, abandoned: StreamState) -> None:
        await trio.sleep(as_seconds(_ABANDON_GRACE))
        engine = self._ports.find_engine(abandoned.upstream)
        answer = await engine.status(abandoned.generation, _STATUS_TIMEOUT)
        status = answer.value_or(None)
        if status is not None and not status.readers:
            await engine.cancel(abandoned.generation)
        self._report_end(finished=False)


def _exclude_upstreams(work: Work, names: tuple[str, ...]) -> Work:
    """Return the work with more upstreams excluded."""
    return replace(work, avoid=(*work.avoid, *names))


def _extend_retry_after(problem: Problem, backoff: Millis) -> Problem:
    """Extend the retry time of a refusal to the end of the back-off."""
    if not isinstance(problem, NotRun):
        return problem
    return replace(problem, retry_after=max(problem.retry_after, backoff))
