"""Track which engine runs a generation, and move it to another.

A generation moves when its engine leaves, and resumes from a copy or its
backup when its link breaks. ``moves.decide`` decides the next action after each
event; this module runs the action, and ``relay.copying`` requests the copies.
"""

import trio
from loguru import logger

from cartdale.clock import Millis, as_seconds
from cartdale.fleet.types import UpstreamEntry
from cartdale.formatting import format_log_fields
from cartdale.moves import decide as moves
from cartdale.moves.estimates import Departure
from cartdale.moves.holders import find_partial_holder, ran_on
from cartdale.moves.types import (
    Action,
    AwaitCopy,
    AwaitQuiet,
    BackupLost,
    ChooseAgain,
    ChooseRescue,
    Copy,
    CopyEnded,
    CopyRejected,
    Cut,
    LinkBusy,
    LinkEnded,
    LinkQuiet,
    Message,
    MovePhase,
    MoveState,
    Resume,
    Resumed,
    ResumeRejected,
    TargetChosen,
)
from cartdale.relay.copying import Copier
from cartdale.relay.occupancy import Occupancy
from cartdale.relay.pacing import PaceMeter
from cartdale.relay.ports import RelayPorts
from cartdale.relay.rescuing import Rescue
from cartdale.relay.send_record import ConfirmedCopy, StartedBackup
from cartdale.relay.silent_link import SilentLink
from cartdale.relay.source_check import SourceCheck
from cartdale.relay.targets import choose_target
from cartdale.relay.types import (
    COPY_TIMEOUT,
    CopyFault,
    ResumePoint,
    RoutedRequest,
)

#: First pause before a generation that must leave looks for a target again.
#: Each further pause is twice as long, so that engines which refuse get only a
#: few requests within the drain notice of the source.
_FIRST_RETRY_PAUSE: Millis = 40


