"""Messages between the command line and the operators' interface."""

from dataclasses import dataclass

from cartdale.clock import Millis
from cartdale.plans.types import Plan

PATH_PLAN = '/operator/v1/plans'
PATH_CONFIRM = '/operator/v1/confirmations'
PATH_STATUS = '/operator/v1/status'
PATH_HISTORY = '/operator/v1/history'
PATH_CONFIGURATION = '/operator/v1/configuration'
PATH_DRAIN = '/operator/v1/drain'
PATH_REPORT = '/operator/v1/report'


@dataclass(frozen=True, slots=True)
class Intent:
    """Carry all objects that should exist, as JSON by ``kind.name``."""

    bodies_by_key: dict[str, str]


@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Ask that a plan takes effect."""

    plan: Plan
    author: str


@dataclass(frozen=True, slots=True)
class ConfirmAnswer:
    """Report how a confirmation ended.

    :param outcome: ``confirmed``, ``already_confirmed``, ``conflict``,
        ``tampered``, ``unknown``, ``unavailable``, ``invalid`` or
        ``too_large``.
    :param revision: the revision it refers to; 0 for none.
    """

    outcome: str
    revision: int
    detail: str
    overlapping: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Describe one instance.

    :param took_ms: from confirmation to in force here.
    """

    name: str
    failure_domain: str
    state: str
    revision: int
    took_ms: Millis


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Describe one upstream as this instance sees it."""

    upstream: str
    running: int
    waiting: int
    used_tokens: int
    memory_tokens: int
    draining: bool
    excluded: bool


@dataclass(frozen=True, slots=True)
class SystemStatus:
    """Answer a status query.

    :param target: highest revision that this instance has heard of.
    """

    revision: int
    target: int
    instances: tuple[InstanceStatus, ...]
    engines: tuple[EngineStatus, ...]
    store_calls_by_path: dict[str, int]


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Describe one confirmed revision."""

    revision: int
    plan_id: str
    author: str
    wall_ms: Millis
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class History:
    """List confirmed revisions, the newest first."""

    entries: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answer an operator whose request was not understood."""

    detail: str
