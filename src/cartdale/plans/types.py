"""Plans: what would change, and how a confirmation can end."""

from dataclasses import dataclass
from enum import StrEnum

from cartdale.clock import Millis
from cartdale.configuration.types import Change
from cartdale.exceptions import InputFault


class Verb(StrEnum):
    """Say what happens to a declared object."""

    ADD = 'add'
    CHANGE = 'change'
    REMOVE = 'remove'


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Show one object's change.

    :param before: fields before, as JSON; empty when it is added.
    :param after: fields after, as JSON; empty when it is removed.
    """

    verb: Verb
    key: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Plan:
    """Describe what a confirmation would put in force.

    :param plan_id: digest of the base and the changes.
    :param base_revision: revision that the plan was made against.
    :param base_digest: digest of that configuration.
    :param effects: what services and customers would notice.
    :param warnings: what does not fit.
    """

    plan_id: str
    base_revision: int
    base_digest: str
    changes: tuple[PlannedChange, ...]
    effects: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The plan took effect as this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class AlreadyConfirmed:
    """The same plan took effect before."""

    revision: int


@dataclass(frozen=True, slots=True)
class PlanConflict:
    """Another plan took effect first.

    :param revision: the revision in force now.
    :param other_plan_id: the plan that was confirmed after the base.
    :param overlapping: keys that both plans change.
    """

    revision: int
    other_plan_id: str
    author: str
    wall_ms: Millis
    overlapping: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlanTampered:
    """The plan's id does not match its content."""

    expected: str


@dataclass(frozen=True, slots=True)
class ConfirmUnknown:
    """The write's answer was lost and the store cannot be read now."""

    detail: str


@dataclass(frozen=True, slots=True)
class ConfirmUnavailable:
    """The store refused; nothing was changed."""

    detail: str


@dataclass(frozen=True, slots=True)
class PlanInvalid:
    """The configuration after the plan would not be valid."""

    faults: tuple[InputFault, ...]


@dataclass(frozen=True, slots=True)
class PlanTooLarge:
    """The change does not fit into one value of the store.

    :param size: of the change as it would be stored, in bytes.
    :param limit: what one value holds, in bytes.
    """

    size: int
    limit: int


ConfirmFailure = (
    PlanConflict
    | PlanTampered
    | ConfirmUnknown
    | ConfirmUnavailable
    | PlanInvalid
    | PlanTooLarge
)
ConfirmOutcome = Confirmed | AlreadyConfirmed


def list_changes(plan: Plan) -> tuple[Change, ...]:
    """Return the plan's changes as configuration changes."""
    return tuple(Change(change.key, change.after) for change in plan.changes)
