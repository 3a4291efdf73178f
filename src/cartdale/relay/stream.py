"""Carry a streamed generation, over as many engines as it moves through."""

from dataclasses import replace
from enum import StrEnum

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.clock import Millis, seconds
from cartdale.fleet.choose import Need
from cartdale.fleet.loads import Assignment
from cartdale.fleet.types import RequestEnded, Upstream, UpstreamEntry
from cartdale.invariants import ONCE_IN_ORDER, check
from cartdale.moves import decide as moves
from cartdale.moves.types import (
    Action,
    AwaitCopy,
    AwaitQuiet,
    ChooseAgain,
    ChooseRescue,
    Copy,
    CopyEnded,
    CopyRejected,
    Cut,
    LinkEnded,
    LinkQuiet,
    Message,
    MovePhase,
    MoveState,
    RescueTarget,
    Resume,
    Resumed,
    ResumeRejected,
    TargetChosen,
)
from cartdale.problems.types import NotRunReason, OutcomeUnknown, Problem
from cartdale.relay.decide import (
    AttemptEnd,
    AttemptState,
    Broken,
    Declined,
    GiveUp,
    Unsent,
    begin,
    refuse,
)
from cartdale.relay.frames import EventFrames, read_id
from cartdale.relay.ports import (
    RelayPorts,
    conclude,
    make_call,
    make_need,
    tell_replaced,
    wait_until,
)
from cartdale.relay.types import (
    COPY_PATIENCE,
    AnswerSink,
    Copied,
    CopyFailed,
    LinkBroke,
    LinkBrokeError,
    MemoryCopy,
    OpenedAnswer,
    ResumePoint,
    RoutedRequest,
    Standing,
    UpstreamCall,
)

#: Pause before a copy that was refused as busy is asked for again.
_COPY_PAUSE: Millis = 30
#: Between looks for an engine with room for a generation that must leave.
_LOOK_EVERY: Millis = 40
#: What another failure domain counts when a target is chosen: the copy takes
#: twice as long, and the others of the engine wait behind it.
_FAR_MOVE_COST = 0.3
_SUCCESS = 200
#: Longest wait for an engine whose link broke to answer a copy.
_RESCUE_PATIENCE: Millis = 400
#: Part of an engine's memory that may be filled when a backup is sent there.
_BACKUP_FILLED = 0.6
#: Tokens to make from which on a backup is worth its memory.
_BACKUP_WORTH = 100


class StreamEnd(StrEnum):
    """Say how a stream ended."""

    WHOLE = 'whole'
    #: The caller has a true part of the answer and no end.
    CUT = 'cut'


