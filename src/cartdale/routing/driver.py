"""Run the routing state machine and block requests until it decides."""

from dataclasses import dataclass, field
from typing import assert_never

import trio
from returns.result import Failure, Result, Success

from cartdale.clock import Clock
from cartdale.problems.types import Limited, NotRun
from cartdale.routing.decide import decide
from cartdale.routing.types import (
    Action,
    Message,
    Place,
    Refuse,
    RoutingState,
    Work,
    WorkAbandoned,
    WorkArrived,
    WorkEnded,
)

Placed = Result[str, NotRun | Limited]


@dataclass(slots=True)
class _Waiter:
    """Routing decision that one request waits for."""

    decided: trio.Event = field(default_factory=trio.Event)
    outcome: Placed | None = None


class Router:
    """Routing state of this instance and the requests that wait for it."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._waiters_by_work: dict[str, _Waiter] = {}
        self.state = RoutingState(seed=seed)

    def dispatch(self, message: Message) -> None:
        """Apply a message and carry out the resulting actions."""
        after, actions = decide(self.state, message, self._clock.now())
        self.state = after
        for action in actions:
            self._carry_out(action)

    async def place(self, work: Work) -> Placed:
        """Wait until work may run, and return its upstream or a refusal."""
        waiter = _Waiter()
        self._waiters_by_work[work.work_id] = waiter
        self.dispatch(WorkArrived(work))
        try:
            await waiter.decided.wait()
        finally:
            self._waiters_by_work.pop(work.work_id, None)
            if waiter.outcome is None:
                self.dispatch(WorkAbandoned(work.work_id))
        assert waiter.outcome is not None
        return waiter.outcome

    def _carry_out(self, action: Action) -> None:
        match action:
            case Place(work=work, upstream=upstream):
                if not self._resolve(work.work_id, Success(upstream)):
                    self.dispatch(WorkEnded(work.work_id, 0, finished=False))
            case Refuse(work=work, problem=problem):
                self._resolve(work.work_id, Failure(problem))
            case _:
                assert_never(action)

    def _resolve(self, work_id: str, outcome: Placed) -> bool:
        waiter = self._waiters_by_work.get(work_id)
        if waiter is None:
            return False
        waiter.outcome = outcome
        waiter.decided.set()
        return True
