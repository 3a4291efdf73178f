"""Invariants: checks that are always on and counted by name."""

from collections import Counter
from typing import Final

from cartdale.exceptions import InvariantError

ONCE_IN_ORDER: Final = 'once_in_order'
ONE_GENERATION: Final = 'one_generation'
RIGHT_CALLER: Final = 'right_caller'
NOT_RUN: Final = 'not_run'
AT_MOST_ONCE: Final = 'at_most_once'
NO_WORK_WHEN_LEAVING: Final = 'no_work_when_leaving'
MEMORY_BOUND: Final = 'memory_bound'
NEVER_REVERTS: Final = 'never_reverts'
#: All of them, for the metrics.
NAMES: Final = (
    ONCE_IN_ORDER,
    ONE_GENERATION,
    RIGHT_CALLER,
    NOT_RUN,
    AT_MOST_ONCE,
    NO_WORK_WHEN_LEAVING,
    MEMORY_BOUND,
    NEVER_REVERTS,
)

_violations_by_name: Counter[str] = Counter()


def check_invariant(name: str, *, holds: bool, detail: str) -> None:
    """Raise and count when an invariant does not hold.

    :param name: one of the constants of this module.
    :param holds: the outcome of the check.
    :param detail: what contradicted, for the log.
    :raises InvariantError: when ``holds`` is false.
    """
    if holds:
        return
    _violations_by_name[name] += 1
    raise InvariantError(name, detail)


def count_violations(name: str) -> int:
    """Return how often the named invariant failed in this process."""
    return _violations_by_name[name]