class StreamCarrier:
    """Carry one generation.

    :param sink: where the answer is written.
    :param event_tokens: tokens that an event holds.
    """

    def __init__(
        self,
        ports: RelayPorts,
        routed: RoutedRequest,
        sink: AnswerSink,
        event_tokens: int,
    ) -> None:
        self._ports = ports
        self.routed = routed
        self._sink = sink
        self._event_tokens = event_tokens
        route = routed.route
        self._attempts: AttemptState = begin(route.kind, route.max_attempts)
        self._frames = EventFrames()
        self._last_event = b''
        self._started = False
        self._settled = trio.Event()
        self._assignment: Assignment | None = None
        self.move: MoveState | None = None
        self._new_backup: UpstreamEntry | None = None
        self.events = 0
        self.ended = False

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self.routed.request.request_id

    @property
    def upstream(self) -> str:
        """Return the id of the engine that runs it; empty for none."""
        return self.move.source.upstream if self.move else ''

    @property
    def tokens(self) -> int:
        """Return the memory that it holds, in tokens."""
        return self._assignment.load().tokens if self._assignment else 0

    async def carry(self) -> Result[StreamEnd, Problem]:
        """Stream the answer, or return why nothing was streamed."""
        self._ports.budget.count(self.routed.service, self._ports.clock.now())
        try:
            with trio.move_on_after(seconds(self._left())):
                return await self._try_upstreams()
            return self._time_out()
        finally:
            self.ended = True
            self._assign(None)

    # The attempts until an engine takes the generation.

    async def _try_upstreams(self) -> Result[StreamEnd, Problem]:
        tried: set[str] = set()
        while True:
            upstream = await self._place(frozenset(tried))
            if upstream is None:
                problem = refuse(self._attempts, NotRunReason.NO_UPSTREAM)
                return Failure(problem)
            tried.add(upstream.entry.upstream)
            self._assign(self._make_assignment(upstream.entry))
            ended = await self._attempt(upstream)
            if isinstance(ended, StreamEnd):
                return Success(ended)
            self._assign(None)
            self._attempts, step = conclude(
                self._ports,
                self.routed,
                self._attempts,
                ended,
                upstream.entry.upstream,
            )
            if isinstance(step, GiveUp):
                return Failure(step.problem)

    async def _place(self, tried: frozenset[str]) -> Upstream | None:
        return await self._ports.admission.place(
            make_need(self.routed, tried),
            self.routed.priority,
            self.routed.arrived_at,
            wait_until(self.routed),
        )

    async def _attempt(self, upstream: Upstream) -> StreamEnd | AttemptEnd:
        backup = self._choose_backup(upstream.entry)
        self.move = moves.begin(upstream.entry, backup)
        call = replace(
            make_call(self._ports, self.routed, upstream),
            backup=backup.address if backup else '',
        )
        ended = await self._open(call)
        while isinstance(ended, Resume):
            ended = await self._resume(ended.upstream)
        return ended

    async def _open(
        self, call: UpstreamCall
    ) -> StreamEnd | AttemptEnd | Resume:
        async with self._ports.upstreams.open(call) as opened:
            match opened:
                case Success(answer):
                    return await self._read(answer, call)
                case Failure(LinkBroke(detail=detail)):
                    return Broken(detail)
        return Unsent()

    async def _read(
        self, answer: OpenedAnswer, call: UpstreamCall
    ) -> StreamEnd | AttemptEnd | Resume:
        upstream = call.upstream.upstream
        match answer.standing:
            case Standing.NOT_RUN:
                return Declined()
            case Standing.REPLACED:
                tell_replaced(self._ports.fleet, upstream)
                return Declined()
        if not self._started:
            await self._sink.start(answer.status, answer.headers)
            self._started = True
        if call.resume is not None:
            self._tell(Resumed(self._new_backup))
        good = answer.status == _SUCCESS
        self._ports.fleet.tell(RequestEnded(upstream, good=good))
        return await self._pass_events(answer)

    async def _pass_events(
        self, answer: OpenedAnswer
    ) -> StreamEnd | AttemptEnd | Resume:
        self._frames = EventFrames()
        try:
            async for chunk in answer.chunks:
                await self._pass(chunk)
        except LinkBrokeError as error:
            return await self._lose_link(error.detail)
        if self._is_stopped():
            return await self._lose_link('stopped')
        if self._frames.pending:
            await self._sink.write(self._frames.pending)
        await self._sink.finish()
        return StreamEnd.WHOLE

    async def _pass(self, chunk: bytes) -> None:
        for event in self._frames.feed(chunk):
            name = read_id(event)
            check(
                ONCE_IN_ORDER,
                holds=not name or name != self._last_event,
                detail=f'event {name!r} came twice',
            )
            self._last_event = name or self._last_event
            self.events += 1
            if self._assignment is not None:
                self._assignment.advance(self._event_tokens)
            await self._sink.write(event)

    # Moving.

    async def leave(self, until: Millis, quiet_at: Millis) -> None:
        """Move away from an engine that leaves.

        :param until: when the engine is gone, as far as it is known.
        :param quiet_at: when the engine's link is free.
        """
        refused: set[str] = set()
        if self.move is not None and self.move.backup is not None:
            return
        while not self.ended and self._ports.clock.now() < until:
            target = self._choose_target(refused)
            if target is not None:
                if await self._copy_to(target, quiet_at):
                    return
                refused.add(target.entry.upstream)
                continue
            refused.clear()
            await trio.sleep(seconds(_LOOK_EVERY))

    def _choose_target(self, refused: set[str]) -> Upstream | None:
        if self.move is None or self._assignment is None or not self.events:
            return None
        load = self._assignment.load()
        need = Need(
            service=self.routed.service,
            prompt=load.tokens,
            expected=load.growth,
            excluded=frozenset((self.move.source.upstream, *refused)),
            far_cost=_FAR_MOVE_COST,
        )
        return self._ports.fleet.choose(need, self.move.source.failure_domain)

    async def _copy_to(self, target: Upstream, quiet_at: Millis) -> bool:
        """Copy to a target; tell whether the move is over, good or bad."""
        reserved = self._make_assignment(target.entry)
        self._ports.fleet.loads.assign(reserved)
        self._settled = trio.Event()
        try:
            action = self._tell(TargetChosen(target.entry))
            while isinstance(action, Copy | AwaitQuiet):
                action = await self._advance(action, quiet_at)
            return not isinstance(action, ChooseAgain)
        finally:
            self._ports.fleet.loads.release(reserved)
            self._settled.set()

    async def _advance(
        self, action: Copy | AwaitQuiet, quiet_at: Millis
    ) -> Action | None:
        if isinstance(action, Copy):
            return await self._copy(action)
        left = quiet_at - self._ports.clock.now()
        await trio.sleep(seconds(max(left, 0)))
        return self._tell(LinkQuiet())

    async def _copy(
        self, action: Copy, patience: Millis = COPY_PATIENCE
    ) -> Action | None:
        if action.pause:
            await trio.sleep(seconds(_COPY_PAUSE))
        state = self.move
        if state is None or state.target is None or self.ended:
            return None
        copy = MemoryCopy(
            self.request_id,
            state.source.address,
            state.target.address,
            action.last,
            patience,
        )
        match await self._ports.upstreams.copy(copy):
            case Success(Copied(handle=handle)):
                return self._tell(CopyEnded(handle))
            case Failure(CopyFailed(fault=fault, handle=kept)):
                return self._tell(CopyRejected(fault, kept))
        return None

    async def _lose_link(self, detail: str) -> StreamEnd | Resume | AttemptEnd:
        """Decide where the generation goes on after its link ended."""
        action = self._tell(LinkEnded())
        if isinstance(action, AwaitCopy):
            await self._settled.wait()
            action = self._tell(LinkEnded())
        if isinstance(action, ChooseRescue):
            action = await self._rescue()
        if isinstance(action, Resume):
            return action
        logger.warning(
            'stream cut',
            request=self.request_id,
            events=self.events,
            detail=detail,
        )
        if self._started:
            return StreamEnd.CUT
        return Broken(detail)

    async def _rescue(self) -> Action | None:
        """Go on elsewhere after the link broke without a move."""
        target = self._choose_rescue() if self.events else None
        action = self._tell(RescueTarget(target))
        if isinstance(action, Copy):
            action = await self._copy(action, _RESCUE_PATIENCE)
        if action is None:
            action = self._tell(LinkEnded())
        return action

    def _choose_rescue(self) -> UpstreamEntry | None:
        backup = self.move.backup if self.move else None
        if backup is not None:
            return backup
        target = self._choose_target(set())
        return target.entry if target else None

    def _choose_backup(self, source: UpstreamEntry) -> UpstreamEntry | None:
        """Return an engine with memory to spare for a second copy."""
        spec = self._ports.fleet.table.services_by_name.get(source.service)
        if spec is None or spec.engine is None or not spec.engine.backups:
            return None
        need = replace(
            make_need(self.routed, frozenset((source.upstream,))),
            filled=_BACKUP_FILLED,
        )
        if need.expected < _BACKUP_WORTH:
            return None
        chosen = self._ports.fleet.choose(need)
        if chosen is None:
            return None
        if self._assignment is not None:
            self._assignment.backup = chosen.entry.upstream
        return chosen.entry

    async def _resume(
        self, upstream: UpstreamEntry
    ) -> StreamEnd | AttemptEnd | Resume:
        state = self.move
        if state is None:
            return StreamEnd.CUT
        self._assign(self._make_assignment(upstream))
        self._new_backup = self._choose_backup(upstream)
        call = UpstreamCall(
            self.routed,
            upstream,
            self._left(),
            self._find_memory(state),
            self._new_backup.address if self._new_backup else '',
        )
        ended = await self._open(call)
        if not isinstance(ended, Unsent | Declined):
            return ended
        action = self._tell(ResumeRejected())
        return action if isinstance(action, Resume) else StreamEnd.CUT

    def _find_memory(self, state: MoveState) -> ResumePoint:
        if state.phase is MovePhase.AT_BACKUP and state.backup is not None:
            return ResumePoint(
                state.backup.address, self.request_id, self._last_event
            )
        return ResumePoint(state.source.address, state.handle, self._last_event)

    def _tell(self, message: Message) -> Action | None:
        if self.move is None:
            return Cut()
        before = self.move
        self.move, actions = moves.decide(before, message)
        logger.info(
            'move',
            request=self.request_id,
            message=repr(message),
            before=before.phase,
            after=self.move.phase,
        )
        return actions[0] if actions else None

    def _is_stopped(self) -> bool:
        if self.move is None:
            return False
        stopped = {
            MovePhase.STOPPING,
            MovePhase.AT_TARGET,
            MovePhase.AT_SOURCE,
            MovePhase.RESCUING,
            MovePhase.AT_BACKUP,
        }
        return self.move.phase in stopped

    # The load that this generation is.

    def _make_assignment(self, upstream: UpstreamEntry) -> Assignment:
        need = make_need(self.routed)
        return Assignment(
            upstream.upstream,
            need.prompt,
            need.expected,
            self.events * self._event_tokens,
        )

    def _assign(self, assignment: Assignment | None) -> None:
        loads = self._ports.fleet.loads
        if self._assignment is not None:
            loads.release(self._assignment)
        self._assignment = assignment
        if assignment is None:
            self._ports.fleet.notify()
            return
        loads.assign(assignment)

    def _left(self) -> Millis:
        return max(self.routed.ends_at - self._ports.clock.now(), 0)

    def _time_out(self) -> Result[StreamEnd, Problem]:
        logger.warning('time limit', request=self.request_id)
        if self._started:
            return Success(StreamEnd.CUT)
        if self._attempts.sends or self.move is not None:
            return Failure(OutcomeUnknown('the time limit passed'))
        return Failure(refuse(self._attempts, NotRunReason.DEADLINE))
