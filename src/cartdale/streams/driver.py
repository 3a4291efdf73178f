"""Carry out one answer's delivery: place, link, compare, resume."""

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
from cartdale.streams.decide import begin, decide, move, soften
from cartdale.streams.link import Link, refuse_to_send
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

_STATUS_TIMEOUT: Millis = 1000
_ABANDON_GRACE: Millis = 15_000
_RETRY_AFTER: Millis = 2000

#: Closings that speak against the engine and not only against the link.
_ENGINE_AT_FAULT = (NotSent, StartRefused, GenerationLost)
#: What tells, where no link can be had any more, that an engine ended: it has
#: nothing of what it began, or can't be reached for seconds.
_ENGINE_ENDED = (NotSent, LinkBroke, GenerationLost, StatusArrived)


class Delivery:
    """Deliver one answer to one caller."""

    def __init__(self, ports: DeliveryPorts, asked: DeliveryRequest) -> None:
        self._ports = ports
        self.asked = asked
        self._link = Link()
        self._ready: list[Chunk] = []
        self._last: Completed | Broken | None = None
        self._watch = RunTracker(
            ports.quarantine, asked.identity, asked.generation.generation
        )
        self._meter = ports.recorder.make_meter(
            asked.work.service, asked.customer
        )
        position = asked.position
        digest = position.prefix_digest if position else ''
        self._prefix = DeliveredPrefix(ports.position_signer, digest)
        self.state = begin(
            asked.generation.generation,
            '',
            ports.clock.now(),
            may_repeat=asked.may_repeat,
        )

    @property
    def signed_origin(self) -> str:
        """Return the sealed origin, by which others attach."""
        return self._prefix.sealed

    async def start(self) -> Problem | None:
        """Place the work and open the first link.

        :returns: the refusal when the work cannot be placed.
        """
        position = self.asked.position
        if position is not None:
            self._resume(position)
            return None
        refusal = self._watch.find_refusal()
        if refusal is not None:
            return refusal
        resting = self._ports.backoffs.list_backing_off()
        placed = await self._ports.placer.place(
            _avoid(self.asked.work, resting)
        )
        match placed:
            case Success(upstream):
                refusal = self._watch.find_refusal()
                if refusal is not None:
                    # Quarantined while it waited for room.
                    self._settle(finished=False)
                    return refusal
                self.state = replace(self.state, upstream=upstream)
                self._ports.budget.earn(self.asked.customer, upstream)
                self._open_start()
                return None
            case Failure(failure):
                problem: Problem = failure
                return problem
        return None

    async def next_batch(self) -> Batch:
        """Wait for chunks, or for the end of the answer."""
        while True:
            if self._ready:
                batch = tuple(self._ready)
                self._ready.clear()
                return batch
            if self._last is not None:
                return self._last
            await self._pump()

    def close(self) -> None:
        """Release the link; unfinished work is cancelled after a grace."""
        self._link.drop()
        measured = self._meter.finish(choose_outcome(self._last))
        self._ports.recorder.record(measured)
        if self.state.phase is Phase.ENDED or not self.state.upstream:
            self._settle(finished=isinstance(self._last, Completed))
            return
        self._ports.nursery.start_soon(self._cancel_later, self.state)

    def _resume(self, position: Position) -> None:
        origin = position.origin
        self.state = begin(
            origin.generation,
            origin.upstream,
            self._ports.clock.now(),
            may_repeat=self.asked.may_repeat,
            delivered=position.offset,
            resumed=True,
        )
        self._bind()
        self._open(Attach(0))

    def _open_start(self) -> None:
        self.state = replace(self.state, progress_at=self._ports.clock.now())
        self._prefix.restart()
        self._bind()
        self._watch.note_sent(self._ports.clock.now())
        engine = self._ports.find_engine(self.state.upstream)
        request = replace(
            self.asked.generation, generation=self.state.generation
        )
        if self._ports.backoffs.remaining(self.state.upstream):
            # Whoever placed it does not know, or there is no other.
            self._read(refuse_to_send())
        else:
            self._read(engine.start(request))

    def _open(self, attach: Attach) -> None:
        if not attach.offset:
            self._prefix.restart()
        engine = self._ports.find_engine(self.state.upstream)
        self._read(engine.attach(self.state.generation, attach.offset))

    def _read(self, opener: OpenedEvents) -> None:
        self._link.drop()
        self._link = Link()
        self._ports.nursery.start_soon(self._link.run, opener)

    async def _pump(self) -> None:
        link = self._link
        scope = trio.move_on_after(as_seconds(SILENCE_MS))
        with scope:
            await link.wait()
        if scope.cancelled_caught:
            await self._tell(SilenceElapsed())
            return
        closing = link.closing
        await self._take_all(link.take())
        if closing is not None and link is self._link:
            self._blame(closing)
            await self._tell(closing)

    async def _take_all(self, events: tuple[Event, ...]) -> None:
        before = self.state.delivered
        for event in events:
            await self._take(event)
        fresh = self.state.delivered - before
        if fresh:
            gap = self._meter.note(fresh, self._ports.clock.now())
            service = self.asked.work.service
            self._ports.recorder.measurements.record_gap(service, gap)

    async def _take(self, event: Event) -> None:
        after, actions = decide(
            self.state,
            ChunkArrived(event.generation, event.offset),
            self._ports.clock.now(),
        )
        if after.received > self.state.received:
            self._prefix.add(read_text(event.payload))
            if after.received == EVENTS_PAST_START + 1:
                self._watch.note_ran_on()
        self.state = after
        for action in actions:
            if isinstance(action, Deliver):
                position = self._prefix.deliver(event.offset)
                self._ready.append(Chunk(position, event.payload))
                continue
            await self._carry_out(action)

    async def _tell(self, message: Message) -> None:
        after, actions = decide(self.state, message, self._ports.clock.now())
        self.state = after
        lost = any(isinstance(action, Restart | Fail) for action in actions)
        if lost and after.sent and isinstance(message, _ENGINE_ENDED):
            begun = max(after.received, after.delivered)
            self._watch.note_lost(after.upstream, begun)
        for action in actions:
            await self._carry_out(action)

    async def _carry_out(self, action: Action) -> None:
        match action:
            case Deliver():
                """Done where the event is at hand."""
            case Protect(steps=steps):
                self._protect(steps)
            case Compare():
                await self._compare()
            case Attach(pause=pause):
                await trio.sleep(as_seconds(pause))
                self._open(action)
            case AskStatus():
                await self._ask_status()
            case Restart():
                await self._restart()
            case Finish():
                self._watch.note_ran_on()
                self._last = Completed()
            case Fail(problem=problem):
                backoff = self._ports.backoffs.remaining(self.state.upstream)
                self._last = Broken(_outlast(problem, backoff))
            case _:
                assert_never(action)

    def _protect(self, steps: int) -> None:
        engine = self._ports.find_engine(self.state.upstream)
        priority = self.asked.generation.priority + steps
        self._ports.nursery.start_soon(
            engine.raise_priority, self.state.generation, priority
        )

    async def _compare(self) -> None:
        if self.state.received != self.state.delivered:
            return
        if not self._prefix.matches():
            await self._tell(PrefixDiffers())

    async def _ask_status(self) -> None:
        engine = self._ports.find_engine(self.state.upstream)
        answer = await engine.status(self.state.generation, _STATUS_TIMEOUT)
        if answer == Failure(GenerationUnknown()):
            await self._tell(GenerationLost())
            return
        status = answer.value_or(None)
        if status is not None and status.phase is StreamPhase.WAITING:
            self._meter.preemptions += int(self.state.received > 0)
        await self._tell(StatusArrived(status))

    async def _restart(self) -> None:
        self._settle(finished=False)
        abandoned = self.state
        refusal = self._watch.find_refusal()
        if refusal is not None:
            self._give_up(refusal)
            return
        if not self._ports.budget.withdraw(
            self.asked.customer, abandoned.upstream
        ):
            self._give_up(NotRun(NotRunReason.REFUSED, _RETRY_AFTER))
            return
        self._ports.nursery.start_soon(self._cancel, abandoned)
        first = self.asked.generation.generation
        generation = f'{first}-{abandoned.repeats + 1}'
        resting = self._ports.backoffs.list_backing_off()
        avoided = _avoid(self.asked.work, (abandoned.upstream, *resting))
        work = replace(avoided, work_id=generation)
        placed = await self._ports.placer.place(work)
        match placed:
            case Success(upstream):
                self.state = move(
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
        self._last = Broken(soften(self.state, _outlast(problem, backoff)))
        self.state = replace(self.state, phase=Phase.ENDED)

    def _bind(self) -> None:
        self._prefix.bind(
            Origin(
                generation=self.state.generation,
                upstream=self.state.upstream,
                customer=self.asked.customer,
                service=self.asked.work.service,
                body_digest=self.asked.body_digest,
            ),
        )

    def _blame(self, closing: Message) -> None:
        if isinstance(closing, StartRefused):
            self._ports.backoffs.note(self.state.upstream, closing.backoff)
        if isinstance(closing, _ENGINE_AT_FAULT):
            self._ports.placer.report_failure(
                self.state.generation, self.state.upstream
            )

    def _settle(self, *, finished: bool) -> None:
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
        self._settle(finished=False)


def _avoid(work: Work, names: tuple[str, ...]) -> Work:
    """Return work as it is to be placed: not where it can't go now."""
    return replace(work, avoid=(*work.avoid, *names))


def _outlast(problem: Problem, backoff: Millis) -> Problem:
    """Have a refused caller come back after a rest, if that is why."""
    if not isinstance(problem, NotRun):
        return problem
    return replace(problem, retry_after=max(problem.retry_after, backoff))