class RunningGeneration:
    """Track where one generation runs, and its pending copy or move.

    :param event_tokens: tokens per event.
    """

    def __init__(
        self, ports: RelayPorts, routed: RoutedRequest, event_tokens: int
    ) -> None:
        self._ports = ports
        self._routed = routed
        self._event_tokens = event_tokens
        self._occupancy = Occupancy(ports.fleet, routed, event_tokens)
        #: Times its events.
        self.meter = PaceMeter(
            ports.fleet,
            ports.clock,
            routed.service,
            event_tokens,
            ports.token_times,
        )
        #: Set once the pending copy has ended.
        self._copy_ended = trio.Event()
        self._next_backup: UpstreamEntry | None = None
        #: Its engines and the phase of its move; ``None`` if it runs nowhere.
        self.state: MoveState | None = None
        self._ended = False
        self._moving = False
        #: Events received over the current link.
        self.link_events = 0
        #: Whether its engine may have stopped it, since it was told to and did
        #: not deny that it ran it.
        self.stop_sent = False
        #: Whether its engine did not answer the latest order to stop it.
        self.source_silent = False
        #: Whether it had a backup at its engine, and has none any more.
        self.backup_lost = False
        #: Whether its engine still ran it as its link had ended.
        self.ran_on = False
        self._source_check = SourceCheck(ports, self.request_id)
        self._copier = Copier(ports.upstreams, ports.clock, self.request_id)
        #: Number of times it resumed at another engine.
        self.moves = 0

    @property
    def request_id(self) -> str:
        """Return the caller's request id."""
        return self._routed.request.request_id

    @property
    def upstream(self) -> str:
        """Return the id of the engine that runs it; empty if none does."""
        return self.state.source.upstream if self.state else ''

    @property
    def tokens(self) -> int:
        """Return the memory that it occupies, in tokens."""
        load = self._occupancy.load
        return load.tokens if load else 0

    @property
    def events(self) -> int:
        """Return the number of events passed on to the caller."""
        return self._occupancy.events

    @property
    def most_left(self) -> int:
        """Return the maximum number of tokens that it may still generate."""
        made = self.events * self._event_tokens
        return max(self._routed.request.max_tokens - made, 0)

    @property
    def backup(self) -> str:
        """Return the id of its backup engine; empty if it has none."""
        kept = self.state.backup if self.state else None
        return kept.upstream if kept else ''

    @property
    def is_stopped(self) -> bool:
        """Tell whether it was stopped: its link then ends prematurely."""
        return self.state is not None and moves.is_stopped(self.state)

    def begin(self, upstream: UpstreamEntry) -> str:
        """Start at an engine.

        :returns: address of the backup engine; empty for none.
        """
        before = self._ports.fleet.load_at(upstream.upstream)
        self.meter.begin(before.reading + self._routed.request.prompt_tokens)
        self._occupancy.assign(upstream)
        backup = _choose_backup(self._ports, self._occupancy, upstream)
        self.state = moves.begin(upstream, backup)
        self._source_check.begin()
        self.link_events = 0
        self.stop_sent = False
        self.source_silent = False
        self.backup_lost = False
        return backup.address if backup else ''

    def end(self, *, over: bool = True) -> None:
        """Note that the engine has ended or refused it.

        :param over: whether no attempt at another engine follows.
        """
        self._ended = over
        self.meter.end()
        self._occupancy.end()
        if self.state is not None:
            _discard(self._ports, self.state, self.state.handle)
        self.state = None

    def advance(self) -> None:
        """Count an event passed on to the caller."""
        self._occupancy.advance()
        self.link_events += 1
        self.meter.time_event(self.upstream)
        if not self.moves:
            self.meter.advance()

    # Leaving while the engine still serves requests.

    async def leave(self, departure: Departure) -> None:
        """Move away from an engine that leaves.

        A generation with a backup stays until the engine ends: this keeps the
        engine's link free for the generations that must be copied in time.
        """
        if self.backup or self._moving:
            return
        self._moving = True
        refused: set[str] = set()
        pause = _FIRST_RETRY_PAUSE
        try:
            while not self._ended and self._ports.clock.now() < departure.until:
                target = self._find_target(refused)
                if target is None:
                    # Other copies need not wait until this one finds capacity.
                    self._occupancy.exempt()
                    refused.clear()
                    await trio.sleep(as_seconds(pause))
                    pause *= 2
                elif await self._copy_to(target, departure):
                    break
                else:
                    refused.add(target.upstream)
        finally:
            self._moving = False

    def stay(self) -> None:
        """Note that it needs no copy, since it ends before the engine."""
        self._occupancy.exempt()

    def lose_backup(self) -> None:
        """Drop its backup, since the backup's engine leaves."""
        self.dispatch(BackupLost())
        self.backup_lost = True
        self._occupancy.lose_backup()

    # Resuming after the link has ended.

    async def lose_link(
        self, *, outlived: bool = False, silent: SilentLink | None = None
    ) -> UpstreamEntry | None:
        """Return the engine to resume at after its link ended, if any.

        :param outlived: whether its engine was seen to live on afterwards.
        :param silent: the link, if it is silent, but still open.
        """
        is_open = silent is not None
        ended = LinkEnded(self.link_events, outlived, link_open=is_open)
        action = self.dispatch(ended)
        if isinstance(action, AwaitCopy):
            await self._copy_ended.wait()
            action = self.dispatch(ended)
        if isinstance(action, ChooseRescue):
            action = await self._rescue(silent)
        self.ran_on = self.state is not None and ran_on(self.state)
        return action.upstream if isinstance(action, Resume) else None

    def prepare_resume(
        self, upstream: UpstreamEntry
    ) -> tuple[ResumePoint, str]:
        """Return the resume point and the address of the next backup."""
        state = self.state or moves.begin(upstream)
        self._occupancy.assign(upstream)
        self._next_backup = _choose_backup(
            self._ports, self._occupancy, upstream
        )
        if state.phase is MovePhase.AT_BACKUP and state.backup is not None:
            point = ResumePoint(
                state.backup.address,
                self.request_id,
                StartedBackup(state.backup_events, state.outlived),
            )
        else:
            copied = ConfirmedCopy(state.handle)
            point = ResumePoint(state.source.address, state.handle, copied)
        backup = self._next_backup
        return point, backup.address if backup else ''

    def resumed(self) -> None:
        """Note that the engine has resumed it."""
        self.moves += 1
        self._source_check.begin()
        self.link_events = 0
        self.stop_sent = False
        self.source_silent = False
        self.backup_lost = False
        self.dispatch(Resumed(self._next_backup))

    def resume_rejected(self) -> UpstreamEntry | None:
        """Return another engine to resume at, if any."""
        action = self.dispatch(ResumeRejected())
        return action.upstream if isinstance(action, Resume) else None

    # Running the actions of its moves.

    def dispatch(self, message: Message) -> Action | None:
        """Apply a message, and return the action to perform."""
        before = self.state
        if before is None:
            return Cut()
        after, actions = moves.decide(before, message)
        self.state = after
        # While the source may have it in its queue, each check is the same.
        if after != before or not after.unconfirmed:
            logger.info(
                'move',
                request=self.request_id,
                before=before.phase,
                after=after.phase,
                events=self.events,
                **format_log_fields('message', message),
            )
        return actions[0] if actions else None

    async def copy(
        self, action: Copy, timeout: Millis = COPY_TIMEOUT
    ) -> Action | None:
        """Copy its memory, and return the action to perform next.

        :param timeout: maximum wait for the engine's response.
        """
        if action.pause:
            await trio.sleep(as_seconds(action.pause))
        state = self.state
        if state is None or state.target is None or self._ended:
            return None
        sent_before = self.stop_sent
        self.stop_sent = sent_before or action.last
        outcome = await self._copier.copy(
            state, state.target, last=action.last, timeout=timeout
        )
        if _denies_run(outcome):
            self.stop_sent = sent_before
        if action.last:
            self.source_silent = _is_unanswered(outcome)
        if outcome is None:
            return None
        if self.state is None and isinstance(outcome, CopyEnded):
            _discard(self._ports, state, outcome.handle)
        return self.dispatch(outcome)

    async def _copy_to(
        self, target: UpstreamEntry, departure: Departure
    ) -> bool:
        """Copy to a target; return whether the move has succeeded or failed."""
        self._copy_ended = trio.Event()
        try:
            with self._occupancy.reserve(target):
                action = self.dispatch(TargetChosen(target))
                while isinstance(action, Copy | AwaitQuiet):
                    action = await self._run_action(action, departure)
            return not isinstance(action, ChooseAgain)
        finally:
            self._copy_ended.set()

    async def _run_action(
        self, action: Copy | AwaitQuiet, departure: Departure
    ) -> Action | None:
        if isinstance(action, Copy):
            return await self.copy(action)
        left = departure.stop_at - self._ports.clock.now()
        if left <= 0 or self._copier.link_free:
            self._occupancy.exempt()
            return self.dispatch(LinkQuiet())
        if self._copier.renewed and self.state is not None:
            pause = moves.choose_pause(self.state)
            await trio.sleep(as_seconds(min(left, pause)))
        return self.dispatch(LinkBusy())

    async def _rescue(self, silent: SilentLink | None) -> Action | None:
        """Stop it at its source, where it may still run without its link."""
        holder = find_partial_holder(self.state) if self.state else None
        target = holder or self._find_target(set())
        target = target or self._find_target(set(), full=True)
        route = self._routed.route
        rescue = Rescue(self._ports, self, self._source_check, silent)
        return await rescue.run(target, route.caller_read_timeout)

    def _find_target(
        self, refused: set[str], *, full: bool = False
    ) -> UpstreamEntry | None:
        """Return an engine with capacity for it, if any; none before it began.

        :param refused: engines that have refused it.
        :param full: whether an engine without capacity will do.
        """
        state, load = self.state, self._occupancy.load
        if state is None or load is None or not self.events:
            return None
        return choose_target(
            self._ports.fleet,
            self._routed,
            load,
            state.source,
            refused,
            full=full,
        )


def _choose_backup(
    ports: RelayPorts, occupancy: Occupancy, upstream: UpstreamEntry
) -> UpstreamEntry | None:
    """Return an engine for a backup of what runs at another, if any."""
    now = ports.clock.now()
    unframed = ports.unframed.is_known(upstream.service, now)
    return occupancy.choose_backup(upstream, unframed=unframed)


def _denies_run(outcome: CopyEnded | CopyRejected | None) -> bool:
    """Tell whether an order to copy a generation certainly did not stop it."""
    faults = (CopyFault.UNKNOWN_RUN, CopyFault.UNREACHABLE)
    return isinstance(outcome, CopyRejected) and outcome.fault in faults


def _is_unanswered(outcome: CopyEnded | CopyRejected | None) -> bool:
    """Tell whether an engine did not answer an order to copy a generation."""
    faults = (CopyFault.NO_ANSWER, CopyFault.BROKEN, CopyFault.UNREACHABLE)
    return isinstance(outcome, CopyRejected) and outcome.fault in faults


def _discard(ports: RelayPorts, state: MoveState, handle: str) -> None:
    """Free a copy at the target that will not be resumed from."""
    if state.target is not None and handle:
        ports.copy_releaser.add(state.target.address, handle)
