"""Order an engine to stop a generation whose link broke, until it has.

An engine that preempted the generation can't stop it before it is read anew.
The order is repeated until then, while the caller still waits.
"""

from dataclasses import replace
from typing import Protocol

import trio

from cartdale.clock import Millis, as_seconds
from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.rescue import may_recover
from cartdale.moves.types import (
    Action,
    CheckSource,
    Copy,
    LinkEnded,
    LinkRecovered,
    Message,
    MoveState,
    RescueTarget,
    RescueTimedOut,
    SourceChecked,
)
from cartdale.relay.ports import RelayPorts
from cartdale.relay.silent_link import SilentLink
from cartdale.relay.source_check import SourceCheck
from cartdale.switches import Mechanism

#: Maximum wait for the copy response of an engine whose link broke, and time
#: during which a refused or unanswered stop is requested again.
_RESCUE_TIMEOUT: Millis = 400


class RescuedGeneration(Protocol):
    """Run the actions of one generation's moves."""

    #: Events received over the current link.
    link_events: int
    #: Its engines and the phase of its move; ``None`` if it runs nowhere.
    state: MoveState | None

    @property
    def events(self) -> int:
        """Return the number of events passed on to the caller."""

    def dispatch(self, message: Message) -> Action | None:
        """Apply a message, and return the action to perform."""

    async def copy(self, action: Copy, timeout: Millis) -> Action | None:
        """Copy its memory, and return the action to perform next."""


class Rescue:
    """Stop one generation at its source, where it may still run.

    :param check: reads its source's reports.
    :param silent: its link, if that is silent, but still open.
    """

    def __init__(
        self,
        ports: RelayPorts,
        generation: RescuedGeneration,
        check: SourceCheck,
        silent: SilentLink | None,
    ) -> None:
        self._ports = ports
        self._generation = generation
        self._check = check
        self._link = silent or SilentLink(ended=True)

    async def run(
        self, target: UpstreamEntry | None, caller_timeout: Millis
    ) -> Action | None:
        """Return where the generation goes on; ``None`` if it stays.

        :param target: engine to copy it to, if any.
        :param caller_timeout: time without an event after which the caller
            gives up.
        """
        action = self._generation.dispatch(RescueTarget(target))
        began = self._ports.clock.now()
        retry_until = began + _RESCUE_TIMEOUT
        enabled = self._ports.fleet.switches.is_enabled(Mechanism.RESCUE)
        while isinstance(action, Copy | CheckSource):
            if isinstance(action, CheckSource):
                retry_until = max(retry_until, began + caller_timeout)
            starts_at = self._ports.clock.now() + action.pause
            if enabled and starts_at <= retry_until:
                action = await self._try(action)
            else:
                action = self._generation.dispatch(RescueTimedOut())
        if action is None and not self._link.recovered:
            ended = LinkEnded(self._generation.link_events)
            action = self._generation.dispatch(ended)
        return action

    async def _try(self, action: Copy | CheckSource) -> Action | None:
        await trio.sleep(as_seconds(action.pause))
        state = self._generation.state
        if state is None:
            return None
        if self._has_recovered(state):
            self._link.recovered = True
            return self._generation.dispatch(LinkRecovered())
        if self._link.broken and state.link_open:
            ended = LinkEnded(self._generation.link_events)
            self._generation.dispatch(ended)
        if isinstance(action, Copy):
            due = replace(action, pause=0)
            return await self._generation.copy(due, _RESCUE_TIMEOUT)
        run = await self._check.fetch(state.source, self._generation.events)
        return self._generation.dispatch(SourceChecked(run))

    def _has_recovered(self, state: MoveState) -> bool:
        """Tell whether the silent link brought events, or the sound end."""
        if not may_recover(state) or self._link.broken:
            return False
        received = self._generation.link_events > state.backup_events
        return received or self._link.ended
