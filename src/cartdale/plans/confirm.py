"""Confirm a plan: one compare-and-swap on its base."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from cartdale.clock import Clock
from cartdale.configuration.bodies import decode_bodies
from cartdale.configuration.decide import apply_changes
from cartdale.configuration.storage import (
    VALUE_LIMIT,
    StoredHead,
    append,
    measure,
    read_head,
    read_log,
    snapshot_due,
    write_snapshot,
)
from cartdale.configuration.types import (
    ConfigurationState,
    Delta,
    digest_bodies,
)
from cartdale.declarations.check import SourceMap, check_references
from cartdale.plans.make import identify
from cartdale.plans.types import (
    AlreadyConfirmed,
    Confirmed,
    ConfirmFailure,
    ConfirmOutcome,
    ConfirmUnavailable,
    ConfirmUnknown,
    Plan,
    PlanConflict,
    PlanInvalid,
    PlanTampered,
    PlanTooLarge,
    list_changes,
)
from cartdale.store.types import Committed, Store, StoreFailure, WriteUnknown

Verdict = Result[ConfirmOutcome, ConfirmFailure]


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Ask that a plan takes effect.

    :param author: the operator's name, kept in the history.
    """

    plan: Plan
    author: str


class Confirmer:
    """Write confirmed plans to the store.

    :param store: the platform's key-value service.
    :param clock: where the wall time of a confirmation is read.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def confirm(
        self, state: ConfigurationState, asked: Confirmation
    ) -> Verdict:
        """Put a plan in force, or say truthfully why not.

        :param state: what is in force here; may be behind the store.
        """
        plan = asked.plan
        expected = identify(plan.base_revision, plan.changes)
        if expected != plan.plan_id:
            return Failure(PlanTampered(expected))
        seen = await read_head(self._store)
        if isinstance(seen, Failure):
            return Failure(ConfirmUnavailable(str(seen.failure())))
        head = seen.unwrap()
        if head.head.revision != plan.base_revision:
            return await self._explain(plan)
        if state.revision != plan.base_revision:
            return Failure(ConfirmUnavailable('this instance is catching up'))
        return await self._write(state, asked, head)

    async def keep_snapshots(self, state: ConfigurationState) -> None:
        """Write a snapshot when one is due; failing does no harm."""
        seen = await read_head(self._store)
        if isinstance(seen, Failure):
            return
        if snapshot_due(state, seen.unwrap().head):
            await write_snapshot(self._store, state)

    async def _write(
        self, state: ConfigurationState, asked: Confirmation, head: StoredHead
    ) -> Verdict:
        changes = list_changes(asked.plan)
        bodies_by_key = apply_changes(state.bodies_by_key, changes)
        declared = decode_bodies(bodies_by_key)
        faults = tuple(check_references(declared, SourceMap()))
        if faults:
            return Failure(PlanInvalid(faults))
        revision = asked.plan.base_revision + 1
        delta = Delta(
            revision=revision,
            digest=digest_bodies(revision, bodies_by_key),
            plan_id=asked.plan.plan_id,
            author=asked.author,
            wall_ms=self._clock.wall_time(),
            changes=changes,
        )
        size = measure(delta)
        if size > VALUE_LIMIT:
            return Failure(PlanTooLarge(size, VALUE_LIMIT))
        outcome = await append(self._store, head, delta)
        match outcome:
            case Success(Committed()):
                return Success(Confirmed(revision))
            case Failure(failure):
                return await self._settle(asked.plan, failure)
        return await self._explain(asked.plan)

    async def _settle(self, plan: Plan, failure: StoreFailure) -> Verdict:
        if not isinstance(failure, WriteUnknown):
            return Failure(ConfirmUnavailable(str(failure)))
        log = await read_log(self._store, plan.base_revision)
        if isinstance(log, Failure):
            return Failure(ConfirmUnknown(failure.detail))
        if not log.unwrap():
            return Failure(ConfirmUnknown('the write may still arrive'))
        return _judge(plan, log.unwrap())

    async def _explain(self, plan: Plan) -> Verdict:
        log = await read_log(self._store, plan.base_revision)
        if isinstance(log, Failure):
            return Failure(ConfirmUnavailable(str(log.failure())))
        return _judge(plan, log.unwrap())


def _judge(plan: Plan, log: tuple[Delta, ...]) -> Verdict:
    for logged in log:
        if logged.plan_id == plan.plan_id:
            return Success(AlreadyConfirmed(logged.revision))
    if not log:
        return Failure(ConfirmUnavailable('the base is not in the history'))
    first = log[0]
    mine = {change.key for change in plan.changes}
    theirs = {change.key for delta in log for change in delta.changes}
    return Failure(
        PlanConflict(
            revision=log[-1].revision,
            other_plan_id=first.plan_id,
            author=first.author,
            wall_ms=first.wall_ms,
            overlapping=tuple(sorted(mine & theirs)),
        ),
    )
